#pragma once

/// Which daemons may talk to which backend server, how its limits are divided
/// among them, and which addresses callers get. Everything here is computed
/// from the published fleet, so that daemons agree without talking.

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "medlarloft/base.hpp"
#include "medlarloft/notes.hpp"

namespace medlarloft::placement {

using notes::daemon_index;
using notes::leaf_index;

/// Most daemons that hold connections to one backend server.
inline constexpr std::size_t max_homes = 2;
/// Neighbouring shards of one service that share their home daemons, so that
/// a query reaches many leafs through few relays.
inline constexpr std::size_t shards_per_group = 8;

/// The home daemons of one leaf, best rank first.
struct home_set {
  std::array<daemon_index, max_homes> ranked{};
  std::uint8_t count = 0;

  std::span<const daemon_index> daemons() const noexcept {
    return {ranked.data(), count};
  }
  /// Returns the rank of the daemon, or nothing when it is no home.
  std::optional<std::size_t> rank_of(daemon_index daemon) const noexcept;
};

/// The home daemons of every leaf of a model.
class home_table {
 public:
  home_table() = default;

  /// Ranks the daemons of the leaf's data centre by rendezvous hashing; a data
  /// centre without daemons uses those of the whole fleet.
  explicit home_table(const notes::fleet_model& model);

  /// As above, but takes over from `before` what cannot have changed.
  home_table(const notes::fleet_model& model,
             const notes::fleet_model& model_before, const home_table& before);

  const home_set& homes(leaf_index leaf) const noexcept { return homes_[leaf]; }
  std::size_t size() const noexcept { return homes_.size(); }
  /// Returns the leafs that have the daemon among their homes.
  std::vector<leaf_index> leafs_of(daemon_index daemon) const;

 private:
  std::vector<home_set> homes_;
  /// The group of each leaf, by which `homes_` was computed.
  std::vector<std::uint64_t> groups_;
};

/// A part of a backend server's limits.
struct share {
  std::uint32_t slots = 0;
  std::uint32_t connections = 0;
  /// Requests at once while the server is cold.
  std::uint32_t cold = 0;

  friend auto operator<=>(const share&, const share&) = default;
};

/// Returns what one of `holders` ranked holders may use of `total`: an equal
/// part, and the remainder to the first ranks. The parts add up to `total`.
std::uint32_t part_of(std::uint32_t total, std::size_t rank,
                      std::size_t holders) noexcept;

/// Returns the share of one daemon in a leaf. `gone(d)` says whether another
/// home has been gone for so long that its part passes to the others.
share share_of(const notes::leaf& leaf, const home_set& homes,
               daemon_index self,
               const std::function<bool(daemon_index)>& gone);

/// The share of one daemon in one leaf.
struct leaf_share {
  std::string leaf;
  placement::share share;

  friend bool operator==(const leaf_share&, const leaf_share&) = default;
};

/// Applies changed shares without ever letting the sum over all daemons pass
/// a limit: what is lost is given up at once, and what is gained is used only
/// after the hold-off, by which every other daemon has given it up.
class share_ledger {
 public:
  explicit share_ledger(duration hold_off) : hold_off_(hold_off) {}

  /// Takes the shares that a version grants, sorted by leaf. Every version
  /// must be granted in order: one between may have passed a share on.
  void grant(time_point now, const std::vector<leaf_share>& granted);

  /// Forgets all use, as after a sleep or when versions between are not
  /// known: everything is a gain again.
  void reset() { entries_.clear(); }

  /// Returns the shares that may be used now, sorted by leaf.
  std::vector<leaf_share> usable(time_point now) const;

  /// Returns when the next gain becomes usable, or nothing.
  std::optional<time_point> next_change(time_point now) const;

 private:
  struct entry {
    std::string leaf;
    share used;
    share granted;
    time_point gain_at;
  };

  entry merge(time_point now, const entry* known,
              const leaf_share& granted) const;

  duration hold_off_;
  std::vector<entry> entries_;
};

/// What the membership knows of a published daemon.
struct daemon_status {
  bool alive = true;
  bool leaving = false;
};

/// What a caller asks for.
struct address_request {
  /// The caller's data centre; empty when it is not known.
  std::string data_centre;
  /// Any text that names the caller; equal texts get equal answers.
  std::string caller;
  std::size_t count = 3;
};

/// The published daemons by data centre, to answer callers without walking the
/// whole fleet.
class address_book {
 public:
  address_book() = default;
  explicit address_book(const notes::fleet_model& model);

  /// Returns daemons for a caller, best first: those of its data centre, then
  /// its region, then the rest; none that leaves, is gone, or whose data
  /// centre is out. A caller whose data centre is not known is given one by
  /// hash. A change of one daemon moves only the callers that had it.
  std::vector<daemon_index> addresses_for(
      const std::vector<daemon_status>& status,
      const address_request& request) const;

 private:
  struct listed {
    daemon_index daemon = 0;
    std::uint64_t hash = 0;
  };
  struct centre {
    std::string id;
    std::string region;
    bool out = false;
    std::vector<listed> daemons;
  };

  std::vector<std::size_t> centres_by_distance(
      const address_request& request) const;

  std::vector<centre> centres_;
};

/// Returns the daemon that alone runs a non-idempotent request, or nothing for
/// an empty fleet. It depends on the published fleet only, never on who seems
/// to be alive.
std::optional<daemon_index> owner_of(const notes::fleet_model& model,
                                     std::string_view request_id);

/// Remembers which fleets were published lately, to tell since when a daemon
/// has been the owner of a request id without a break.
class ownership_history {
 public:
  /// `kept_for`: how far back requests may have been issued.
  explicit ownership_history(duration kept_for) : kept_for_(kept_for) {}

  /// Takes a fleet that is in force from `at` on. What it newly owns, a daemon
  /// may run after the hold-off, when every other has given it up.
  void add(wall_time at, duration hold_off, notes::model_ptr model);

  /// Forgets the fleets before, as when versions between are not known.
  void reset() { eras_.clear(); }

  /// Returns since when `self` alone may run the id, or nothing when it is
  /// not the owner now.
  std::optional<wall_time> owner_since(std::string_view self,
                                       std::string_view request_id) const;

 private:
  struct era {
    wall_time gains_from;
    wall_time began;
    notes::model_ptr model;
  };
  duration kept_for_;
  /// Oldest first; never empty after the first fleet.
  std::vector<era> eras_;
};

}  // namespace medlarloft::placement
