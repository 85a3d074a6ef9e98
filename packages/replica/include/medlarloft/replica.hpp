#pragma once

/// A daemon's copy of the platform's records, fed by the platform itself and
/// by other daemons. Records are opaque here. A pure state machine: nothing
/// that is known newer ever gives way to something older, and what lapsed
/// while the platform was away is held back until its owners had time to
/// register again.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "medlarloft/base.hpp"

namespace medlarloft::replica {

/// The platform's counter of changes.
using revision = std::uint64_t;

/// One record, or its removal.
struct change {
  std::string key;
  revision changed_at = 0;
  /// Nothing: the record was removed.
  std::optional<std::string> value;

  friend bool operator==(const change&, const change&) = default;
};

/// What changed for those who use the records.
struct update {
  std::string key;
  /// Nothing: the record is gone.
  std::optional<std::string> value;
};

class store_copy {
 public:
  struct options {
    /// How long any removal is held back; a record may lapse although its
    /// owner lives.
    duration removal_delay{};
    /// How long removals are held back after the platform was away: records
    /// that lapsed meanwhile are back about two seconds after its return.
    duration outage_removal_delay = std::chrono::milliseconds(2500);
    /// Removals seen this long after the return still belong to the outage.
    duration outage_grace = std::chrono::milliseconds(2500);
    /// Records whose removal is never held back begin with this.
    std::string immediate_prefix;
    /// Removals that are remembered, for peers that missed them.
    std::size_t max_tombstones = 4096;
  };

  explicit store_copy(options settings) : options_(std::move(settings)) {}

  /// Takes changes after which the copy is as of `upto`.
  std::vector<update> apply(time_point now, const std::vector<change>& changes,
                            revision upto);

  /// Takes a full listing that is complete at least as of `from`: records that
  /// it lacks and that did not change later are removed.
  std::vector<update> apply_listing(time_point now,
                                    const std::vector<change>& listing,
                                    revision from);

  /// Notes whether the platform answers this daemon.
  void set_store_reachable(time_point now, bool answers);

  /// Gives up records whose removal was held back for long enough.
  std::vector<update> tick(time_point now);
  /// When `tick` must be called next.
  std::optional<time_point> next_tick() const;

  /// The changes after `known`, or everything when they are not held.
  struct delta {
    revision last_revision = 0;
    /// The changes are a full listing.
    bool listing = false;
    std::vector<change> changes;
  };
  delta changes_since(revision known) const;

  revision last_revision() const noexcept { return last_revision_; }
  std::size_t size() const noexcept { return records_.size(); }

 private:
  struct record {
    revision changed_at = 0;
    std::optional<std::string> value;
    /// Removed, but still in use until then.
    std::optional<time_point> held_until;
  };

  void take(time_point now, const change& each, std::vector<update>& out);
  void remove(time_point now, const std::string& key, record& known,
              std::vector<update>& out);
  duration hold_for(time_point now, std::string_view key) const;
  void forget_old_removals();

  options options_;
  std::map<std::string, record, std::less<>> records_;
  revision last_revision_ = 0;
  /// Removals up to this one are no longer remembered.
  revision forgotten_ = 0;
  bool away_ = false;
  std::optional<time_point> returned_at_;
};

}  // namespace medlarloft::replica
