#pragma once

/// Counters and latency histograms. Each traffic thread writes its own
/// recorder; a reader merges them and writes the Prometheus text format.

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "medlarloft/base.hpp"

namespace medlarloft::metrics {

/// Every counter of a daemon.
enum class counter : std::uint8_t {
  queries,
  answers_whole,
  answers_partial,
  refused_not_run,
  refused_unknown,
  refused_invalid,
  leaf_requests_needed,
  leaf_requests_sent,
  hedges_sent,
  retries_sent,
  snapshot_reruns,
  mixed_answers_dropped,
  foreign_answers_dropped,
  connections_opened,
  connections_replaced,
  control_messages_sent,
  control_bytes_sent,
  configuration_reads,
  view_refusals,
  counters_end  // number of counters, not one itself
};

std::string_view name_of(counter which) noexcept;

/// The latencies of one service and class.
struct latency_key {
  std::string service;
  std::string service_class;

  friend auto operator<=>(const latency_key&, const latency_key&) = default;
};

/// Merged figures of one latency histogram.
struct latency_summary {
  std::uint64_t count = 0;
  double sum_seconds = 0;
  duration p50{};
  duration p99{};
  duration p999{};
};

/// Merged figures of all threads of one process.
struct summary {
  std::array<std::uint64_t, static_cast<std::size_t>(counter::counters_end)>
      counters{};
  std::map<latency_key, latency_summary> latencies;
  /// Share of the key range answered, by tenths; the last is exactly whole.
  std::array<std::uint64_t, 11> coverage{};

  std::uint64_t operator[](counter which) const noexcept {
    return counters[static_cast<std::size_t>(which)];
  }
};

/// The metrics of one thread. Writing is cheap; reading takes a lock that a
/// writer holds only while it adds one sample.
class recorder {
 public:
  recorder();
  ~recorder();
  recorder(const recorder&) = delete;
  recorder& operator=(const recorder&) = delete;

  void count(counter which, std::uint64_t amount = 1) noexcept;
  void latency(const latency_key& key, duration value);
  /// `covered` is a fraction in [0, 1].
  void coverage(double covered);

 private:
  friend summary merge(const std::vector<const recorder*>& recorders);
  struct state;
  std::unique_ptr<state> state_;
};

summary merge(const std::vector<const recorder*>& recorders);

/// Writes the latencies alone, in the Prometheus text exposition format.
std::string latency_text(const summary& figures, std::string_view process);

/// Writes the Prometheus text exposition format.
std::string to_prometheus(const summary& figures, std::string_view process);

}  // namespace medlarloft::metrics
