#pragma once

/// Detects that this process did not run for a while, because it was stopped or
/// its host was suspended. Its view of the configuration and of the leafs may
/// be outdated then, and what waits in its sockets is as old. No I/O; times are
/// arguments.

#include <optional>

#include "medlarloft/base.hpp"

namespace medlarloft::tier {

class pause_guard {
 public:
  struct options {
    /// A longer time between two checks is a pause.
    duration threshold = std::chrono::seconds(2);
    /// The view is used again after this time in any case: the store and all
    /// other daemons may be down.
    duration max_hold = std::chrono::seconds(1);
  };

  /// `uptime` is the time since the host started, suspended time included.
  pause_guard(options settings, duration uptime)
      : options_(settings), last_uptime_(uptime) {}

  /// Must be called often, and before the view is used. Returns the length of a
  /// pause that has just ended.
  std::optional<duration> check(time_point now, duration uptime);

  /// Whether a pause was noticed and `holds` has not returned false since.
  bool woken() const noexcept { return woken_at_.has_value(); }

  /// Whether the view must not be used yet. `is_fresh` tells whether it was
  /// confirmed since the pause.
  bool holds(time_point now, bool is_fresh);

 private:
  options options_;
  duration last_uptime_;
  std::optional<time_point> woken_at_;
};

}  // namespace medlarloft::tier
