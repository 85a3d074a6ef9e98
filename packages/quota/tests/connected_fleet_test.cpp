#include <gtest/gtest.h>

#include "simulated_fleet.hpp"

namespace medlarloft::quota {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::simulated_fleet;

simulated_fleet make_fleet(double rate, std::uint64_t seed,
                           std::size_t daemons = 71) {
  return simulated_fleet({.daemons = daemons,
                          .seed = seed,
                          .limits = {{"a", {rate, rate}}},
                          .loss = 0.0015});
}

struct served {
  std::size_t refused = 0;
  std::size_t all = 0;
};

/// Serves 62% of the quota for 60 s, at the first `used` daemons, and counts
/// the requests after `from`.
served serve_below_quota(double rate, std::size_t used, duration from) {
  served sum;
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    simulated_fleet fleet = make_fleet(rate, seed);
    const time_point begin = fleet.now() + from;
    fleet.run(seconds(60), "a", rate / 1.6,
              [&] { return fleet.random().below(used); });
    sum.refused += fleet.refused(begin);
    sum.all += fleet.refused(begin) + fleet.admitted(begin);
  }
  return sum;
}

// Demand below the quota must not be refused because the tokens are at other
// daemons, wherever the requests arrive.
TEST(connected_fleet, refuses_under_one_request_in_200_below_the_quota) {
  served sum;
  for (const double rate : {1.0, 2.0, 8.0, 40.0}) {
    for (const std::size_t used : {2U, 71U}) {
      const served one = serve_below_quota(rate, used, seconds(2));
      sum.refused += one.refused;
      sum.all += one.all;
    }
  }
  EXPECT_LT(sum.refused * 200, sum.all);
}

// The same for small quotas alone. A stock of one or two tokens a second takes
// some seconds after a start of all daemons.
TEST(connected_fleet, small_quotas_are_usable_everywhere) {
  for (const double rate : {1.0, 2.0}) {
    for (const std::size_t used : {2U, 71U}) {
      SCOPED_TRACE(::testing::Message() << rate << "/s at " << used);
      const served one = serve_below_quota(rate, used, seconds(10));
      EXPECT_LT(one.refused * 200, one.all);
    }
  }
}

// Callers move to other daemons when theirs are busy; tokens held by the former
// ones must not be missing.
TEST(connected_fleet, demand_that_moves_is_served) {
  simulated_fleet fleet = make_fleet(20, 1);
  const time_point begin = fleet.now() + seconds(2);
  for (int i = 0; i < 20; ++i) {
    fleet.run(seconds(2), "a", 12.5, [&] {
      return static_cast<std::size_t>(i * 3 % 70) + fleet.random().below(2);
    });
  }
  EXPECT_LT(fleet.refused(begin) * 200, fleet.admitted(begin));
}

// An account over its quota still gets the quota.
TEST(connected_fleet, an_overloaded_account_gets_its_quota) {
  simulated_fleet fleet = make_fleet(20, 1);
  fleet.run(seconds(5), "a", 100, [&] { return fleet.random().below(71); });
  const time_point begin = fleet.now();
  fleet.run(seconds(20), "a", 100, [&] { return fleet.random().below(71); });
  EXPECT_GT(fleet.admitted(begin), 20U * 20 * 9 / 10);
}

// While a coordinator is dead the daemons use their own fractions, and the next
// coordinator once it is known.
TEST(connected_fleet, a_silent_coordinator_is_replaced) {
  simulated_fleet fleet = make_fleet(20, 1, 8);
  const auto pick = [] { return std::size_t{5}; };
  fleet.run(seconds(4), "a", 8, pick);
  const std::string first = fleet.coordinator_of(5);
  fleet.freeze(std::stoul(first.substr(1)), seconds(60));
  fleet.run(seconds(3), "a", 8, pick);
  EXPECT_NE(fleet.coordinator_of(5), first);
  EXPECT_NE(fleet.coordinator_of(5), "d5");
  const time_point begin = fleet.now();
  fleet.run(seconds(10), "a", 8, pick);
  EXPECT_EQ(fleet.refused(begin), 0U);
}

// A fleet without quotas must send nothing and need no timer.
TEST(connected_fleet, accounts_without_a_quota_cause_no_messages) {
  simulated_fleet fleet({.daemons = 4, .limits = {}});
  fleet.run(seconds(5), "a", 50, [] { return std::size_t{1}; });
  EXPECT_EQ(fleet.messages(), 0U);
  EXPECT_EQ(fleet.refused(time_point{}), 0U);
  EXPECT_EQ(node({.id = "d0"}).next_tick(), time_point::max());
}

}  // namespace
}  // namespace medlarloft::quota
