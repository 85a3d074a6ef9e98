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

/// A queue whose waiters take one leaf each and record their numbers.
class wait_queue_test : public ::testing::Test {
 protected:
  void add(int name, std::uint32_t priority, duration soft_deadline) {
    auto id = std::make_shared<entry_id>();
    *id = queue.add("s", {.priority = priority,
                          .soft_deadline = start + soft_deadline,
                          .wake = [this, name, id] {
                            served.push_back(name);
                            queue.remove("s", *id);
                          }});
  }

  void free_leafs(int count) {
    queue.wake_waiters(start, "s", [&count] { return count-- > 0; });
  }

  wait_queue queue;
  std::vector<int> served;
};

TEST_F(wait_queue_test, serves_the_most_urgent_priority_first) {
  add(1, 2, milliseconds(10));
  add(2, 1, milliseconds(90));
  free_leafs(2);
  EXPECT_EQ(served, (std::vector{2, 1}));
}

TEST_F(wait_queue_test, serves_the_earliest_soft_deadline_of_a_priority_first) {
  add(1, 1, milliseconds(90));
  add(2, 1, milliseconds(10));
  free_leafs(2);
  EXPECT_EQ(served, (std::vector{2, 1}));
}

// Under overload, serving requests that are already late would make all others
// late, too.
TEST_F(wait_queue_test, serves_requests_that_can_be_in_time_before_late_ones) {
  add(1, 1, milliseconds(-5));
  add(2, 1, milliseconds(20));
  add(3, 2, milliseconds(20));
  free_leafs(3);
  EXPECT_EQ(served, (std::vector{2, 3, 1}));
}

// The requests of the most urgent priority alone exceed the capacity of the
// leafs.
TEST_F(wait_queue_test, a_low_priority_gets_every_fourth_turn) {
  for (int i = 0; i < 8; ++i)
    add(i, 1, milliseconds(50));
  add(8, 2, milliseconds(10));
  add(9, 2, milliseconds(11));
  free_leafs(8);
  EXPECT_EQ(served, (std::vector{0, 1, 2, 8, 3, 4, 5, 9}));
}

TEST_F(wait_queue_test, wakes_no_waiter_without_capacity) {
  add(1, 1, milliseconds(10));
  free_leafs(0);
  EXPECT_TRUE(served.empty());
  EXPECT_EQ(queue.size(), 1U);
}

TEST_F(wait_queue_test, stops_at_a_waiter_that_stays_in_the_queue) {
  int woken = 0;
  queue.add("s", {.soft_deadline = start, .wake = [&woken] { ++woken; }});
  add(2, 1, milliseconds(10));
  queue.wake_waiters(start, "s", [] { return true; });
  EXPECT_EQ(woken, 1);
  EXPECT_TRUE(served.empty());
}

TEST_F(wait_queue_test, counts_the_entries_that_are_served_before) {
  add(1, 1, milliseconds(10));
  add(2, 1, milliseconds(30));
  add(3, 2, milliseconds(1));
  EXPECT_EQ(queue.count_ahead(start, "s", 1, start + milliseconds(20)), 1U);
  EXPECT_EQ(queue.count_ahead(start, "s", 2, start + milliseconds(20)), 3U);
  EXPECT_EQ(queue.count_ahead(start, "other", 2, start), 0U);
}

struct test_entry {
  std::uint32_t priority = 0;
  time_point soft_deadline;
  std::size_t id = 0;
};

// Reference implementation: searches all entries for each turn.
std::vector<std::size_t> expected_order(std::vector<test_entry> entries) {
  std::vector<std::size_t> order;
  for (std::size_t turn = 0; !entries.empty(); ++turn) {
    const bool ignores_priority = turn % 4 == 3;
    const auto next = std::ranges::min_element(
        entries, {}, [ignores_priority](const test_entry& each) {
          const std::uint32_t priority = ignores_priority ? 0 : each.priority;
          return std::tuple(each.soft_deadline < start, priority,
                            each.soft_deadline, each.id);
        });
    order.push_back(next->id);
    entries.erase(next);
  }
  return order;
}

TEST(wait_queue, serves_in_the_order_of_the_reference_implementation) {
  EXPECT_TRUE(rc::check([] {
    wait_queue queue;
    std::vector<test_entry> added;
    std::map<std::size_t, entry_id> ids;
    std::vector<std::size_t> served;
    const auto count = *rc::gen::inRange<std::size_t>(1, 40);
    for (std::size_t i = 0; i < count; ++i) {
      added.push_back(
          {.priority = *rc::gen::inRange<std::uint32_t>(0, 3),
           .soft_deadline = start + milliseconds(*rc::gen::inRange(-20, 100)),
           .id = i});
      ids[i] = queue.add("s", {.priority = added.back().priority,
                               .soft_deadline = added.back().soft_deadline,
                               .wake = [&, i] {
                                 served.push_back(i);
                                 queue.remove("s", ids[i]);
                               }});
    }
    queue.wake_waiters(start, "s", [] { return true; });
    RC_ASSERT(served == expected_order(added));
    RC_ASSERT(queue.size() == 0U);
  }));
}

}  // namespace
}  // namespace medlarloft::waiting
