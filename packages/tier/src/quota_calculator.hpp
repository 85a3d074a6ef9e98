#pragma once

/// Computes this daemon's quota: its fraction of the limits that all daemons
/// share, which are the connections of leafs, the rates that they state and the
/// retry budget. Fractions are proportional to the capacity of the hosts, since
/// callers are directed to the large ones. No I/O; time is an argument.

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "medlarloft/base.hpp"

namespace medlarloft::tier {

class quota_calculator {
 public:
  struct options {
    std::string id;
    std::uint32_t capacity = 1;
    /// A limit is divided by at least this many daemons of this one's
    /// capacity, since others may be starting.
    double min_fleet_size = 8;
    /// Daemons that left or failed are still counted for this time.
    duration removal_delay = std::chrono::seconds(10);
    /// When this daemon started.
    time_point started_at{};
    /// A host that lost power leaves connections that leafs still count; for
    /// this time after its start a daemon leaves room for them.
    duration startup_period = std::chrono::seconds(4);
    double startup_fraction = 0.5;
    /// A rate is divided by the largest fleet within this time: daemons that
    /// are cut off from this one may still reach the leafs.
    duration peak_retention = std::chrono::seconds(60);
  };

  explicit quota_calculator(options settings) : options_(std::move(settings)) {}

  /// Adds or refreshes a daemon that is reachable now: alive, suspected or
  /// leaving.
  void set_reachable(time_point now, const std::string& id,
                     std::uint32_t capacity);
  /// Removes the daemons that have been unreachable for `removal_delay`.
  void remove_expired(time_point now);

  /// Fraction of a shared limit, in (0, 1]. The fractions of all daemons that
  /// know each other add up to one at most.
  double fraction() const;
  /// The fraction of leafs' connections: `fraction()`, reduced after a start
  /// by what an earlier process of this host may have left open.
  double connection_fraction(time_point now) const;
  /// Fraction of a rate that a leaf states for all daemons together.
  double rate_fraction() const;
  std::size_t daemon_count() const noexcept { return daemons_.size(); }
  bool contains(const std::string& id) const { return daemons_.contains(id); }
  /// Returns a function for the index of this daemon in an order of all daemons
  /// that differs by leaf. It stays as it is when members change later.
  std::function<std::size_t(std::string_view leaf)> daemon_order();
  /// Changes whenever `daemon_order()` does.
  std::uint64_t members_version() const noexcept { return members_version_; }

 private:
  struct daemon {
    std::uint32_t capacity = 0;
    time_point last_reachable;
  };

  void on_members_changed();
  double total_capacity() const;

  options options_;
  std::map<std::string, daemon> daemons_;
  std::uint64_t members_version_ = 0;
  /// The ids of `daemons_`, null once these have changed.
  std::shared_ptr<const std::vector<std::string>> ids_;
  /// The largest recent `total_capacity()`, and when it last had that value.
  double peak_capacity_ = 0;
  time_point peak_at_{};
};

}  // namespace medlarloft::tier
