#include "medlarloft/replica.hpp"

#include <algorithm>
#include <set>

namespace medlarloft::replica {

std::vector<update> store_copy::apply(time_point now,
                                      const std::vector<change>& changes,
                                      position up_to) {
  std::vector<update> updates;
  if (up_to.era() != last_position_.era()) return updates;
  for (const change& each : changes)
    apply_change(now, each, updates);
  last_position_ = std::max(last_position_, up_to);
  prune_tombstones();
  return updates;
}

std::vector<update> store_copy::apply_listing(
    time_point now, const std::vector<change>& listing, position as_of) {
  std::vector<update> updates;
  if (as_of.era() < last_position_.era()) return updates;
  const bool empty = last_position_ == position{};
  if (as_of.era() > last_position_.era() && !empty) {
    return begin_era(now, listing, as_of);
  }
  std::set<std::string_view> listed;
  for (const change& each : listing) {
    listed.insert(each.key);
    apply_change(now, each, updates);
  }
  for (auto& [key, stored] : records_) {
    if (stored.changed_at > as_of || listed.contains(key)) continue;
    if (stored.returned) {
      stored.returned.reset();
      stored.changed_at = as_of;
    }
    if (stored.removed()) continue;
    stored.changed_at = as_of;
    remove(now, key, stored, updates);
  }
  // This copy does not know what was removed before the listing, so that every
  // peer that is further behind needs a full listing.
  pruned_up_to_ = std::max(pruned_up_to_, as_of);
  last_position_ = std::max(last_position_, as_of);
  return updates;
}

// What a new era lacks was removed before the restore, or written after the
// copy from which the store was restored. The first is known here as removed;
// the second is usually written again soon.
std::vector<update> store_copy::begin_era(time_point now,
                                          const std::vector<change>& listing,
                                          position as_of) {
  // The listing was read from the store after its restore.
  set_store_state(now, store_state::answering);
  std::vector<update> updates;
  std::set<std::string_view> listed;
  for (const change& each : listing) {
    if (!each.value) continue;
    listed.insert(each.key);
    restore_record(now, each, as_of, updates);
  }
  for (auto& [key, stored] : records_) {
    if (listed.contains(key)) continue;
    stored.changed_at = as_of;
    stored.returned.reset();
    const bool lost = stored.value && (!stored.remove_at || stored.lost);
    if (!lost) continue;
    stored.lost = true;
    stored.remove_at = now + (is_immediate(key) ? options_.lost_immediate_delay
                                                : options_.lost_record_delay);
  }
  pruned_up_to_ = as_of;
  last_position_ = as_of;
  prune_tombstones();
  return updates;
}

void store_copy::restore_record(time_point now, const change& listed,
                                position as_of, std::vector<update>& updates) {
  const auto [entry, inserted] = records_.try_emplace(listed.key);
  record& stored = entry->second;
  stored.changed_at = listed.changed_at;
  // A record above the position of the listing was written in the new era.
  const bool stays_removed = !inserted && stored.removed() && !stored.lost &&
                             listed.changed_at <= as_of;
  if (stays_removed) {
    stored.returned = {.value = *listed.value,
                       .use_at = now + options_.returned_record_delay};
    return;
  }
  set_value(listed.key, stored, *listed.value, updates);
}

// The value in use may be the same: a record that is read again after a restore
// tells nothing new, and some records count time from when they are read.
void store_copy::set_value(const std::string& key, record& stored,
                           const std::string& value,
                           std::vector<update>& updates) {
  stored.remove_at.reset();
  stored.returned.reset();
  stored.lost = false;
  if (stored.value == value) return;
  stored.value = value;
  updates.push_back({key, value});
}

void store_copy::apply_change(time_point now, const change& incoming,
                              std::vector<update>& updates) {
  record& stored = records_[incoming.key];
  if (incoming.changed_at <= stored.changed_at) return;
  stored.changed_at = incoming.changed_at;
  stored.returned.reset();
  if (!incoming.value) {
    stored.lost = false;
    if (!stored.removed()) remove(now, incoming.key, stored, updates);
    return;
  }
  stored.remove_at.reset();
  stored.lost = false;
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

bool store_copy::is_immediate(std::string_view key) const {
  return !options_.immediate_prefix.empty() &&
         key.starts_with(options_.immediate_prefix);
}

duration store_copy::removal_delay_for(time_point now,
                                       std::string_view key) const {
  if (is_immediate(key)) return duration::zero();
  const bool during_outage =
      state_ == store_state::silent ||
      (recovered_at_ && now < *recovered_at_ + options_.outage_grace);
  return during_outage ? options_.outage_removal_delay : options_.removal_delay;
}

void store_copy::set_store_state(time_point now, store_state state) {
  if (state == store_state::unknown) return;
  const bool recovered =
      state_ == store_state::silent && state == store_state::answering;
  state_ = state;
  if (!recovered) return;
  recovered_at_ = now;
  for (auto& [key, stored] : records_) {
    if (stored.remove_at)
      stored.remove_at = now + options_.outage_removal_delay;
  }
}

std::vector<update> store_copy::tick(time_point now) {
  std::vector<update> updates;
  for (auto& [key, stored] : records_) {
    if (stored.returned && now >= stored.returned->use_at) {
      const std::string value = std::move(stored.returned->value);
      set_value(key, stored, value, updates);
    }
    // No record can be registered again while the store is silent.
    if (state_ == store_state::silent) continue;
    if (!stored.remove_at || now < *stored.remove_at) continue;
    stored.remove_at.reset();
    stored.lost = false;
    stored.value.reset();
    updates.push_back({key, std::nullopt});
  }
  return updates;
}

std::optional<time_point> store_copy::next_tick() const {
  std::optional<time_point> next;
  for (const auto& [key, stored] : records_) {
    if (stored.remove_at && state_ != store_state::silent)
      next = std::min(next.value_or(*stored.remove_at), *stored.remove_at);
    if (!stored.returned) continue;
    const time_point use_at = stored.returned->use_at;
    next = std::min(next.value_or(use_at), use_at);
  }
  return next;
}

// Peers get what the store holds, whatever is in use here: each of them knows
// by itself what it must use longer or not yet.
store_copy::delta store_copy::changes_since(position known) const {
  delta result{.last_position = last_position_,
               .listing = known < pruned_up_to_};
  for (const auto& [key, stored] : records_) {
    const bool removed = stored.removed() && !stored.returned;
    if (result.listing && removed) continue;
    if (!result.listing && stored.changed_at <= known) continue;
    std::optional<std::string> value;
    if (!removed) {
      value = stored.returned ? stored.returned->value : stored.value;
    }
    result.changes.push_back({key, stored.changed_at, std::move(value)});
  }
  return result;
}

void store_copy::prune_tombstones() {
  const auto is_tombstone = [](const auto& entry) {
    return !entry.second.value && !entry.second.returned;
  };
  const auto count =
      static_cast<std::size_t>(std::ranges::count_if(records_, is_tombstone));
  if (count <= options_.max_tombstones) return;
  for (auto entry = records_.begin(); entry != records_.end();) {
    if (!is_tombstone(*entry)) {
      ++entry;
      continue;
    }
    pruned_up_to_ = std::max(pruned_up_to_, entry->second.changed_at);
    entry = records_.erase(entry);
  }
}

}  // namespace medlarloft::replica
