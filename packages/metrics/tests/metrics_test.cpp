#include "medlarloft/metrics.hpp"

#include <gtest/gtest.h>

namespace medlarloft::metrics {
namespace {

using namespace std::chrono_literals;

TEST(merge, sums_counters_of_threads) {
  recorder left;
  recorder right;
  left.increment(counter::queries, 3);
  right.increment(counter::queries, 4);
  EXPECT_EQ(merge({&left, &right})[counter::queries], 7U);
}

TEST(merge, computes_quantiles_over_all_threads) {
  recorder left;
  recorder right;
  const latency_key key{"lease-desk", "critical"};
  for (int i = 0; i < 98; ++i)
    left.record_latency(key, 10ms);
  for (int i = 0; i < 2; ++i)
    right.record_latency(key, 100ms);
  const latency_summary merged = merge({&left, &right}).latencies.at(key);
  EXPECT_EQ(merged.count, 100U);
  EXPECT_NEAR(std::chrono::duration<double>(merged.p50).count(), 0.010, 0.001);
  EXPECT_NEAR(std::chrono::duration<double>(merged.p99).count(), 0.100, 0.010);
}

TEST(merge, separates_full_coverage_from_nearly_full) {
  recorder recorded;
  recorded.record_coverage(1.0);
  recorded.record_coverage(0.999);
  const summary totals = merge({&recorded});
  EXPECT_EQ(totals.coverage[10], 1U);
  EXPECT_EQ(totals.coverage[9], 1U);
}

TEST(to_prometheus, writes_names_and_labels) {
  recorder recorded;
  recorded.increment(counter::hedges_sent);
  recorded.record_latency({"vault", "ordinary"}, 5ms);
  const std::string text = to_prometheus(merge({&recorded}), "d1");
  EXPECT_NE(text.find("medlarloft_hedges_sent_total{process=\"d1\"} 1"),
            std::string::npos);
  EXPECT_NE(text.find("service=\"vault\",class=\"ordinary\",quantile=\"0.99\""),
            std::string::npos);
}

}  // namespace
}  // namespace medlarloft::metrics
