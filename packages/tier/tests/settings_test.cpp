#include <gtest/gtest.h>

#include "medlarloft/tier.hpp"

namespace medlarloft::tier {
namespace {

std::string settings_text(const std::string& callers = "10.0.0.1:80",
                          const std::string& ratio = "0.2") {
  return R"({"id":"d1","data_centre":"a","region":"r","listen":{"callers":")" +
         callers +
         R"(","readiness":"10.0.0.1:81","addresses":"10.0.0.1:82",
         "control":"10.0.0.1:83","metrics":"10.0.0.1:84"},
         "seeds":["10.0.0.2:83"],"store":"10.0.0.9:99",
         "first_deployment":true,
         "retries":{"ratio":)" +
         ratio + R"(,"window":"10s","slack":54},
         "act_within":{"leaf_leaves":"3s","configuration":"4s"},
         "stop_within":"6s",
         "longest_keep":"5s","processor":{"share":0.25,"speed":1},
         "max_descriptors":4100,"later":1})";
}

TEST(tier_settings, reads_every_value_and_ignores_unknown_ones) {
  const auto read = read_settings(settings_text());
  ASSERT_TRUE(read);
  EXPECT_EQ(read.value().listen.callers, (endpoint{"10.0.0.1", 80}));
  EXPECT_EQ(read.value().seeds.size(), 1U);
  EXPECT_EQ(read.value().retries.slack, 54);
  EXPECT_TRUE(read.value().first_deployment);
  EXPECT_EQ(read.value().act_within.configuration, std::chrono::seconds(4));
  EXPECT_EQ(read.value().stop_within, std::chrono::seconds(6));
}

TEST(tier_settings, announced_control_address_is_optional) {
  EXPECT_FALSE(read_settings(settings_text()).value().listen.control_announced);
  std::string modified = settings_text();
  modified.insert(modified.find("\"metrics\""),
                  "\"control_announced\":\"10.0.0.7:93\",");
  EXPECT_EQ(read_settings(modified).value().listen.control_announced,
            (endpoint{"10.0.0.7", 93}));
}

TEST(tier_settings, link_bandwidth_is_optional) {
  EXPECT_EQ(read_settings(settings_text()).value().link_mbps, 0);
  std::string modified = settings_text();
  modified.insert(modified.find("\"later\""), "\"link_mbps\":14,");
  EXPECT_EQ(read_settings(modified).value().link_mbps, 14);
}

// Deployments without accounts have no such settings.
TEST(tier_settings, tolerances_of_quotas_are_optional) {
  EXPECT_EQ(read_settings(settings_text()).value().quota.slack, 0);
  std::string modified = settings_text();
  modified.insert(modified.find("\"later\""),
                  R"("quota":{"window":"4s","excess":0.25,"slack":20},)");
  const quota::tolerance read = read_settings(modified).value().quota;
  EXPECT_EQ(read.window, std::chrono::seconds(4));
  EXPECT_EQ(read.excess, 0.25);
  EXPECT_EQ(read.slack, 20);
}

TEST(tier_settings, memory_limit_defaults_to_256_mb) {
  EXPECT_EQ(read_settings(settings_text()).value().memory_bytes,
            std::size_t{256} << 20);
  std::string modified = settings_text();
  modified.insert(modified.find("\"later\""), "\"memory_mb\":160,");
  EXPECT_EQ(read_settings(modified).value().memory_bytes,
            std::size_t{160} << 20);
}

TEST(tier_settings, error_names_the_invalid_value) {
  const auto read = read_settings(settings_text("nowhere"));
  ASSERT_FALSE(read);
  EXPECT_EQ(read.error().path, "listen.callers");
  EXPECT_NE(read.error().text().find("nowhere"), std::string::npos);
  EXPECT_EQ(read_settings(settings_text("10.0.0.1:80", "-1")).error().path,
            "retries.ratio");
}

TEST(tier_settings, error_names_the_missing_value) {
  const auto read = read_settings(R"({"id":"d1"})");
  ASSERT_FALSE(read);
  EXPECT_EQ(read.error().path, "data_centre");
}

}  // namespace
}  // namespace medlarloft::tier
