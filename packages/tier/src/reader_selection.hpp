#pragma once

/// Decides whether this daemon reads the store. A few daemons read it for all,
/// and the others get the changes from them. A daemon that has no recent report
/// that the store answers takes over and reads the store itself. No I/O; time
/// is an argument.

#include <map>
#include <optional>
#include <string>

#include "medlarloft/membership.hpp"

namespace medlarloft::tier {

class reader_selection {
 public:
  struct options {
    /// Readers in all data centres together; each data centre has at least one.
    std::size_t min_readers = 3;
    /// A daemon that has received no report that the store answered for this
    /// long reads the store itself.
    /// Longer than a call to the store and the distribution of its report.
    duration stale_after = std::chrono::milliseconds(4500);
    /// A daemon that took over reads for at least this time.
    duration min_takeover_time = std::chrono::seconds(10);
    /// The same before the first report, when the reports of other daemons may
    /// still be on their way.
    duration min_initial_takeover_time = std::chrono::milliseconds(1500);
    /// A reader that reported a failing store is passed over for this time.
    duration failure_retention = std::chrono::seconds(5);
    /// A reader repeats its report of a failing store at this interval.
    duration failure_report_interval = std::chrono::seconds(1);
    /// After its start a daemon waits this long for reports before it reads;
    /// zero for daemons that others contact at their start.
    duration startup_delay{};
  };

  reader_selection(options settings, time_point started_at)
      : options_(settings), started_at_(started_at) {}

  /// Handles another daemon's report of how long ago the store last answered
  /// some daemon. Returns whether the report should be forwarded.
  bool handle_report(time_point now, std::chrono::milliseconds age);
  /// The store answered this daemon.
  void store_answered(time_point now);
  /// The store does not answer `reader`, or answers it again. While it fails,
  /// the next daemon of its data centre reads. Returns whether this should be
  /// reported to others.
  bool set_failing(time_point now, const std::string& reader, bool failing);

  /// Time since the store last answered some daemon, for reports to others.
  std::chrono::milliseconds store_age(time_point now) const;
  /// Whether the store recently answered some daemon.
  bool is_fresh(time_point now) const;

  /// Whether this daemon should read the store now.
  bool should_read(time_point now, const membership::group& members,
                   const std::string& data_centre, const std::string& id,
                   std::size_t data_centres);

 private:
  options options_;
  time_point started_at_;
  std::optional<time_point> answered_at_;
  std::optional<time_point> takeover_until_;
  /// Readers that last reported a failing store, and when they did.
  std::map<std::string, time_point> failing_;
};

}  // namespace medlarloft::tier
