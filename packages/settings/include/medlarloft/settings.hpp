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

/// The endpoints that the daemon listens on, all at its own IP address.
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

/// Upper bounds on the fleet size, used to divide budgets among daemons.
struct fleet_settings {
  std::size_t expected_daemons = 8;
  std::size_t expected_data_centres = 3;
};

struct caller_settings {
  std::size_t max_header_bytes = std::size_t{8} << 10;
  std::size_t max_body_bytes = std::size_t{256} << 10;
  std::size_t max_connections = 4096;
  duration request_timeout = std::chrono::seconds(5);
  duration idle_timeout = std::chrono::seconds(60);
  /// How long a caller may cache the daemon addresses that it received.
  duration keep_addresses = std::chrono::seconds(5);
  /// Tolerated clock error of callers.
  duration max_clock_skew = std::chrono::seconds(1);
  /// How long after it was issued a non-idempotent request may be repeated.
  duration repeat_window = std::chrono::seconds(60);
};

struct query_settings {
  std::size_t concurrent = 64;
  std::size_t queue = 256;
  /// Queue length for each backend server, in its home daemon.
  std::size_t leaf_queue = 64;
  bool hedging = true;
  /// Limit on extra leaf requests, as a fraction of the required ones.
  double extra_share = 0.05;
  double hedge_quantile = 0.5;
  /// Fixed hedge delay; if zero, it is derived from observed latencies.
  duration hedge_after{};
  duration leaf_timeout = std::chrono::seconds(1);
};

struct control_settings {
  duration probe_period = std::chrono::seconds(1);
  duration probe_timeout = std::chrono::milliseconds(300);
  /// Without contact to any peer or the platform for this long, the daemon
  /// accepts no new work.
  duration view_expiry = std::chrono::seconds(4);
  /// Delay before a newly gained share of a limit is used.
  duration hold_off = std::chrono::seconds(3);
  /// Delay before the shares of a failed daemon pass to other daemons.
  duration takeover_after = std::chrono::seconds(10);
  /// A longer gap between two ticks counts as a late wake-up of the process.
  duration sleep_gap = std::chrono::seconds(2);
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
