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

std::vector<std::uint16_t> chosen_ports(
    const std::vector<address_candidate>& candidates) {
  std::vector<std::uint16_t> chosen;
  for (const endpoint& address : choose_addresses(candidates, "a"))
    chosen.push_back(address.port);
  return chosen;
}

TEST(address_choice, returns_daemons_of_the_local_data_centre) {
  EXPECT_EQ(chosen_ports({daemon(1, "a"), daemon(2, "b"), daemon(3, "a")}),
            (std::vector<std::uint16_t>{1, 3}));
}

TEST(address_choice, returns_all_when_few_are_local) {
  EXPECT_EQ(
      chosen_ports({daemon(1, "a"), daemon(2, "b"), daemon(3, "b")}).size(),
      3U);
}

TEST(address_choice, returns_nothing_without_candidates) {
  EXPECT_TRUE(chosen_ports({}).empty());
}

// Hosts of unequal size: a gather over 36 shards takes 3 ms of processor time,
// which is 25 ms on a host with 0.12 of a core.
TEST(address_choice, prefers_large_hosts_while_they_are_not_busy) {
  EXPECT_EQ(chosen_ports({daemon(1, "a", 500), daemon(2, "a", 120),
                          daemon(3, "a", 500), daemon(4, "a", 120)}),
            (std::vector<std::uint16_t>{1, 3}));
}

// Burst: when the large hosts are busy, the small ones take part of the load.
TEST(address_choice, includes_small_hosts_when_the_large_ones_are_busy) {
  EXPECT_EQ(chosen_ports({daemon(1, "a", 500, 0.6), daemon(2, "a", 120),
                          daemon(3, "a", 500, 0.5), daemon(4, "a", 120)})
                .size(),
            4U);
}

// All large hosts but one have failed.
TEST(address_choice, never_depends_on_a_single_large_host) {
  EXPECT_EQ(chosen_ports(
                {daemon(1, "a", 500), daemon(2, "a", 120), daemon(3, "a", 120)})
                .size(),
            3U);
}

}  // namespace
}  // namespace medlarloft::tier
