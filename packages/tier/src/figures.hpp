#pragma once

/// Counters and gauges of one daemon.

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include "medlarloft/leafs.hpp"
#include "medlarloft/metrics.hpp"

namespace medlarloft::tier {

enum class count : std::uint8_t {
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
  counts_end  // number of counters, not one itself
};

std::string_view name_of(count which) noexcept;

/// What is true now, beside what was counted.
enum class gauge : std::uint8_t {
  configuration_version,
  store_revision,
  store_age_seconds,   // since the store was known to answer some daemon
  members,             // daemons that limits are divided among
  leafs_usable,        // may get requests
  leafs_ejected,       // of these, get trials only
  leaf_requests_open,  // sent and not ended
  requests_running,
  requests_waiting,  // places in the lines for a free leaf
  loop_lag_seconds,  // by how much the last regular turn was late
  gauges_end         // number of gauges, not one itself
};

std::string_view name_of(gauge which) noexcept;

class figures {
 public:
  void add(count which, std::uint64_t amount = 1) noexcept {
    counts_[static_cast<std::size_t>(which)] += amount;
  }
  void set(count which, std::uint64_t value) noexcept {
    counts_[static_cast<std::size_t>(which)] = value;
  }
  std::uint64_t value(count which) const noexcept {
    return counts_[static_cast<std::size_t>(which)];
  }
  void set(gauge which, double value) noexcept {
    gauges_[static_cast<std::size_t>(which)] = value;
  }
  void ended(leafs::attempt_outcome how) noexcept {
    ++endings_[static_cast<std::size_t>(how)];
  }
  metrics::recorder& latencies() noexcept { return latencies_; }

  /// Writes everything in the Prometheus text format.
  std::string text(std::string_view daemon) const;

 private:
  static constexpr std::size_t ending_count =
      static_cast<std::size_t>(leafs::attempt_outcome::abandoned) + 1;
  std::array<std::uint64_t, static_cast<std::size_t>(count::counts_end)>
      counts_{};
  std::array<std::uint64_t, ending_count> endings_{};
  std::array<double, static_cast<std::size_t>(gauge::gauges_end)> gauges_{};
  metrics::recorder latencies_;
};

}  // namespace medlarloft::tier
