#pragma once

/// Timers of one Asio event loop. All of them, often thousands, share one
/// system timer, which is rearmed only for an earlier expiry.

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "medlarloft/base.hpp"

namespace medlarloft::loop {

using boost::asio::io_context;

class timer_queue {
 public:
  /// Identifies one timer; a default-constructed handle identifies none.
  struct handle {
    time_point due{};
    std::uint64_t id = 0;

    friend auto operator<=>(const handle&, const handle&) = default;
  };

  explicit timer_queue(io_context& loop) : timer_(loop) {}

  /// Runs `action` once, at `when` or slightly later.
  handle at(time_point when, std::function<void()> action);
  handle after(duration delay, std::function<void()> action);

  /// Cancels the timer if it has not run yet, and resets the handle.
  void cancel(handle& timer);

 private:
  void arm();
  void run_due();

  boost::asio::steady_timer timer_;
  std::map<handle, std::function<void()>> pending_;
  time_point armed_for_ = time_point::max();
  std::uint64_t last_id_ = 0;
};

}  // namespace medlarloft::loop
