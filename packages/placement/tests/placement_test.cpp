#include "medlarloft/placement.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <set>

#include "sample_fleet.hpp"

namespace medlarloft::placement {
namespace {

using namespace std::chrono_literals;

bool nobody_gone(daemon_index /*daemon*/) {
  return false;
}

TEST(home_table, keeps_homes_in_the_leafs_data_centre) {
  const auto model = sample_fleet({});
  const home_table table(*model);
  for (leaf_index leaf = 0; leaf < model->leafs.size(); ++leaf) {
    EXPECT_EQ(table.homes(leaf).count, 2U);
    for (const daemon_index home : table.homes(leaf).daemons()) {
      EXPECT_EQ(model->daemons[home].data_centre,
                model->leafs[leaf].data_centre);
    }
  }
}

TEST(home_table, uses_other_data_centres_where_there_is_no_daemon) {
  auto model = sample_fleet({});
  std::erase_if(model->daemons, [](const auto& daemon) {
    return daemon.data_centre == "dc000001";
  });
  const home_table table(*model);
  EXPECT_GT(table.homes(1).count, 0U);
}

TEST(home_table, has_no_more_homes_than_slots) {
  const auto model = sample_fleet({.slots = 1});
  const home_table table(*model);
  EXPECT_EQ(table.homes(0).count, 1U);
}

TEST(home_table, groups_neighbouring_shards_on_few_relays) {
  const auto model = sample_fleet(
      {.data_centres = 1, .daemons_per_centre = 200, .shards = 512});
  const home_table table(*model);
  std::set<daemon_index> relays;
  for (leaf_index leaf = 0; leaf < model->leafs.size(); ++leaf) {
    relays.insert(table.homes(leaf).ranked[0]);
  }
  EXPECT_LE(relays.size(), 512 / shards_per_group);
}

TEST(home_table, moves_only_the_share_of_a_removed_daemon) {
  const auto model = sample_fleet({.daemons_per_centre = 20, .shards = 256});
  auto smaller = std::make_shared<notes::fleet_model>(*model);
  const std::string gone = smaller->daemons[5].id;
  smaller->daemons.erase(smaller->daemons.begin() + 5);
  const home_table before(*model);
  const home_table after(*smaller);
  for (leaf_index leaf = 0; leaf < model->leafs.size(); ++leaf) {
    std::set<std::string> old_homes;
    std::set<std::string> new_homes;
    for (const auto d : before.homes(leaf).daemons()) {
      old_homes.insert(model->daemons[d].id);
    }
    for (const auto d : after.homes(leaf).daemons()) {
      new_homes.insert(smaller->daemons[d].id);
    }
    if (old_homes.contains(gone)) continue;
    EXPECT_EQ(old_homes, new_homes);
  }
}

TEST(home_table, rebuilds_incrementally_to_the_same_result) {
  const auto model = sample_fleet({});
  auto changed = std::make_shared<notes::fleet_model>(*model);
  changed->leafs[3].slots = 1;
  changed->leafs[3].digest = 999;
  changed->leafs.erase(changed->leafs.begin() + 40, changed->leafs.end());
  changed->services.clear();
  const home_table before(*model);
  const home_table incremental(*changed, *model, before);
  const home_table fresh(*changed);
  for (leaf_index leaf = 0; leaf < changed->leafs.size(); ++leaf) {
    EXPECT_TRUE(std::ranges::equal(incremental.homes(leaf).daemons(),
                                   fresh.homes(leaf).daemons()));
  }
}

RC_GTEST_PROP(part_of, parts_add_up_to_the_total, ()) {
  const auto total = *rc::gen::inRange<std::uint32_t>(0, 200);
  const auto holders = *rc::gen::inRange<std::size_t>(1, 9);
  std::uint32_t sum = 0;
  for (std::size_t rank = 0; rank < holders; ++rank) {
    sum += part_of(total, rank, holders);
  }
  RC_ASSERT(sum == total);
}

TEST(share_of, passes_the_part_of_a_gone_home_on) {
  const auto model = sample_fleet({});
  const home_table table(*model);
  const home_set& homes = table.homes(0);
  const auto first_gone = [&](daemon_index d) { return d == homes.ranked[0]; };
  const share second =
      share_of(model->leafs[0], homes, homes.ranked[1], first_gone);
  EXPECT_EQ(second.slots, 4U);
  EXPECT_EQ(second.cold, 1U);
  const share usual =
      share_of(model->leafs[0], homes, homes.ranked[1], nobody_gone);
  EXPECT_EQ(usual.slots, 2U);
  EXPECT_EQ(usual.cold, 0U);
}

TEST(share_ledger, gives_up_at_once_and_gains_after_the_hold_off) {
  share_ledger ledger(3s);
  const time_point start{100s};
  ledger.grant(start, {{"l", {4, 20, 1}}});
  EXPECT_EQ(ledger.usable(start + 2s)[0].share.slots, 0U);
  EXPECT_EQ(ledger.usable(start + 3s)[0].share.slots, 4U);
  ledger.grant(start + 5s, {{"l", {1, 20, 1}}});
  EXPECT_EQ(ledger.usable(start + 5s)[0].share.slots, 1U);
  ledger.grant(start + 6s, {{"l", {4, 20, 1}}});
  EXPECT_EQ(ledger.usable(start + 8s)[0].share.slots, 1U);
  EXPECT_EQ(ledger.usable(start + 9s)[0].share.slots, 4U);
}

// Every daemon hears each published fleet at its own time, at most the
// hold-off after the first; whatever the fleets and times, the shares in use
// of no leaf ever sum to more than it bears.
RC_GTEST_PROP(share_ledger, sum_over_all_daemons_keeps_the_limits, ()) {
  constexpr duration hold_off = 3s;
  constexpr std::size_t daemons = 5;
  const auto base = sample_fleet({.data_centres = 1,
                                  .daemons_per_centre = daemons,
                                  .shards = 3,
                                  .slots = 3});
  const auto changes =
      *rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 1 << daemons));
  std::vector<share_ledger> ledgers(daemons, share_ledger(hold_off));
  struct news {
    time_point at;
    std::size_t daemon;
    std::size_t fleet;
  };
  std::vector<notes::model_ptr> fleets;
  std::vector<news> events;
  time_point published{100s};
  for (const int mask : changes) {
    auto fleet = std::make_shared<notes::fleet_model>(*base);
    std::erase_if(fleet->daemons, [&](const auto& daemon) {
      const auto number = std::stoul(daemon.id.substr(1));
      return (mask >> number & 1) == 0;
    });
    fleets.push_back(fleet);
    for (std::size_t d = 0; d < daemons; ++d) {
      const auto late = *rc::gen::inRange(0, 3000);
      events.push_back(
          {published + std::chrono::milliseconds(late), d, fleets.size() - 1});
    }
    published += std::chrono::milliseconds(*rc::gen::inRange(1, 5000));
  }
  std::ranges::stable_sort(events, {}, &news::at);
  std::vector<std::size_t> newest(daemons, 0);
  for (const news& one : events) {
    // Versions only rise: news that come late are ignored. Those between are
    // part of the news, and are granted in order.
    for (std::size_t f = newest[one.daemon]; f <= one.fleet; ++f) {
      const notes::fleet_model& fleet = *fleets[f];
      const home_table table(fleet);
      const auto self = fleet.index_of_daemon(numbered("d", one.daemon));
      std::vector<leaf_share> granted;
      for (leaf_index leaf = 0; self && leaf < fleet.leafs.size(); ++leaf) {
        if (!table.homes(leaf).rank_of(*self)) continue;
        granted.push_back({fleet.leafs[leaf].id,
                           share_of(fleet.leafs[leaf], table.homes(leaf), *self,
                                    nobody_gone)});
      }
      ledgers[one.daemon].grant(one.at, granted);
      newest[one.daemon] = f + 1;
    }
    for (const notes::leaf& leaf : base->leafs) {
      share sum;
      for (const share_ledger& ledger : ledgers) {
        for (const leaf_share& used : ledger.usable(one.at)) {
          if (used.leaf != leaf.id) continue;
          sum.slots += used.share.slots;
          sum.connections += used.share.connections;
          sum.cold += used.share.cold;
        }
      }
      RC_ASSERT(sum.slots <= leaf.slots);
      RC_ASSERT(sum.connections <= leaf.connections);
      RC_ASSERT(sum.cold <= leaf.cold.concurrent);
    }
  }
}

