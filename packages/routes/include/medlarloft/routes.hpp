#pragma once

/// The operators' configuration: routes, services and request limits of one
/// version, and the lookup of the route for a request.

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "medlarloft/base.hpp"

namespace medlarloft::routes {

using config_version = std::uint64_t;

/// Whether a request may be sent again after a leaf may have run it.
enum class retry_policy : std::uint8_t { idempotent, at_most_once };

/// One of the services among which the requests of a route are divided.
struct split_target {
  std::string service;
  double weight = 1.0;
};

/// How the requests of one host and path prefix are handled. They are sent to
/// one of the services of `split`, or, in a gather, to one leaf of each shard,
/// whose responses are merged.
struct route {
  std::string name;
  std::string host;
  /// Prefix of the path; begins and ends with a slash.
  std::string prefix;
  retry_policy retry = retry_policy::at_most_once;
  /// Limit of the duration of a request; zero: the route sets none.
  duration timeout{};
  /// A response after this time is late for the caller; zero: none is set.
  duration latency_objective{};
  /// 0 is the most urgent.
  std::uint32_t priority = 0;
  /// Number of leafs to which one request may be sent; in a gather, per shard.
  std::uint32_t max_leafs = 1;
  /// Services among which requests are divided; at least one unless `shards` is
  /// set.
  std::vector<split_target> split;
  /// Services of a gather, each of which returns a part of the result;
  /// empty for single requests.
  std::vector<std::string> shards;
  /// Limit of the number of records in the merged response of a gather.
  std::uint32_t max_records = 0;
  /// Minimum fraction of the shards whose parts a merged response must contain.
  double min_coverage = 1.0;

  bool gathers() const noexcept { return !shards.empty(); }
};

struct service {
  std::string name;
  std::string health_path;
  /// Connections that one leaf accepts from all daemons together.
  std::uint32_t max_connections = 1;
  /// How long a leaf is cold after its start, which limits its request rate.
  duration cold_duration{};
  /// Requests per second that a cold leaf can handle from all daemons together;
  /// zero: unlimited.
  double cold_rate_limit = 0;
};

/// Limits of the size of callers' requests and of the time to receive them,
/// with the meaning of `http::limits`.
struct request_limits {
  std::size_t max_header_bytes = std::size_t{16} << 10;
  std::size_t max_body_bytes = std::size_t{256} << 10;
  duration request_timeout = std::chrono::seconds(3);
  duration idle_timeout = std::chrono::seconds(15);
};

struct configuration {
  config_version version = 0;
  std::vector<route> routes;
  std::map<std::string, service, std::less<>> services;
  request_limits limits;
};

/// The routes of one configuration version. Immutable; each request keeps the
/// table with which it began, so that it never mixes two versions.
class route_table {
 public:
  explicit route_table(configuration config);

  /// Returns the route of the host with the longest prefix that matches the
  /// path, or null. Ignores the port of the host and the query of the target.
  ///
  ///     const route* found = table.find("a.example", "/x/7?page=2");
  const route* find(std::string_view host, std::string_view target) const;

  const service* find_service(std::string_view name) const;
  const configuration& config() const noexcept { return config_; }
  config_version version() const noexcept { return config_.version; }

 private:
  configuration config_;
  /// Routes by host, longest prefix first.
  std::unordered_map<std::string, std::vector<const route*>> by_host_;
};

using route_table_ptr = std::shared_ptr<const route_table>;

/// Smooth weighted round robin: divides the requests of one route among its
/// targets, as close to the weights as whole requests allow at any time.
class weighted_round_robin {
 public:
  /// Returns the target for the next request. `split` must not be empty. If its
  /// weights differ from those of the last call, the state is reset.
  const split_target& next(const std::vector<split_target>& split);

 private:
  std::vector<double> credits_;
  std::vector<double> weights_;
};

}  // namespace medlarloft::routes
