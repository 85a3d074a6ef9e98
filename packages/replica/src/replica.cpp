#include "medlarloft/replica.hpp"

#include <algorithm>
#include <set>

namespace medlarloft::replica {

std::vector<update> store_copy::apply(time_point now,
                                      const std::vector<change>& changes,
                                      revision upto) {
  std::vector<update> out;
  for (const change& each : changes)
    take(now, each, out);
  last_revision_ = std::max(last_revision_, upto);
  forget_old_removals();
  return out;
}

std::vector<update> store_copy::apply_listing(
    time_point now, const std::vector<change>& listing, revision from) {
  std::vector<update> out;
  std::set<std::string_view> listed;
  for (const change& each : listing) {
    listed.insert(each.key);
    take(now, each, out);
  }
  for (auto& [key, known] : records_) {
    const bool gone = known.value && known.changed_at <= from &&
                      !known.held_until && !listed.contains(key);
    if (!gone) continue;
    known.changed_at = from;
    remove(now, key, known, out);
  }
  // Changes before the listing may be missing for peers that know less.
  forgotten_ = std::max(forgotten_, std::min(from, last_revision_));
  last_revision_ = std::max(last_revision_, from);
  return out;
}

void store_copy::take(time_point now, const change& each,
                      std::vector<update>& out) {
  record& known = records_[each.key];
  if (each.changed_at <= known.changed_at) return;
  known.changed_at = each.changed_at;
  if (!each.value) {
    if (known.value && !known.held_until) remove(now, each.key, known, out);
    return;
  }
  known.held_until.reset();
  known.value = each.value;
  out.push_back({each.key, each.value});
}

void store_copy::remove(time_point now, const std::string& key, record& known,
                        std::vector<update>& out) {
  const duration hold = hold_for(now, key);
  if (hold > duration::zero()) {
    known.held_until = now + hold;
    return;
  }
  known.value.reset();
  out.push_back({key, std::nullopt});
}

duration store_copy::hold_for(time_point now, std::string_view key) const {
  const bool immediate = !options_.immediate_prefix.empty() &&
                         key.starts_with(options_.immediate_prefix);
  if (immediate) return duration::zero();
  const bool outage =
      away_ || (returned_at_ && now < *returned_at_ + options_.outage_grace);
  return outage ? options_.outage_removal_delay : options_.removal_delay;
}

void store_copy::set_store_reachable(time_point now, bool answers) {
  if (away_ && answers) {
    returned_at_ = now;
    for (auto& [key, known] : records_) {
      if (known.held_until)
        known.held_until = now + options_.outage_removal_delay;
    }
  }
  away_ = !answers;
}

std::vector<update> store_copy::tick(time_point now) {
  std::vector<update> out;
  // While the platform is away nobody can register again.
  if (away_) return out;
  for (auto& [key, known] : records_) {
    if (!known.held_until || now < *known.held_until) continue;
    known.held_until.reset();
    known.value.reset();
    out.push_back({key, std::nullopt});
  }
  return out;
}

std::optional<time_point> store_copy::next_tick() const {
  if (away_) return std::nullopt;
  std::optional<time_point> next;
  for (const auto& [key, known] : records_) {
    if (known.held_until)
      next = std::min(next.value_or(*known.held_until), *known.held_until);
  }
  return next;
}

store_copy::delta store_copy::changes_since(revision known_upto) const {
  delta found{.last_revision = last_revision_,
              .listing = known_upto < forgotten_};
  for (const auto& [key, known] : records_) {
    const bool removed = !known.value || known.held_until;
    if (found.listing && removed) continue;
    if (!found.listing && known.changed_at <= known_upto) continue;
    found.changes.push_back(
        {key, known.changed_at, removed ? std::nullopt : known.value});
  }
  return found;
}

void store_copy::forget_old_removals() {
  const auto removed = [](const auto& entry) { return !entry.second.value; };
  const auto count =
      static_cast<std::size_t>(std::ranges::count_if(records_, removed));
  if (count <= options_.max_tombstones) return;
  for (auto each = records_.begin(); each != records_.end();) {
    if (!removed(*each)) {
      ++each;
      continue;
    }
    forgotten_ = std::max(forgotten_, each->second.changed_at);
    each = records_.erase(each);
  }
}

}  // namespace medlarloft::replica
