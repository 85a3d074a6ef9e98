#include "quota_calculator.hpp"

#include <algorithm>
#include <iterator>
#include <numeric>
#include <utility>

namespace medlarloft::tier {

void quota_calculator::set_reachable(time_point now, const std::string& id,
                                     std::uint32_t capacity) {
  const bool added =
      daemons_.insert_or_assign(id, daemon{capacity, now}).second;
  if (added) on_members_changed();
}

void quota_calculator::on_members_changed() {
  ++members_version_;
  ids_.reset();
}

void quota_calculator::remove_expired(time_point now) {
  const auto removed = std::erase_if(daemons_, [this, now](const auto& entry) {
    return now - entry.second.last_reachable > options_.removal_delay;
  });
  if (removed > 0) on_members_changed();
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

std::function<std::size_t(std::string_view)> quota_calculator::daemon_order() {
  if (!ids_) {
    std::vector<std::string> ids;
    std::ranges::transform(daemons_, std::back_inserter(ids),
                           [](const auto& entry) { return entry.first; });
    ids_ = std::make_shared<const std::vector<std::string>>(std::move(ids));
  }
  return [own_id = options_.id, ids = ids_](std::string_view leaf) {
    const std::uint64_t leaf_hash = hash64(leaf);
    const std::uint64_t own_hash = hash64(own_id, leaf_hash);
    return static_cast<std::size_t>(
        std::ranges::count_if(*ids, [&](const std::string& id) {
          return hash64(id, leaf_hash) < own_hash;
        }));
  };
}

}  // namespace medlarloft::tier
