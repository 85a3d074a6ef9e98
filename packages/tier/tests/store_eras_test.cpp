#include <gtest/gtest.h>

#include "simulated_fleet.hpp"

namespace medlarloft::tier {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::simulated_fleet;

constexpr std::array<std::size_t, 3> fleet_sizes{10, 60, 295};
/// Time in which the readers of a fleet are settled after its start.
constexpr duration settling_time = seconds(12);
/// How old the copy is from which the store is restored.
constexpr duration copy_age = seconds(3);
const std::string leaf = "watched/leaf";
const std::string out = testing::operator_prefix + "out";

class store_eras : public ::testing::TestWithParam<std::size_t> {
 protected:
  store_eras() {
    fleet.write(leaf, "early");
    fleet.run_for(settling_time);
  }

  /// Runs the fleet, and expects of all daemons all the time that they use this
  /// value of a record.
  void expect_used(const std::string& key,
                   const std::optional<std::string>& value, duration length) {
    for (const time_point end = fleet.now() + length; fleet.now() < end;) {
      fleet.run_for(milliseconds(50));
      for (std::size_t i = 0; i < GetParam(); ++i) {
        if (fleet.used(i, key) == value) continue;
        FAIL() << "daemon " << i << " uses "
               << fleet.used(i, key).value_or("no record");
      }
    }
  }

  void expect_same_era(replica::era era) {
    for (std::size_t i = 0; i < GetParam(); ++i)
      EXPECT_EQ(fleet.position(i).era(), era) << "daemon " << i;
  }

  simulated_fleet::options settings{.daemons = GetParam(),
                                    .removal_delay = record_removal_delay};
  simulated_fleet fleet{settings};
};

INSTANTIATE_TEST_SUITE_P(fleets, store_eras, ::testing::ValuesIn(fleet_sizes));

// The fleet's copies had greater revisions than the restored store, so that
// they ignored its changes until it had caught up.
TEST_P(store_eras, a_configuration_is_in_force_in_time_after_a_restore) {
  for (replica::era era = 1; era <= 3; ++era) {
    fleet.restore(copy_age);
    const int number = fleet.configure();
    fleet.run_for(settings.limits.configuration);
    EXPECT_EQ(fleet.behind(number), std::vector<std::size_t>{});
    expect_same_era(era);
  }
}

// The store is unavailable before it is restored, and some answers of the old
// store arrive after the restore.
TEST_P(store_eras, answers_from_before_the_restore_do_not_bring_it_back) {
  fleet.set_store_delay(milliseconds(400));
  fleet.run_for(seconds(2));
  fleet.restore(copy_age);
  fleet.run_for(settings.limits.configuration);
  expect_same_era(1);
  fleet.set_store_rule([](std::size_t) { return false; });
  fleet.run_for(seconds(1));
  fleet.restore(copy_age);
  fleet.set_store_rule([](std::size_t) { return true; });
  const int number = fleet.configure();
  fleet.run_for(settings.limits.configuration);
  EXPECT_EQ(fleet.behind(number), std::vector<std::size_t>{});
  expect_same_era(2);
}

// A record is written within the time that the restore loses. Its owner writes
// it again 1.2 s after the restore; a daemon that removes it meanwhile sends
// requests to a data centre that is out, or none to a leaf that serves.
TEST_P(store_eras, a_lost_record_is_used_until_it_is_written_again) {
  fleet.write(out, "yes");
  fleet.write(leaf, "late");
  fleet.run_for(milliseconds(2900));
  fleet.restore(copy_age);
  ASSERT_NO_FATAL_FAILURE(expect_used(out, "yes", milliseconds(1200)));
  fleet.write(out, "yes");
  ASSERT_NO_FATAL_FAILURE(expect_used(out, "yes", seconds(10)));
}

// Nobody writes the record again: it is removed once its owner had the time.
TEST_P(store_eras, a_lost_record_that_is_not_written_again_is_removed) {
  fleet.write(out, "yes");
  fleet.run_for(milliseconds(2900));
  fleet.restore(copy_age);
  const duration repair_of_a_lost_message =
      stale_after(settings.limits) / 2 + seconds(1);
  const duration removal_of_a_lost_record = milliseconds(2500);
  const duration sweep = milliseconds(500);
  fleet.run_for(pause_after_changes(settings.limits) +
                repair_of_a_lost_message + removal_of_a_lost_record + sweep);
  expect_used(out, std::nullopt, seconds(2));
}

// A leaf that left is named again by the restored store. It got requests until
// its registration expired a second time.
TEST_P(store_eras, a_removed_record_stays_removed_after_a_restore) {
  fleet.write(leaf, std::nullopt);
  fleet.run_for(milliseconds(2900));
  fleet.run_for(milliseconds(1600));
  fleet.restore(seconds(5));
  ASSERT_NO_FATAL_FAILURE(expect_used(leaf, std::nullopt, seconds(4)));
  fleet.run_for(seconds(3));
  // What the store still holds then is right.
  ASSERT_NO_FATAL_FAILURE(expect_used(leaf, "early", seconds(1)));
}

TEST_P(store_eras, a_returned_record_is_used_once_it_is_written_again) {
  fleet.write(leaf, std::nullopt);
  fleet.run_for(milliseconds(4500));
  fleet.restore(seconds(5));
  // The first listing must not hold it yet.
  fleet.run_for(milliseconds(2300));
  fleet.write(leaf, "new");
  // A reader's pause and call.
  fleet.run_for(milliseconds(2300));
  ASSERT_NO_FATAL_FAILURE(expect_used(leaf, "new", seconds(3)));
}

// Restores, restarts, pauses and answers of any delay, in any order.
TEST_P(store_eras, a_fleet_follows_any_order_of_restores_and_faults) {
  random_generator random(GetParam());
  // A run takes longer the larger the fleet is.
  const int rounds = GetParam() > 100 ? 1 : 6;
  constexpr int events = 6;
  replica::era era = 0;
  for (int round = 0; round < rounds; ++round) {
    fleet.set_store_delay(milliseconds(random.below(300)));
    for (int i = 0; i < events; ++i) {
      const std::size_t daemon = random.below(GetParam());
      switch (random.below(4)) {
        case 0:
          fleet.restore(milliseconds(random.below(6000)));
          ++era;
          break;
        case 1:
          fleet.restart(daemon);
          break;
        case 2:
          fleet.pause(daemon, milliseconds(random.below(4000)));
          break;
        default:
          fleet.drop_history();
      }
      fleet.run_for(milliseconds(random.below(1500)));
    }
    fleet.run_for(seconds(5));
    const int number = fleet.configure();
    fleet.run_for(settings.limits.configuration);
    EXPECT_EQ(fleet.behind(number), std::vector<std::size_t>{});
    expect_same_era(era);
  }
}

}  // namespace
}  // namespace medlarloft::tier
