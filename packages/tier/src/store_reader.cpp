#include "store_reader.hpp"

namespace medlarloft::tier {
namespace {

constexpr int status_ok = 200;
constexpr int status_gone = 410;
/// Answers of the store are far below this.
constexpr std::size_t max_answer_bytes = std::size_t{16} << 20;

}  // namespace

store_reader::store_reader(http::io_context& io, loop::timer_queue& timers,
                           options settings, const adapter& platform,
                           hooks told)
    : loop_(io),
      timers_(timers),
      options_(std::move(settings)),
      platform_(platform),
      hooks_(std::move(told)),
      random_(options_.seed),
      next_timeout_(options_.first_timeout),
      backoff_(options_.first_backoff) {}

store_reader::~store_reader() {
  *alive_ = false;
  timers_.cancel(timer_);
  if (connection_) connection_->close();
}

void store_reader::set_active(bool active, replica::revision known) {
  if (active == active_) return;
  active_ = active;
  if (!active) {
    timers_.cancel(timer_);
    if (connection_) connection_->close();
    connection_.reset();
    pages_.clear();
    answers_ = false;
    told_ = false;
    return;
  }
  if (known > 0) {
    listed_ = true;
    cursor_ = std::max(cursor_, known);
  }
  next();
}

void store_reader::doubt() {
  if (timer_.id != 0 || !connection_) return;
  connection_->close();
}

void store_reader::next() {
  if (!listed_) {
    const std::string_view after =
        pages_.empty() ? std::string_view{} : pages_.back().key;
    call(platform_.listing_target(after), listing_timeout());
    return;
  }
  call(platform_.changes_target(cursor_, options_.longest_wait),
       options_.longest_wait + options_.call_timeout);
}

// A store that is slow needs a long wait, one that was silent a short one;
// while this daemon can serve nobody it tries both in turn.
duration store_reader::listing_timeout() {
  if (ever_listed_) return options_.call_timeout;
  const duration chosen = next_timeout_;
  next_timeout_ =
      chosen * 2 > options_.call_timeout ? options_.first_timeout : chosen * 2;
  return chosen;
}

void store_reader::call(std::string target, duration timeout) {
  if (connection_ && connection_->usable()) {
    send(target, timeout);
    return;
  }
  connection_ = http::connection::make(
      loop_, timers_,
      {.to = options_.store,
       .from_ip = options_.from_ip,
       .connect_timeout =
           ever_listed_ ? options_.call_timeout / 3 : options_.first_connect,
       .max_response_bytes = max_answer_bytes});
  connection_->open([this, alive = alive_, target = std::move(target), timeout](
                        bool ok, duration) {
    if (!*alive || !active_) return;
    if (ok) {
      send(target, timeout);
    } else {
      failed("cannot connect");
    }
  });
}

void store_reader::send(const std::string& target, duration timeout) {
  ++calls_;
  const http::message request{
      .method = "GET",
      .target = target,
      .headers = {{"Host", format_endpoint(options_.store)}}};
  timer_ = timers_.after(timeout, [this] {
    timer_ = {};
    connection_->close();
  });
  connection_->send_request(
      http::serialize_request(request), request.method, nullptr,
      [this, alive = alive_](const http::exchange_result& got) {
        if (!*alive || !active_) return;
        timers_.cancel(timer_);
        on_answer(got);
      });
}

void store_reader::on_answer(const http::exchange_result& got) {
  if (!got) {
    failed("connection lost or silent");
    return;
  }
  const http::message& answer = got.value().response;
  if (answer.status == status_gone) {
    listed_ = false;
    pages_.clear();
    succeeded();
    next();
    return;
  }
  if (answer.status != status_ok) {
    failed("status " + std::to_string(answer.status));
    return;
  }
  if (!listed_) {
    const auto page = platform_.read_listing(answer.body);
    if (page) {
      on_page(page.value());
    } else {
      failed(page.error().text);
    }
    return;
  }
  const auto page = platform_.read_changes(answer.body);
  if (!page) {
    failed(page.error().text);
    return;
  }
  succeeded();
  cursor_ = std::max(cursor_, page.value().revision);
  hooks_.changes(page.value().changes, page.value().revision);
  if (page.value().changes.empty()) {
    next();
  } else {
    after(hooks_.pause());
  }
}

void store_reader::on_page(const listing_page& page) {
  succeeded();
  if (pages_.empty()) listing_from_ = page.revision;
  pages_.insert(pages_.end(), page.records.begin(), page.records.end());
  if (page.has_more && !page.records.empty()) {
    next();
    return;
  }
  listed_ = true;
  ever_listed_ = true;
  cursor_ = listing_from_;
  hooks_.listing(std::exchange(pages_, {}), listing_from_);
  next();
}

void store_reader::succeeded() {
  backoff_ = options_.first_backoff;
  hooks_.answered();
  if (std::exchange(answers_, true) && told_) return;
  told_ = true;
  hooks_.reachable(true, "answers");
}

// A connection that is lost while the store answers is opened again at once;
// only when that fails, too, the store counts as away.
void store_reader::failed(const std::string& reason) {
  if (connection_) connection_->close();
  connection_.reset();
  if (!listed_) pages_.clear();
  if (std::exchange(answers_, false) || !told_) {
    told_ = true;
    hooks_.reachable(false, reason);
  }
  const duration pause = backoff_ / 2 + random_.below(backoff_ / 2);
  const duration longest =
      ever_listed_ ? options_.longest_backoff : options_.first_backoff * 2;
  backoff_ = std::min(backoff_ * 2, longest);
  after(pause);
}

void store_reader::after(duration delay) {
  timers_.cancel(timer_);
  timer_ = timers_.after(delay, [this] {
    timer_ = {};
    next();
  });
}

}  // namespace medlarloft::tier