std::vector<daemon_status> all_alive(const notes::fleet_model& model) {
  return std::vector<daemon_status>(model.daemons.size());
}

TEST(addresses_for, names_the_callers_data_centre_first) {
  const auto model = sample_fleet({});
  const auto chosen = address_book(*model).addresses_for(
      all_alive(*model),
      {.data_centre = "dc000001", .caller = "c", .count = 4});
  ASSERT_EQ(chosen.size(), 4U);
  for (std::size_t i = 0; i < 3; ++i) {
    EXPECT_EQ(model->daemons[chosen[i]].data_centre, "dc000001");
  }
  EXPECT_EQ(model->daemons[chosen[3]].data_centre, "dc000000");
}

TEST(addresses_for, leaves_out_what_leaves_is_gone_or_out) {
  const auto model = sample_fleet({});
  auto status = all_alive(*model);
  status[0].leaving = true;
  status[1].alive = false;
  model->data_centres[1].out = true;
  const auto chosen = address_book(*model).addresses_for(
      status, {.data_centre = "dc000000", .caller = "c", .count = 9});
  EXPECT_EQ(chosen.size(), 4U);
  EXPECT_EQ(std::ranges::count(chosen, 0U), 0);
  EXPECT_EQ(std::ranges::count(chosen, 1U), 0);
  for (const daemon_index daemon : chosen) {
    EXPECT_NE(model->daemons[daemon].data_centre, "dc000001");
  }
}

