#include "steady_slowness.hpp"

#include <cmath>

namespace medlarloft::leafs {
namespace {

/// The value counts as if so many responses had taken the usual time. Below, a
/// few responses move it as much as the speeds of leafs differ.
constexpr double prior_count = 8;
/// Longer than a temporary slowdown, so that it changes the value little.
constexpr duration half_life = std::chrono::seconds(20);

}  // namespace

double steady_slowness::remaining(time_point now) const {
  return std::exp2(-std::chrono::duration<double>(now - updated_at_) /
                   half_life);
}

void steady_slowness::add(time_point now, double factor) {
  const double kept = remaining(now);
  count_ = count_ * kept + 1;
  sum_ = sum_ * kept + factor;
  updated_at_ = now;
}

double steady_slowness::value(time_point now) const {
  const double kept = remaining(now);
  return (prior_count + sum_ * kept) / (prior_count + count_ * kept);
}

}  // namespace medlarloft::leafs
