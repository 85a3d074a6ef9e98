#pragma once

/// Follows the platform's store: one listing, then the changes. After a loss
/// it goes on where it was; it lists again only when the store says that the
/// history is gone.

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
    /// How long the store holds a call until something changes.
    /// An open call says nothing of the store, so it is short.
    duration longest_wait = std::chrono::seconds(2);
    duration call_timeout = std::chrono::milliseconds(1500);
    /// While nothing is known, calls that hang are given up soon: the first
    /// after this, the next ones after twice as long, up to `call_timeout`.
    duration first_timeout = std::chrono::milliseconds(300);
    /// While nothing is known a lost opening packet is not waited for.
    duration first_connect = std::chrono::milliseconds(100);
    duration first_backoff = std::chrono::milliseconds(100);
    duration longest_backoff = std::chrono::milliseconds(800);
    std::uint64_t seed = 1;
  };
  struct hooks {
    std::function<void(const std::vector<replica::change>&, replica::revision)>
        changes;
    std::function<void(const std::vector<replica::change>&, replica::revision)>
        listing;
    /// The store has answered a call.
    std::function<void()> answered;
    /// How long to wait after changes, so that later ones share a call.
    std::function<duration()> pause;
    /// The store answers, or does not any more; said once for each change.
    std::function<void(bool answers, const std::string& reason)> reachable;
  };

  store_reader(http::io_context& io, loop::timer_queue& timers,
               options settings, const adapter& platform, hooks told);
  ~store_reader();
  store_reader(const store_reader&) = delete;
  store_reader& operator=(const store_reader&) = delete;

  /// Begins to read, or stops. `known` is how far the daemon's copy is; it is
  /// listed only when nothing is known.
  void set_active(bool active, replica::revision known);
  bool active() const noexcept { return active_; }
  /// A peer knows more than the store said for too long: asks anew.
  void doubt();
  std::uint64_t calls() const noexcept { return calls_; }

 private:
  using http_connection = std::shared_ptr<http::connection>;
  void next();
  void call(std::string target, duration timeout);
  void send(const std::string& target, duration timeout);
  void on_answer(const http::exchange_result& got);
  void on_page(const listing_page& page);
  void failed(const std::string& reason);
  void succeeded();
  void after(duration delay);
  duration listing_timeout();

  http::io_context& loop_;
  loop::timer_queue& timers_;
  options options_;
  const adapter& platform_;
  hooks hooks_;
  random_stream random_;
  http_connection connection_;
  loop::timer_queue::handle timer_;
  bool active_ = false;
  bool listed_ = false;
  bool ever_listed_ = false;
  duration next_timeout_;
  std::vector<replica::change> pages_;
  replica::revision listing_from_ = 0;
  replica::revision cursor_ = 0;
  duration backoff_;
  bool answers_ = false;
  bool told_ = false;
  std::uint64_t calls_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace medlarloft::tier
