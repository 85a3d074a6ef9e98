#include "medlarloft/metrics.hpp"

#include <gtest/gtest.h>

namespace medlarloft::metrics {
namespace {

using namespace std::chrono_literals;

TEST(merge, adds_counters_of_threads) {
  recorder left;
  recorder right;
  left.count(counter::queries, 3);
  right.count(counter::queries, 4);
  EXPECT_EQ(merge({&left, &right})[counter::queries], 7U);
}

TEST(merge, finds_quantiles_over_threads) {
  recorder left;
  recorder right;
  const latency_key key{"lease-desk", "critical"};
  for (int i = 0; i < 98; ++i)
    left.latency(key, 10ms);
  for (int i = 0; i < 2; ++i)
    right.latency(key, 100ms);
  const latency_summary found = merge({&left, &right}).latencies.at(key);
  EXPECT_EQ(found.count, 100U);
  EXPECT_NEAR(std::chrono::duration<double>(found.p50).count(), 0.010, 0.001);
  EXPECT_NEAR(std::chrono::duration<double>(found.p99).count(), 0.100, 0.010);
}

TEST(merge, separates_whole_coverage_from_nearly_whole) {
  recorder one;
  one.coverage(1.0);
  one.coverage(0.999);
  const summary figures = merge({&one});
  EXPECT_EQ(figures.coverage[10], 1U);
  EXPECT_EQ(figures.coverage[9], 1U);
}

TEST(to_prometheus, writes_names_and_labels) {
  recorder one;
  one.count(counter::hedges_sent);
  one.latency({"vault", "ordinary"}, 5ms);
  const std::string text = to_prometheus(merge({&one}), "d1");
  EXPECT_NE(text.find("medlarloft_hedges_sent_total{process=\"d1\"} 1"),
            std::string::npos);
  EXPECT_NE(text.find("service=\"vault\",class=\"ordinary\",quantile=\"0.99\""),
            std::string::npos);
}

}  // namespace
}  // namespace medlarloft::metrics
