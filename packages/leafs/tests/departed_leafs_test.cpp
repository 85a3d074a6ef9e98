#include "departed_leafs.hpp"

#include <gtest/gtest.h>

namespace medlarloft::leafs {
namespace {

using std::chrono::minutes;

const time_point start = time_point{} + std::chrono::hours(1);

std::shared_ptr<const leaf_registration> leaf(std::int64_t start_id,
                                              std::uint16_t port = 80) {
  return std::make_shared<const leaf_registration>(
      leaf_registration{.id = "a",
                        .service = "s",
                        .address = {"10.0.0.1", port},
                        .start_id = start_id});
}

TEST(departed_leafs, returns_the_start_that_the_registration_describes) {
  departed_leafs departed({});
  departed.add(start, 7, leaf(1));
  departed.add(start, 8, leaf(2));
  EXPECT_EQ(departed.take(*leaf(3)), std::nullopt);
  EXPECT_EQ(departed.take(*leaf(2, 81)), std::nullopt);
  EXPECT_EQ(departed.take(*leaf(2)), 8U);
  EXPECT_EQ(departed.take(*leaf(2)), std::nullopt);
  EXPECT_EQ(departed.take(*leaf(1)), 7U);
}

// Without the time of its start a leaf may be another process.
TEST(departed_leafs, a_registration_without_its_start_describes_none) {
  departed_leafs departed({});
  departed.add(start, 7, leaf(0));
  EXPECT_EQ(departed.take(*leaf(0)), std::nullopt);
}

TEST(departed_leafs, forgets_a_start_after_a_time) {
  departed_leafs departed({.kept_for = minutes(10)});
  departed.add(start, 7, leaf(1));
  departed.add(start + minutes(1), 8, leaf(2));
  EXPECT_TRUE(departed.take_expired(start + minutes(9)).empty());
  EXPECT_EQ(departed.take_expired(start + minutes(10)),
            std::vector<leaf_handle>{7});
  EXPECT_EQ(departed.take(*leaf(1)), std::nullopt);
  EXPECT_EQ(departed.take(*leaf(2)), 8U);
}

TEST(departed_leafs, forgets_the_first_start_over_the_limit) {
  departed_leafs departed({.max_count = 2});
  for (leaf_handle each = 1; each <= 5; ++each)
    departed.add(start, each, leaf(each));
  EXPECT_EQ(departed.take_expired(start), (std::vector<leaf_handle>{1, 2, 3}));
  EXPECT_EQ(departed.size(), 2U);
}

// A start that is forgotten has no history left; its handle names nothing.
TEST(departed_leafs, a_leaf_set_forgets_what_departed_long_ago) {
  leaf_set set({}, 7);
  const leaf_handle first = set.put(start, *leaf(1));
  set.remove(start, "a");
  EXPECT_TRUE(set.find(first));
  set.put(start + minutes(11), *leaf(2));
  set.remove(start + minutes(11), "a");
  EXPECT_FALSE(set.find(first));
  EXPECT_FALSE(set.usable(first));
  EXPECT_NE(set.put(start + minutes(12), *leaf(1)), first);
}

}  // namespace
}  // namespace medlarloft::leafs
