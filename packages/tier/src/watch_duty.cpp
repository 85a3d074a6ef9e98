#include "watch_duty.hpp"

#include <algorithm>
#include <cmath>

namespace medlarloft::tier {
namespace {

/// Names the duty when members are ranked.
constexpr std::string_view duty_name = "store";
/// Among so many daemons each is asked by another one every few seconds.
constexpr double few_daemons = 8;

}  // namespace

void watch_duty::heard(time_point now, std::chrono::milliseconds age) {
  if (age == membership::unknown_age) return;
  const time_point at = now - age;
  answered_at_ = std::max(answered_at_.value_or(at), at);
}

void watch_duty::answered(time_point now) {
  answered_at_ = now;
}

std::chrono::milliseconds watch_duty::age(time_point now) const {
  if (!answered_at_) return membership::unknown_age;
  return std::chrono::duration_cast<std::chrono::milliseconds>(now -
                                                               *answered_at_);
}

bool watch_duty::fresh(time_point now) const {
  return answered_at_ && now - *answered_at_ < stale_after_;
}

void watch_duty::set_daemons(std::size_t count) noexcept {
  const double doublings =
      std::log2(std::max(static_cast<double>(count) / few_daemons, 1.0));
  stale_after_ =
      options_.stale_after + std::chrono::duration_cast<duration>(
                                 options_.longer_per_doubling * doublings);
}

bool watch_duty::reads(time_point now, const membership::group& members,
                       const std::string& data_centre, const std::string& id,
                       std::size_t data_centres) {
  const std::size_t each =
      std::max<std::size_t>((options_.least_watchers + data_centres - 1) /
                                std::max<std::size_t>(data_centres, 1),
                            1);
  const auto ranked = members.ranked(data_centre, duty_name);
  const auto first = ranked.begin();
  const auto last =
      first + static_cast<std::ptrdiff_t>(std::min(each, ranked.size()));
  if (now < started_ + options_.first_wait && !answered_at_) return false;
  if (!fresh(now)) {
    stand_in_until_ = now + (answered_at_ ? options_.stand_in_time
                                          : options_.first_stand_in_time);
  }
  if (stand_in_until_ && now < *stand_in_until_) return true;
  return std::find(first, last, id) != last;
}

}  // namespace medlarloft::tier