TEST(addresses_for, is_stable_when_another_daemon_goes) {
  const auto model = sample_fleet({.daemons_per_centre = 8});
  auto status = all_alive(*model);
  const address_request request{
      .data_centre = "dc000000", .caller = "c", .count = 3};
  const auto before = address_book(*model).addresses_for(status, request);
  for (daemon_index other = 0; other < 8; ++other) {
    if (std::ranges::find(before, other) != before.end()) continue;
    status[other].alive = false;
    EXPECT_EQ(address_book(*model).addresses_for(status, request), before);
    status[other].alive = true;
  }
}

// Differential: the naive choice walks and sorts the whole fleet.
RC_GTEST_PROP(addresses_for, equals_a_walk_over_the_fleet, ()) {
  const auto model = sample_fleet({.data_centres = 4});
  auto status = all_alive(*model);
  for (auto& one : status) {
    one.alive = *rc::gen::inRange(0, 4) != 0;
    one.leaving = *rc::gen::inRange(0, 5) == 0;
  }
  const auto out = *rc::gen::inRange<std::size_t>(0, 4);
  model->data_centres[out].out = true;
  const auto own = *rc::gen::inRange<std::size_t>(0, 4);
  const address_request request{
      .data_centre = model->data_centres[own].id, .caller = "c", .count = 5};
  const std::uint64_t seed = hash64(request.caller);
  const auto rank = [&](daemon_index d) {
    const std::string& centre = model->daemons[d].data_centre;
    const auto* there = model->find_data_centre(centre);
    const bool near = there->region == model->data_centres[own].region;
    const int distance = centre == request.data_centre ? 0 : (near ? 1 : 2);
    return std::tuple(distance, ~hash_combine(seed, hash64(centre)),
                      ~hash_combine(seed, hash64(model->daemons[d].id)));
  };
  std::vector<daemon_index> naive;
  for (daemon_index d = 0; d < model->daemons.size(); ++d) {
    const bool usable = status[d].alive && !status[d].leaving &&
                        !model->is_out(model->daemons[d].data_centre);
    if (usable) naive.push_back(d);
  }
  std::ranges::sort(naive, {}, rank);
  naive.resize(std::min<std::size_t>(naive.size(), request.count));
  RC_ASSERT(address_book(*model).addresses_for(status, request) == naive);
}

TEST(addresses_for, spreads_callers_evenly) {
  const auto model = sample_fleet({.daemons_per_centre = 4});
  std::vector<int> callers(model->daemons.size());
  for (int c = 0; c < 4000; ++c) {
    const auto chosen = address_book(*model).addresses_for(
        all_alive(*model),
        {.data_centre = "dc000000", .caller = std::to_string(c), .count = 1});
    ++callers[chosen[0]];
  }
  for (std::size_t d = 0; d < 4; ++d)
    EXPECT_NEAR(callers[d], 1000, 150);
}

TEST(ownership_history, keeps_ownership_through_changes_elsewhere) {
  const auto first = sample_fleet({});
  auto second = std::make_shared<notes::fleet_model>(*first);
  const auto owner = owner_of(*first, "r1");
  ASSERT_TRUE(owner.has_value());
  const std::string self = first->daemons[*owner].id;
  const daemon_index other = *owner == 0 ? 1 : 0;
  second->daemons.erase(second->daemons.begin() + other);
  const wall_time start(1'000s);
  ownership_history history(60s);
  history.add(start, 3s, first);
  history.add(start + 20s, 3s, second);
  EXPECT_EQ(history.owner_since(self, "r1"), start + 3s);
}

TEST(ownership_history, begins_anew_when_the_owner_changes) {
  const auto first = sample_fleet({});
  auto second = std::make_shared<notes::fleet_model>(*first);
  const auto owner = owner_of(*first, "r1");
  second->daemons.erase(second->daemons.begin() + *owner);
  const auto heir = owner_of(*second, "r1");
  const std::string self = second->daemons[*heir].id;
  const wall_time start(1'000s);
  ownership_history history(60s);
  history.add(start, 3s, first);
  EXPECT_FALSE(history.owner_since(self, "r1").has_value());
  history.add(start + 20s, 3s, second);
  EXPECT_EQ(history.owner_since(self, "r1"), start + 23s);
}

}  // namespace
}  // namespace medlarloft::placement
