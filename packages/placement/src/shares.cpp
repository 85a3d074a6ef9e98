#include <algorithm>

#include "medlarloft/placement.hpp"

namespace medlarloft::placement {
namespace {

share lower_of(const share& left, const share& right) {
  return {std::min(left.slots, right.slots),
          std::min(left.connections, right.connections),
          std::min(left.cold, right.cold)};
}

}  // namespace

std::uint32_t part_of(std::uint32_t total, std::size_t rank,
                      std::size_t holders) noexcept {
  if (rank >= holders) return 0;
  const auto count = static_cast<std::uint32_t>(holders);
  const std::uint32_t even = total / count;
  return even + (rank < total % count ? 1 : 0);
}

share share_of(const notes::leaf& leaf, const home_set& homes,
               daemon_index self,
               const std::function<bool(daemon_index)>& gone) {
  std::size_t rank = 0;
  std::size_t holders = 0;
  bool is_home = false;
  for (const daemon_index home : homes.daemons()) {
    if (home == self) {
      is_home = true;
      rank = holders;
    } else if (gone(home)) {
      continue;
    }
    ++holders;
  }
  if (!is_home) return {};
  return {.slots = part_of(leaf.slots, rank, holders),
          .connections = part_of(leaf.connections, rank, holders),
          .cold = part_of(leaf.cold.concurrent, rank, holders)};
}

share_ledger::entry share_ledger::merge(time_point now, const entry* known,
                                        const leaf_share& granted) const {
  entry merged{granted.leaf, {}, granted.share, now + hold_off_};
  if (known == nullptr) return merged;
  const bool matured = now >= known->gain_at;
  const share used = matured ? known->granted : known->used;
  merged.used = lower_of(used, granted.share);
  // A gain that is already waiting keeps its time; a new one starts afresh.
  const bool waits_still = !matured && known->granted == granted.share;
  if (waits_still) merged.gain_at = known->gain_at;
  if (merged.used == granted.share) merged.gain_at = now;
  return merged;
}

void share_ledger::grant(time_point now,
                         const std::vector<leaf_share>& granted) {
  std::vector<entry> merged;
  merged.reserve(granted.size());
  for (const leaf_share& one : granted) {
    const auto known =
        std::ranges::lower_bound(entries_, one.leaf, {}, &entry::leaf);
    const bool found = known != entries_.end() && known->leaf == one.leaf;
    merged.push_back(merge(now, found ? &*known : nullptr, one));
  }
  entries_ = std::move(merged);
}

std::vector<leaf_share> share_ledger::usable(time_point now) const {
  std::vector<leaf_share> shares;
  shares.reserve(entries_.size());
  for (const entry& known : entries_) {
    shares.push_back(
        {known.leaf, now >= known.gain_at ? known.granted : known.used});
  }
  return shares;
}

std::optional<time_point> share_ledger::next_change(time_point now) const {
  std::optional<time_point> next;
  for (const entry& known : entries_) {
    if (known.gain_at <= now) continue;
    if (!next || known.gain_at < *next) next = known.gain_at;
  }
  return next;
}

}  // namespace medlarloft::placement
