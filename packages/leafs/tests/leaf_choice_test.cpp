#include "leaf_choice.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <array>
#include <set>

namespace medlarloft::leafs {
namespace {

using std::chrono::milliseconds;

const time_point start = time_point{} + std::chrono::hours(1);

constexpr std::size_t daemons = 100;
/// As many daemons, of which this one has all the capacity: nobody competes.
const daemon_quota alone{.fraction = 1, .daemons = daemons};
const daemon_quota contended{.fraction = 1.0 / daemons, .daemons = daemons};

leaf_registration leaf(std::size_t index, std::string data_centre = "near") {
  return {.id = "leaf-" + std::to_string(index),
          .service = "s",
          .address = {"10.0.0.1", static_cast<std::uint16_t>(index + 1)},
          .data_centre = std::move(data_centre),
          .slots = 2};
}

leaf_set make_set(const daemon_quota& quota, std::uint64_t seed) {
  leaf_set set({.local_data_centre = "near"}, seed);
  set.set_limits(start, "s", {.max_connections = 10'000});
  set.set_quota(start, quota);
  for (std::size_t i = 0; i < 8; ++i)
    set.put(start, leaf(i, i % 3 == 0 ? "far" : "near"));
  return set;
}

/// One step of a random history: time passes, an open request ends or the leaf
/// of the next one is picked.
struct step {
  duration pause{};
  std::optional<attempt_outcome> ends;
};

step random_step(random_generator& random) {
  constexpr std::array outcomes{
      attempt_outcome::answered, attempt_outcome::answered,
      attempt_outcome::answered, attempt_outcome::shed,
      attempt_outcome::silent,   attempt_outcome::no_connection};
  step next{.pause = random.below(milliseconds(20))};
  if (random.uniform() < 0.5) next.ends = outcomes[random.below(6)];
  return next;
}

struct open_request {
  attempt_id id = 0;
  leaf_handle leaf = 0;
};

// Where nobody competes, the leafs picked are those of the releases before this
// rule. The expected value is the hash of their picks for the same history; a
// change of the costs changes it as well.
TEST(leaf_choice, picks_as_before_where_daemons_do_not_compete) {
  random_generator random(20261207);
  leaf_set set = make_set(alone, 11);
  std::vector<open_request> open;
  std::uint64_t picks = 0;
  time_point now = start;
  for (attempt_id id = 0; id < 2'000; ++id) {
    const step next = random_step(random);
    now += next.pause;
    if (next.ends && !open.empty()) {
      const open_request ended = open[random.below(open.size())];
      std::erase_if(open,
                    [&](const auto& each) { return each.id == ended.id; });
      set.on_attempt_ended(now, ended.leaf, ended.id, *next.ends);
      continue;
    }
    const auto picked = set.pick(now, "s", "w");
    picks = hash_combine(picks, picked ? picked.value() : 1'000);
    if (!picked) continue;
    set.on_attempt_sent(now, picked.value(), id, "w");
    open.push_back({id, picked.value()});
  }
  EXPECT_EQ(picks, 11314030472073670406U);
}

// The rule must neither use a leaf of another data centre instead of a near
// one, nor one that may not be used. Both sets have the same history; the one
// without competition shows what is allowed.
TEST(leaf_choice, changes_neither_the_data_centre_nor_the_reason_for_none) {
  EXPECT_TRUE(rc::check([](std::uint64_t seed) {
    random_generator random(seed);
    leaf_set plain = make_set(alone, seed);
    leaf_set set = make_set(contended, seed);
    std::vector<open_request> open;
    time_point now = start;
    for (attempt_id id = 0; id < 200; ++id) {
      const step next = random_step(random);
      now += next.pause;
      if (next.ends && !open.empty()) {
        const open_request ended = open[random.below(open.size())];
        std::erase_if(open,
                      [&](const auto& each) { return each.id == ended.id; });
        plain.on_attempt_ended(now, ended.leaf, ended.id, *next.ends);
        set.on_attempt_ended(now, ended.leaf, ended.id, *next.ends);
        continue;
      }
      const std::array excluded{static_cast<leaf_handle>(random.below(8))};
      const leaf_filter filter{.excluded = excluded};
      const auto expected = plain.pick(now, "s", "w", filter);
      const auto picked = set.pick(now, "s", "w", filter);
      RC_ASSERT(picked.has_value() == expected.has_value());
      if (!picked) {
        RC_ASSERT(picked.error() == expected.error());
        continue;
      }
      RC_ASSERT(picked.value() != excluded[0]);
      RC_ASSERT(set.find(picked.value())->data_centre ==
                plain.find(expected.value())->data_centre);
      plain.on_attempt_sent(now, picked.value(), id, "w");
      set.on_attempt_sent(now, picked.value(), id, "w");
      open.push_back({id, picked.value()});
    }
  }));
}

// A daemon of much capacity has a large part of all requests, so that it
// competes with few others, however many small daemons there are.
TEST(leaf_choice, daemons_compete_if_they_outnumber_the_slots) {
  EXPECT_TRUE(is_contended({.fraction = 1.0 / 13, .daemons = 13}, 12));
  EXPECT_FALSE(is_contended({.fraction = 1.0 / 12, .daemons = 12}, 12));
  EXPECT_FALSE(is_contended({.fraction = 0.1, .daemons = 110}, 12));
  EXPECT_FALSE(is_contended({.fraction = 0.01, .daemons = 1}, 12));
}

TEST(leaf_choice, another_leaf_must_be_clearly_cheaper) {
  std::array<leaf_candidate, 3> all{{{.leaf = 1, .preference = 30, .cost = 1},
                                     {.leaf = 2, .preference = 10, .cost = 1.9},
                                     {.leaf = 3, .preference = 20, .cost = 5}}};
  auto candidates = all;
  EXPECT_EQ(choose_leaf(candidates), 2U);
  all[1].cost = 2.1;
  candidates = all;
  EXPECT_EQ(choose_leaf(candidates), 1U);
}

// A preferred leaf that fails one request in ten would be kept, as its failures
// cost less than the advantage of a preferred leaf.
TEST(leaf_choice, a_failing_leaf_is_not_preferred) {
  std::array<leaf_candidate, 3> all{
      {{.leaf = 1, .preference = 10, .cost = 1.8, .failing = true},
       {.leaf = 2, .preference = 20, .cost = 1.7},
       {.leaf = 3, .preference = 30, .cost = 1}}};
  EXPECT_EQ(choose_leaf(all), 3U);
  std::array<leaf_candidate, 2> failing{
      {{.leaf = 1, .cost = 2, .failing = true},
       {.leaf = 2, .cost = 1, .failing = true}}};
  EXPECT_EQ(choose_leaf(failing), 2U);
}

TEST(leaf_choice, different_daemons_prefer_different_leafs) {
  std::set<leaf_handle> chosen;
  for (std::uint64_t seed = 0; seed < 40; ++seed)
    chosen.insert(make_set(contended, seed).pick(start, "s", "w").value());
  EXPECT_EQ(chosen.size(), 5U) << "near leafs";
}

/// Two leafs that a contended daemon uses; the first is lastingly slower.
class uneven_leafs : public ::testing::Test {
 protected:
  uneven_leafs() {
    set.set_limits(start, "s", {.max_connections = 10'000});
    set.set_quota(start, contended);
    slow = set.put(start, leaf(0));
    usual = set.put(start, leaf(1));
    for (int i = 0; i < 60; ++i) {
      run(slow, milliseconds(26));
      run(usual, milliseconds(20));
    }
  }

  void run(leaf_handle leaf, duration response_time) {
    set.on_attempt_sent(now, leaf, ++attempt, "w");
    now += response_time;
    set.on_attempt_ended(now, leaf, attempt, attempt_outcome::answered);
  }

  leaf_set set{{.local_data_centre = "near"}, 7};
  leaf_handle slow = 0;
  leaf_handle usual = 0;
  time_point now = start;
  attempt_id attempt = 0;
};

// One fast response of a slow leaf and one slow response of a usual one, as
// requests differ, exchanged the two for the next second.
TEST_F(uneven_leafs, one_response_does_not_hide_a_lasting_difference) {
  run(slow, milliseconds(16));
  run(usual, milliseconds(30));
  EXPECT_EQ(set.pick(now, "s", "w").value(), usual);
}

// A leaf that has turned slow for half a second must be avoided at once,
// however fast it usually is.
TEST_F(uneven_leafs, two_slow_responses_outweigh_a_lasting_difference) {
  run(usual, milliseconds(50));
  run(usual, milliseconds(50));
  EXPECT_EQ(set.pick(now, "s", "w").value(), slow);
}

// Operators see from these values that one leaf is slower or fuller than the
// others of its service.
TEST_F(uneven_leafs, the_spread_of_the_load_is_reported) {
  EXPECT_NEAR(set.spread(now).slowness_ratio, 26 / 23.0, 0.05);
  EXPECT_EQ(set.spread(now).in_flight_ratio, 1);
  EXPECT_EQ(set.spread(now).contended_services, 1U);
  for (const leaf_handle leaf : {slow, slow, slow, usual})
    set.on_attempt_sent(now, leaf, ++attempt, "w");
  EXPECT_EQ(set.spread(now).in_flight_ratio, 1.5);
  set.set_quota(now, alone);
  EXPECT_EQ(set.spread(now).contended_services, 0U);
}

}  // namespace
}  // namespace medlarloft::leafs
