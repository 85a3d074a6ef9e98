#include "read_pace.hpp"

#include <algorithm>

namespace medlarloft::tier {
namespace {

/// Parts of a bound that the pause may use; the rest is for the call, for the
/// way to the other daemons and for requests that are on their way.
constexpr double part_of_leaf_bound = 0.6;
constexpr double part_of_configuration_bound = 0.4;
/// Changes that are made together share a call.
constexpr duration shortest_pause = std::chrono::milliseconds(120);
/// Half of what other daemons wait before they read by themselves.
constexpr duration longest_pause = std::chrono::milliseconds(2000);

/// What is left of a bound for a daemon that begins to read, and for the way to
/// the others.
constexpr duration reading_begins_within = std::chrono::milliseconds(600);
constexpr duration longest_stale = std::chrono::milliseconds(4500);
constexpr duration shortest_stale = std::chrono::milliseconds(1200);
/// An open connection to a silent store proves nothing for longer.
constexpr duration longest_wait = std::chrono::milliseconds(2000);
/// The way of a call and of word of its answer.
constexpr duration word_travels = std::chrono::milliseconds(300);

duration scaled(duration value, double factor) {
  return std::chrono::duration_cast<duration>(value * factor);
}

}  // namespace

duration read_pause(const propagation_deadlines& bounds) noexcept {
  const duration for_leafs =
      scaled(bounds.leaf_leaves - removal_hold, part_of_leaf_bound);
  const duration for_configuration =
      scaled(bounds.configuration, part_of_configuration_bound);
  return std::clamp(std::min(for_leafs, for_configuration), shortest_pause,
                    longest_pause);
}

duration stale_after(const propagation_deadlines& bounds) noexcept {
  return std::clamp(bounds.configuration - reading_begins_within,
                    shortest_stale, longest_stale);
}

duration read_wait(const propagation_deadlines& bounds) noexcept {
  return std::min(stale_after(bounds) - read_pause(bounds) - word_travels,
                  longest_wait);
}

}  // namespace medlarloft::tier
