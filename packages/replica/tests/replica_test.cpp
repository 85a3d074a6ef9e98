#include "medlarloft/replica.hpp"

#include <gtest/gtest.h>

#include <rapidcheck.h>
#include <algorithm>
#include <map>

namespace medlarloft::replica {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const time_point start = time_point{} + std::chrono::hours(1);

std::map<std::string, std::string> contents(const store_copy& copy) {
  std::map<std::string, std::string> all;
  for (const change& each : copy.changes_since(0).changes) {
    if (each.value) all[each.key] = *each.value;
  }
  return all;
}

TEST(store_copy, ignores_older_revisions) {
  store_copy copy({});
  copy.apply(start, {{"a", 7, "new"}}, 7);
  EXPECT_TRUE(copy.apply(start, {{"a", 5, "old"}}, 5).empty());
  EXPECT_TRUE(copy.apply(start, {{"a", 6, std::nullopt}}, 6).empty());
  EXPECT_EQ(contents(copy)["a"], "new");
  EXPECT_EQ(copy.last_revision(), 7U);
}

TEST(store_copy, applies_a_removal_at_once_by_default) {
  store_copy copy({});
  copy.apply(start, {{"a", 1, "x"}}, 1);
  const auto updates = copy.apply(start, {{"a", 2, std::nullopt}}, 2);
  ASSERT_EQ(updates.size(), 1U);
  EXPECT_FALSE(updates[0].value);
}

TEST(store_copy, delays_removals_after_the_store_was_unreachable) {
  store_copy copy({});
  copy.apply(start, {{"a", 1, "x"}, {"b", 2, "y"}}, 2);
  copy.set_store_reachable(start, false);
  copy.set_store_reachable(start + seconds(5), true);
  EXPECT_TRUE(copy.apply(start + seconds(5),
                         {{"a", 3, std::nullopt}, {"b", 4, std::nullopt}}, 4)
                  .empty());
  EXPECT_TRUE(copy.tick(start + seconds(6)).empty());
  copy.apply(start + seconds(6), {{"a", 5, "x"}}, 5);
  const auto updates = copy.tick(start + seconds(8));
  ASSERT_EQ(updates.size(), 1U);
  EXPECT_EQ(updates[0].key, "b");
}

TEST(store_copy, never_delays_removals_with_the_immediate_prefix) {
  store_copy copy({.immediate_prefix = "ours/"});
  copy.apply(start, {{"ours/z", 1, "{}"}}, 1);
  copy.set_store_reachable(start, false);
  EXPECT_EQ(copy.apply(start, {{"ours/z", 2, std::nullopt}}, 2).size(), 1U);
}

TEST(store_copy, a_listing_removes_missing_records_unless_they_are_newer) {
  store_copy copy({});
  copy.apply(start, {{"a", 1, "x"}, {"b", 9, "y"}}, 9);
  copy.apply_listing(start, {{"c", 3, "z"}}, 5);
  EXPECT_EQ(contents(copy),
            (std::map<std::string, std::string>{{"b", "y"}, {"c", "z"}}));
}

TEST(store_copy, returns_the_changes_that_a_peer_missed_including_removals) {
  store_copy source({});
  source.apply(start, {{"a", 1, "x"}, {"b", 2, "y"}}, 2);
  store_copy peer({});
  peer.apply(start, source.changes_since(0).changes,
             source.changes_since(0).last_revision);
  source.apply(start, {{"a", 3, std::nullopt}}, 3);
  const auto missed = source.changes_since(peer.last_revision());
  EXPECT_FALSE(missed.listing);
  peer.apply(start, missed.changes, missed.last_revision);
  EXPECT_EQ(contents(peer), contents(source));
}

TEST(store_copy, returns_a_listing_once_removals_were_pruned) {
  store_copy copy({.max_tombstones = 1});
  copy.apply(start, {{"a", 1, "x"}, {"b", 2, "y"}, {"c", 3, "z"}}, 3);
  copy.apply(start, {{"a", 4, std::nullopt}, {"b", 5, std::nullopt}}, 5);
  EXPECT_TRUE(copy.changes_since(3).listing);
  EXPECT_FALSE(copy.changes_since(5).listing);
}

// Changes arrive from the store and from peers in any order. The copy must end
// in the same state.
TEST(store_copy, converges_for_any_order_of_changes) {
  EXPECT_TRUE(
      rc::check([](const std::vector<std::pair<std::uint8_t, bool>>& steps,
                   std::uint64_t order) {
        std::vector<change> history;
        std::map<std::string, std::string> model;
        for (const auto& [key, has_value] : steps) {
          const revision number = history.size() + 1;
          const std::string name(1, static_cast<char>('a' + key % 4));
          const std::string value = std::to_string(number);
          history.push_back(
              {name, number, has_value ? std::optional(value) : std::nullopt});
          if (has_value) {
            model[name] = value;
          } else {
            model.erase(name);
          }
        }
        store_copy copy({});
        std::vector<change> shuffled = history;
        random_generator random(order);
        std::ranges::shuffle(shuffled, random);
        for (const change& each : shuffled)
          copy.apply(start, {each}, each.changed_revision);
        RC_ASSERT(contents(copy) == model);
      }));
}

// A copy that lists the store again, since the history it needs is gone, knows
// nothing of records that came and went meanwhile. A peer that holds such a
// record kept it for good, as the changes sent to it don't include its removal.
TEST(store_copy, a_listed_copy_gives_peers_in_between_a_full_listing) {
  store_copy listed({});
  listed.apply(start, {{"a", 1, "x"}}, 1);
  store_copy peer({});
  peer.apply(start, {{"a", 1, "x"}, {"b", 2, "y"}}, 2);
  // "b" was removed at revision 3.
  listed.apply_listing(start, {{"a", 1, "x"}, {"c", 4, "z"}}, 4);
  const store_copy::delta sent = listed.changes_since(peer.last_revision());
  ASSERT_TRUE(sent.listing);
  peer.apply_listing(start, sent.changes, sent.last_revision);
  EXPECT_EQ(contents(peer), contents(listed));
}

}  // namespace
}  // namespace medlarloft::replica
