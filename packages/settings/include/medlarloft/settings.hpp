#pragma once

/// The settings of a daemon, read from a JSON file. Values are validated
/// against a schema and against each other.

#include <cstdint>
#include <string>
#include <vector>

#include "medlarloft/base.hpp"
#include "medlarloft/documents.hpp"
#include "medlarloft/logs.hpp"

namespace medlarloft::settings {

/// The endpoints that the daemon listens on, all at its own IP address; no two
/// may be equal.
struct listen_settings {
  endpoint callers;
  endpoint peers;
  endpoint control;
  endpoint operators;
};

/// The endpoints of the platform's services.
struct platform_settings {
  endpoint configuration;
  endpoint hosts;
  /// Interval between reads of the host list.
  duration host_list_every = std::chrono::seconds(2);
};

/// Upper bounds on the size of the fleet. The allowed rate of reads from the
/// configuration service is divided by them among the daemons.
struct fleet_settings {
  std::size_t expected_daemons = 8;
  std::size_t expected_data_centres = 3;
};

struct caller_settings {
  std::size_t max_header_bytes = std::size_t{8} << 10;
  std::size_t max_body_bytes = std::size_t{256} << 10;
  std::size_t max_connections = 4096;
  /// From the first byte of a request to its last.
  duration request_timeout = std::chrono::seconds(5);
  /// Between requests on one connection.
  duration idle_timeout = std::chrono::seconds(60);
  /// How long a caller may cache the daemon addresses that it received. A
  /// stopping daemon listens longer than this, unless `stop.limit` is shorter.
  duration keep_addresses = std::chrono::seconds(5);
  /// Largest tolerated difference between the clocks of caller and daemon.
  duration max_clock_skew = std::chrono::seconds(1);
  /// How long after its issue time a non-idempotent request may be repeated.
  duration repeat_window = std::chrono::seconds(60);
};

struct query_settings {
  /// Queries that may run at once, over all traffic threads.
  std::size_t concurrent = 64;
  /// Queries that may wait for a running one to end, over all traffic threads.
  std::size_t queue = 256;
  /// Capacity of the wait queue for each backend server, in each of its home
  /// daemons (the daemons that hold connections to it).
  std::size_t leaf_queue = 64;
  bool hedging = true;
  /// Hedge budget: hedges as a fraction of the required leaf requests.
  double extra_share = 0.05;
  /// Quantile of observed latencies from which the hedge delay is derived.
  double hedge_quantile = 0.5;
  /// Fixed hedge delay; if zero, it is derived from observed latencies.
  duration hedge_after{};
  /// Timeout of one request to a backend server.
  duration leaf_timeout = std::chrono::seconds(1);
};

struct control_settings {
  duration probe_period = std::chrono::seconds(1);
  duration probe_timeout = std::chrono::milliseconds(300);
  /// Time without a message from a peer or a successful read from the
  /// configuration service after which new queries are refused.
  duration view_expiry = std::chrono::seconds(4);
  /// Delay before this daemon uses an increased quota or runs newly owned
  /// request ids; by then the previous owner has given them up.
  duration hold_off = std::chrono::seconds(3);
  /// How long a daemon must be unreachable before its quota is divided among
  /// the other home daemons of a server.
  duration takeover_after = std::chrono::seconds(10);
  /// A longer gap between two ticks shows that the process was paused. The
  /// daemon then gives up its quotas, since others may have taken them over.
  duration sleep_gap = std::chrono::seconds(2);
  /// Control addresses of daemons through which this one joins the group.
  std::vector<endpoint> seeds;
};

struct stop_settings {
  /// Maximum time from the stop signal to the exit.
  duration limit = std::chrono::seconds(30);
};

struct daemon_settings {
  std::string id;
  std::string data_centre;
  listen_settings listen;
  platform_settings platform;
  fleet_settings fleet;
  caller_settings callers;
  query_settings query;
  control_settings control;
  stop_settings stop;
  std::size_t traffic_threads = 2;
  std::size_t timeline_events = 4096;
  logs::level log_level = logs::level::info;
};

/// Parses settings from JSON text. Errors contain the key path and the value.
documents::document_result<daemon_settings> parse(std::string_view text);

/// Returns the content of a file. The error for an unreadable file contains its
/// path.
documents::document_result<std::string> read_file(const std::string& path);

}  // namespace medlarloft::settings
