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

TEST(store_copy, drops_what_is_older_than_what_is_known) {
  store_copy copy({});
  copy.apply(start, {{"a", 7, "new"}}, 7);
  EXPECT_TRUE(copy.apply(start, {{"a", 5, "old"}}, 5).empty());
  EXPECT_TRUE(copy.apply(start, {{"a", 6, std::nullopt}}, 6).empty());
  EXPECT_EQ(contents(copy)["a"], "new");
  EXPECT_EQ(copy.last_revision(), 7U);
}

TEST(store_copy, gives_up_a_removed_record_at_once_while_all_is_well) {
  store_copy copy({});
  copy.apply(start, {{"a", 1, "x"}}, 1);
  const auto updates = copy.apply(start, {{"a", 2, std::nullopt}}, 2);
  ASSERT_EQ(updates.size(), 1U);
  EXPECT_FALSE(updates[0].value);
}

TEST(store_copy, keeps_what_lapsed_while_the_platform_was_away) {
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

TEST(store_copy, never_holds_back_a_removal_with_the_immediate_prefix) {
  store_copy copy({.immediate_prefix = "ours/"});
  copy.apply(start, {{"ours/z", 1, "{}"}}, 1);
  copy.set_store_reachable(start, false);
  EXPECT_EQ(copy.apply(start, {{"ours/z", 2, std::nullopt}}, 2).size(), 1U);
}

TEST(store_copy, a_listing_removes_what_it_lacks_unless_that_is_newer) {
  store_copy copy({});
  copy.apply(start, {{"a", 1, "x"}, {"b", 9, "y"}}, 9);
  copy.apply_listing(start, {{"c", 3, "z"}}, 5);
  EXPECT_EQ(contents(copy),
            (std::map<std::string, std::string>{{"b", "y"}, {"c", "z"}}));
}

TEST(store_copy, tells_a_peer_what_it_missed_with_removals) {
  store_copy from({});
  from.apply(start, {{"a", 1, "x"}, {"b", 2, "y"}}, 2);
  store_copy to({});
  to.apply(start, from.changes_since(0).changes,
           from.changes_since(0).last_revision);
  from.apply(start, {{"a", 3, std::nullopt}}, 3);
  const auto missed = from.changes_since(to.last_revision());
  EXPECT_FALSE(missed.listing);
  to.apply(start, missed.changes, missed.last_revision);
  EXPECT_EQ(contents(to), contents(from));
}

TEST(store_copy, gives_a_listing_once_removals_were_forgotten) {
  store_copy copy({.max_tombstones = 1});
  copy.apply(start, {{"a", 1, "x"}, {"b", 2, "y"}, {"c", 3, "z"}}, 3);
  copy.apply(start, {{"a", 4, std::nullopt}, {"b", 5, std::nullopt}}, 5);
  EXPECT_TRUE(copy.changes_since(3).listing);
  EXPECT_FALSE(copy.changes_since(5).listing);
}

// Any order of whole batches from the platform and from peers ends alike.
TEST(store_copy, histories_converge_whatever_the_order) {
  EXPECT_TRUE(rc::check([](const std::vector<std::pair<std::uint8_t, bool>>&
                               steps,
                           std::uint64_t order) {
    std::vector<change> history;
    std::map<std::string, std::string> model;
    for (const auto& [key, kept] : steps) {
      const revision at = history.size() + 1;
      const std::string name(1, static_cast<char>('a' + key % 4));
      const std::string value = std::to_string(at);
      history.push_back({name, at, kept ? std::optional(value) : std::nullopt});
      if (kept) {
        model[name] = value;
      } else {
        model.erase(name);
      }
    }
    store_copy copy({});
    std::vector<change> shuffled = history;
    random_stream random(order);
    std::ranges::shuffle(shuffled, random);
    for (const change& each : shuffled)
      copy.apply(start, {each}, each.changed_at);
    RC_ASSERT(contents(copy) == model);
  }));
}

}  // namespace
}  // namespace medlarloft::replica
