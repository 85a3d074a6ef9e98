#include <algorithm>

#include "medlarloft/backends.hpp"

namespace medlarloft::backends {

std::uint32_t connection_policy::counted_lost(time_point now) {
  std::erase_if(lost_until_, [now](time_point until) { return until <= now; });
  return static_cast<std::uint32_t>(lost_until_.size());
}

bool connection_policy::should_open(time_point now, std::uint32_t in_use,
                                    std::uint32_t idle, std::uint32_t opening) {
  const std::uint32_t held = in_use + idle + opening + counted_lost(now);
  if (held >= limit_) return false;
  if (idle + opening >= options_.spare) return false;
  return now >= next_opening_;
}

void connection_policy::opened(time_point now) {
  next_opening_ = now + std::chrono::duration_cast<duration>(
                            options_.connection_cost * options_.spacing);
}

void connection_policy::went_silent(time_point now) {
  lost_until_.push_back(now + options_.lost_counts_for);
}

}  // namespace medlarloft::backends
