#include "fleet_load.hpp"

#include <algorithm>

namespace medlarloft::tier {
namespace {

/// Processor time of a request to a leaf with all that belongs to it, on a core
/// of usual speed; docs/MEASUREMENTS.md.
constexpr duration leaf_request_cost = std::chrono::microseconds(90);
/// Weight of the newest estimate.
constexpr double load_weight = 0.3;
/// Loads are told in thousandths.
constexpr double load_units = 1000.0;

}  // namespace

void fleet_load::measure(time_point now, std::uint64_t leaf_requests) {
  const duration passed = now - measured_at_;
  if (passed > duration::zero()) {
    const double used = static_cast<double>(leaf_requests - measured_) *
                        std::chrono::duration<double>(leaf_request_cost) /
                        std::chrono::duration<double>(passed);
    const double share = used * load_units / options_.capacity;
    double& known = loads_[options_.id];
    known += load_weight * (std::min(share, 1.0) - known);
  }
  measured_ = leaf_requests;
  measured_at_ = now;
}

void fleet_load::heard(const std::string& id, std::uint16_t thousandths) {
  loads_[id] = thousandths / load_units;
}

std::uint16_t fleet_load::told() const {
  return static_cast<std::uint16_t>(of(options_.id) * load_units);
}

double fleet_load::of(const std::string& id) const {
  const auto found = loads_.find(id);
  return found == loads_.end() ? 0.0 : found->second;
}

void fleet_load::keep(const std::function<bool(const std::string& id)>& known) {
  std::erase_if(loads_,
                [&known](const auto& entry) { return !known(entry.first); });
}

}  // namespace medlarloft::tier
