#include "address_choice.hpp"

#include <algorithm>
#include <iterator>
#include <numeric>

namespace medlarloft::tier {
namespace {

using candidates = std::vector<address_candidate>;

// Returns the large daemons, or all when the large ones are too few or busy.
candidates prefer_large(const candidates& all,
                        const address_choice_options& options) {
  const auto largest = std::ranges::max(
      all, {}, [](const auto& candidate) { return candidate.capacity; });
  candidates large;
  std::ranges::copy_if(all, std::back_inserter(large),
                       [&](const auto& candidate) {
                         return candidate.capacity >=
                                largest.capacity * options.small_capacity_ratio;
                       });
  const double load = std::accumulate(
      large.begin(), large.end(), 0.0,
      [](double sum, const auto& candidate) { return sum + candidate.load; });
  const bool busy =
      load > options.busy_load * static_cast<double>(large.size());
  return busy || large.size() < options.min_local_daemons ? all : large;
}

}  // namespace

std::vector<endpoint> choose_addresses(const candidates& all,
                                       const std::string& data_centre,
                                       const address_choice_options& options) {
  if (all.empty()) return {};
  candidates local;
  std::ranges::copy_if(all, std::back_inserter(local),
                       [&](const auto& candidate) {
                         return candidate.data_centre == data_centre;
                       });
  const candidates& eligible =
      local.size() >= options.min_local_daemons ? local : all;
  std::vector<endpoint> chosen;
  std::ranges::transform(prefer_large(eligible, options),
                         std::back_inserter(chosen),
                         &address_candidate::address);
  if (chosen.size() > options.max_addresses)
    chosen.resize(options.max_addresses);
  return chosen;
}

}  // namespace medlarloft::tier
