#include "medlarloft/metrics.hpp"

#include <algorithm>
#include <atomic>
#include <boost/histogram.hpp>
#include <cmath>
#include <mutex>
#include <sstream>

namespace medlarloft::metrics {
namespace {

namespace bh = boost::histogram;

constexpr std::size_t counter_count =
    static_cast<std::size_t>(counter::counters_end);
constexpr std::array<std::string_view, counter_count> counter_names{
    "queries",
    "answers_whole",
    "answers_partial",
    "refused_not_run",
    "refused_unknown",
    "refused_invalid",
    "leaf_requests_needed",
    "leaf_requests_sent",
    "hedges_sent",
    "retries_sent",
    "snapshot_reruns",
    "mixed_answers_dropped",
    "foreign_answers_dropped",
    "connections_opened",
    "connections_replaced",
    "control_messages_sent",
    "control_bytes_sent",
    "configuration_reads",
    "view_refusals"};

// Logarithmic bins from 50 us to 60 s, each 6% wide.
constexpr unsigned latency_bins = 240;
constexpr double shortest_latency = 50e-6;  // seconds
constexpr double longest_latency = 60.0;    // seconds

using latency_axis = bh::axis::regular<double, bh::axis::transform::log>;
using latency_histogram = bh::histogram<std::tuple<latency_axis>>;

latency_histogram make_histogram() {
  return bh::make_histogram(
      latency_axis(latency_bins, shortest_latency, longest_latency));
}

duration seconds(double value) {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(value));
}

struct latency_state {
  latency_histogram histogram = make_histogram();
  double sum_seconds = 0;
};

// Returns the upper edge of the bin that holds the quantile.
duration quantile(const latency_histogram& histogram, double total,
                  double fraction) {
  double cumulative = 0;
  const auto& axis = histogram.axis(0);
  for (auto&& bin : bh::indexed(histogram, bh::coverage::all)) {
    cumulative += static_cast<double>(*bin);
    if (cumulative < total * fraction) continue;
    const int index = bin.index(0);
    if (index < 0) return seconds(shortest_latency);
    if (index >= axis.size()) return seconds(longest_latency);
    return seconds(axis.bin(index).upper());
  }
  return duration::zero();
}

latency_summary summarise(const latency_state& merged) {
  latency_summary result;
  const double total = bh::algorithm::sum(merged.histogram);
  result.count = static_cast<std::uint64_t>(total);
  result.sum_seconds = merged.sum_seconds;
  if (result.count == 0) return result;
  result.p50 = quantile(merged.histogram, total, 0.5);
  result.p99 = quantile(merged.histogram, total, 0.99);
  result.p999 = quantile(merged.histogram, total, 0.999);
  return result;
}

}  // namespace

std::string_view name_of(counter id) noexcept {
  return counter_names[static_cast<std::size_t>(id)];
}

struct recorder::state {
  std::array<std::atomic<std::uint64_t>, counter_count> counters{};
  mutable std::mutex mutex;
  std::map<latency_key, latency_state> latencies;
  std::array<std::uint64_t, 11> coverage{};
};

recorder::recorder() : state_(std::make_unique<state>()) {}
recorder::~recorder() = default;

void recorder::increment(counter id, std::uint64_t amount) noexcept {
  state_->counters[static_cast<std::size_t>(id)].fetch_add(
      amount, std::memory_order_relaxed);
}

void recorder::record_latency(const latency_key& key, duration value) {
  const double measured = std::chrono::duration<double>(value).count();
  const std::lock_guard<std::mutex> guard(state_->mutex);
  latency_state& latency = state_->latencies[key];
  latency.histogram(measured);
  latency.sum_seconds += measured;
}

void recorder::record_coverage(double fraction) {
  const double bounded = std::clamp(fraction, 0.0, 1.0);
  const auto bin = static_cast<std::size_t>(bounded * 10.0);
  const std::lock_guard<std::mutex> guard(state_->mutex);
  ++state_->coverage[bin];
}

summary merge(const std::vector<const recorder*>& recorders) {
  summary totals;
  std::map<latency_key, latency_state> latencies;
  for (const recorder* source : recorders) {
    const recorder::state& state = *source->state_;
    for (std::size_t i = 0; i < counter_count; ++i) {
      totals.counters[i] += state.counters[i].load(std::memory_order_relaxed);
    }
    const std::lock_guard<std::mutex> guard(state.mutex);
    for (const auto& [key, latency] : state.latencies) {
      latencies[key].histogram += latency.histogram;
      latencies[key].sum_seconds += latency.sum_seconds;
    }
    std::ranges::transform(totals.coverage, state.coverage,
                           totals.coverage.begin(), std::plus<>{});
  }
  for (const auto& [key, merged] : latencies) {
    totals.latencies[key] = summarise(merged);
  }
  return totals;
}

std::string latencies_to_prometheus(const summary& totals,
                                    std::string_view process) {
  std::ostringstream out;
  const std::string label = "{process=\"" + std::string(process) + "\"";
  out << "# TYPE medlarloft_latency_seconds summary\n";
  for (const auto& [key, latency] : totals.latencies) {
    const std::string labels = label + ",service=\"" + key.service +
                               "\",class=\"" + key.service_class + "\"";
    const auto line = [&](std::string_view quantile_label, duration value) {
      out << "medlarloft_latency_seconds" << labels << ",quantile=\""
          << quantile_label << "\"} "
          << std::chrono::duration<double>(value).count() << '\n';
    };
    line("0.5", latency.p50);
    line("0.99", latency.p99);
    line("0.999", latency.p999);
    out << "medlarloft_latency_seconds_sum" << labels << "} "
        << latency.sum_seconds << "\nmedlarloft_latency_seconds_count" << labels
        << "} " << latency.count << '\n';
  }
  return out.str();
}

std::string to_prometheus(const summary& totals, std::string_view process) {
  std::ostringstream out;
  const std::string label = "{process=\"" + std::string(process) + "\"";
  for (std::size_t i = 0; i < counter_count; ++i) {
    const std::string name =
        "medlarloft_" + std::string(counter_names[i]) + "_total";
    out << "# TYPE " << name << " counter\n"
        << name << label << "} " << totals.counters[i] << '\n';
  }
  out << latencies_to_prometheus(totals, process);
  out << "# TYPE medlarloft_coverage_tenths gauge\n";
  for (std::size_t i = 0; i < totals.coverage.size(); ++i) {
    out << "medlarloft_coverage_tenths" << label << ",tenths=\"" << i << "\"} "
        << totals.coverage[i] << '\n';
  }
  return out.str();
}

}  // namespace medlarloft::metrics
