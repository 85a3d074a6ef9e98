#include "fleet_share.hpp"

#include <algorithm>
#include <numeric>

namespace medlarloft::tier {

void fleet_share::seen(time_point now, const std::string& id,
                       std::uint32_t capacity) {
  seen_[id] = {capacity, now};
}

void fleet_share::expire(time_point now) {
  std::erase_if(seen_, [this, now](const auto& entry) {
    return now - entry.second.at > options_.gone_counts_for;
  });
}

double fleet_share::part() const {
  const double own = std::max(options_.capacity, 1U);
  // A daemon that does not say its capacity counts as one like this.
  const double all = std::accumulate(
      seen_.begin(), seen_.end(), 0.0, [own](double sum, const auto& entry) {
        const std::uint32_t told = entry.second.capacity;
        return sum + (told == 0 ? own : static_cast<double>(told));
      });
  return own / std::max(all, own * options_.least_fleet);
}

double fleet_share::connection_part(time_point now) const {
  const bool young = now < options_.started + options_.young_for;
  return part() * (young ? options_.young_part : 1.0);
}

std::size_t fleet_share::rank(std::string_view leaf) const {
  const std::uint64_t own = hash64(options_.id, hash64(leaf));
  return static_cast<std::size_t>(
      std::ranges::count_if(seen_, [leaf, own](const auto& entry) {
        return hash64(entry.first, hash64(leaf)) < own;
      }));
}

}  // namespace medlarloft::tier
