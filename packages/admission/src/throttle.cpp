#include <algorithm>
#include <cmath>

#include "medlarloft/admission.hpp"

namespace medlarloft::admission {

throttle::counters& throttle::decayed(time_point now, service_class priority) {
  counters& state = counters_[static_cast<std::size_t>(priority)];
  if (state.updated_at == time_point{}) state.updated_at = now;
  if (now <= state.updated_at) return state;
  const double halvings =
      std::chrono::duration<double>(now - state.updated_at).count() /
      std::chrono::duration<double>(options_.half_life).count();
  const double factor = std::exp2(-halvings);
  state.tries *= factor;
  state.successes *= factor;
  state.updated_at = now;
  return state;
}

bool throttle::admit(time_point now, service_class priority,
                     double random_unit) {
  counters& state = decayed(now, priority);
  if (state.tries < options_.min_tries) return true;
  const auto index = static_cast<std::size_t>(priority);
  const double refused_fraction =
      (state.tries - options_.tries_per_success[index] * state.successes) /
      (state.tries + 1.0);
  const bool admitted =
      random_unit >=
      std::clamp(refused_fraction, 0.0, options_.max_refused_fraction[index]);
  if (!admitted) state.tries += 1.0;
  return admitted;
}

void throttle::record(time_point now, service_class priority, bool success) {
  counters& state = decayed(now, priority);
  state.tries += 1.0;
  if (success) state.successes += 1.0;
}

}  // namespace medlarloft::admission
