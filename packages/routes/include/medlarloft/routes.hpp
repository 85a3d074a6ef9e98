#pragma once

/// The operators' configuration as the traffic path uses it: routes, services
/// and request limits of one version, and the choice of a route.

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

/// What may be repeated.
enum class retry_policy : std::uint8_t { idempotent, at_most_once };

/// One of the services among which a route's requests are divided.
struct split_target {
  std::string service;
  double weight = 1.0;
};

struct route {
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string prefix;
  retry_policy retry = retry_policy::at_most_once;
  /// Longest time that a request may take; zero: no limit of the route.
  duration timeout{};
  /// Time within which an answer earns its full credit.
  duration latency_objective{};
  /// 0 is the most urgent.
  std::uint32_t priority = 0;
  /// Leafs to which one request may be sent; for each shard of a gather.
  std::uint32_t max_leafs = 1;
  /// A route without shards has one part or more.
  std::vector<split_target> split;
  /// Services of which one leaf each answers a part; empty: no gather.
  std::vector<std::string> shards;
  /// Records of a gathered answer.
  std::uint32_t max_records = 0;
  /// Least share of the shards in a gathered answer.
  double min_coverage = 1.0;

  bool gathers() const noexcept { return !shards.empty(); }
};

struct service {
  std::string name;
  std::string health_path;
  /// Connections that one leaf accepts from all daemons together.
  std::uint32_t max_connections = 1;
  /// How long a leaf is cold after its start.
  duration cold_duration{};
  /// Requests a second that a cold leaf bears from all daemons together; zero:
  /// no bound is stated.
  double cold_rate_limit = 0;
};

/// What callers may send and how long they may take.
struct request_limits {
  std::size_t max_header_bytes = std::size_t{16} << 10;
  std::size_t max_body_bytes = std::size_t{256} << 10;
  duration header_timeout = std::chrono::seconds(3);
  duration idle_timeout = std::chrono::seconds(15);
};

struct configuration {
  config_version version = 0;
  std::vector<route> routes;
  std::map<std::string, service, std::less<>> services;
  request_limits limits;
};

/// One version in force: immutable, and shared by the requests that began
/// under it, so that a request never mixes two versions.
class route_table {
 public:
  explicit route_table(configuration source);

  /// Returns the route with the longest prefix that begins the path among the
  /// routes of the host, or null. A query in the target is not looked at.
  ///
  ///     const route* found = table.find("a.example", "/x/7?page=2");
  const route* find(std::string_view host, std::string_view target) const;

  const service* find_service(std::string_view name) const;
  const configuration& config() const noexcept { return source_; }
  config_version version() const noexcept { return source_.version; }

 private:
  configuration source_;
  /// Routes of each host, the longest prefix first.
  std::unordered_map<std::string, std::vector<const route*>> by_host_;
};

using route_table_ptr = std::shared_ptr<const route_table>;

/// Divides the requests of one route among its parts so that the shares stay
/// as near to the weights as whole requests allow (smooth round robin).
class weighted_round_robin {
 public:
  /// Returns the part for the next request. `split` must not be empty; a
  /// split of other services or weights starts anew.
  const split_target& next(const std::vector<split_target>& split);

 private:
  std::vector<double> owed_;
  std::vector<double> weights_;
};

}  // namespace medlarloft::routes
