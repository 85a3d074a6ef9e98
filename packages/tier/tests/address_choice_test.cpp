#include "address_choice.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <numbers>
#include <set>

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

// A daemon that has just started answers 503; callers would keep its address
// for seconds.
TEST(address_choice, does_not_name_daemons_that_are_not_ready) {
  std::vector<address_candidate> all{daemon(1, "a"), daemon(2, "a"),
                                     daemon(3, "a")};
  all[1].ready = false;
  EXPECT_EQ(chosen_ports(all), (std::vector<std::uint16_t>{1, 3}));
  for (address_candidate& each : all)
    each.ready = false;
  EXPECT_EQ(chosen_ports(all).size(), 3U);
}

/// A data centre with 2 hosts of 0.5 core and 25 of 0.084.
std::vector<address_candidate> uneven_fleet(double large_load) {
  std::vector<address_candidate> all{daemon(1, "a", 500, large_load),
                                     daemon(2, "a", 500, large_load)};
  for (std::uint16_t port = 3; port <= 27; ++port)
    all.push_back(daemon(port, "a", 84));
  return all;
}

// Returns the part of the callers that choose a small host, on average.
double small_share(const std::vector<address_candidate>& all) {
  constexpr int draws = 400;
  double sum = 0;
  for (std::uint64_t seed = 0; seed < draws; ++seed) {
    const auto chosen = choose_addresses(all, "a", {}, seed);
    const auto small = std::ranges::count_if(
        chosen, [](const endpoint& address) { return address.port > 2; });
    sum += static_cast<double>(small) / static_cast<double>(chosen.size());
  }
  return sum / draws;
}

// Naming either no small host or all 25 gives the large ones all callers or one
// in 14: the fleet alternates between two overloads.
TEST(address_choice, small_hosts_of_an_uneven_fleet_are_included_gradually) {
  EXPECT_EQ(small_share(uneven_fleet(0.2)), 0);
  double last = 0;
  for (double load = 0.22; load < 0.5; load += 0.02) {
    const double share = small_share(uneven_fleet(load));
    EXPECT_GT(share, last);
    EXPECT_LT(share, last + 0.1);
    last = share;
  }
  // 25 small hosts have 2.1 of 3.1 cores.
  EXPECT_NEAR(small_share(uneven_fleet(1.0)), 0.68, 0.03);
}

// The same few small hosts would be named to every caller.
TEST(address_choice, small_hosts_take_turns) {
  std::set<std::uint16_t> seen;
  for (std::uint64_t seed = 0; seed < 200; ++seed)
    for (const endpoint& each :
         choose_addresses(uneven_fleet(0.7), "a", {}, seed))
      seen.insert(each.port);
  EXPECT_EQ(seen.size(), 27U);
}

/// Returns an answer for a caller while the large hosts report `load`.
using choice_rule =
    std::function<std::vector<endpoint>(double load, std::uint64_t seed)>;

// Simulates the callers of one data centre under a demand that varies by 0.55
// of its mean over 15 s. They keep an answer for 5 to 15 s, or all for 7.5 s.
// Returns the greatest load of a large host.
double greatest_load(const choice_rule& choose, double mean_cores,
                     bool renew_together) {
  constexpr std::size_t callers = 300;
  constexpr double step_s = 0.5;
  constexpr double settled_s = 30;
  constexpr double end_s = 90;
  constexpr double period_s = 15;
  constexpr double sample_weight = 0.3;
  random_generator random(7);
  std::vector<bool> uses_small(callers);
  std::vector<double> keeps_until(callers);
  double reported = 0;
  double greatest = 0;
  for (double now = 0; now < end_s; now += step_s) {
    const double demand =
        mean_cores *
        (1 + 0.55 * std::sin(now * 2 * std::numbers::pi / period_s));
    for (std::size_t i = 0; i < callers; ++i) {
      if (now < keeps_until[i]) continue;
      keeps_until[i] = now + (renew_together ? 7.5 : 5 + 10 * random.uniform());
      const auto chosen = choose(reported, random.below(1U << 20U));
      uses_small[i] = chosen[random.below(chosen.size())].port > 2;
    }
    const double share =
        static_cast<double>(std::ranges::count(uses_small, true)) / callers;
    // The two large hosts have one core together.
    const double load = demand * (1 - share);
    reported += sample_weight * (std::min(load, 1.0) - reported);
    if (now >= settled_s) greatest = std::max(greatest, load);
  }
  return greatest;
}

// Callers that came together ask again together. If the answer is either the
// large hosts or all, they all go to two hosts, and stay for seconds.
TEST(address_choice, swinging_demand_overloads_the_large_hosts_less) {
  const choice_rule graded = [](double load, std::uint64_t seed) {
    return choose_addresses(uneven_fleet(load), "a", {}, seed);
  };
  const choice_rule two_states = [](double load, std::uint64_t seed) {
    auto all = uneven_fleet(load);
    for (address_candidate& each : all)
      if (each.capacity == 84) each.capacity = 120;
    return choose_addresses(all, "a", {}, seed);
  };
  constexpr double heavy = 2.0;  // cores, of 3.1
  EXPECT_GT(greatest_load(two_states, heavy, true), 2.5);
  EXPECT_LT(greatest_load(graded, heavy, true), 2.0);
  // Callers that ask at random times.
  constexpr double moderate = 0.8;
  EXPECT_LT(greatest_load(graded, moderate, false), 1.0);
}

// Fleets of the shapes that were served before are served the same way.
TEST(address_choice, fleets_of_0_12_and_0_5_core_are_not_graded) {
  std::vector<address_candidate> all = uneven_fleet(0.45);
  for (address_candidate& each : all)
    if (each.capacity == 84) each.capacity = 120;
  EXPECT_FALSE(has_uneven_hosts(all));
  EXPECT_EQ(chosen_ports(all).size(), 27U);
  all[0].load = all[1].load = 0.35;
  EXPECT_EQ(chosen_ports(all).size(), 2U);
}

}  // namespace
}  // namespace medlarloft::tier
