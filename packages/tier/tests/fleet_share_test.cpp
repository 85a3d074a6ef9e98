#include "fleet_share.hpp"

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

fleet_share share_of(std::uint32_t own, const std::vector<std::uint32_t>& all) {
  fleet_share share({.id = "d0", .capacity = own});
  for (std::size_t i = 0; i < all.size(); ++i)
    share.seen(start, "d" + std::to_string(i), all[i]);
  return share;
}

TEST(fleet_share, equal_hosts_have_equal_parts) {
  EXPECT_DOUBLE_EQ(share_of(250, std::vector<std::uint32_t>(10, 250)).part(),
                   0.1);
}

// Pattern: callers are sent to the large hosts of a fleet, where an equal part
// of each leaf's connections would be one.
TEST(fleet_share, large_hosts_have_larger_parts) {
  std::vector<std::uint32_t> all(54, 120);
  all.insert(all.end(), 6, 500);
  const double large = share_of(500, all).part();
  const double small = share_of(120, all).part();
  EXPECT_GE(62 * large, 3.0);
  EXPECT_NEAR(large / small, 500.0 / 120.0, 1e-9);
}

TEST(fleet_share, a_daemon_that_is_alone_leaves_room_for_others) {
  EXPECT_DOUBLE_EQ(share_of(250, {250}).part(), 1.0 / 8);
}

TEST(fleet_share, a_daemon_that_is_gone_counts_for_a_while) {
  fleet_share share = share_of(250, std::vector<std::uint32_t>(10, 250));
  for (int i = 0; i < 9; ++i)
    share.seen(start + std::chrono::seconds(8), "d" + std::to_string(i), 250);
  share.expire(start + std::chrono::seconds(9));
  EXPECT_EQ(share.daemons(), 10U);
  share.expire(start + std::chrono::seconds(11));
  EXPECT_EQ(share.daemons(), 9U);
}

TEST(fleet_share, the_parts_of_all_add_up_to_one_at_most) {
  EXPECT_TRUE(rc::check([](const std::vector<std::uint16_t>& told) {
    std::vector<std::uint32_t> all;
    std::ranges::transform(told, std::back_inserter(all),
                           [](std::uint16_t each) { return each + 1U; });
    const double sum = std::accumulate(
        all.begin(), all.end(), 0.0, [&all](double so_far, std::uint32_t own) {
          return so_far + share_of(own, all).part();
        });
    RC_ASSERT(sum <= 1.0 + 1e-9);
  }));
}

// Pattern: all hosts lose power and return within seconds. Leafs still count
// the connections from before, and reset new ones beyond their limit: 26 for 8
// daemons that held three each. Seen on the bench: leafs dark on all daemons.
TEST(fleet_share, leaves_room_for_connections_from_before_a_loss_of_power) {
  constexpr int daemons = 8;
  constexpr double limit = 26;
  fleet_share share({.id = "d0", .started = start});
  for (int i = 0; i < daemons; ++i)
    share.seen(start, "d" + std::to_string(i), 1);
  const auto each = [&share](time_point now) {
    return static_cast<int>(limit * share.connection_part(now));
  };
  const int usual = each(start + std::chrono::seconds(5));
  EXPECT_EQ(usual, 3);
  EXPECT_GE(each(start + std::chrono::seconds(1)), 1);
  // Half of what they may hold is what they mostly held.
  EXPECT_LE(daemons * (each(start + std::chrono::seconds(1)) + usual / 2.0),
            limit);
}

TEST(fleet_share, every_daemon_has_a_rank_of_its_own) {
  std::set<std::size_t> ranks;
  for (int own = 0; own < 9; ++own) {
    fleet_share share({.id = "d" + std::to_string(own)});
    for (int i = 0; i < 9; ++i)
      share.seen(start, "d" + std::to_string(i), 1);
    ranks.insert(share.rank("leaf"));
  }
  EXPECT_EQ(ranks.size(), 9U);
}

}  // namespace
}  // namespace medlarloft::tier
