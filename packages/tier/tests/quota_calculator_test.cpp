#include "quota_calculator.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <iterator>
#include <numeric>
#include <set>
#include <vector>

namespace medlarloft::tier {
namespace {

const time_point start = time_point{} + std::chrono::hours(1);

quota_calculator quota_of(std::uint32_t own_capacity,
                          const std::vector<std::uint32_t>& capacities) {
  quota_calculator quota({.id = "d0", .capacity = own_capacity});
  for (std::size_t i = 0; i < capacities.size(); ++i)
    quota.set_reachable(start, "d" + std::to_string(i), capacities[i]);
  return quota;
}

TEST(quota_calculator, equal_hosts_have_equal_fractions) {
  EXPECT_DOUBLE_EQ(
      quota_of(250, std::vector<std::uint32_t>(10, 250)).fraction(), 0.1);
}

// Callers are directed to the large hosts of a fleet, where an equal fraction
// of each leaf's connections would be a single connection.
TEST(quota_calculator, large_hosts_have_larger_fractions) {
  std::vector<std::uint32_t> capacities(54, 120);
  capacities.insert(capacities.end(), 6, 500);
  const double large_fraction = quota_of(500, capacities).fraction();
  const double small_fraction = quota_of(120, capacities).fraction();
  EXPECT_GE(62 * large_fraction, 3.0);
  EXPECT_NEAR(large_fraction / small_fraction, 500.0 / 120.0, 1e-9);
}

TEST(quota_calculator, a_single_daemon_leaves_room_for_others) {
  EXPECT_DOUBLE_EQ(quota_of(250, {250}).fraction(), 1.0 / 8);
}

TEST(quota_calculator, an_unreachable_daemon_is_counted_until_it_expires) {
  quota_calculator quota = quota_of(250, std::vector<std::uint32_t>(10, 250));
  for (int i = 0; i < 9; ++i)
    quota.set_reachable(start + std::chrono::seconds(8),
                        "d" + std::to_string(i), 250);
  quota.remove_expired(start + std::chrono::seconds(9));
  EXPECT_EQ(quota.daemon_count(), 10U);
  quota.remove_expired(start + std::chrono::seconds(11));
  EXPECT_EQ(quota.daemon_count(), 9U);
}

// Daemons that a cut hides from this one may still send to the leafs: each side
// would take the whole of a rate that a leaf states.
TEST(quota_calculator, a_rate_is_divided_by_the_largest_recent_fleet) {
  using std::chrono::seconds;
  quota_calculator quota = quota_of(250, std::vector<std::uint32_t>(20, 250));
  quota.remove_expired(start);
  EXPECT_DOUBLE_EQ(quota.rate_fraction(), 1.0 / 20);
  quota.set_reachable(start + seconds(30), "d0", 250);
  quota.remove_expired(start + seconds(30));
  EXPECT_EQ(quota.daemon_count(), 1U);
  EXPECT_DOUBLE_EQ(quota.rate_fraction(), 1.0 / 20);
  quota.set_reachable(start + seconds(61), "d0", 250);
  quota.remove_expired(start + seconds(61));
  EXPECT_DOUBLE_EQ(quota.rate_fraction(), 1.0 / 8);
}

TEST(quota_calculator, the_fractions_of_all_daemons_add_up_to_one_at_most) {
  EXPECT_TRUE(rc::check([](const std::vector<std::uint16_t>& samples) {
    std::vector<std::uint32_t> capacities;
    std::ranges::transform(samples, std::back_inserter(capacities),
                           [](std::uint16_t sample) { return sample + 1U; });
    const double sum = std::accumulate(
        capacities.begin(), capacities.end(), 0.0,
        [&capacities](double so_far, std::uint32_t own_capacity) {
          return so_far + quota_of(own_capacity, capacities).fraction();
        });
    RC_ASSERT(sum <= 1.0 + 1e-9);
  }));
}

// All hosts lose power and restart within seconds. Leafs still count the old
// connections and reset new ones beyond their limit, which was 26 for 8 daemons
// with three each; on the bench, all daemons then ejected the leafs.
TEST(quota_calculator, leaves_room_for_connections_from_before_a_power_loss) {
  constexpr int daemons = 8;
  constexpr double limit = 26;
  quota_calculator quota({.id = "d0", .started_at = start});
  for (int i = 0; i < daemons; ++i)
    quota.set_reachable(start, "d" + std::to_string(i), 1);
  const auto connections_of = [&quota](time_point now) {
    return static_cast<int>(limit * quota.connection_fraction(now));
  };
  const int usual = connections_of(start + std::chrono::seconds(5));
  EXPECT_EQ(usual, 3);
  EXPECT_GE(connections_of(start + std::chrono::seconds(1)), 1);
  // Daemons usually held half of the connections that they may hold.
  EXPECT_LE(
      daemons * (connections_of(start + std::chrono::seconds(1)) + usual / 2.0),
      limit);
}

TEST(quota_calculator, every_daemon_has_a_distinct_index) {
  std::set<std::size_t> indexes;
  for (int self = 0; self < 9; ++self) {
    quota_calculator quota({.id = "d" + std::to_string(self)});
    for (int i = 0; i < 9; ++i)
      quota.set_reachable(start, "d" + std::to_string(i), 1);
    indexes.insert(quota.daemon_order()("leaf"));
  }
  EXPECT_EQ(indexes.size(), 9U);
}

}  // namespace
}  // namespace medlarloft::tier
