#include "change_distribution.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <map>
#include <set>

#include "change_codec.hpp"
#include "simulated_fleet.hpp"

namespace medlarloft::tier {
namespace {

using std::chrono::seconds;
using testing::simulated_fleet;

constexpr std::array<std::size_t, 3> fleet_sizes{10, 60, 295};
const time_point any_time = time_point{} + std::chrono::hours(1);
/// Time in which the readers of a fleet are settled after its start.
constexpr duration settling_time = seconds(12);

/// A run takes longer the larger the fleet is.
std::uint64_t seeds_for(std::size_t daemons) {
  return daemons > 100 ? 1 : 4;
}

/// Expects that a configuration written now is in force everywhere in time.
void expect_in_force(simulated_fleet& fleet, const propagation_limits& limits) {
  const int number = fleet.configure();
  fleet.run_for(limits.configuration);
  EXPECT_EQ(fleet.behind(number), std::vector<std::size_t>{});
}

std::set<std::size_t> readers_of(const simulated_fleet& fleet,
                                 std::size_t daemons) {
  std::set<std::size_t> readers;
  for (std::size_t i = 0; i < daemons; ++i)
    if (fleet.reads(i)) readers.insert(i);
  return readers;
}

TEST(change_distribution, a_change_reaches_all_daemons) {
  for (const std::size_t daemons : fleet_sizes) {
    SCOPED_TRACE(daemons);
    const simulated_fleet::options settings{.daemons = daemons};
    simulated_fleet fleet(settings);
    fleet.run_for(settling_time);
    EXPECT_EQ(fleet.reader_count(), settings.data_centres);
    expect_in_force(fleet, settings.limits);
  }
}

// The messages with changes to one daemon are lost, as on connections that a
// cut has silenced, while small messages arrive. They say that the store
// answers, but the copy of this daemon stays behind: it must read by itself.
TEST(change_distribution, a_daemon_that_receives_only_reports_takes_over) {
  for (const std::size_t daemons : fleet_sizes) {
    SCOPED_TRACE(daemons);
    const simulated_fleet::options settings{.daemons = daemons};
    simulated_fleet fleet(settings);
    fleet.run_for(settling_time);
    std::size_t deaf = 0;
    while (fleet.reads(deaf))
      ++deaf;
    fleet.set_link_rule([deaf](std::size_t, std::size_t to,
                               const membership::message& message) {
      return to != deaf || message.notes.empty();
    });
    expect_in_force(fleet, settings.limits);
    EXPECT_TRUE(fleet.reads(deaf));
    EXPECT_LE(fleet.reader_count(), settings.data_centres + 1);
  }
}

// The store turns away all readers and a third of the other daemons, from just
// after its last answer on.
TEST(change_distribution, others_read_when_the_store_turns_the_readers_away) {
  for (const std::size_t daemons : fleet_sizes) {
    for (std::uint64_t seed = 1; seed <= seeds_for(daemons); ++seed) {
      SCOPED_TRACE(std::to_string(daemons) + " seed " + std::to_string(seed));
      const simulated_fleet::options settings{.daemons = daemons, .seed = seed};
      simulated_fleet fleet(settings);
      fleet.run_for(settling_time + std::chrono::milliseconds(700) * seed);
      const auto turned_away = readers_of(fleet, daemons);
      fleet.set_store_rule([turned_away](std::size_t daemon) {
        return daemon % 3 != 1 && !turned_away.contains(daemon);
      });
      expect_in_force(fleet, settings.limits);
      expect_in_force(fleet, settings.limits);
    }
  }
}

// A data centre is cut off from the others with its reader, which the store
// turns away. Its other daemons must read.
TEST(change_distribution, a_data_centre_that_is_cut_off_reads_by_itself) {
  for (const std::size_t daemons : fleet_sizes) {
    SCOPED_TRACE(daemons);
    const simulated_fleet::options settings{.daemons = daemons};
    simulated_fleet fleet(settings);
    fleet.run_for(settling_time);
    const auto turned_away = readers_of(fleet, daemons);
    fleet.set_store_rule([turned_away](std::size_t daemon) {
      return !turned_away.contains(daemon);
    });
    fleet.set_link_rule(
        [&fleet](std::size_t from, std::size_t to, const membership::message&) {
          return (fleet.centre_of(from) == 2) == (fleet.centre_of(to) == 2);
        });
    expect_in_force(fleet, settings.limits);
  }
}

// Every tenth message is lost, and the store turns away a changing third of the
// daemons.
TEST(change_distribution, changes_arrive_in_time_despite_random_losses) {
  for (const std::size_t daemons : fleet_sizes) {
    for (std::uint64_t seed = 1; seed <= seeds_for(daemons); ++seed) {
      SCOPED_TRACE(std::to_string(daemons) + " seed " + std::to_string(seed));
      const simulated_fleet::options settings{
          .daemons = daemons, .seed = seed, .loss = 0.1};
      simulated_fleet fleet(settings);
      fleet.run_for(settling_time);
      for (std::uint64_t round = 0; round < 3; ++round) {
        fleet.set_store_rule([seed, round](std::size_t daemon) {
          return hash_combine(seed * 10 + round, daemon) % 3 != 0;
        });
        expect_in_force(fleet, settings.limits);
      }
    }
  }
}

// More registrations change during a reader's pause than fit into one response
// of the store.
TEST(change_distribution, a_change_arrives_in_time_behind_many_heartbeats) {
  for (const std::size_t daemons : fleet_sizes) {
    SCOPED_TRACE(daemons);
    const simulated_fleet::options settings{.daemons = daemons,
                                            .heartbeat_rate = 800};
    simulated_fleet fleet(settings);
    fleet.run_for(settling_time);
    expect_in_force(fleet, settings.limits);
    expect_in_force(fleet, settings.limits);
  }
}

// Large configurations follow each other. Every daemon that heard of one asked
// for it again while it was on its way: the repeated transfers took longer than
// the first ones, and delayed them beyond the limit.
TEST(change_distribution, a_large_change_is_sent_about_once_to_each_daemon) {
  constexpr std::size_t bytes = std::size_t{720} << 10;
  constexpr int changes = 5;
  const propagation_limits limits{.leaf_leaves = seconds(5),
                                  .configuration = seconds(5)};
  for (const std::size_t daemons : {8U, 60U}) {
    SCOPED_TRACE(daemons);
    simulated_fleet fleet({.daemons = daemons,
                           .data_centres = 3,
                           .limits = limits,
                           .link_rate = 8e6,
                           .apply_rate = 4e6,
                           .configuration_bytes = bytes});
    fleet.run_for(settling_time);
    const std::uint64_t before = fleet.note_bytes();
    for (int i = 0; i < changes; ++i) {
      const int number = fleet.configure();
      fleet.run_for(limits.configuration);
      EXPECT_EQ(fleet.behind(number), std::vector<std::size_t>{});
    }
    // One copy for each daemon, and half as much for losses and registrations.
    EXPECT_LE(fleet.note_bytes() - before, bytes * changes * daemons * 3 / 2);
  }
}

// What waits in the sockets of a paused daemon states ages as of its sending,
// and arrives seconds later. It must not pass for a confirmation of the copy.
TEST(change_distribution, after_a_pause_only_new_answers_confirm_the_copy) {
  const time_point start = time_point{} + std::chrono::hours(1);
  const membership::member_record self{
      .id = "d0", .data_centre = "z", .control = {"10.0.0.1", 1}};
  change_distribution distribution(
      {.group = {.self = self, .seeds = {{"10.0.0.1", 2}}},
       .started_at = start},
      {.changes_since = [](auto) { return replica::store_copy::delta{}; },
       .copy_position = [] { return replica::revision{7}; },
       .apply = [](auto, const auto&, auto) {},
       .on_malformed = [](auto, auto) {}});
  distribution.on_store_read(start, 7, true);
  const time_point woken = start + seconds(4);
  const auto joins = distribution.reset_after_pause(woken).messages;
  ASSERT_EQ(joins.size(), 1U);
  EXPECT_EQ(joins[0].message.kind, membership::message_kind::join);
  membership::message waited{.kind = membership::message_kind::notes,
                             .from = "d1",
                             .version = 7,
                             .store_age = std::chrono::milliseconds(100)};
  distribution.receive(woken, waited);
  EXPECT_FALSE(distribution.readers().is_fresh(woken));
  membership::message answer = waited;
  answer.kind = membership::message_kind::join_response;
  distribution.receive(woken, answer);
  EXPECT_TRUE(distribution.readers().is_fresh(woken));
}

// A daemon restarts and learns from peers whose copies have different ages, in
// any order. A record that was removed, such as a leaf that left or a withdrawn
// quota, must not come back: the copy is always the store's state at the copy's
// own revision.
TEST(change_distribution, a_removed_record_never_returns_after_a_restart) {
  using records = std::map<std::string, std::string>;
  const auto contents = [](const replica::store_copy& copy) {
    records all;
    for (const replica::change& each : copy.changes_since(0).changes)
      if (each.value) all[each.key] = *each.value;
    return all;
  };
  EXPECT_TRUE(rc::check(
      [&contents](const std::vector<std::pair<std::uint8_t, bool>>& steps,
                  std::uint64_t order) {
        std::vector<records> states(1);
        std::vector<replica::store_copy> peers{
            replica::store_copy({.max_tombstones = 2})};
        for (const auto& [key, has_value] : steps) {
          const replica::revision number = states.size();
          const std::string name(1, static_cast<char>('a' + key % 4));
          const auto value =
              has_value ? std::optional(std::to_string(number)) : std::nullopt;
          peers.push_back(peers.back());
          peers.back().apply(any_time, {{name, number, value}}, number);
          states.push_back(contents(peers.back()));
        }
        replica::store_copy restarted({});
        change_distribution distribution(
            {.group = {.self = {.id = "d0", .data_centre = "z"}}},
            {.changes_since =
                 [&](auto from) { return restarted.changes_since(from); },
             .copy_position = [&] { return restarted.last_position(); },
             .apply =
                 [&](auto now, const auto& delta, auto) {
                   if (delta.listing) {
                     restarted.apply_listing(now, delta.changes,
                                             delta.last_position);
                   } else {
                     restarted.apply(now, delta.changes, delta.last_position);
                   }
                 },
             .on_malformed = [](auto, auto) {}});
        random_generator random(order);
        for (std::size_t i = 0; i < 2 * peers.size(); ++i) {
          // A peer's message may answer a request about any earlier revision.
          const replica::store_copy& peer = peers[random.below(peers.size())];
          const auto asked = random.below(peers.size());
          const auto delta = peer.changes_since(asked);
          const bool listing = delta.listing || asked == 0;
          distribution.receive(
              any_time, {.kind = membership::message_kind::notes,
                         .from = "d1",
                         .version = delta.last_position.packed(),
                         .notes = {{.version = delta.last_position.packed(),
                                    .base = listing ? 0 : asked,
                                    .text = encode_changes(delta.changes)}}});
          RC_ASSERT(contents(restarted) ==
                    states[restarted.last_position().number()]);
        }
      }));
}

// Daemons notice a restore of the store at different times, and messages of the
// era before arrive late. Changes after a revision of another era would mix two
// states of the store, although the revisions fit.
TEST(change_distribution, applies_changes_within_one_era_only) {
  replica::position copy{1, 30};
  std::vector<replica::position> applied;
  change_distribution distribution(
      {.group = {.self = {.id = "d0", .data_centre = "z"}}},
      {.changes_since = [](auto) { return replica::store_copy::delta{}; },
       .copy_position = [&copy] { return copy; },
       .apply = [&](auto, const replica::store_copy::delta& delta,
                    auto) { applied.push_back(copy = delta.last_position); },
       .on_malformed = [](auto, auto) {}});
  const auto receive = [&](replica::position base, replica::position version) {
    distribution.receive(any_time, {.kind = membership::message_kind::notes,
                                    .from = "d1",
                                    .version = version.packed(),
                                    .notes = {{.version = version.packed(),
                                               .base = base.packed(),
                                               .text = encode_changes({})}}});
  };
  const replica::position listing;
  receive({0, 20}, {0, 900});
  receive(listing, {0, 901});
  receive({1, 20}, {2, 31});
  receive({2, 20}, {2, 31});
  EXPECT_TRUE(applied.empty());
  receive({1, 20}, {1, 31});
  receive(listing, {2, 5});
  receive({2, 4}, {2, 6});
  EXPECT_EQ(applied, (std::vector<replica::position>{{1, 31}, {2, 5}, {2, 6}}));
  // What the reader got from the store before another daemon brought the new
  // era.
  EXPECT_TRUE(
      distribution.on_store_read(any_time, {1, 40}, true).messages.empty());
  EXPECT_FALSE(distribution.readers().is_fresh(any_time));
}

// Reading has a price, and the rate of all daemons together is limited.
TEST(change_distribution, a_calm_fleet_makes_few_calls_to_the_store) {
  for (const std::size_t daemons : fleet_sizes) {
    SCOPED_TRACE(daemons);
    const simulated_fleet::options settings{.daemons = daemons};
    simulated_fleet fleet(settings);
    fleet.run_for(settling_time);
    const std::uint64_t before = fleet.store_calls();
    fleet.run_for(seconds(10));
    // One reader of each data centre, with a pause of two seconds.
    EXPECT_LE(fleet.store_calls() - before, settings.data_centres * 6);
  }
}

}  // namespace
}  // namespace medlarloft::tier
