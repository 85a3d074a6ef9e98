#include "store_reader.hpp"

#include <algorithm>
#include <iterator>

namespace medlarloft::tier {
namespace {

constexpr int status_ok = 200;
constexpr int status_gone = 410;
/// Far above the responses of the store.
constexpr std::size_t max_store_response_bytes = std::size_t{16} << 20;

// Sets the era of the changes that an answer of the store holds.
void set_era(std::vector<replica::change>& changes, replica::era era) {
  for (replica::change& each : changes)
    each.changed_at = {era, each.changed_at.number()};
}

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

void store_reader::set_active(bool active, replica::position known) {
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
  // A copy of an earlier era than this reader's cannot be brought forward by
  // changes.
  if (known > replica::position{}) {
    listed_ = known.era() >= position_.era();
    position_ = std::max(position_, known);
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
  call(platform_.changes_target(position_.number(), options_.long_poll_timeout),
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
  if (response.status != status_ok && response.status != status_gone) {
    handle_failure("status " + std::to_string(response.status));
    return;
  }
  const auto era = read_era(response);
  if (!era) {
    // Without the history the same call would fail again; the listing tells in
    // which era the store is.
    if (response.status == status_gone) listed_ = false;
    handle_failure("answer without a valid era");
    return;
  }
  // A listing may begin in any era; what follows it must be of the same one.
  const bool begins_listing = !listed_ && listing_.empty();
  if (*era > position_.era() && !begins_listing) {
    begin_era(*era);
  } else if (response.status == status_gone) {
    listed_ = false;
    listing_.clear();
    handle_success();
    call_next();
  } else if (!listed_) {
    handle_listing(response, *era);
  } else {
    handle_changes(response);
  }
}

// An answer of an earlier era is late. One that states no era cannot be told
// from a late one once the store is known to have eras.
std::optional<replica::era> store_reader::read_era(
    const http::message& response) {
  const replica::era known =
      std::max(position_.era(), hooks_.copy_position().era());
  const auto stated = platform_.read_store_era(response);
  if (stated && stated.value().value_or(0) >= known)
    return stated.value().value_or(0);
  hooks_.on_invalid_era(
      stated ? (stated.value() ? "earlier" : "missing") : stated.error().text,
      known);
  if (known > 0) return std::nullopt;
  return replica::era{0};
}

// Another daemon may have listed the store in this era already. Otherwise this
// reader lists it, since changes after a position of an earlier era mean
// nothing.
void store_reader::begin_era(replica::era era) {
  const replica::position copy = hooks_.copy_position();
  listing_.clear();
  listed_ = copy.era() == era;
  position_ = listed_ ? copy : replica::position{era, 0};
  handle_success();
  call_next();
}

void store_reader::handle_listing(const http::message& response,
                                  replica::era era) {
  auto page = platform_.read_listing(response.body);
  if (page) {
    handle_listing_page(std::move(page).value(), era);
  } else {
    handle_failure(page.error().text);
  }
}

void store_reader::handle_changes(const http::message& response) {
  auto read = platform_.read_changes(response.body);
  if (!read) {
    handle_failure(read.error().text);
    return;
  }
  changes_page& page = read.value();
  handle_success();
  const replica::position up_to{position_.era(), page.revision};
  set_era(page.changes, position_.era());
  const bool advanced = up_to > position_;
  position_ = std::max(position_, up_to);
  hooks_.on_changes(page, up_to);
  // A pause after a full page would let the store get ahead for good when it
  // changes faster than one page for each pause.
  if (page.changes.empty() || (page.may_have_more && advanced)) {
    call_next();
  } else {
    schedule_next_call(hooks_.pause_after_changes());
  }
}

void store_reader::handle_listing_page(listing_page page, replica::era era) {
  handle_success();
  if (listing_.empty()) {
    listing_position_ = {era, page.revision};
    position_ = std::max(position_, replica::position{era, 0});
  }
  set_era(page.records, era);
  std::ranges::move(page.records, std::back_inserter(listing_));
  if (page.has_more && !page.records.empty()) {
    call_next();
    return;
  }
  listed_ = true;
  ever_listed_ = true;
  position_ = listing_position_;
  hooks_.on_listing(std::exchange(listing_, {}), listing_position_);
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
