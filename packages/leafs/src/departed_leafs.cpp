#include "departed_leafs.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace medlarloft::leafs {

bool same_start(const leaf_registration& a, const leaf_registration& b) {
  return a.id == b.id && a.start_id == b.start_id && a.address == b.address &&
         a.service == b.service;
}

void departed_leafs::add(
    time_point now, leaf_handle leaf,
    std::shared_ptr<const leaf_registration> registration) {
  entries_.push_back({now, leaf, std::move(registration)});
  const auto added = std::prev(entries_.end());
  by_id_.emplace(added->registration->id, added);
}

std::optional<leaf_handle> departed_leafs::take(
    const leaf_registration& registration) {
  if (registration.start_id == 0) return std::nullopt;
  const auto found = find(registration);
  if (found == by_id_.end()) return std::nullopt;
  const leaf_handle leaf = found->second->leaf;
  entries_.erase(found->second);
  by_id_.erase(found);
  return leaf;
}

std::vector<leaf_handle> departed_leafs::take_expired(time_point now) {
  std::vector<leaf_handle> expired;
  while (!entries_.empty()) {
    const entry& oldest = entries_.front();
    const bool kept = now < oldest.departed_at + options_.kept_for &&
                      entries_.size() <= options_.max_count;
    if (kept) break;
    expired.push_back(oldest.leaf);
    by_id_.erase(find(*oldest.registration));
    entries_.pop_front();
  }
  return expired;
}

// A start is added once it departed and taken when it returns, so that there is
// at most one entry of it.
departed_leafs::index::iterator departed_leafs::find(
    const leaf_registration& registration) {
  const auto [begin, end] = by_id_.equal_range(registration.id);
  const auto found = std::find_if(begin, end, [&](const auto& each) {
    return same_start(*each.second->registration, registration);
  });
  return found == end ? by_id_.end() : found;
}

}  // namespace medlarloft::leafs
