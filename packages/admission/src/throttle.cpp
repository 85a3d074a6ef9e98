#include <algorithm>
#include <cmath>

#include "medlarloft/admission.hpp"

namespace medlarloft::admission {

void throttle::decay(time_point now) {
  if (last_ == time_point{}) last_ = now;
  if (now <= last_) return;
  const double halvings =
      std::chrono::duration<double>(now - last_).count() /
      std::chrono::duration<double>(options_.half_life).count();
  const double factor = std::exp2(-halvings);
  tries_ *= factor;
  successes_ *= factor;
  last_ = now;
}

bool throttle::admit(time_point now, service_class priority, double draw) {
  decay(now);
  if (tries_ < options_.min_tries) return true;
  const double tolerance =
      options_.tolerance[static_cast<std::size_t>(priority)];
  const double refuse = (tries_ - tolerance * successes_) / (tries_ + 1.0);
  const double most = options_.most_refused[static_cast<std::size_t>(priority)];
  return draw >= std::clamp(refuse, 0.0, most);
}

void throttle::record(time_point now, bool success) {
  decay(now);
  tries_ += 1.0;
  if (success) successes_ += 1.0;
}

}  // namespace medlarloft::admission
