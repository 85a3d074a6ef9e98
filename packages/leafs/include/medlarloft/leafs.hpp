#pragma once

/// Load balancing over backend servers (leafs): their registrations, the
/// latency and failures that this daemon measured, and the choice of a leaf for
/// each request. No I/O; the time and the random seed are arguments.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "medlarloft/base.hpp"

namespace medlarloft::leafs {

/// One start of a leaf as the platform's store describes it.
struct leaf_registration {
  std::string id;
  std::string service;
  endpoint address;
  std::string data_centre;
  /// Requests that the leaf processes concurrently.
  std::uint32_t slots = 1;
  bool draining = false;
  /// Time until the leaf is no longer cold. A cold leaf has just started and
  /// can handle only a limited rate of requests.
  duration cold_time_left{};
  /// Distinguishes successive starts under the same id; 0 if it is not known.
  std::int64_t start_id = 0;
  /// Rises with each write of one start; 0 if it is not known.
  std::uint64_t write_number = 0;

  friend bool operator==(const leaf_registration&,
                         const leaf_registration&) = default;
};

/// Identifies one start of one leaf; never reused within a process.
using leaf_handle = std::uint32_t;

/// Identifies one request sent to a leaf.
using attempt_id = std::uint64_t;

/// How one request to a leaf ended.
enum class attempt_outcome : std::uint8_t {
  answered,       // successful response
  failed,         // the leaf ran the request and responded with an error
  shed,           // the leaf rejected the request without running it
  misdirected,    // a different leaf uses the address now
  lost,           // the connection broke after data had been sent
  silent,         // no response before the timeout
  no_connection,  // no connection could be opened; nothing was sent
  abandoned,      // no longer needed; not held against the leaf
};
std::string_view name_of(attempt_outcome outcome) noexcept;

/// What a leaf says of itself in a response.
struct leaf_report {
  /// Requests per second that the leaf takes from all daemons together;
  /// nothing: it states no limit.
  std::optional<double> rate_limit;
  /// The limit cannot be read; the last one stays.
  bool limit_malformed = false;
  /// The leaf turned the request away and wants no other one from this daemon
  /// for so long.
  std::optional<duration> pause;
  /// The leaf will end soon.
  bool leaving = false;
  /// Headers with a malformed value, which change nothing.
  std::uint32_t malformed_headers = 0;
};

/// What changed with a report.
struct report_changes {
  bool limit = false;
  bool pause = false;
  /// The leaf asked for a pause over the bound.
  bool pause_shortened = false;
  bool leaving = false;
};

/// Limits of a service that apply to all daemons together.
struct service_limits {
  /// Connections that each leaf accepts.
  std::uint32_t max_connections = 1;
  /// Requests per second that a cold leaf can handle; zero: unlimited.
  double cold_rate_limit = 0;
};

/// How much of the shared limits this daemon may use.
struct daemon_quota {
  /// Fraction of each leaf's connections.
  double fraction = 1;
  /// Fraction of a rate that a leaf states for all daemons together.
  double rate_fraction = 1;
  std::size_t daemons = 1;
  /// Returns the position of this daemon in an order of all daemons that is
  /// specific to the leaf; only the first `cold_burst` daemons may use the leaf
  /// while it is cold. If not set, the position is 0.
  std::function<std::size_t(std::string_view leaf)> daemon_index;
  /// Differs whenever `daemon_index` may answer differently.
  std::uint64_t members_version = 0;
};

/// Why no leaf can be picked. If leafs are unavailable for different reasons,
/// the one furthest down this list is reported.
enum class unavailable_reason : std::uint8_t {
  none_registered,  // no registered leaf accepts new requests
  all_tried,        // the remaining leafs are excluded by the filter
  all_dark,         // ejected after failures; no trial due, or one in flight
  all_paused,       // the leafs asked this daemon for a pause
  all_limited,      // the leafs state limits; this daemon's part is used up
  all_busy,         // the in-flight or cold-start limit is reached
};
std::string_view name_of(unavailable_reason reason) noexcept;

/// Whether a leaf becomes available without any event that changes its state.
constexpr bool is_temporary(unavailable_reason reason) noexcept {
  return reason >= unavailable_reason::all_paused;
}

/// Whether the time at which a leaf becomes available is known.
constexpr bool has_known_turn(unavailable_reason reason) noexcept {
  return reason == unavailable_reason::all_paused ||
         reason == unavailable_reason::all_limited;
}

/// Restricts the choice of a leaf for one request.
struct leaf_filter {
  std::span<const leaf_handle> excluded;
  /// If not empty, only these leafs are considered.
  std::span<const leaf_handle> allowed;
};

/// Mean times of the requests of one daemon to a service while the daemon
/// always has requests waiting.
struct service_throughput {
  /// Mean time between two completed requests.
  duration completion_interval{};
  /// Mean time from sending a request to its response.
  duration response_time{};
};

/// State of one leaf, for metrics.
struct leaf_status {
  leaf_registration registration;
  bool usable = false;
  bool ejected = false;
  /// What the leaf says of itself; a limit is in requests per second.
  std::optional<double> rate_limit;
  bool paused = false;
  bool leaving = false;
  std::size_t in_flight = 0;
  /// Recent response time in relation to the usual one of the work class.
  double slowness = 1;
  /// The same, over many responses.
  double steady_slowness = 1;
};

/// How evenly this daemon sees the leafs of its services loaded.
struct load_spread {
  /// Highest number of requests in flight per slot of a leaf, in relation to
  /// the mean, of the service with the most requests in flight; 1 without any.
  double in_flight_ratio = 1;
  /// Highest steady slowness of a leaf in relation to the mean of its service,
  /// of the service where this is highest.
  double slowness_ratio = 1;
  /// Services for whose leafs more daemons compete than these have slots.
  std::size_t contended_services = 0;
};

class departed_leafs;
class leaf_throttle;
class rate_shares;
class steady_slowness;

/// The leafs of all services and the requests in flight to them.
class leaf_set {
 public:
  struct options {
    std::string local_data_centre;
    /// Round trip to another data centre until one has been measured.
    duration default_remote_round_trip = std::chrono::milliseconds(8);
    /// A response that takes this many times the expected time is an outlier.
    double outlier_factor = 4;
    /// A request that has been in flight for this many times its expected time,
    /// and for at least `overdue_floor`, indicates that its leaf is paused.
    double overdue_factor = 3;
    duration overdue_floor = std::chrono::milliseconds(15);
    /// The same for hedges of the most urgent requests. Their objectives are
    /// short, so that a hedge after `overdue_floor` can come too late.
    duration urgent_overdue_floor = std::chrono::milliseconds(5);
    /// Half-life of the measured slowness of a leaf.
    duration slowness_half_life = std::chrono::milliseconds(1500);
    /// Half-life of the measured failure rate of a leaf. Without it a leaf that
    /// failed is not picked again, so that nothing shows that it works.
    duration failure_half_life = std::chrono::milliseconds(2000);
    /// A leaf that keeps failing is ejected for this time, doubled after each
    /// failed trial request up to `max_ejection`.
    duration initial_ejection = std::chrono::milliseconds(250);
    duration max_ejection = std::chrono::seconds(2);
    /// Expected processing time until one has been measured.
    duration default_work_time = std::chrono::milliseconds(20);
    /// Requests in flight to a leaf from all daemons, per slot of the leaf.
    /// Further requests wait in the daemon, which can still send them to
    /// another leaf or cancel them in time.
    double in_flight_per_slot = 2;
    /// Each daemon may have at least this many requests in flight to a leaf, if
    /// it has as many connections.
    std::size_t min_in_flight = 3;
    /// Requests that all daemons together may send to a cold leaf at once.
    std::uint32_t cold_burst = 5;
    /// A lower limit of a leaf counts as this many requests per second of all
    /// daemons together: only responses tell when the limit rises.
    double min_rate_limit = 0.5;
    /// A part of a rate that this daemon gains is used only after this time.
    /// Longer than a change of the members takes to reach all daemons, plus the
    /// half second between two computations of the quota.
    duration handover_delay = std::chrono::seconds(2);
    /// Upper bound of the pause that a leaf can ask for.
    duration max_pause = std::chrono::minutes(5);
  };

