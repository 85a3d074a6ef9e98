#pragma once

/// The settings of a daemon: a JSON file, checked by schema and by meaning.

#include <cstdint>
#include <string>
#include <vector>

#include "medlarloft/base.hpp"
#include "medlarloft/documents.hpp"
#include "medlarloft/logs.hpp"

namespace medlarloft::settings {

/// Where the daemon listens; all on its own IP address.
struct listen_settings {
  endpoint callers;
  endpoint peers;
  endpoint control;
  endpoint operators;
};

/// Where the platform's services are.
struct platform_settings {
  endpoint configuration;
  endpoint hosts;
  duration host_list_every = std::chrono::seconds(2);
};

/// Upper bounds on the fleet, from which the shares of budgets follow.
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
  /// How long a caller may keep the addresses it was given.
  duration keep_addresses = std::chrono::seconds(5);
  /// Clock error of callers that is allowed for.
  duration max_clock_skew = std::chrono::seconds(1);
  /// How long a non-idempotent request may be repeated after its issue.
  duration repeat_window = std::chrono::seconds(60);
};

struct query_settings {
  std::size_t concurrent = 64;
  std::size_t queue = 256;
  /// Queue of each backend server in its home daemon.
  std::size_t leaf_queue = 64;
  bool hedging = true;
  /// Extra leaf requests as a share of those needed.
  double extra_share = 0.05;
  double hedge_quantile = 0.5;
  /// Fixed hedge delay; zero learns it.
  duration hedge_after{};
  duration leaf_timeout = std::chrono::seconds(1);
};

struct control_settings {
  duration probe_period = std::chrono::seconds(1);
  duration probe_timeout = std::chrono::milliseconds(300);
  /// Without word from any peer or the platform, no new work after this.
  duration view_expiry = std::chrono::seconds(4);
  /// Gained shares of limits are used after this.
  duration hold_off = std::chrono::seconds(3);
  /// A failed daemon's shares pass on after this.
  duration takeover_after = std::chrono::seconds(10);
  /// A gap between two ticks longer than this is a late wake.
  duration sleep_gap = std::chrono::seconds(2);
  std::vector<endpoint> seeds;
};

struct stop_settings {
  /// At most this long from the stop signal to the exit.
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

/// Reads the settings from JSON text; errors name key path and value.
documents::document_result<daemon_settings> read(std::string_view text);

/// Reads a file; an unreadable one is an error that names it.
documents::document_result<std::string> read_file(const std::string& path);

}  // namespace medlarloft::settings
