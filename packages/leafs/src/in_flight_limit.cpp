#include "in_flight_limit.hpp"

#include <algorithm>

namespace medlarloft::leafs {
namespace {

constexpr double least_value = 0.125;
constexpr double cut_when_shed = 0.5;
/// What the limit rises by for an answer while it is in full use.
constexpr double step = 0.1;

}  // namespace

// One cut for each time that a request takes: those that were sent before the
// last cut say nothing of it.
void in_flight_limit::shed(time_point now, std::size_t in_flight,
                           duration usual) {
  const double used = static_cast<double>(std::max<std::size_t>(in_flight, 1));
  if (now < next_cut_) return;
  value_ = std::max(std::min(value_, used) * cut_when_shed, least_value);
  next_cut_ = now + usual;
  rest(now, usual);
}

void in_flight_limit::answered(time_point now, std::size_t in_flight,
                               duration usual) {
  const double used = static_cast<double>(std::max<std::size_t>(in_flight, 1));
  if (used >= value_) value_ = std::min(value_ + step, most_value);
  rest(now, usual);
}

void in_flight_limit::rest(time_point now, duration usual) {
  if (value_ >= 1) return;
  rests_until_ =
      now + std::chrono::duration_cast<duration>(usual * (1 / value_ - 1));
}

bool in_flight_limit::admits(time_point now, std::size_t in_flight,
                             std::size_t most) const noexcept {
  if (in_flight == 0) return now >= rests_until_;
  return in_flight < most && static_cast<double>(in_flight + 1) <= value_;
}

double in_flight_limit::places(std::size_t most) const noexcept {
  return std::min(value_, static_cast<double>(most));
}

}  // namespace medlarloft::leafs
