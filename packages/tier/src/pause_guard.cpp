#include "pause_guard.hpp"

#include <utility>

namespace medlarloft::tier {

std::optional<duration> pause_guard::check(time_point now, duration uptime) {
  const duration elapsed = uptime - std::exchange(last_uptime_, uptime);
  if (elapsed <= options_.threshold) return std::nullopt;
  woken_at_ = now;
  return elapsed;
}

bool pause_guard::holds(time_point now, bool is_fresh) {
  if (!woken_at_) return false;
  if (is_fresh || now >= *woken_at_ + options_.max_hold) woken_at_.reset();
  return woken_at_.has_value();
}

}  // namespace medlarloft::tier
