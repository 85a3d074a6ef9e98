#include "address_choice.hpp"

#include <gtest/gtest.h>

namespace medlarloft::tier {
namespace {

address_candidate daemon(std::uint16_t port, std::string data_centre,
                         std::uint32_t capacity = 250, double load = 0.1) {
  return {.address = {"10.0.0.1", port},
          .data_centre = std::move(data_centre),
          .capacity = capacity,
          .load = load};
}

std::vector<std::uint16_t> ports(const std::vector<address_candidate>& all) {
  std::vector<std::uint16_t> found;
  for (const endpoint& each : choose_addresses(all, "a"))
    found.push_back(each.port);
  return found;
}

TEST(address_choice, names_the_daemons_near_the_caller) {
  EXPECT_EQ(ports({daemon(1, "a"), daemon(2, "b"), daemon(3, "a")}),
            (std::vector<std::uint16_t>{1, 3}));
}

TEST(address_choice, names_all_when_few_are_near) {
  EXPECT_EQ(ports({daemon(1, "a"), daemon(2, "b"), daemon(3, "b")}).size(), 3U);
}

TEST(address_choice, names_nobody_when_nobody_serves) {
  EXPECT_TRUE(ports({}).empty());
}

// Pattern: hosts of unequal size. A gather over 36 shards takes 3 ms of
// processor time, which are 25 ms on a host with 0.12 of a core.
TEST(address_choice, prefers_large_hosts_while_they_have_time) {
  EXPECT_EQ(ports({daemon(1, "a", 500), daemon(2, "a", 120),
                   daemon(3, "a", 500), daemon(4, "a", 120)}),
            (std::vector<std::uint16_t>{1, 3}));
}

// Pattern: a burst. Large hosts with work enough share it with the small ones.
TEST(address_choice, names_small_hosts_when_the_large_ones_are_busy) {
  EXPECT_EQ(ports({daemon(1, "a", 500, 0.6), daemon(2, "a", 120),
                   daemon(3, "a", 500, 0.5), daemon(4, "a", 120)})
                .size(),
            4U);
}

// Pattern: all but one of the large hosts are lost.
TEST(address_choice, never_depends_on_one_large_host) {
  EXPECT_EQ(
      ports({daemon(1, "a", 500), daemon(2, "a", 120), daemon(3, "a", 120)})
          .size(),
      3U);
}

}  // namespace
}  // namespace medlarloft::tier
