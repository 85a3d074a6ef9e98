#include "fleet_load.hpp"

#include <gtest/gtest.h>

namespace medlarloft::tier {
namespace {

const time_point start = time_point{} + std::chrono::hours(1);

TEST(fleet_load, follows_the_requests_of_this_daemon) {
  fleet_load load({.id = "d1", .capacity = 250, .started_at = start});
  std::uint64_t sent = 0;
  for (int second = 1; second <= 30; ++second) {
    sent += 1000;
    load.update_own(start + std::chrono::seconds(second),
                    {.leaf_requests = sent});
  }
  // 1,000 a second at 90 us use 0.09 of a core, of 0.25.
  EXPECT_NEAR(load.of("d1"), 0.36, 0.01);
  EXPECT_NEAR(load.own_thousandths(), 360, 10);
}

TEST(fleet_load, is_never_above_one) {
  fleet_load load({.id = "d1", .capacity = 120, .started_at = start});
  std::uint64_t sent = 0;
  for (int second = 1; second <= 30; ++second) {
    sent += 100'000;
    load.update_own(start + std::chrono::seconds(second),
                    {.leaf_requests = sent});
  }
  EXPECT_LE(load.of("d1"), 1.0);
}

// A host of 14 Mbit/s whose link is full looks idle, as its processor is.
TEST(fleet_load, counts_the_link_if_its_bandwidth_is_known) {
  constexpr double link_rate = 14e6 / 8;
  fleet_load load({.id = "d1",
                   .capacity = 500,
                   .link_rate = link_rate,
                   .started_at = start});
  fleet_load unknown({.id = "d1", .capacity = 500, .started_at = start});
  fleet_load::usage used;
  for (int second = 1; second <= 30; ++second) {
    used.leaf_requests += 100;
    used.bytes_in += 1'400'000;
    used.bytes_out += 200'000;
    load.update_own(start + std::chrono::seconds(second), used);
    unknown.update_own(start + std::chrono::seconds(second), used);
  }
  EXPECT_NEAR(load.of("d1"), 0.8, 0.01);
  EXPECT_NEAR(unknown.of("d1"), 0.018, 0.001);
}

TEST(fleet_load, keeps_reported_loads_until_the_daemon_is_unknown) {
  fleet_load load({.id = "d1", .started_at = start});
  load.set_reported("d2", 500);
  EXPECT_EQ(load.of("d2"), 0.5);
  EXPECT_EQ(load.of("d3"), 0.0);
  load.retain([](const std::string& id) { return id != "d2"; });
  EXPECT_EQ(load.of("d2"), 0.0);
}

}  // namespace
}  // namespace medlarloft::tier
