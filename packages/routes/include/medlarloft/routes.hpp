#pragma once

/// The operators' configuration: routes, services, client accounts and request
/// limits of one version, and the lookups for a request.

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "medlarloft/base.hpp"

namespace medlarloft::routes {

using config_version = std::uint64_t;

/// The priority of requests that precede all others.
inline constexpr std::uint32_t most_urgent_priority = 0;

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
  /// Whether callers need no client account.
  bool is_public = false;

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

/// The requests of one account that all daemons together accept: a rate, and a
/// burst in addition to it.
struct quota_limit {
  double rate_per_second = 0;
  double burst = 0;

  friend bool operator==(const quota_limit&, const quota_limit&) = default;
};

/// A client account. A caller belongs to the account that holds its key.
struct account {
  std::string name;
  std::vector<std::string> keys;
  /// Takes precedence over the priority of the route.
  std::optional<std::uint32_t> priority;
  /// Not set: the account has no limit.
  std::optional<quota_limit> quota;
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
  /// Empty if requests need no account.
  std::vector<account> accounts;
  request_limits limits;
};

/// The routes and accounts of one configuration version. Immutable; each
/// request keeps the table with which it began, so that it never mixes two
/// versions.
class route_table {
 public:
  explicit route_table(configuration config);

  /// Returns the route of the host with the longest prefix that matches the
  /// path, or null. Ignores the port of the host and the query of the target.
  ///
  ///     const route* found = table.find("a.example", "/x/7?page=2");
  const route* find(std::string_view host, std::string_view target) const;

  const service* find_service(std::string_view name) const;

  /// Returns the account that holds the key, or null.
  const account* find_account(std::string_view key) const;
  /// Whether requests to routes that are not public need an account.
  bool has_accounts() const noexcept { return !config_.accounts.empty(); }
  /// Ambiguous entries of the configuration, one sentence each. An account that
  /// is named twice has the keys of both entries and the limits of the first; a
  /// key of two accounts belongs to the first.
  const std::vector<std::string>& problems() const noexcept {
    return problems_;
  }

  const configuration& config() const noexcept { return config_; }
  config_version version() const noexcept { return config_.version; }

 private:
  void merge_accounts();
  void index_keys();

  configuration config_;
  /// Routes by host, longest prefix first.
  std::unordered_map<std::string, std::vector<const route*>> by_host_;
  std::unordered_map<std::string, const account*> by_key_;
  std::vector<std::string> problems_;
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
