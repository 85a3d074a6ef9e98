#include "stop_sequence.hpp"

#include <algorithm>

namespace medlarloft::tier {
namespace {

/// Time at the end to complete the requests accepted before refusing.
constexpr duration drain_time = std::chrono::milliseconds(1700);
/// The process ends this long before it would be killed.
constexpr duration end_margin = std::chrono::milliseconds(400);
/// Time for the last responses to be sent.
constexpr duration flush_time = std::chrono::milliseconds(200);

}  // namespace

void stop_sequence::begin(time_point now) {
  if (begun_) return;
  begun_ = true;
  began_at_ = now;
}

time_point stop_sequence::refuse_at() const {
  const duration max_serving_time =
      std::max(options_.stop_within - drain_time, options_.stop_within / 2);
  return began_at_ + std::min(options_.address_ttl, max_serving_time);
}

time_point stop_sequence::answer_deadline() const {
  return began_at_ + options_.stop_within - end_margin - flush_time;
}

stop_phase stop_sequence::phase(time_point now,
                                std::size_t active_requests) const {
  if (!begun_) return stop_phase::running;
  if (now < refuse_at()) return stop_phase::serving;
  const bool responses_sent = now >= refuse_at() + flush_time;
  if (active_requests == 0 && responses_sent) return stop_phase::ended;
  return now < answer_deadline() + flush_time ? stop_phase::refusing
                                              : stop_phase::ended;
}

}  // namespace medlarloft::tier
