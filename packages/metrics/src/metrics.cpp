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
                  double share) {
  double seen = 0;
  const auto& axis = histogram.axis(0);
  for (auto&& bin : bh::indexed(histogram, bh::coverage::all)) {
    seen += static_cast<double>(*bin);
    if (seen < total * share) continue;
    const int index = bin.index(0);
    if (index < 0) return seconds(shortest_latency);
    if (index >= axis.size()) return seconds(longest_latency);
    return seconds(axis.bin(index).upper());
  }
  return duration::zero();
}

latency_summary summarise(const latency_state& merged) {
  latency_summary figures;
  const double total = bh::algorithm::sum(merged.histogram);
  figures.count = static_cast<std::uint64_t>(total);
  figures.sum_seconds = merged.sum_seconds;
  if (figures.count == 0) return figures;
  figures.p50 = quantile(merged.histogram, total, 0.5);
  figures.p99 = quantile(merged.histogram, total, 0.99);
  figures.p999 = quantile(merged.histogram, total, 0.999);
  return figures;
}

}  // namespace

std::string_view name_of(counter which) noexcept {
  return counter_names[static_cast<std::size_t>(which)];
}

struct recorder::state {
  std::array<std::atomic<std::uint64_t>, counter_count> counters{};
  mutable std::mutex mutex;
  std::map<latency_key, latency_state> latencies;
  std::array<std::uint64_t, 11> coverage{};
};

recorder::recorder() : state_(std::make_unique<state>()) {}
recorder::~recorder() = default;

void recorder::count(counter which, std::uint64_t amount) noexcept {
  state_->counters[static_cast<std::size_t>(which)].fetch_add(
      amount, std::memory_order_relaxed);
}

void recorder::latency(const latency_key& key, duration value) {
  const double measured = std::chrono::duration<double>(value).count();
  const std::lock_guard<std::mutex> guard(state_->mutex);
  latency_state& kept = state_->latencies[key];
  kept.histogram(measured);
  kept.sum_seconds += measured;
}

void recorder::coverage(double covered) {
  const double bounded = std::clamp(covered, 0.0, 1.0);
  const auto bin = static_cast<std::size_t>(bounded * 10.0);
  const std::lock_guard<std::mutex> guard(state_->mutex);
  ++state_->coverage[bin];
}

summary merge(const std::vector<const recorder*>& recorders) {
  summary figures;
  std::map<latency_key, latency_state> latencies;
  for (const recorder* part : recorders) {
    const recorder::state& state = *part->state_;
    for (std::size_t i = 0; i < counter_count; ++i) {
      figures.counters[i] += state.counters[i].load(std::memory_order_relaxed);
    }
    const std::lock_guard<std::mutex> guard(state.mutex);
    for (const auto& [key, kept] : state.latencies) {
      latencies[key].histogram += kept.histogram;
      latencies[key].sum_seconds += kept.sum_seconds;
    }
    std::ranges::transform(figures.coverage, state.coverage,
                           figures.coverage.begin(), std::plus<>{});
  }
  for (const auto& [key, merged] : latencies) {
    figures.latencies[key] = summarise(merged);
  }
  return figures;
}

std::string latency_text(const summary& figures, std::string_view process) {
  std::ostringstream out;
  const std::string label = "{process=\"" + std::string(process) + "\"";
  out << "# TYPE medlarloft_latency_seconds summary\n";
  for (const auto& [key, kept] : figures.latencies) {
    const std::string labels = label + ",service=\"" + key.service +
                               "\",class=\"" + key.service_class + "\"";
    const auto line = [&](std::string_view share, duration value) {
      out << "medlarloft_latency_seconds" << labels << ",quantile=\"" << share
          << "\"} " << std::chrono::duration<double>(value).count() << '\n';
    };
    line("0.5", kept.p50);
    line("0.99", kept.p99);
    line("0.999", kept.p999);
    out << "medlarloft_latency_seconds_sum" << labels << "} "
        << kept.sum_seconds << "\nmedlarloft_latency_seconds_count" << labels
        << "} " << kept.count << '\n';
  }
  return out.str();
}

std::string to_prometheus(const summary& figures, std::string_view process) {
  std::ostringstream out;
  const std::string label = "{process=\"" + std::string(process) + "\"";
  for (std::size_t i = 0; i < counter_count; ++i) {
    const std::string name =
        "medlarloft_" + std::string(counter_names[i]) + "_total";
    out << "# TYPE " << name << " counter\n"
        << name << label << "} " << figures.counters[i] << '\n';
  }
  out << latency_text(figures, process);
  out << "# TYPE medlarloft_coverage_tenths gauge\n";
  for (std::size_t i = 0; i < figures.coverage.size(); ++i) {
    out << "medlarloft_coverage_tenths" << label << ",tenths=\"" << i << "\"} "
        << figures.coverage[i] << '\n';
  }
  return out.str();
}

}  // namespace medlarloft::metrics
