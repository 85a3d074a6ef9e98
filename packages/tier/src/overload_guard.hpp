#pragma once

/// Refuses requests while this daemon is overloaded, least urgent ones first,
/// since an answer would be late. No I/O; time is measured by the caller.

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string_view>

#include "medlarloft/base.hpp"

namespace medlarloft::tier {

class overload_guard {
 public:
  struct options {
    /// Level 1 begins at this lag of the event loop; each further level at
    /// twice the lag of the one before.
    duration first_lag = std::chrono::milliseconds(50);
    /// The lag that counts is the least of this many samples: a process that
    /// was paused once, or gets its processor time in slices, has short lags
    /// between long ones.
    std::size_t samples = 4;
    /// Level 1 also begins at this load, and ends below `calm_load`.
    double busy_load = 0.95;
    double calm_load = 0.85;
    duration min_retry_after = std::chrono::milliseconds(200);
    duration max_retry_after = std::chrono::seconds(1);
  };

  static constexpr std::uint32_t max_level = 4;

  explicit overload_guard(options settings) : options_(settings) {}

  /// Adds how late a timer of the event loop was.
  void add_lag(duration lag);
  /// Sets the fraction of the host's processor time or link in use.
  void set_load(double load) noexcept;

  /// From 0, not overloaded, to `max_level`.
  std::uint32_t level() const;
  /// The lag that counts.
  duration lag() const;

  /// Returns the retry delay if a request is to be refused, nothing if it is
  /// admitted. A higher priority is less urgent; `lowest` is that of the least
  /// urgent requests. Some requests of each priority are always admitted.
  std::optional<duration> refuse(std::uint32_t priority, std::uint32_t lowest,
                                 std::string_view request_id);

 private:
  options options_;
  std::deque<duration> lags_;
  bool busy_ = false;
  /// Requests subject to refusal so far, by priority.
  std::map<std::uint32_t, std::uint32_t> turns_;
};

}  // namespace medlarloft::tier