  leaf_set(options settings, std::uint64_t seed);

  /// Adds a leaf or updates its registration. A changed start, address or
  /// service yields a new handle without the history of the old one. A start
  /// whose registration was removed and returns has its history, and what the
  /// leaf said of itself. An older write of the same start changes nothing.
  leaf_handle put(time_point now, const leaf_registration& registration);
  void remove(time_point now, const std::string& id);
  /// Sets the data centres that are out: their leafs get no requests.
  void set_data_centres_out(std::set<std::string> data_centres);
  void set_limits(time_point now, const std::string& service,
                  service_limits limits);
  /// Sets how much of the shared limits this daemon may use; to be called
  /// whenever members change, and regularly. A larger part of a rate is used
  /// only after `handover_delay`. Until the first call this daemon is the only
  /// one.
  void set_quota(time_point now, daemon_quota quota);

  /// Returns the leaf that is expected to complete the request first. Where
  /// more daemons compete than the service has slots, each prefers a few leafs
  /// of the data centre of that leaf. A work class groups requests of similar
  /// processing time, such as one route.
  result<leaf_handle, unavailable_reason> pick(time_point now,
                                               const std::string& service,
                                               const std::string& work_class,
                                               const leaf_filter& filter = {});

  /// Returns why no request to the service can be sent now; nothing if one can.
  std::optional<unavailable_reason> service_unavailable_reason(
      time_point now, const std::string& service) const;

