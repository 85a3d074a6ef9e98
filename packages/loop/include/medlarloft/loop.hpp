#pragma once

/// Timers of one Asio loop. Thousands of them share one system timer, which
/// is set anew only for an earlier time than the one it waits for.

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
  /// Names one timer. A default one names none.
  struct handle {
    time_point due{};
    std::uint64_t id = 0;

    friend auto operator<=>(const handle&, const handle&) = default;
  };

  explicit timer_queue(io_context& loop) : timer_(loop) {}

  /// Runs `action` once at the time or a little later.
  handle at(time_point when, std::function<void()> action);
  handle after(duration delay, std::function<void()> action);

  /// Forgets the timer if it has not run yet, and clears the handle.
  void cancel(handle& named);

 private:
  void arm();
  void run_due();

  boost::asio::steady_timer timer_;
  std::map<handle, std::function<void()>> waiting_;
  time_point armed_for_ = time_point::max();
  std::uint64_t next_number_ = 0;
};

}  // namespace medlarloft::loop
