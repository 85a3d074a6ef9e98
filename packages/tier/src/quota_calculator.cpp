#include "quota_calculator.hpp"

#include <algorithm>
#include <numeric>

namespace medlarloft::tier {

void quota_calculator::set_reachable(time_point now, const std::string& id,
                                     std::uint32_t capacity) {
  daemons_[id] = {capacity, now};
}

void quota_calculator::remove_expired(time_point now) {
  std::erase_if(daemons_, [this, now](const auto& entry) {
    return now - entry.second.last_reachable > options_.removal_delay;
  });
  const double total = total_capacity();
  const bool peak_expired = now - peak_at_ > options_.peak_retention;
  if (total < peak_capacity_ && !peak_expired) return;
  peak_capacity_ = total;
  peak_at_ = now;
}

double quota_calculator::total_capacity() const {
  const double own_capacity = std::max(options_.capacity, 1U);
  // A daemon that reports no capacity is counted with the capacity of this one.
  const double total = std::accumulate(
      daemons_.begin(), daemons_.end(), 0.0,
      [own_capacity](double sum, const auto& entry) {
        const std::uint32_t reported = entry.second.capacity;
        return sum +
               (reported == 0 ? own_capacity : static_cast<double>(reported));
      });
  return std::max(total, own_capacity * options_.min_fleet_size);
}

double quota_calculator::fraction() const {
  return std::max(options_.capacity, 1U) / total_capacity();
}

double quota_calculator::rate_fraction() const {
  return std::max(options_.capacity, 1U) /
         std::max(peak_capacity_, total_capacity());
}

double quota_calculator::connection_fraction(time_point now) const {
  const bool starting = now < options_.started_at + options_.startup_period;
  return fraction() * (starting ? options_.startup_fraction : 1.0);
}

std::size_t quota_calculator::daemon_index(std::string_view leaf) const {
  const std::uint64_t own_hash = hash64(options_.id, hash64(leaf));
  return static_cast<std::size_t>(
      std::ranges::count_if(daemons_, [leaf, own_hash](const auto& entry) {
        return hash64(entry.first, hash64(leaf)) < own_hash;
      }));
}

}  // namespace medlarloft::tier
