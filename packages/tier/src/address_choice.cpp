#include "address_choice.hpp"

#include <algorithm>
#include <iterator>
#include <numeric>

namespace medlarloft::tier {
namespace {

using candidates = std::vector<address_candidate>;

// The large daemons, unless they are too few or have work enough.
candidates large_ones(const candidates& all, const address_rules& rules) {
  const auto greatest =
      std::ranges::max(all, {}, [](const auto& each) { return each.capacity; });
  candidates large;
  std::ranges::copy_if(all, std::back_inserter(large), [&](const auto& each) {
    return each.capacity >= greatest.capacity * rules.small_part;
  });
  const double load = std::accumulate(
      large.begin(), large.end(), 0.0,
      [](double sum, const auto& each) { return sum + each.load; });
  const bool busy = load > rules.busy_load * static_cast<double>(large.size());
  return busy || large.size() < rules.enough_near ? all : large;
}

}  // namespace

std::vector<endpoint> choose_addresses(const candidates& all,
                                       const std::string& data_centre,
                                       const address_rules& rules) {
  if (all.empty()) return {};
  candidates near;
  std::ranges::copy_if(all, std::back_inserter(near), [&](const auto& each) {
    return each.data_centre == data_centre;
  });
  const candidates& chosen_from = near.size() >= rules.enough_near ? near : all;
  std::vector<endpoint> chosen;
  std::ranges::transform(large_ones(chosen_from, rules),
                         std::back_inserter(chosen),
                         &address_candidate::address);
  if (chosen.size() > rules.most) chosen.resize(rules.most);
  return chosen;
}

}  // namespace medlarloft::tier
