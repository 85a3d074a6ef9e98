#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "simulated_fleet.hpp"

namespace medlarloft::quota {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::bound;
using testing::simulated_fleet;

simulated_fleet::options random_options(std::uint64_t seed) {
  random_generator random(seed);
  const double rates[] = {1, 8, 40, 120};
  const double rate = rates[random.below(4)];
  const bool tolerant = random.below(3) > 0;
  return {
      .daemons = 1 + random.below(14),
      .seed = seed,
      .allowed = {.excess = tolerant ? 0.25 : 0, .slack = tolerant ? 20. : 0},
      .limits = {{"a",
                  {.rate_per_second = rate,
                   .burst = rate * 2 * random.uniform()}}},
      .loss = random.below(2) * 0.1,
      .copies = random.below(2) * 0.1,
      .max_latency = milliseconds(1 + random.below(80))};
}

/// One of the things that happen to a fleet.
void disturb(simulated_fleet& fleet, std::size_t daemons) {
  random_generator& random = fleet.random();
  const std::size_t daemon = random.below(daemons);
  switch (random.below(4)) {
    case 0:
      fleet.freeze(daemon, milliseconds(random.below(8000)));
      break;
    case 1:
      fleet.restart(daemon);
      break;
    case 2:
      for (std::size_t i = 0; i < daemons; ++i)
        fleet.set_side(i, static_cast<int>(random.below(2)));
      break;
    default:
      for (std::size_t i = 0; i < daemons; ++i)
        fleet.set_side(i, 0);
  }
}

/// Alternates idle times, in which tokens are saved up, and times with many
/// times the quota, while the fleet is disturbed.
void run_disturbed(simulated_fleet& fleet, std::size_t daemons, double rate,
                   int steps) {
  for (int i = 0; i < steps; ++i) {
    const std::size_t favourite = fleet.random().below(daemons);
    const bool spread = fleet.random().below(2) == 0;
    const bool idle = fleet.random().below(2) == 0;
    const auto longest = static_cast<std::uint64_t>(idle ? 15000 : 4000);
    fleet.run(milliseconds(300 + fleet.random().below(longest)), "a",
              rate * (idle ? 0.1 : 8), [&] {
                return spread ? fleet.random().below(daemons) : favourite;
              });
    if (fleet.random().below(2) == 0) disturb(fleet, daemons);
  }
}

// A token that counts twice, or that lives on, shows as a window with too many
// requests: copied and late messages, a daemon that wakes with old tokens or
// old rights, a process that starts anew, and two coordinators at a time.
RC_GTEST_PROP(window_bound, holds_under_all_faults, (std::uint64_t seed)) {
  const simulated_fleet::options settings = random_options(seed);
  const quota_limit limit = settings.limits.at("a");
  simulated_fleet fleet(settings);
  run_disturbed(fleet, settings.daemons, limit.rate_per_second, 12);
  const auto most = static_cast<double>(fleet.most_in_window(time_point{}));
  RC_ASSERT(most <= bound(limit, settings.allowed));
}

// Tokens of the higher limit must not be used under the lower one for longer
// than a window after the last daemon has learnt it.
RC_GTEST_PROP(window_bound, a_lower_limit_binds_after_one_window,
              (std::uint64_t seed)) {
  const simulated_fleet::options settings = random_options(seed);
  quota_limit limit = settings.limits.at("a");
  simulated_fleet fleet(settings);
  run_disturbed(fleet, settings.daemons, limit.rate_per_second, 4);
  limit.rate_per_second /= 3;
  limit.burst /= 4;
  fleet.set_limits({{"a", limit}});
  // The last daemon learns it within 1 s, or when it is not frozen any more.
  const time_point known = fleet.now() + seconds(9);
  run_disturbed(fleet, settings.daemons, limit.rate_per_second, 12);
  const auto most = static_cast<double>(
      fleet.most_in_window(known + settings.allowed.window));
  RC_ASSERT(most <= bound(limit, settings.allowed));
}

// Tokens that were saved up under the higher limit must be gone.
TEST(window_bound, saved_tokens_do_not_outlive_a_higher_limit) {
  simulated_fleet::options settings{.daemons = 6, .limits = {{"a", {6, 6}}}};
  simulated_fleet fleet(settings);
  const auto anywhere = [&] { return fleet.random().below(6); };
  fleet.run(seconds(20), "a", 0.1, anywhere);
  fleet.set_limits({{"a", {2, 1}}});
  fleet.run(seconds(6), "a", 0.1, anywhere);
  const time_point begin = fleet.now();
  fleet.run(seconds(10), "a", 50, anywhere);
  EXPECT_LE(fleet.most_in_window(begin), bound({2, 1}, settings.allowed));
}

// Rights to create tokens that one side of a cut has given away, and those that
// a daemon kept for itself, must add up to the rate.
TEST(window_bound, holds_while_every_daemon_is_cut_off) {
  simulated_fleet::options settings{.daemons = 12, .limits = {{"a", {20, 20}}}};
  simulated_fleet fleet(settings);
  const auto anywhere = [&] { return fleet.random().below(12); };
  fleet.run(seconds(8), "a", 5, anywhere);
  for (int i = 0; i < 12; ++i)
    fleet.set_side(static_cast<std::size_t>(i), i);
  fleet.run(seconds(15), "a", 150, anywhere);
  EXPECT_LE(fleet.most_in_window(time_point{}),
            bound({20, 20}, settings.allowed));
  // Each daemon still has its fraction.
  EXPECT_GT(fleet.admitted(fleet.now() - seconds(10)), 100U);
}

}  // namespace
}  // namespace medlarloft::quota
