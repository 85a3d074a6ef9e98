#pragma once

/// Counters, gauges and latency histograms of one daemon.

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include "medlarloft/leafs.hpp"
#include "medlarloft/metrics.hpp"

namespace medlarloft::tier {

enum class counter : std::uint8_t {
  requests,
  answered_whole,
  answered_partial,
  refused_not_run,
  failed,
  out_of_time,
  callers_left,
  no_route,
  not_ready,
  leaf_requests,
  hedges,
  retries,
  budget_empty,
  connections_opened,
  store_calls,
  peer_bytes,
  address_answers,
  unauthorized,     // requests without the key of an account
  reports_ignored,  // headers of leafs with a malformed or excessive value
  refused_overloaded,
  requests_over_quota,
  quota_messages,  // sent to other daemons
  counter_count    // the number of counters
};

std::string_view name_of(counter which) noexcept;

/// Values as of now, set just before they are read.
enum class gauge : std::uint8_t {
  configuration_version,
  store_revision,      // within the era
  store_era,           // how often the store was restored
  store_age_seconds,   // since the store last answered some daemon
  members,             // daemons that shared limits are divided among
  leafs_usable,        // may be sent requests
  leafs_ejected,       // of these, get trial requests only
  leafs_limited,       // of these, state a limit of requests per second
  leafs_paused,        // of these, asked for a pause
  leafs_leaving,       // registered, and said that they leave
  leaf_requests_open,  // sent and not ended
  requests_running,
  requests_waiting,  // entries in the wait queues for a free leaf
  loop_lag_seconds,  // delay of the last periodic sweep
  // Highest to mean, see leafs::load_spread.
  leaf_in_flight_ratio,
  leaf_slowness_ratio,
  services_contended,  // more daemons compete than their leafs have slots
  overload_level,      // 0: not overloaded
  load,                // fraction of the host in use
  quota_tokens_held,   // by this daemon, for all accounts together
  gauge_count          // the number of gauges
};

std::string_view name_of(gauge which) noexcept;

class daemon_metrics {
 public:
  void increment(counter which, std::uint64_t amount = 1) noexcept {
    counters_[static_cast<std::size_t>(which)] += amount;
  }
  void set(counter which, std::uint64_t value) noexcept {
    counters_[static_cast<std::size_t>(which)] = value;
  }
  std::uint64_t value(counter which) const noexcept {
    return counters_[static_cast<std::size_t>(which)];
  }
  void set(gauge which, double value) noexcept {
    gauges_[static_cast<std::size_t>(which)] = value;
  }
  void count_attempt(leafs::attempt_outcome outcome) noexcept {
    ++attempts_[static_cast<std::size_t>(outcome)];
  }
  metrics::recorder& latencies() noexcept { return latencies_; }

  /// Returns all metrics in the Prometheus text format.
  std::string to_prometheus(std::string_view daemon) const;

 private:
  static constexpr std::size_t outcome_count =
      static_cast<std::size_t>(leafs::attempt_outcome::abandoned) + 1;
  std::array<std::uint64_t, static_cast<std::size_t>(counter::counter_count)>
      counters_{};
  std::array<std::uint64_t, outcome_count> attempts_{};
  std::array<double, static_cast<std::size_t>(gauge::gauge_count)> gauges_{};
  metrics::recorder latencies_;
};

}  // namespace medlarloft::tier
