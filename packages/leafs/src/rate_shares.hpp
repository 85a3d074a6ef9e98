#pragma once

/// This daemon's shares of the rates that all daemons divide among them: the
/// rate of a cold leaf and the one that a leaf states. No I/O; time is an
/// argument.

#include <deque>

#include "medlarloft/leafs.hpp"

namespace medlarloft::leafs {

/// A share is the smallest one of the last `handover_delay`: what was lost is
/// given up at once, what was gained is used only when all daemons know the
/// change. If no daemon learns a change of the members later than that, the
/// shares in use add up to those of one moment, which is one at most. A daemon
/// that has just started has no share, as it knows no other daemon yet.
class rate_shares {
 public:
  struct options {
    duration handover_delay{};
    /// Number of daemons that use a cold leaf.
    std::uint32_t cold_users = 1;
    /// A lower stated limit counts as this many requests per second.
    double min_stated_limit = 0;
  };

  explicit rate_shares(options settings) : options_(settings) {}

  /// Sets what is known of the members as of now. Until the first call, this
  /// daemon has the whole of every rate.
  void set_quota(time_point now, const daemon_quota& quota);
  /// Whether no quota of the last `handover_delay` differs from the current
  /// one.
  bool settled() const noexcept { return recent_.size() <= 1; }

  /// Returns this daemon's part of the rate of a cold leaf.
  double cold_rate(time_point now, std::string_view leaf, double rate) const;
  /// Returns this daemon's part of a rate that a leaf states.
  double stated_rate(time_point now, double rate) const;

 private:
  struct entry {
    time_point since;
    /// Nothing before the daemon knew any members.
    std::optional<daemon_quota> quota;
  };

  double cold_share(const daemon_quota& quota, std::string_view leaf) const;
  /// Returns the smallest share of the last `handover_delay`.
  double smallest(
      time_point now,
      const std::function<double(const daemon_quota&)>& share_of) const;

  options options_;
  /// The quotas of the last `handover_delay`, the current one last.
  std::deque<entry> recent_;
};

}  // namespace medlarloft::leafs
