#include "figures.hpp"

#include <gtest/gtest.h>

namespace medlarloft::tier {
namespace {

TEST(figures, writes_counters_with_the_daemon_as_label) {
  figures counts;
  counts.add(count::hedges, 3);
  EXPECT_NE(
      counts.text("d1").find("medlarloft_hedges_total{daemon=\"d1\"} 3\n"),
      std::string::npos);
}

TEST(figures, writes_gauges_as_they_are_now) {
  figures counts;
  counts.set(gauge::requests_waiting, 4);
  counts.set(gauge::requests_waiting, 2);
  counts.set(gauge::loop_lag_seconds, 0.25);
  const std::string text = counts.text("d1");
  EXPECT_NE(text.find("# TYPE medlarloft_requests_waiting gauge\n"),
            std::string::npos);
  EXPECT_NE(text.find("medlarloft_requests_waiting{daemon=\"d1\"} 2.0\n"),
            std::string::npos);
  EXPECT_NE(text.find("medlarloft_loop_lag_seconds{daemon=\"d1\"} 0.25\n"),
            std::string::npos);
}

TEST(figures, writes_how_leaf_requests_ended) {
  figures counts;
  counts.ended(leafs::attempt_outcome::shed);
  EXPECT_NE(
      counts.text("d1").find(
          "medlarloft_leaf_endings_total{daemon=\"d1\",ending=\"shed\"} 1\n"),
      std::string::npos);
}

}  // namespace
}  // namespace medlarloft::tier
