#pragma once

/// A daemon's copy of the records in the platform's store, updated from the
/// store and from other daemons. Records are opaque here. A newer revision of a
/// record is never replaced by an older one. Records that expired while the
/// store was unreachable stay in use until their owners had time to register
/// again.
///
/// The store may be restored from an older copy, which begins a new era of it:
/// what was written last is lost, and revisions are assigned again.

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "medlarloft/base.hpp"

namespace medlarloft::replica {

/// Number of a change in the store; within an era, later changes have greater
/// numbers.
using revision = std::uint64_t;
/// Number of times that the store was restored; 0 for a store without eras.
using era = std::uint16_t;

/// Revisions take the lower bits of a packed position.
inline constexpr int revision_bits = 48;
inline constexpr revision max_revision = (revision{1} << revision_bits) - 1;

/// An era of the store and a revision in it, compared in this order. Packed
/// into one number, which daemons send each other: in era 0 it equals the
/// revision, as releases without eras expect.
class position {
 public:
  constexpr position() noexcept = default;
  /// Implicit, since in era 0 a revision is its own packed position.
  constexpr position(std::uint64_t packed) noexcept : packed_(packed) {}
  /// `number` is at most `max_revision`.
  constexpr position(replica::era era, revision number) noexcept
      : packed_(std::uint64_t{era} << revision_bits | number) {}

  constexpr replica::era era() const noexcept {
    return static_cast<replica::era>(packed_ >> revision_bits);
  }
  constexpr revision number() const noexcept { return packed_ & max_revision; }
  constexpr std::uint64_t packed() const noexcept { return packed_; }

  friend constexpr auto operator<=>(position, position) = default;

 private:
  std::uint64_t packed_ = 0;
};

/// A new value of one record, or its removal.
struct change {
  std::string key;
  /// The era is that of the copy that holds the record, also if the record was
  /// written in an earlier era.
  position changed_at;
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

/// What a daemon knows of whether the store answers.
enum class store_state : std::uint8_t {
  /// Nothing yet, since the daemon started or was paused. Not a sign of an
  /// outage.
  unknown,
  answering,
  /// It has answered no daemon for some time.
  silent,
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
    /// How long records that a new era of the store lacks stay in use, so that
    /// their owners can write them again.
    duration lost_record_delay = std::chrono::milliseconds(2500);
    /// The same for records with `immediate_prefix`. Operators may write later
    /// than leafs, which write regularly, and a data centre that is out must
    /// not get requests meanwhile.
    duration lost_immediate_delay = std::chrono::seconds(5);
    /// How long records that this copy knew as removed, and that a new era of
    /// the store still holds, stay removed unless they are written again.
    duration returned_record_delay = std::chrono::seconds(4);
    /// Removals of keys with this prefix are never delayed, except for those of
    /// lost records; empty: no such prefix.
    std::string immediate_prefix;
    /// Removals kept for peers that missed them. With more, all are dropped,
    /// and peers that lack one of them get a full listing.
    std::size_t max_tombstones = 4096;
  };

  explicit store_copy(options settings) : options_(std::move(settings)) {}

  /// Applies changes after which the copy reflects the position `up_to`.
  /// Changes of another era than the copy's are ignored: they are late, or a
  /// full listing is needed first.
  std::vector<update> apply(time_point now, const std::vector<change>& changes,
                            position up_to);

  /// Applies a full listing that is complete at least as of the position
  /// `as_of`: records that it lacks and that did not change later are removed.
  /// A listing of an earlier era is ignored.
  std::vector<update> apply_listing(time_point now,
                                    const std::vector<change>& listing,
                                    position as_of);

  /// Sets whether the store recently answered any daemon. An outage ends when
  /// it answers after it was silent; while its state is unknown, an earlier
  /// outage lasts.
  void set_store_state(time_point now, store_state state);

  /// Removes records whose removal delay has passed, and uses returned records
  /// whose delay has passed.
  std::vector<update> tick(time_point now);
  /// Returns when `tick` must be called next; nothing while nothing is delayed.
  /// Removals are not due while the store is silent.
  std::optional<time_point> next_tick() const;

  /// The changes after a position, or a full listing if some of them are no
  /// longer kept or the position is of an earlier era.
  struct delta {
    position last_position;
    /// Whether `changes` is a full listing.
    bool listing = false;
    std::vector<change> changes;
  };
  delta changes_since(position known) const;

  position last_position() const noexcept { return last_position_; }
  std::size_t size() const noexcept { return records_.size(); }

 private:
  /// A value of the store that is not used before a time.
  struct returned_value {
    std::string value;
    time_point use_at;
  };
  struct record {
    position changed_at;
    /// The value in use.
    std::optional<std::string> value;
    /// Set while the record is removed from the store but still in use.
    std::optional<time_point> remove_at;
    /// The record is missing in the store since a restore of it.
    bool lost = false;
    /// Set while the store holds the record again and it is not used yet.
    std::optional<returned_value> returned;

    bool removed() const noexcept { return !value || remove_at; }
  };

  /// Replaces the copy by the first listing of a new era.
  std::vector<update> begin_era(time_point now,
                                const std::vector<change>& listing,
                                position as_of);
  void restore_record(time_point now, const change& listed, position as_of,
                      std::vector<update>& updates);
  static void set_value(const std::string& key, record& stored,
                        const std::string& value, std::vector<update>& updates);

  void apply_change(time_point now, const change& incoming,
                    std::vector<update>& updates);
  void remove(time_point now, const std::string& key, record& stored,
              std::vector<update>& updates);
  bool is_immediate(std::string_view key) const;
  duration removal_delay_for(time_point now, std::string_view key) const;
  void prune_tombstones();

  options options_;
  std::map<std::string, record, std::less<>> records_;
  position last_position_;
  /// Removals up to this position are no longer kept.
  position pruned_up_to_;
  store_state state_ = store_state::unknown;
  /// When the store answered again after the last outage.
  std::optional<time_point> recovered_at_;
};

}  // namespace medlarloft::replica
