#include "store_read_timing.hpp"

#include <algorithm>

namespace medlarloft::tier {
namespace {

/// Fractions of a propagation limit that the pause may use. The rest is for the
/// call, for the distribution to the other daemons and for requests in transit.
constexpr double leaf_limit_fraction = 0.6;
constexpr double configuration_limit_fraction = 0.4;
/// Changes made together are returned by one call.
constexpr duration min_pause = std::chrono::milliseconds(120);
/// Less than half of `max_stale_after`, after which other daemons read the
/// store themselves.
constexpr duration max_pause = std::chrono::milliseconds(2000);

/// Part of a propagation limit that a daemon needs to start reading and to
/// distribute what it read.
constexpr duration takeover_reserve = std::chrono::milliseconds(600);
constexpr duration max_stale_after = std::chrono::milliseconds(4500);
constexpr duration min_stale_after = std::chrono::milliseconds(1200);
/// A silent store goes unnoticed while a call is open; this bounds the time.
constexpr duration max_long_poll_timeout = std::chrono::milliseconds(2000);
/// Time for a call to the store and for the report of its answer.
constexpr duration report_travel_time = std::chrono::milliseconds(300);

duration scaled(duration value, double factor) {
  return std::chrono::duration_cast<duration>(value * factor);
}

}  // namespace

duration pause_after_changes(const propagation_limits& limits) noexcept {
  const duration leaf_pause =
      scaled(limits.leaf_leaves - record_removal_delay, leaf_limit_fraction);
  const duration configuration_pause =
      scaled(limits.configuration, configuration_limit_fraction);
  return std::clamp(std::min(leaf_pause, configuration_pause), min_pause,
                    max_pause);
}

duration stale_after(const propagation_limits& limits) noexcept {
  return std::clamp(limits.configuration - takeover_reserve, min_stale_after,
                    max_stale_after);
}

duration long_poll_timeout(const propagation_limits& limits) noexcept {
  return std::min(
      stale_after(limits) - pause_after_changes(limits) - report_travel_time,
      max_long_poll_timeout);
}

}  // namespace medlarloft::tier
