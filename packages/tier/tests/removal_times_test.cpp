#include <gtest/gtest.h>

#include "simulated_fleet.hpp"

namespace medlarloft::tier {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::simulated_fleet;

/// Time in which the readers of a fleet are settled after its start.
constexpr duration settling_time = seconds(12);
const std::string leaf = "watched/leaf";
/// Terms of the greatest time from a removal in the store to the last use of
/// the record; see docs/PLATFORM.md.
constexpr duration call_and_distribution = milliseconds(100);
constexpr duration sweep_period = milliseconds(500);
const duration outage_removal_delay =
    replica::store_copy::options{}.outage_removal_delay;

struct fleet_case {
  std::size_t daemons = 0;
  /// From a removal in the store to the last request.
  duration limit{};
};

/// A fleet that uses the record of a leaf, which is removed once in each round.
/// Without lost messages, whose repair is a term of its own.
class removal_times : public ::testing::TestWithParam<fleet_case> {
 protected:
  removal_times() { fleet.run_for(settling_time); }

  void add_leaf() {
    fleet.write(leaf, "ready");
    fleet.run_for(seconds(12));
    for (std::size_t i = 0; i < GetParam().daemons; ++i)
      ASSERT_TRUE(fleet.used(i, leaf)) << "daemon " << i;
  }
  /// Expects that no daemon uses the record after this time.
  void expect_unused_after(duration limit) {
    fleet.run_for(limit);
    for (std::size_t i = 0; i < GetParam().daemons; ++i)
      EXPECT_FALSE(fleet.used(i, leaf)) << "daemon " << i;
  }
  /// Runs the fleet for a random time up to this one.
  void run_for_part_of(duration length) {
    fleet.run_for(milliseconds(random.below(static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(length).count()))));
  }

  simulated_fleet::options settings{
      .daemons = GetParam().daemons,
      .limits = {.leaf_leaves = GetParam().limit,
                 .configuration = GetParam().limit},
      .loss = 0,
      .removal_delay = record_removal_delay};
  // A run takes longer the larger the fleet is.
  int rounds = GetParam().daemons > 10 ? 4 : 12;
  duration pause = pause_after_changes(settings.limits);
  duration usual =
      pause + call_and_distribution + record_removal_delay + sweep_period;
  simulated_fleet fleet{settings};
  random_generator random{GetParam().daemons};
};

INSTANTIATE_TEST_SUITE_P(fleets, removal_times,
                         ::testing::Values(fleet_case{10, seconds(3)},
                                           fleet_case{60, seconds(6)}));

TEST_P(removal_times, without_trouble) {
  EXPECT_LE(usual, GetParam().limit);
  for (int i = 0; i < rounds; ++i) {
    ASSERT_NO_FATAL_FAILURE(add_leaf());
    run_for_part_of(pause);
    fleet.write(leaf, std::nullopt);
    expect_unused_after(usual);
  }
}

// A daemon took its start for the end of an outage of the store, and kept
// removed records a second longer: requests went to leafs that had left.
TEST_P(removal_times, of_daemons_that_just_started) {
  for (int i = 0; i < rounds; ++i) {
    ASSERT_NO_FATAL_FAILURE(add_leaf());
    for (std::size_t daemon = 0; daemon < GetParam().daemons; daemon += 3)
      fleet.restart(daemon);
    run_for_part_of(seconds(2));
    fleet.write(leaf, std::nullopt);
    expect_unused_after(usual);
  }
}

// The reader of a data centre ends, and another daemon of it takes over.
TEST_P(removal_times, while_readers_change) {
  for (int i = 0; i < rounds; ++i) {
    ASSERT_NO_FATAL_FAILURE(add_leaf());
    std::size_t reader = 0;
    while (!fleet.reads(reader))
      ++reader;
    fleet.set_store_rule(
        [reader](std::size_t daemon) { return daemon != reader; });
    run_for_part_of(seconds(2));
    fleet.write(leaf, std::nullopt);
    expect_unused_after(usual);
    fleet.set_store_rule([](std::size_t) { return true; });
  }
}

// A record may have expired because its owner could not renew it.
TEST_P(removal_times, after_an_outage_of_the_store) {
  for (int i = 0; i < rounds; ++i) {
    ASSERT_NO_FATAL_FAILURE(add_leaf());
    fleet.set_store_rule([](std::size_t) { return false; });
    fleet.run_for(seconds(8));
    fleet.write(leaf, std::nullopt);
    run_for_part_of(seconds(2));
    fleet.set_store_rule([](std::size_t) { return true; });
    const duration retry = milliseconds(500);
    expect_unused_after(retry + call_and_distribution + outage_removal_delay +
                        sweep_period);
  }
}

// A daemon took the time in which it was suspended for an outage of the store.
TEST_P(removal_times, of_daemons_that_were_suspended) {
  const duration suspended = seconds(6);
  for (int i = 0; i < rounds; ++i) {
    ASSERT_NO_FATAL_FAILURE(add_leaf());
    for (std::size_t daemon = 1; daemon < GetParam().daemons; daemon += 3)
      fleet.pause(daemon, suspended);
    const time_point woken = fleet.now() + suspended;
    run_for_part_of(suspended - pause - call_and_distribution);
    fleet.write(leaf, std::nullopt);
    // The others know of the removal by then.
    fleet.run_for(woken - fleet.now());
    expect_unused_after(call_and_distribution + record_removal_delay +
                        sweep_period);
  }
}

}  // namespace
}  // namespace medlarloft::tier
