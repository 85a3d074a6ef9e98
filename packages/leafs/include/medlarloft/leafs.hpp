#pragma once

/// The backend servers as one daemon sees them: what the platform says of
/// each, what this daemon has experienced, and which leaf a request goes to.
/// A pure state machine; time and randomness are arguments.

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

/// What the platform says of one start of a leaf.
struct leaf_registration {
  std::string id;
  std::string service;
  endpoint address;
  std::string data_centre;
  /// Requests that the leaf works on at once.
  std::uint32_t slots = 1;
  bool draining = false;
  /// How much longer the leaf is cold.
  duration cold_time_left{};
  /// Tells the starts of one id apart.
  std::int64_t started_at = 0;

  friend bool operator==(const leaf_registration&,
                         const leaf_registration&) = default;
};

/// Names one start of one leaf for the life of the process.
using leaf_handle = std::uint32_t;

/// Names one request sent to a leaf.
using attempt_id = std::uint64_t;

/// How one request to a leaf ended.
enum class attempt_outcome : std::uint8_t {
  answered,       // a success
  failed,         // the leaf ran it and answered with a failure
  shed,           // the leaf says that it did not run it
  misdirected,    // another leaf has the address
  lost,           // the connection broke after something was sent
  silent,         // no answer within the time allowed
  no_connection,  // nothing was sent
  abandoned,      // not waited for any longer; says nothing of the leaf
};
std::string_view name_of(attempt_outcome how) noexcept;

/// Limits of a service that all daemons share.
struct service_limits {
  std::uint32_t max_connections = 1;
  /// Requests a second that a cold leaf bears; zero: no bound.
  double cold_rate_limit = 0;
};

/// What one daemon may use of the limits that all daemons share.
struct daemon_quota {
  /// Part of each leaf's connections.
  double fraction = 1;
  std::size_t daemons = 1;
  /// Place of this daemon among all for a leaf: the first ones may use a cold
  /// one. Not set: the first place.
  std::function<std::size_t(std::string_view leaf)> daemon_index;
};

/// Why no leaf was picked.
enum class unavailable_reason : std::uint8_t {
  none_registered,  // none that may get new requests
  all_tried,
  all_dark,  // those that are left failed lately and are not due for a trial
  all_busy,  // connections or cold allowance are used up for now
};
std::string_view name_of(unavailable_reason why) noexcept;

/// Leafs that a request was already sent to, or may be limited to.
struct pick_options {
  std::span<const leaf_handle> excluded;
  /// Only these, if not empty.
  std::span<const leaf_handle> allowed;
};

/// What a service does for one daemon that has requests waiting.
struct service_throughput {
  /// From one request that ends to the next.
  duration completion_interval{};
  /// How long a request is at its leaf.
  duration time_at_leaf{};
};

struct leaf_status {
  leaf_registration registration;
  bool usable = false;
  bool ejected = false;
  std::size_t in_flight = 0;
  double slowness = 1;
};

class in_flight_limit;

class leaf_set {
 public:
  struct options {
    std::string local_data_centre;
    /// A round trip to another data centre, until one was measured.
    duration default_remote_round_trip = std::chrono::milliseconds(8);
    /// Answers this many times slower than expected are outliers.
    double outlier_factor = 4;
    /// A request older than this many times the expected time shows a pause.
    double overdue_factor = 3;
    duration overdue_floor = std::chrono::milliseconds(15);
    /// How fast experience of slowness fades.
    duration slowness_half_life = std::chrono::milliseconds(1500);
    duration initial_ejection = std::chrono::milliseconds(250);
    duration max_ejection = std::chrono::seconds(2);
    /// Expected work until something was measured.
    duration default_work_time = std::chrono::milliseconds(20);
    /// Requests in flight to a leaf, over all daemons, for each of its slots;
    /// the rest wait here, where they can go elsewhere or be given up in time.
    double in_flight_per_slot = 2;
    /// What one daemon may have in flight to a leaf at least.
    std::size_t min_in_flight = 3;
    /// Requests to a cold leaf that all daemons may begin at once.
    std::uint32_t cold_burst = 5;
  };

