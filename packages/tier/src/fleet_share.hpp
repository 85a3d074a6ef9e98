#pragma once

/// This daemon's part of the limits that all daemons share: leafs' connections
/// and the retry budget. Parts go with the size of the hosts, since callers
/// are sent to the large ones. Pure; time is an argument.

#include <map>
#include <string>
#include <string_view>

#include "medlarloft/base.hpp"

namespace medlarloft::tier {

class fleet_share {
 public:
  struct options {
    std::string id;
    std::uint32_t capacity = 1;
    /// A limit is divided by at least this many daemons like this one, since
    /// others may be starting.
    double least_fleet = 8;
    /// Daemons that are gone still count for so long.
    duration gone_counts_for = std::chrono::seconds(10);
    /// When this daemon started.
    time_point started{};
    /// A host that lost power leaves connections behind that leafs still
    /// count; for so long after a start there must be room for them.
    duration young_for = std::chrono::seconds(4);
    double young_part = 0.5;
  };

  explicit fleet_share(options settings) : options_(std::move(settings)) {}

  /// Takes a daemon that is there now.
  void seen(time_point now, const std::string& id, std::uint32_t capacity);
  /// Forgets the daemons that have been gone for long enough.
  void expire(time_point now);

  /// Part of a shared limit, in (0, 1]. The parts of all daemons that see each
  /// other add up to one at most.
  double part() const;
  /// The same of the leafs' connections, less what an earlier process of this
  /// host may have left open.
  double connection_part(time_point now) const;
  std::size_t daemons() const noexcept { return seen_.size(); }
  bool knows(const std::string& id) const { return seen_.contains(id); }
  /// Place of this daemon in the order of all for a leaf, from 0.
  std::size_t rank(std::string_view leaf) const;

 private:
  struct daemon {
    std::uint32_t capacity = 0;
    time_point at;
  };

  options options_;
  std::map<std::string, daemon> seen_;
};

}  // namespace medlarloft::tier
