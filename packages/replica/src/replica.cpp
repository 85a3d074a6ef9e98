#include "medlarloft/replica.hpp"

#include <algorithm>
#include <set>

namespace medlarloft::replica {

std::vector<update> store_copy::apply(time_point now,
                                      const std::vector<change>& changes,
                                      revision up_to) {
  std::vector<update> updates;
  for (const change& each : changes)
    apply_change(now, each, updates);
  last_revision_ = std::max(last_revision_, up_to);
  prune_tombstones();
  return updates;
}

std::vector<update> store_copy::apply_listing(
    time_point now, const std::vector<change>& listing, revision as_of) {
  std::vector<update> updates;
  std::set<std::string_view> listed;
  for (const change& each : listing) {
    listed.insert(each.key);
    apply_change(now, each, updates);
  }
  for (auto& [key, stored] : records_) {
    const bool missing = stored.value && stored.changed_revision <= as_of &&
                         !stored.remove_at && !listed.contains(key);
    if (!missing) continue;
    stored.changed_revision = as_of;
    remove(now, key, stored, updates);
  }
  // This copy does not know what was removed before the listing, so that every
  // peer that is further behind needs a full listing.
  pruned_up_to_ = std::max(pruned_up_to_, as_of);
  last_revision_ = std::max(last_revision_, as_of);
  return updates;
}

void store_copy::apply_change(time_point now, const change& incoming,
                              std::vector<update>& updates) {
  record& stored = records_[incoming.key];
  if (incoming.changed_revision <= stored.changed_revision) return;
  stored.changed_revision = incoming.changed_revision;
  if (!incoming.value) {
    if (stored.value && !stored.remove_at)
      remove(now, incoming.key, stored, updates);
    return;
  }
  stored.remove_at.reset();
  stored.value = incoming.value;
  updates.push_back({incoming.key, incoming.value});
}

void store_copy::remove(time_point now, const std::string& key, record& stored,
                        std::vector<update>& updates) {
  const duration delay = removal_delay_for(now, key);
  if (delay > duration::zero()) {
    stored.remove_at = now + delay;
    return;
  }
  stored.value.reset();
  updates.push_back({key, std::nullopt});
}

duration store_copy::removal_delay_for(time_point now,
                                       std::string_view key) const {
  const bool immediate = !options_.immediate_prefix.empty() &&
                         key.starts_with(options_.immediate_prefix);
  if (immediate) return duration::zero();
  const bool during_outage =
      store_unreachable_ ||
      (reachable_since_ && now < *reachable_since_ + options_.outage_grace);
  return during_outage ? options_.outage_removal_delay : options_.removal_delay;
}

void store_copy::set_store_reachable(time_point now, bool reachable) {
  if (store_unreachable_ && reachable) {
    reachable_since_ = now;
    for (auto& [key, stored] : records_) {
      if (stored.remove_at)
        stored.remove_at = now + options_.outage_removal_delay;
    }
  }
  store_unreachable_ = !reachable;
}

std::vector<update> store_copy::tick(time_point now) {
  std::vector<update> updates;
  // No record can be registered again while the store is unreachable.
  if (store_unreachable_) return updates;
  for (auto& [key, stored] : records_) {
    if (!stored.remove_at || now < *stored.remove_at) continue;
    stored.remove_at.reset();
    stored.value.reset();
    updates.push_back({key, std::nullopt});
  }
  return updates;
}

std::optional<time_point> store_copy::next_tick() const {
  if (store_unreachable_) return std::nullopt;
  std::optional<time_point> next;
  for (const auto& [key, stored] : records_) {
    if (stored.remove_at)
      next = std::min(next.value_or(*stored.remove_at), *stored.remove_at);
  }
  return next;
}

store_copy::delta store_copy::changes_since(revision known_revision) const {
  delta result{.last_revision = last_revision_,
               .listing = known_revision < pruned_up_to_};
  for (const auto& [key, stored] : records_) {
    const bool removed = !stored.value || stored.remove_at;
    if (result.listing && removed) continue;
    if (!result.listing && stored.changed_revision <= known_revision) continue;
    result.changes.push_back(
        {key, stored.changed_revision, removed ? std::nullopt : stored.value});
  }
  return result;
}

void store_copy::prune_tombstones() {
  const auto is_tombstone = [](const auto& entry) {
    return !entry.second.value;
  };
  const auto count =
      static_cast<std::size_t>(std::ranges::count_if(records_, is_tombstone));
  if (count <= options_.max_tombstones) return;
  for (auto entry = records_.begin(); entry != records_.end();) {
    if (!is_tombstone(*entry)) {
      ++entry;
      continue;
    }
    pruned_up_to_ = std::max(pruned_up_to_, entry->second.changed_revision);
    entry = records_.erase(entry);
  }
}

}  // namespace medlarloft::replica
