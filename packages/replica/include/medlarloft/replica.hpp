#pragma once

/// A daemon's copy of the records in the platform's store, updated from the
/// store and from other daemons. Records are opaque here. A newer revision of a
/// record is never replaced by an older one. Records that expired while the
/// store was unreachable stay in use until their owners had time to register
/// again.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "medlarloft/base.hpp"

namespace medlarloft::replica {

/// Number of a change in the store; later changes have greater numbers.
using revision = std::uint64_t;

/// A new value of one record, or its removal.
struct change {
  std::string key;
  revision changed_revision = 0;
  /// Empty if the record was removed.
  std::optional<std::string> value;

  friend bool operator==(const change&, const change&) = default;
};

/// A change that the users of the copy must take into account. Unlike `change`,
/// removals may be delayed.
struct update {
  std::string key;
  /// Empty if the record was removed.
  std::optional<std::string> value;
};

class store_copy {
 public:
  struct options {
    /// Delay of every removal, because a record may expire although its owner
    /// is alive.
    duration removal_delay{};
    /// Delay of removals after the store was unreachable. Records that expired
    /// meanwhile are registered again within about two seconds of its return.
    duration outage_removal_delay = std::chrono::milliseconds(2500);
    /// Removals within this time after the return of the store are attributed
    /// to the outage.
    duration outage_grace = std::chrono::milliseconds(2500);
    /// Removals of keys with this prefix are never delayed; empty: no such
    /// prefix.
    std::string immediate_prefix;
    /// Removals kept for peers that missed them. With more, all are dropped,
    /// and peers that lack one of them get a full listing.
    std::size_t max_tombstones = 4096;
  };

  explicit store_copy(options settings) : options_(std::move(settings)) {}

  /// Applies changes after which the copy reflects the revision `up_to`.
  std::vector<update> apply(time_point now, const std::vector<change>& changes,
                            revision up_to);

  /// Applies a full listing that is complete at least as of the revision
  /// `as_of`: records that it lacks and that did not change later are removed.
  std::vector<update> apply_listing(time_point now,
                                    const std::vector<change>& listing,
                                    revision as_of);

  /// Sets whether the store recently answered any daemon.
  void set_store_reachable(time_point now, bool reachable);

  /// Removes records whose removal delay has passed.
  std::vector<update> tick(time_point now);
  /// Returns when `tick` must be called next; nothing while no removal is
  /// delayed or the store is unreachable.
  std::optional<time_point> next_tick() const;

  /// The changes after a revision, or a full listing if some of them are no
  /// longer kept.
  struct delta {
    revision last_revision = 0;
    /// Whether `changes` is a full listing.
    bool listing = false;
    std::vector<change> changes;
  };
  delta changes_since(revision known_revision) const;

  revision last_revision() const noexcept { return last_revision_; }
  std::size_t size() const noexcept { return records_.size(); }

 private:
  struct record {
    revision changed_revision = 0;
    std::optional<std::string> value;
    /// Set while the record is removed from the store but still in use.
    std::optional<time_point> remove_at;
  };

  void apply_change(time_point now, const change& incoming,
                    std::vector<update>& updates);
  void remove(time_point now, const std::string& key, record& stored,
              std::vector<update>& updates);
  duration removal_delay_for(time_point now, std::string_view key) const;
  void prune_tombstones();

  options options_;
  std::map<std::string, record, std::less<>> records_;
  revision last_revision_ = 0;
  /// Removals up to this revision are no longer kept.
  revision pruned_up_to_ = 0;
  bool store_unreachable_ = false;
  std::optional<time_point> reachable_since_;
};

}  // namespace medlarloft::replica
