#include "medlarloft/timeline.hpp"

namespace medlarloft::timeline {
namespace {

std::uint64_t microseconds_of(wall_time now) {
  return static_cast<std::uint64_t>(now.time_since_epoch().count());
}

}  // namespace

hybrid_timestamp hybrid_clock::tick(wall_time now) {
  const std::lock_guard<std::mutex> guard(mutex_);
  if (microseconds_of(now) > last_.wall) {
    last_ = {microseconds_of(now), 0};
  } else {
    ++last_.logical;
  }
  return last_;
}

bool hybrid_clock::merge(wall_time now, hybrid_timestamp remote) {
  const std::uint64_t limit = microseconds_of(
      now + std::chrono::duration_cast<wall_time::duration>(max_drift));
  if (remote.wall > limit) return false;
  const std::lock_guard<std::mutex> guard(mutex_);
  if (remote > last_) last_ = remote;
  if (microseconds_of(now) > last_.wall) last_ = {microseconds_of(now), 0};
  return true;
}

}  // namespace medlarloft::timeline
