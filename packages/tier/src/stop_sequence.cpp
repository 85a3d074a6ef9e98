#include "stop_sequence.hpp"

#include <algorithm>

namespace medlarloft::tier {
namespace {

/// Time at the end for requests that began before the refusing.
constexpr duration drain_time = std::chrono::milliseconds(1700);
/// The process is gone this long before it would be killed.
constexpr duration end_margin = std::chrono::milliseconds(400);
/// The last answers are on their way for so long.
constexpr duration flush_time = std::chrono::milliseconds(200);

}  // namespace

void stop_sequence::begin(time_point now) {
  if (begun_) return;
  begun_ = true;
  began_ = now;
}

time_point stop_sequence::refuse_at() const {
  const duration longest =
      std::max(options_.within - drain_time, options_.within / 2);
  return began_ + std::min(options_.kept_addresses, longest);
}

time_point stop_sequence::last_answer() const {
  return began_ + options_.within - end_margin - flush_time;
}

stop_phase stop_sequence::phase(time_point now, std::size_t open) const {
  if (!begun_) return stop_phase::running;
  if (now < refuse_at()) return stop_phase::serving;
  const bool flushed = now >= refuse_at() + flush_time;
  if (open == 0 && flushed) return stop_phase::ended;
  return now < last_answer() + flush_time ? stop_phase::refusing
                                          : stop_phase::ended;
}

}  // namespace medlarloft::tier
