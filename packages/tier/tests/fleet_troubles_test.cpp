#include <gtest/gtest.h>

#include <functional>
#include <set>

#include "simulated_fleet.hpp"

namespace medlarloft::tier {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::simulated_fleet;

/// Time after which a daemon's trouble no longer excuses it.
constexpr duration recovery_time = seconds(5);

/// Troubles of a fleet, drawn from a seed: the store turns daemons away,
/// answers late or drops its history; daemons are paused, cut off or restarted.
class troubles {
 public:
  troubles(simulated_fleet& fleet, std::size_t daemons, std::uint64_t seed)
      : fleet_(fleet), random_(seed), excused_until_(daemons) {
    fleet_.set_store_rule([this](std::size_t daemon) {
      return fleet_.now() >= turned_away_until_ ||
             !turned_away_.contains(daemon);
    });
    fleet_.set_link_rule(
        [this](std::size_t from, std::size_t to, const membership::message&) {
          return fleet_.now() >= cut_until_ ||
                 cut_off_.contains(from) == cut_off_.contains(to);
        });
  }

  void begin_one() {
    const duration length = milliseconds(1500 + random_.below(5000));
    constexpr std::uint64_t kinds = 6;
    switch (random_.below(kinds)) {
      case 0:
        turn_away(length);
        break;
      case 1:
        for (const std::size_t each : draw()) {
          fleet_.pause(each, length);
          excuse(each, length);
        }
        break;
      case 2:
        cut_off_ = draw();
        cut_until_ = fleet_.now() + length;
        for (const std::size_t each : cut_off_)
          excuse(each, length);
        break;
      case 3:
        for (const std::size_t each : draw()) {
          fleet_.restart(each);
          excuse(each, duration::zero());
        }
        break;
      case 4:
        fleet_.drop_history();
        break;
      default:
        fleet_.set_store_delay(milliseconds(random_.below(300)));
    }
  }

  /// Of the late daemons, those that had no trouble of their own.
  std::vector<std::size_t> unexcused(std::vector<std::size_t> late) const {
    std::erase_if(late, [this](std::size_t each) {
      return fleet_.now() < excused_until_[each];
    });
    return late;
  }

 private:
  // Draws up to a third of the daemons.
  std::set<std::size_t> draw() {
    std::set<std::size_t> drawn;
    const std::size_t count =
        1 + random_.below(std::max<std::size_t>(excused_until_.size() / 3, 1));
    while (drawn.size() < count)
      drawn.insert(random_.below(excused_until_.size()));
    return drawn;
  }

  // The readers are turned away as well, so that others must notice. A third of
  // the daemons is served: what the store tells nobody can be in force nowhere.
  void turn_away(duration length) {
    const std::size_t most = excused_until_.size() - excused_until_.size() / 3;
    turned_away_ = draw();
    for (std::size_t i = 0; i < excused_until_.size(); ++i) {
      if (fleet_.reads(i) && turned_away_.size() < most) turned_away_.insert(i);
    }
    turned_away_until_ = fleet_.now() + length;
  }

  void excuse(std::size_t daemon, duration length) {
    excused_until_[daemon] =
        std::max(excused_until_[daemon], fleet_.now() + length + recovery_time);
  }

  simulated_fleet& fleet_;
  random_generator random_;
  std::vector<time_point> excused_until_;
  std::set<std::size_t> turned_away_;
  time_point turned_away_until_{};
  std::set<std::size_t> cut_off_;
  time_point cut_until_{};
};

constexpr std::array<std::size_t, 3> fleet_sizes{8, 24, 60};
constexpr std::uint64_t seeds = 8;
constexpr propagation_limits limits{.leaf_leaves = seconds(5),
                                    .configuration = seconds(5)};

/// Calls `check` after each of six changes of the configuration, among
/// troubles.
void run_with_troubles(
    std::size_t daemons, std::uint64_t seed,
    const std::function<void(const simulated_fleet&, const troubles&,
                             int configuration)>& check) {
  constexpr int rounds = 6;
  constexpr duration pause = milliseconds(400);
  simulated_fleet fleet({.daemons = daemons,
                         .data_centres = 3,
                         .limits = limits,
                         .seed = seed,
                         .heartbeat_rate = 150,
                         .removals = 0.1});
  troubles drawn(fleet, daemons, hash_combine(seed, daemons));
  fleet.run_for(seconds(12));
  for (int round = 0; round < rounds; ++round) {
    drawn.begin_one();
    fleet.run_for(pause);
    drawn.begin_one();
    fleet.run_for(pause);
    const int number = fleet.configure();
    fleet.run_for(limits.configuration);
    check(fleet, drawn, number);
  }
}

// A configuration is late at a daemon that had no trouble itself, because the
// daemons it depends on had: readers that are turned away, paused, cut off or
// restarted, alone or together.
TEST(fleet_troubles, a_configuration_is_in_force_in_time_despite_others) {
  for (const std::size_t daemons : fleet_sizes) {
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
      SCOPED_TRACE(std::to_string(daemons) + " seed " + std::to_string(seed));
      run_with_troubles(
          daemons, seed,
          [](const simulated_fleet& fleet, const troubles& drawn, int number) {
            EXPECT_EQ(drawn.unexcused(fleet.behind(number)),
                      std::vector<std::size_t>{});
          });
    }
  }
}

// A leaf or an order that was withdrawn stays in force at a daemon for good,
// because the removal was not part of what another daemon sent it.
TEST(fleet_troubles, a_removed_record_stays_in_no_copy) {
  for (const std::size_t daemons : fleet_sizes) {
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
      SCOPED_TRACE(std::to_string(daemons) + " seed " + std::to_string(seed));
      run_with_troubles(
          daemons, seed,
          [daemons](const simulated_fleet& fleet, const troubles&, int) {
            for (std::size_t i = 0; i < daemons; ++i)
              EXPECT_FALSE(fleet.holds_removed_record(i)) << "daemon " << i;
          });
    }
  }
}

}  // namespace
}  // namespace medlarloft::tier
