#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <memory>
#include <tuple>

#include "medlarloft/waiting.hpp"

namespace medlarloft::waiting {
namespace {

using std::chrono::milliseconds;

const time_point start = time_point{} + std::chrono::hours(1);

/// A line whose waiters take one leaf each and note their names.
class wait_queue_test : public ::testing::Test {
 protected:
  void join(int name, std::uint32_t priority, duration soft_deadline) {
    auto own = std::make_shared<entry_id>();
    *own = all.add("s", {.priority = priority,
                         .soft_deadline = start + soft_deadline,
                         .wake = [this, name, own] {
                           served.push_back(name);
                           all.remove("s", *own);
                         }});
  }

  void free_places(int count) {
    all.wake_waiters(start, "s", [&count] { return count-- > 0; });
  }

  wait_queue all;
  std::vector<int> served;
};

TEST_F(wait_queue_test, the_most_urgent_rank_goes_first) {
  join(1, 2, milliseconds(10));
  join(2, 1, milliseconds(90));
  free_places(2);
  EXPECT_EQ(served, (std::vector{2, 1}));
}

TEST_F(wait_queue_test, of_one_rank_the_earliest_objective_goes_first) {
  join(1, 1, milliseconds(90));
  join(2, 1, milliseconds(10));
  free_places(2);
  EXPECT_EQ(served, (std::vector{2, 1}));
}

// Pattern: overload. Who is late already would make all others late, too.
TEST_F(wait_queue_test, those_that_can_be_in_time_go_before_late_ones) {
  join(1, 1, milliseconds(-5));
  join(2, 1, milliseconds(20));
  join(3, 2, milliseconds(20));
  free_places(3);
  EXPECT_EQ(served, (std::vector{2, 3, 1}));
}

// Pattern: the urgent rank alone is more than the leafs can do.
TEST_F(wait_queue_test, a_low_rank_gets_each_fourth_place) {
  for (int i = 0; i < 8; ++i)
    join(i, 1, milliseconds(50));
  join(8, 2, milliseconds(10));
  join(9, 2, milliseconds(11));
  free_places(8);
  EXPECT_EQ(served, (std::vector{0, 1, 2, 8, 3, 4, 5, 9}));
}

TEST_F(wait_queue_test, nobody_is_woken_without_room) {
  join(1, 1, milliseconds(10));
  free_places(0);
  EXPECT_TRUE(served.empty());
  EXPECT_EQ(all.size(), 1U);
}

TEST_F(wait_queue_test, a_waiter_that_cannot_use_the_place_ends_the_round) {
  int woken = 0;
  all.add("s", {.soft_deadline = start, .wake = [&woken] { ++woken; }});
  join(2, 1, milliseconds(10));
  all.wake_waiters(start, "s", [] { return true; });
  EXPECT_EQ(woken, 1);
  EXPECT_TRUE(served.empty());
}

TEST_F(wait_queue_test, counts_those_that_would_go_before) {
  join(1, 1, milliseconds(10));
  join(2, 1, milliseconds(30));
  join(3, 2, milliseconds(1));
  EXPECT_EQ(all.count_ahead(start, "s", 1, start + milliseconds(20)), 1U);
  EXPECT_EQ(all.count_ahead(start, "s", 2, start + milliseconds(20)), 3U);
  EXPECT_EQ(all.count_ahead(start, "other", 2, start), 0U);
}

struct named {
  std::uint32_t priority = 0;
  time_point soft_deadline;
  std::size_t number = 0;
};

// The order as it is described, found by looking at everybody each time.
std::vector<std::size_t> order_of(std::vector<named> waiting) {
  std::vector<std::size_t> order;
  for (std::size_t turn = 0; !waiting.empty(); ++turn) {
    const bool fair = turn % 4 == 3;
    const auto next =
        std::ranges::min_element(waiting, {}, [fair](const named& each) {
          const std::uint32_t priority = fair ? 0 : each.priority;
          return std::tuple(each.soft_deadline < start, priority,
                            each.soft_deadline, each.number);
        });
    order.push_back(next->number);
    waiting.erase(next);
  }
  return order;
}

TEST(wait_queue, every_history_is_served_in_the_order_described) {
  EXPECT_TRUE(rc::check([] {
    wait_queue all;
    std::vector<named> joined;
    std::map<std::size_t, entry_id> tickets;
    std::vector<std::size_t> served;
    const auto count = *rc::gen::inRange<std::size_t>(1, 40);
    for (std::size_t i = 0; i < count; ++i) {
      joined.push_back(
          {.priority = *rc::gen::inRange<std::uint32_t>(0, 3),
           .soft_deadline = start + milliseconds(*rc::gen::inRange(-20, 100)),
           .number = i});
      tickets[i] = all.add("s", {.priority = joined.back().priority,
                                 .soft_deadline = joined.back().soft_deadline,
                                 .wake = [&, i] {
                                   served.push_back(i);
                                   all.remove("s", tickets[i]);
                                 }});
    }
    all.wake_waiters(start, "s", [] { return true; });
    RC_ASSERT(served == order_of(joined));
    RC_ASSERT(all.size() == 0U);
  }));
}

}  // namespace
}  // namespace medlarloft::waiting