  void on_attempt_sent(time_point now, leaf_handle leaf, attempt_id attempt,
                       const std::string& work_class);
  void on_attempt_ended(time_point now, leaf_handle leaf, attempt_id attempt,
                        attempt_outcome outcome);

  /// Takes over what a leaf said in its response to a request sent at
  /// `sent_at`.
  report_changes on_report(time_point now, leaf_handle leaf, time_point sent_at,
                           const leaf_report& report);

  /// Returns how long a request to the leaf usually takes, round trip included.
  duration expected_time(time_point now, leaf_handle leaf,
                         const std::string& work_class) const;
  /// Returns the time without a response after which to send a hedge; it is
  /// shorter for the most urgent requests.
  duration hedge_delay(time_point now, leaf_handle leaf,
                       const std::string& work_class,
                       bool urgent = false) const;

  /// Estimates the throughput of this daemon's requests while every leaf of the
  /// service is at its in-flight limit; nothing if no leaf can take requests.
  std::optional<service_throughput> throughput(
      time_point now, const std::string& service,
      const std::string& work_class) const;

  /// Returns the earliest time at which a leaf of the service may get a
  /// request, as far as the limits and pauses that leafs state decide on it.
  time_point earliest_turn(time_point now, const std::string& service) const;

  void add_round_trip_sample(const std::string& data_centre, duration value);

  /// Returns nothing if the start departed long ago.
  std::shared_ptr<const leaf_registration> find(leaf_handle leaf) const;
  /// Whether the leaf accepts new requests, ejected or not.
  bool usable(leaf_handle leaf) const;
  /// Returns how many connections this daemon may hold to each leaf of the
  /// service.
  std::size_t connection_limit(const std::string& service) const;
  std::vector<leaf_handle> leafs_of(const std::string& service) const;
  std::vector<leaf_status> statuses(time_point now) const;
  load_spread spread(time_point now) const;
  std::size_t size() const noexcept { return by_id_.size(); }

 private:
  struct open_attempt {
    attempt_id id = 0;
    time_point sent_at;
    duration expected_time;
    std::string work_class;
  };
  struct leaf_state {
    std::shared_ptr<const leaf_registration> registration;
    bool registered = false;
    std::vector<open_attempt> open_attempts;
    double slowness = 1;
    time_point slowness_updated_at{};
    std::shared_ptr<steady_slowness> steady;
    std::uint32_t consecutive_outliers = 0;
    time_point last_outlier_at{};
    double failure_rate = 0;
    time_point failure_rate_updated_at{};
    std::shared_ptr<leaf_throttle> throttle;
  };

  leaf_handle add_leaf();
  void forget_departed(time_point now);
  duration work_time(const std::string& work_class) const;
  duration round_trip(const leaf_state& leaf) const;
  double slowness(time_point now, const leaf_state& leaf) const;
  double contended_slowness(time_point now, const leaf_state& leaf) const;
  double failure_rate(time_point now, const leaf_state& leaf) const;
  duration expected_leaf_time(time_point now, const leaf_state& leaf,
                              const std::string& work_class) const;
  bool overdue(time_point now, const leaf_state& leaf) const;
  bool accepts_requests(const leaf_state& leaf) const;
  std::size_t max_in_flight(const leaf_state& leaf) const;
  std::optional<unavailable_reason> leaf_unavailable_reason(
      time_point now, const leaf_state& leaf) const;
  double cost(time_point now, const leaf_state& leaf,
              const std::string& work_class) const;
  double contended_cost(time_point now, const leaf_state& leaf,
                        const std::string& work_class) const;
  double cost(time_point now, const leaf_state& leaf,
              const std::string& work_class, double leaf_slowness,
              double load_weight) const;
  leaf_handle choose_contended(time_point now, leaf_handle best,
                               const std::vector<leaf_handle>& usable,
                               const std::string& work_class) const;
  std::size_t slots(const std::vector<leaf_handle>& leafs) const;
  double slowdown(time_point now, const leaf_state& leaf,
                  const open_attempt& attempt) const;
  void update_estimates(time_point now, leaf_state& leaf,
                        const open_attempt& attempt);
  /// Computes this daemon's parts of the rates of the leaf again.
  void update_rates(time_point now, leaf_state& leaf);

  options options_;
  std::uint64_t seed_;
  random_generator random_;
  /// By handle; null once a start is forgotten.
  std::vector<std::unique_ptr<leaf_state>> leafs_;
  std::shared_ptr<departed_leafs> departed_;
  std::unordered_map<std::string, leaf_handle> by_id_;
  std::unordered_map<std::string, std::vector<leaf_handle>> by_service_;
  std::unordered_map<std::string, service_limits> limits_;
  std::unordered_map<std::string, duration> work_times_;
  std::unordered_map<std::string, duration> round_trips_;
  std::set<std::string> data_centres_out_;
  daemon_quota quota_;
  std::shared_ptr<rate_shares> shares_;
};

}  // namespace medlarloft::leafs
