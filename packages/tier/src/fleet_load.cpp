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

void fleet_load::update_own(time_point now, const usage& used) {
  const double elapsed =
      std::chrono::duration<double>(now - measured_at_).count();
  if (elapsed > 0) {
    const auto rate = [elapsed](std::uint64_t after, std::uint64_t before) {
      return static_cast<double>(after - before) / elapsed;
    };
    const double cores_used =
        rate(used.leaf_requests, measured_.leaf_requests) *
        std::chrono::duration<double>(leaf_request_cost).count();
    double load = cores_used * load_units / options_.capacity;
    if (options_.link_rate > 0) {
      load = std::max(
          {load, rate(used.bytes_in, measured_.bytes_in) / options_.link_rate,
           rate(used.bytes_out, measured_.bytes_out) / options_.link_rate});
    }
    double& average = loads_[options_.id];
    average += sample_weight * (std::min(load, 1.0) - average);
  }
  measured_ = used;
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
