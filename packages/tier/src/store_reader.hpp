#pragma once

/// Follows the platform's store: lists all records once, then reads changes by
/// long polling. After a failure it continues from the last position; it lists
/// again only when the store no longer has the history, or was restored from an
/// older copy, which begins a new era.

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "medlarloft/tier.hpp"

namespace medlarloft::tier {

class store_reader {
 public:
  struct options {
    endpoint store;
    std::string from_ip;
    /// How long the store may hold a call until something changes. Short,
    /// because a silent store goes unnoticed while a call is open.
    duration long_poll_timeout = std::chrono::seconds(2);
    duration call_timeout = std::chrono::milliseconds(1500);
    /// Timeout of the first call before the first listing: short, to give up a
    /// call that hangs. Doubles with each call, and starts again with this
    /// rather than exceed `call_timeout`.
    duration initial_timeout = std::chrono::milliseconds(300);
    /// Connect timeout before the first listing: too short to wait for the
    /// retransmission of a lost SYN.
    duration initial_connect_timeout = std::chrono::milliseconds(100);
    duration min_backoff = std::chrono::milliseconds(100);
    duration max_backoff = std::chrono::milliseconds(800);
    std::uint64_t seed = 1;
  };
  struct hooks {
    /// Changes up to a position.
    std::function<void(const changes_page&, replica::position up_to)>
        on_changes;
    std::function<void(const std::vector<replica::change>&, replica::position)>
        on_listing;
    /// Returns the position of the daemon's copy, which other daemons may have
    /// brought to a later era than this reader knows.
    std::function<replica::position()> copy_position;
    /// An answer is not used, or not used as of the era that it states.
    std::function<void(const std::string& reason, replica::era known)>
        on_invalid_era;
    /// The store answered a call.
    std::function<void()> on_answer;
    /// Returns how long to wait after a call that returned the latest changes,
    /// so that the next call returns several at once.
    std::function<duration()> pause_after_changes;
    /// The store became reachable or unreachable; called once per transition.
    std::function<void(bool reachable, const std::string& reason)>
        on_reachability_changed;
  };

  store_reader(http::io_context& loop, loop::timer_queue& timers,
               options settings, const adapter& platform, hooks callbacks);
  ~store_reader();
  store_reader(const store_reader&) = delete;
  store_reader& operator=(const store_reader&) = delete;

  /// Starts or stops reading. `known` is the position of the daemon's copy, or
  /// 0 if it has none and all records must be listed.
  void set_active(bool active, replica::position known);
  bool active() const noexcept { return active_; }
  /// Gives up a connection that is still being opened, so that another one is
  /// tried. Has no effect while a call or a pause is timed.
  void restart_call();
  std::uint64_t calls() const noexcept { return calls_; }

 private:
  using http_connection = std::shared_ptr<http::connection>;
  void call_next();
  void call(std::string target, duration timeout);
  void send(const std::string& target, duration timeout);
  void handle_response(const http::response_result& result);
  /// Returns the era of an answer, or nothing if the answer must not be used.
  std::optional<replica::era> read_era(const http::message& response);
  /// Goes on in a later era than the reader's.
  void begin_era(replica::era era);
  void handle_listing(const http::message& response, replica::era era);
  void handle_listing_page(listing_page page, replica::era era);
  void handle_changes(const http::message& response);
  void handle_failure(const std::string& reason);
  void handle_success();
  void schedule_next_call(duration delay);
  duration listing_timeout();

  http::io_context& loop_;
  loop::timer_queue& timers_;
  options options_;
  const adapter& platform_;
  hooks hooks_;
  random_generator random_;
  http_connection connection_;
  loop::timer_queue::handle timer_;
  bool active_ = false;
  /// Whether `position_` is known, so that the changes after it can be read.
  bool listed_ = false;
  /// Whether this reader has completed a listing itself.
  bool ever_listed_ = false;
  duration next_timeout_;
  std::vector<replica::change> listing_;
  /// Of the first page of the listing.
  replica::position listing_position_;
  replica::position position_;
  duration backoff_;
  bool reachable_ = false;
  bool reachability_reported_ = false;
  std::uint64_t calls_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace medlarloft::tier
