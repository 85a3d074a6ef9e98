#include "medlarloft/timeline.hpp"

namespace medlarloft::timeline {
namespace {

std::uint64_t micros(wall_time now) {
  return static_cast<std::uint64_t>(now.time_since_epoch().count());
}

}  // namespace

stamp hybrid_clock::tick(wall_time now) {
  const std::lock_guard<std::mutex> guard(mutex_);
  if (micros(now) > last_.wall) {
    last_ = {micros(now), 0};
  } else {
    ++last_.logical;
  }
  return last_;
}

bool hybrid_clock::merge(wall_time now, stamp remote) {
  const std::uint64_t limit =
      micros(now + std::chrono::duration_cast<wall_time::duration>(max_drift));
  if (remote.wall > limit) return false;
  const std::lock_guard<std::mutex> guard(mutex_);
  if (remote > last_) last_ = remote;
  if (micros(now) > last_.wall) last_ = {micros(now), 0};
  return true;
}

}  // namespace medlarloft::timeline
