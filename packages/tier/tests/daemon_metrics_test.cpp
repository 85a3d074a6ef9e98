#include "daemon_metrics.hpp"

#include <gtest/gtest.h>

namespace medlarloft::tier {
namespace {

TEST(daemon_metrics, writes_counters_with_the_daemon_as_label) {
  daemon_metrics metrics;
  metrics.increment(counter::hedges, 3);
  EXPECT_NE(metrics.to_prometheus("d1").find(
                "medlarloft_hedges_total{daemon=\"d1\"} 3\n"),
            std::string::npos);
}

TEST(daemon_metrics, writes_the_last_value_of_a_gauge) {
  daemon_metrics metrics;
  metrics.set(gauge::requests_waiting, 4);
  metrics.set(gauge::requests_waiting, 2);
  metrics.set(gauge::loop_lag_seconds, 0.25);
  const std::string text = metrics.to_prometheus("d1");
  EXPECT_NE(text.find("# TYPE medlarloft_requests_waiting gauge\n"),
            std::string::npos);
  EXPECT_NE(text.find("medlarloft_requests_waiting{daemon=\"d1\"} 2.0\n"),
            std::string::npos);
  EXPECT_NE(text.find("medlarloft_loop_lag_seconds{daemon=\"d1\"} 0.25\n"),
            std::string::npos);
}

TEST(daemon_metrics, counts_leaf_requests_by_ending) {
  daemon_metrics metrics;
  metrics.count_attempt(leafs::attempt_outcome::shed);
  EXPECT_NE(
      metrics.to_prometheus("d1").find(
          "medlarloft_leaf_endings_total{daemon=\"d1\",ending=\"shed\"} 1\n"),
      std::string::npos);
}

}  // namespace
}  // namespace medlarloft::tier
