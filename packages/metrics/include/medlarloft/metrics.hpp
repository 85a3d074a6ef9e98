#pragma once

/// Counters and latency histograms. Each traffic thread writes to its own
/// recorder; readers merge the recorders and export the Prometheus text format.

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "medlarloft/base.hpp"

namespace medlarloft::metrics {

/// The counters of a daemon.
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
  counters_end  // number of counters, not a counter
};

std::string_view name_of(counter id) noexcept;

/// Labels of a latency histogram.
struct latency_key {
  std::string service;
  std::string service_class;

  friend auto operator<=>(const latency_key&, const latency_key&) = default;
};

/// Summary of one merged latency histogram.
struct latency_summary {
  std::uint64_t count = 0;
  double sum_seconds = 0;
  duration p50{};
  duration p99{};
  duration p999{};
};

/// Merged metrics of all threads of a process.
struct summary {
  std::array<std::uint64_t, static_cast<std::size_t>(counter::counters_end)>
      counters{};
  std::map<latency_key, latency_summary> latencies;
  /// Histogram of the answered fraction of the key range, in tenths; the last
  /// bin counts complete answers only.
  std::array<std::uint64_t, 11> coverage{};

  std::uint64_t operator[](counter id) const noexcept {
    return counters[static_cast<std::size_t>(id)];
  }
};

/// The metrics of one thread. Counters are lock-free; histograms take a lock
/// that a writer holds only while it adds one sample.
class recorder {
 public:
  recorder();
  ~recorder();
  recorder(const recorder&) = delete;
  recorder& operator=(const recorder&) = delete;

  void increment(counter id, std::uint64_t amount = 1) noexcept;
  void record_latency(const latency_key& key, duration value);
  /// `fraction` is in [0, 1].
  void record_coverage(double fraction);

 private:
  friend summary merge(const std::vector<const recorder*>& recorders);
  struct state;
  std::unique_ptr<state> state_;
};

summary merge(const std::vector<const recorder*>& recorders);

/// Returns the latencies alone, in the Prometheus text format.
std::string latencies_to_prometheus(const summary& totals,
                                    std::string_view process);

/// Returns all metrics in the Prometheus text format.
std::string to_prometheus(const summary& totals, std::string_view process);

}  // namespace medlarloft::metrics
