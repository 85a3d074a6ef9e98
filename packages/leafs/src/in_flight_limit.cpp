#include "in_flight_limit.hpp"

#include <algorithm>

namespace medlarloft::leafs {
namespace {

constexpr double min_limit = 0.125;
constexpr double decrease_factor = 0.5;
/// Increase per answered request while the limit is fully used.
constexpr double increase_step = 0.1;

}  // namespace

// Decreases the limit at most once per `expected_time`: requests that were sent
// before the last decrease don't show its effect.
void in_flight_limit::on_shed(time_point now, std::size_t in_flight,
                              duration expected_time) {
  const double used = static_cast<double>(std::max<std::size_t>(in_flight, 1));
  if (now < next_decrease_) return;
  limit_ = std::max(std::min(limit_, used) * decrease_factor, min_limit);
  next_decrease_ = now + expected_time;
  pause(now, expected_time);
}

void in_flight_limit::on_answered(time_point now, std::size_t in_flight,
                                  duration expected_time) {
  const double used = static_cast<double>(std::max<std::size_t>(in_flight, 1));
  if (used >= limit_) limit_ = std::min(limit_ + increase_step, max_limit);
  pause(now, expected_time);
}

void in_flight_limit::pause(time_point now, duration expected_time) {
  if (limit_ >= 1) return;
  paused_until_ = now + std::chrono::duration_cast<duration>(expected_time *
                                                             (1 / limit_ - 1));
}

bool in_flight_limit::admits(time_point now, std::size_t in_flight,
                             std::size_t static_limit) const noexcept {
  if (in_flight == 0) return now >= paused_until_;
  return in_flight < static_limit &&
         static_cast<double>(in_flight + 1) <= limit_;
}

double in_flight_limit::average_in_flight(
    std::size_t static_limit) const noexcept {
  return std::min(limit_, static_cast<double>(static_limit));
}

}  // namespace medlarloft::leafs
