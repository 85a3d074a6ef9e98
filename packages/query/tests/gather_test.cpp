#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <bitset>
#include <set>

#include "sample_service.hpp"

namespace medlarloft::query {
namespace {

constexpr key_range whole{0, notes::key_space};

TEST(gather, drops_another_snapshot) {
  gather merged(7, 100);
  EXPECT_EQ(merged.add(whole, {8, whole, {}}), merge_problem::other_snapshot);
  EXPECT_EQ(merged.covered().size(), 0U);
}

TEST(gather, counts_a_doubled_answer_once) {
  gather merged(7, 100);
  const leaf_answer answer{7, {0, 10}, {{"a", 3, 1.0, ""}}};
  EXPECT_FALSE(merged.add(whole, answer).has_value());
  EXPECT_EQ(merged.add(whole, answer), merge_problem::overlaps);
  EXPECT_EQ(merged.covered().size(), 10U);
  EXPECT_EQ(merged.take_rows().size(), 1U);
}

TEST(gather, drops_keys_that_the_shard_does_not_hold) {
  gather merged(7, 100);
  EXPECT_EQ(merged.add({0, 10}, {7, {0, 11}, {}}),
            merge_problem::outside_shard);
  EXPECT_EQ(merged.add({0, 10}, {7, {0, 10}, {{"a", 10, 1.0, ""}}}),
            merge_problem::stray_row);
}

TEST(gather, drops_a_row_that_one_leaf_repeats) {
  gather merged(7, 100);
  const row twice{"a", 3, 1.0, ""};
  merged.add(whole, {7, {0, 10}, {twice, twice}});
  EXPECT_EQ(merged.take_rows().size(), 1U);
}

TEST(gather, keeps_the_best_rows) {
  gather merged(7, 2);
  merged.add(whole, {7, {0, 10}, {{"a", 1, 1.0, ""}, {"b", 2, 3.0, ""}}});
  merged.add(whole, {7, {10, 20}, {{"c", 11, 2.0, ""}}});
  const auto rows = merged.take_rows();
  ASSERT_EQ(rows.size(), 2U);
  EXPECT_EQ(rows[0].id, "b");
  EXPECT_EQ(rows[1].id, "c");
}

// Differential: the naive coverage marks each key of a small space.
RC_GTEST_PROP(gather, coverage_equals_a_naive_count, ()) {
  constexpr std::size_t keys = 64;
  gather merged(7, 1000);
  std::bitset<keys> naive;
  std::set<std::string> naive_rows;
  const auto answers =
      *rc::gen::container<std::vector<std::pair<int, int>>>(rc::gen::pair(
          rc::gen::inRange<int>(0, keys), rc::gen::inRange<int>(0, keys)));
  for (const auto& [a, b] : answers) {
    const auto from = static_cast<std::uint64_t>(std::min(a, b));
    const auto to = static_cast<std::uint64_t>(std::max(a, b)) + 1;
    bool free = true;
    for (std::uint64_t k = from; k < to; ++k)
      free = free && !naive[k];
    const std::string id = std::to_string(from);
    const auto problem =
        merged.add({0, keys}, {7, {from, to}, {{id, from, 0, ""}}});
    RC_ASSERT(problem.has_value() == !free);
    if (!free) continue;
    for (std::uint64_t k = from; k < to; ++k)
      naive[k] = true;
    naive_rows.insert(id);
  }
  RC_ASSERT(merged.covered().size() == naive.count());
  const auto gaps = merged.covered().missing_from({0, keys});
  std::size_t missing = 0;
  for (const key_range& gap : gaps)
    missing += gap.size();
  RC_ASSERT(missing == keys - naive.count());
  RC_ASSERT(merged.take_rows().size() == naive_rows.size());
}

}  // namespace
}  // namespace medlarloft::query
