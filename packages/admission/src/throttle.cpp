#include <algorithm>
#include <cmath>

#include "medlarloft/admission.hpp"

namespace medlarloft::admission {

throttle::counts& throttle::decayed(time_point now, service_class priority) {
  counts& known = counts_[static_cast<std::size_t>(priority)];
  if (known.last == time_point{}) known.last = now;
  if (now <= known.last) return known;
  const double halvings =
      std::chrono::duration<double>(now - known.last).count() /
      std::chrono::duration<double>(options_.half_life).count();
  const double factor = std::exp2(-halvings);
  known.tries *= factor;
  known.successes *= factor;
  known.last = now;
  return known;
}

bool throttle::admit(time_point now, service_class priority, double draw) {
  counts& known = decayed(now, priority);
  if (known.tries < options_.min_tries) return true;
  const auto index = static_cast<std::size_t>(priority);
  const double refuse =
      (known.tries - options_.tries_per_success[index] * known.successes) /
      (known.tries + 1.0);
  const bool admitted =
      draw >= std::clamp(refuse, 0.0, options_.max_refused_fraction[index]);
  if (!admitted) known.tries += 1.0;
  return admitted;
}

void throttle::record(time_point now, service_class priority, bool success) {
  counts& known = decayed(now, priority);
  known.tries += 1.0;
  if (success) known.successes += 1.0;
}

}  // namespace medlarloft::admission
