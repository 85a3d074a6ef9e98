#include "store_reader.hpp"

namespace medlarloft::tier {
namespace {

constexpr int status_ok = 200;
constexpr int status_gone = 410;
/// Far above the responses of the store.
constexpr std::size_t max_store_response_bytes = std::size_t{16} << 20;

}  // namespace

store_reader::store_reader(http::io_context& loop, loop::timer_queue& timers,
                           options settings, const adapter& platform,
                           hooks callbacks)
    : loop_(loop),
      timers_(timers),
      options_(std::move(settings)),
      platform_(platform),
      hooks_(std::move(callbacks)),
      random_(options_.seed),
      next_timeout_(options_.initial_timeout),
      backoff_(options_.min_backoff) {}

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
    listing_.clear();
    reachable_ = false;
    reachability_reported_ = false;
    return;
  }
  if (known > 0) {
    listed_ = true;
    revision_ = std::max(revision_, known);
  }
  call_next();
}

void store_reader::restart_call() {
  if (timer_.id != 0 || !connection_) return;
  connection_->close();
}

void store_reader::call_next() {
  if (!listed_) {
    const std::string_view after_key =
        listing_.empty() ? std::string_view{} : listing_.back().key;
    call(platform_.listing_target(after_key), listing_timeout());
    return;
  }
  call(platform_.changes_target(revision_, options_.long_poll_timeout),
       options_.long_poll_timeout + options_.call_timeout);
}

// A slow store needs a long timeout, and a call that hangs should be given up
// soon. Until the first listing, when this daemon cannot serve yet, timeouts
// double up to `call_timeout` and then start again with the shortest.
duration store_reader::listing_timeout() {
  if (ever_listed_) return options_.call_timeout;
  const duration timeout = next_timeout_;
  next_timeout_ = timeout * 2 > options_.call_timeout ? options_.initial_timeout
                                                      : timeout * 2;
  return timeout;
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
       .connect_timeout = ever_listed_ ? options_.call_timeout / 3
                                       : options_.initial_connect_timeout,
       .max_response_bytes = max_store_response_bytes});
  connection_->open([this, alive = alive_, target = std::move(target), timeout](
                        bool ok, duration) {
    if (!*alive || !active_) return;
    if (ok) {
      send(target, timeout);
    } else {
      handle_failure("cannot connect");
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
      [this, alive = alive_](const http::response_result& result) {
        if (!*alive || !active_) return;
        timers_.cancel(timer_);
        handle_response(result);
      });
}

void store_reader::handle_response(const http::response_result& result) {
  if (!result) {
    handle_failure("connection lost or timed out");
    return;
  }
  const http::message& response = result.value().response;
  if (response.status == status_gone) {
    listed_ = false;
    listing_.clear();
    handle_success();
    call_next();
    return;
  }
  if (response.status != status_ok) {
    handle_failure("status " + std::to_string(response.status));
    return;
  }
  if (!listed_) {
    const auto page = platform_.read_listing(response.body);
    if (page) {
      handle_listing_page(page.value());
    } else {
      handle_failure(page.error().text);
    }
    return;
  }
  const auto page = platform_.read_changes(response.body);
  if (!page) {
    handle_failure(page.error().text);
    return;
  }
  handle_success();
  const bool advanced = page.value().revision > revision_;
  revision_ = std::max(revision_, page.value().revision);
  hooks_.on_changes(page.value());
  // A pause after a full page would let the store get ahead for good when it
  // changes faster than one page for each pause.
  if (page.value().changes.empty() ||
      (page.value().may_have_more && advanced)) {
    call_next();
  } else {
    schedule_next_call(hooks_.pause_after_changes());
  }
}

void store_reader::handle_listing_page(const listing_page& page) {
  handle_success();
  if (listing_.empty()) listing_revision_ = page.revision;
  listing_.insert(listing_.end(), page.records.begin(), page.records.end());
  if (page.has_more && !page.records.empty()) {
    call_next();
    return;
  }
  listed_ = true;
  ever_listed_ = true;
  revision_ = listing_revision_;
  hooks_.on_listing(std::exchange(listing_, {}), listing_revision_);
  call_next();
}

void store_reader::handle_success() {
  backoff_ = options_.min_backoff;
  hooks_.on_answer();
  if (std::exchange(reachable_, true) && reachability_reported_) return;
  reachability_reported_ = true;
  hooks_.on_reachability_changed(true, "answers");
}

// Retries with exponential backoff and jitter. The backoff stays short until
// this reader has completed a listing itself.
void store_reader::handle_failure(const std::string& reason) {
  if (connection_) connection_->close();
  connection_.reset();
  if (!listed_) listing_.clear();
  if (std::exchange(reachable_, false) || !reachability_reported_) {
    reachability_reported_ = true;
    hooks_.on_reachability_changed(false, reason);
  }
  const duration pause = backoff_ / 2 + random_.below(backoff_ / 2);
  const duration max_backoff =
      ever_listed_ ? options_.max_backoff : options_.min_backoff * 2;
  backoff_ = std::min(backoff_ * 2, max_backoff);
  schedule_next_call(pause);
}

void store_reader::schedule_next_call(duration delay) {
  timers_.cancel(timer_);
  timer_ = timers_.after(delay, [this] {
    timer_ = {};
    call_next();
  });
}

}  // namespace medlarloft::tier
