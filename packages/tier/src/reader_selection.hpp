#pragma once

/// Decides whether this daemon reads the store. A few daemons read it for all,
/// and the others get the changes from them. A daemon whose copy was not
/// recently confirmed to be current asks other daemons, then takes over and
/// reads the store itself. No I/O; time is an argument.

#include <map>
#include <optional>
#include <string>

#include "medlarloft/membership.hpp"
#include "medlarloft/replica.hpp"

namespace medlarloft::tier {

/// A daemon's statement about its copy: it holds all changes up to `position`,
/// and `age` ago the store had no later ones.
struct copy_report {
  replica::position position;
  std::chrono::milliseconds age = membership::unknown_store_age;
};

class reader_selection {
 public:
  struct options {
    /// Readers in all data centres together; each data centre has at least one.
    std::size_t min_readers = 3;
    /// A daemon whose copy was not confirmed for this long reads the store
    /// itself. Longer than a call to the store and the distribution of its
    /// report.
    duration stale_after = std::chrono::milliseconds(4500);
    /// A daemon whose copy was not confirmed for `stale_after` divided by this
    /// asks other daemons for changes.
    int request_divisor = 2;
    /// Interval between two such requests.
    duration request_interval = std::chrono::milliseconds(500);
    /// A daemon that took over reads for at least this time.
    duration min_takeover_time = std::chrono::seconds(10);
    /// The same before the first report, when the reports of other daemons may
    /// still be on their way.
    duration min_initial_takeover_time = std::chrono::milliseconds(1500);
    /// A reader that reported a failing store is passed over for this time.
    duration failure_retention = std::chrono::seconds(5);
    /// A reader repeats its report of a failing store at this interval.
    duration failure_report_interval = std::chrono::seconds(1);
    /// A daemon without records waits this long after its start for a listing
    /// of another one while the store answers others. In simulated restarts of
    /// 110 daemons the last one had to wait for this time.
    duration listing_wait = std::chrono::milliseconds(800);
    /// After its start a daemon waits this long for reports before it reads;
    /// zero for daemons that others contact at their start.
    duration startup_delay{};
  };

  reader_selection(options settings, time_point started_at)
      : options_(settings),
        started_at_(started_at),
        observing_since_(started_at) {}

  /// Handles another daemon's report. It confirms the copy of this daemon only
  /// once that holds the reported position too: a report may overtake changes
  /// that were lost. A report of another era than the copy's never confirms it.
  /// Returns whether the report should be forwarded.
  bool handle_report(time_point now, const copy_report& report);
  /// The store answered this daemon, possibly without any changes.
  void store_answered(time_point now);
  /// The copy of this daemon holds all changes up to `position`.
  void set_copy_position(replica::position position);
  /// The store told this daemon that `position` is its latest.
  void confirm_copy(time_point now, replica::position position);
  /// The store does not answer `reader`, or answers it again. While it fails,
  /// the next daemon of its data centre reads. Returns whether this should be
  /// reported to others.
  bool set_failing(time_point now, const std::string& reader, bool failing);

  /// Call after the process was paused. Discards the confirmations of the copy,
  /// which may be outdated, and what is known of the store: its silence during
  /// the pause is no sign of an outage.
  void reset_after_pause(time_point now);

  /// Time since this daemon's copy was last known to be current, for reports to
  /// others.
  std::chrono::milliseconds copy_age(time_point now) const;
  /// Whether this daemon's copy was recently known to be current.
  bool is_fresh(time_point now) const;
  /// Whether the store recently answered some daemon.
  bool store_answers(time_point now) const;
  /// The store is silent if its last answer is old, or if there was none for as
  /// long since this daemon started or was paused.
  replica::store_state state_of_store(time_point now) const;

  /// Whether this daemon should ask another one for changes now. Returns true
  /// once per `request_interval`.
  bool should_request_changes(time_point now);
  /// Whether this daemon should read the store now.
  bool should_read(time_point now, const membership::group& members,
                   const std::string& data_centre, const std::string& id,
                   std::size_t data_centres);

 private:
  /// A report about a position that this daemon's copy lacks.
  struct pending_report {
    replica::position position;
    time_point current_at;
  };
  /// Confirms the copy by a pending report that it holds now.
  void resolve(std::optional<pending_report>& pending);
  void confirm_at(time_point current_at);

  options options_;
  time_point started_at_;
  /// Since when the store would have been noticed to answer.
  time_point observing_since_;
  replica::position copy_position_;
  /// When this daemon's copy was last known to be current.
  std::optional<time_point> confirmed_at_;
  /// The pending reports with the lowest and the highest position.
  std::optional<pending_report> first_pending_;
  std::optional<pending_report> last_pending_;
  /// When the store last answered any daemon.
  std::optional<time_point> answered_at_;
  std::optional<time_point> requested_at_;
  std::optional<time_point> takeover_until_;
  /// Readers that last reported a failing store, and when they did.
  std::map<std::string, time_point> failing_;
};

}  // namespace medlarloft::tier