  leaf_set(options settings, std::uint64_t seed);

  /// Takes what the platform says of a leaf.
  leaf_handle put(time_point now, const leaf_registration& registration);
  void remove(const std::string& id);
  /// Takes the data centres whose leafs get nothing.
  void set_data_centres_out(std::set<std::string> data_centres);
  void set_limits(const std::string& service, service_limits limits);
  /// Takes this daemon's part of the limits that all daemons share.
  void set_quota(daemon_quota quota);

  /// Picks the leaf at which `work` will most likely end first.
  result<leaf_handle, unavailable_reason> pick(time_point now,
                                               const std::string& service,
                                               const std::string& work_class,
                                               const pick_options& limits = {});

  /// Whether a request to the service could be sent now.
  std::optional<unavailable_reason> service_unavailable_reason(
      time_point now, const std::string& service) const;

  void on_attempt_sent(time_point now, leaf_handle leaf, attempt_id attempt,
                       const std::string& work_class);
  void on_attempt_ended(time_point now, leaf_handle leaf, attempt_id attempt,
                        attempt_outcome how);

  /// How long a request to the leaf usually takes.
  duration expected_time(time_point now, leaf_handle leaf,
                         const std::string& work_class) const;
  /// After how long without an answer another leaf should be asked.
  duration hedge_delay(time_point now, leaf_handle leaf,
                       const std::string& work_class) const;

  /// How fast this daemon's requests of the work pass through the service's
  /// leafs when each has as many as it may get; nothing if none may get one.
  std::optional<service_throughput> throughput(
      time_point now, const std::string& service,
      const std::string& work_class) const;

  void add_round_trip_sample(const std::string& data_centre, duration value);

  const leaf_registration* find(leaf_handle leaf) const;
  bool usable(leaf_handle leaf) const;
  /// Connections that this daemon may hold to a leaf of the service.
  std::size_t connection_limit(const std::string& service) const;
  std::vector<leaf_handle> leafs_of(const std::string& service) const;
  std::vector<leaf_status> statuses(time_point now) const;
  std::size_t size() const noexcept { return by_id_.size(); }

 private:
  struct open_request {
    attempt_id attempt = 0;
    time_point sent_at;
    duration expected;
    std::string work_class;
  };
  struct leaf {
    leaf_registration registration;
    bool present = true;
    std::vector<open_request> open;
    double slowness = 1;
    time_point slowness_at{};
    std::uint32_t outliers = 0;
    time_point last_outlier{};
    std::uint32_t failures = 0;
    double failure_share = 0;
    time_point ejected_until{};
    bool trial_open = false;
    time_point cold_until{};
    token_bucket cold_tokens{{}};
    std::shared_ptr<in_flight_limit> limit;
  };

  duration work_time(const std::string& work_class) const;
  duration round_trip(const leaf& one) const;
  double slowness(time_point now, const leaf& one) const;
  duration expected_at(time_point now, const leaf& one,
                       const std::string& work_class) const;
  bool overdue(time_point now, const leaf& one) const;
  bool may_get(const leaf& one) const;
  std::size_t most_in_flight(const leaf& one) const;
  std::optional<unavailable_reason> obstacle_of(time_point now,
                                                const leaf& one) const;
  double cost(time_point now, const leaf& one,
              const std::string& work_class) const;
  double slowdown(time_point now, const leaf& one,
                  const open_request& request) const;
  void learn(time_point now, leaf& one, const open_request& request);
  void failed(time_point now, leaf& one, bool at_once);
  void reset_cold(time_point now, leaf& one);

  options options_;
  random_stream random_;
  std::vector<leaf> leafs_;
  std::unordered_map<std::string, leaf_handle> by_id_;
  std::unordered_map<std::string, std::vector<leaf_handle>> by_service_;
  std::unordered_map<std::string, service_limits> limits_;
  std::unordered_map<std::string, duration> work_times_;
  std::unordered_map<std::string, duration> round_trips_;
  std::set<std::string> out_;
  daemon_quota quota_;
};

}  // namespace medlarloft::leafs
