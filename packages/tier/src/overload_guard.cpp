#include "overload_guard.hpp"

#include <algorithm>

namespace medlarloft::tier {
namespace {

/// Of the requests at the urgency at which refusals begin, and of the less
/// urgent ones, one in this many is admitted.
constexpr std::uint32_t admitted_at_limit = 2;
constexpr std::uint32_t admitted_beyond = 8;
/// Requests wait for several lags: for reading, for each leaf and for writing.
constexpr int retry_lags = 4;

// Returns the most urgent priority that is refused at a level from 1 on.
std::uint32_t refused_from(std::uint32_t level, std::uint32_t lowest) {
  if (level == 1) return lowest;
  return level == 2 ? (lowest + 1) / 2 : 0;
}

}  // namespace

void overload_guard::add_lag(duration lag) {
  lags_.push_back(std::max(lag, duration::zero()));
  if (lags_.size() > options_.samples) lags_.pop_front();
}

void overload_guard::set_load(double load) noexcept {
  busy_ = load >= (busy_ ? options_.calm_load : options_.busy_load);
}

duration overload_guard::lag() const {
  if (lags_.size() < options_.samples) return duration::zero();
  return std::ranges::min(lags_);
}

std::uint32_t overload_guard::level() const {
  std::uint32_t level = 0;
  for (duration limit = options_.first_lag; level < max_level && lag() >= limit;
       limit *= 2)
    ++level;
  return std::max(level, busy_ ? 1U : 0U);
}

std::optional<duration> overload_guard::refuse(std::uint32_t priority,
                                               std::uint32_t lowest,
                                               std::string_view request_id) {
  const std::uint32_t now_level = level();
  if (now_level == 0) return std::nullopt;
  const std::uint32_t limit = refused_from(now_level, lowest);
  if (priority < limit) return std::nullopt;
  const bool at_limit = priority == limit && now_level < max_level;
  const std::uint32_t divisor = at_limit ? admitted_at_limit : admitted_beyond;
  if (turns_[priority]++ % divisor == 0) return std::nullopt;
  const duration delay = std::clamp(
      lag() * retry_lags, options_.min_retry_after, options_.max_retry_after);
  // Callers that were refused together should not return together.
  random_generator random(hash64(request_id));
  return delay + random.below(delay / 2);
}

}  // namespace medlarloft::tier
