#include "fleet_load.hpp"

#include <algorithm>

namespace medlarloft::tier {
namespace {

/// Processor time that one request to a leaf costs in all, on a core of usual
/// speed; docs/MEASUREMENTS.md.
constexpr duration leaf_request_cost = std::chrono::microseconds(90);
/// Weight of the newest sample in the moving average.
constexpr double sample_weight = 0.3;
/// Loads are reported in thousandths.
constexpr double load_units = 1000.0;

}  // namespace

void fleet_load::update_own(time_point now, std::uint64_t leaf_requests) {
  const duration elapsed = now - measured_at_;
  if (elapsed > duration::zero()) {
    const double cores_used =
        static_cast<double>(leaf_requests - measured_requests_) *
        std::chrono::duration<double>(leaf_request_cost) /
        std::chrono::duration<double>(elapsed);
    const double load = cores_used * load_units / options_.capacity;
    double& average = loads_[options_.id];
    average += sample_weight * (std::min(load, 1.0) - average);
  }
  measured_requests_ = leaf_requests;
  measured_at_ = now;
}

void fleet_load::set_reported(const std::string& id,
                              std::uint16_t thousandths) {
  loads_[id] = thousandths / load_units;
}

std::uint16_t fleet_load::own_thousandths() const {
  return static_cast<std::uint16_t>(of(options_.id) * load_units);
}

double fleet_load::of(const std::string& id) const {
  const auto found = loads_.find(id);
  return found == loads_.end() ? 0.0 : found->second;
}

void fleet_load::retain(
    const std::function<bool(const std::string& id)>& is_known) {
  std::erase_if(loads_, [&is_known](const auto& entry) {
    return !is_known(entry.first);
  });
}

}  // namespace medlarloft::tier
