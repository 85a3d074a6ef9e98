#include "overload_guard.hpp"

#include <gtest/gtest.h>

namespace medlarloft::tier {
namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t lowest = 2;

overload_guard guard_with_lag(milliseconds lag) {
  overload_guard guard({});
  for (int i = 0; i < 4; ++i)
    guard.add_lag(lag);
  return guard;
}

// Of 80 requests of a priority, the number that is admitted.
int admitted(overload_guard& guard, std::uint32_t priority) {
  int count = 0;
  for (int i = 0; i < 80; ++i) {
    count +=
        guard.refuse(priority, lowest, std::to_string(i)).has_value() ? 0 : 1;
  }
  return count;
}

// A host short of processor time answers every request late instead of some in
// time.
TEST(overload_guard, refuses_the_least_urgent_requests_first) {
  overload_guard calm = guard_with_lag(milliseconds(20));
  EXPECT_EQ(admitted(calm, 2), 80);
  overload_guard first = guard_with_lag(milliseconds(60));
  EXPECT_EQ(admitted(first, 0), 80);
  EXPECT_EQ(admitted(first, 1), 80);
  EXPECT_EQ(admitted(first, 2), 40);
  overload_guard second = guard_with_lag(milliseconds(120));
  EXPECT_EQ(admitted(second, 0), 80);
  EXPECT_EQ(admitted(second, 1), 40);
  EXPECT_EQ(admitted(second, 2), 10);
}

// Requests of one priority are never served again, as those that remain keep
// the host busy.
TEST(overload_guard, admits_some_requests_of_each_priority) {
  overload_guard guard = guard_with_lag(milliseconds(900));
  for (const std::uint32_t priority : {0U, 1U, 2U})
    EXPECT_EQ(admitted(guard, priority), 10);
}

// A process that was paused once refuses requests that it could serve.
// With one count for all priorities, one of two that alternate was never
// admitted.
TEST(overload_guard, admits_some_of_each_priority_when_they_alternate) {
  overload_guard guard = guard_with_lag(milliseconds(120));
  int admitted_least_urgent = 0;
  for (int i = 0; i < 80; ++i) {
    guard.refuse(1, lowest, std::to_string(i));
    if (!guard.refuse(2, lowest, std::to_string(i))) ++admitted_least_urgent;
  }
  EXPECT_EQ(admitted_least_urgent, 10);
}

TEST(overload_guard, one_long_lag_is_no_overload) {
  overload_guard guard = guard_with_lag(milliseconds(1));
  guard.add_lag(milliseconds(3000));
  EXPECT_EQ(guard.level(), 0U);
}

// At a load around the limit the daemon changes its mind with each sample.
TEST(overload_guard, a_high_load_counts_until_it_is_clearly_lower) {
  overload_guard guard({});
  guard.set_load(0.9);
  EXPECT_EQ(guard.level(), 0U);
  guard.set_load(0.96);
  EXPECT_EQ(guard.level(), 1U);
  guard.set_load(0.9);
  EXPECT_EQ(guard.level(), 1U);
  guard.set_load(0.8);
  EXPECT_EQ(guard.level(), 0U);
}

// Callers that were refused together return together.
TEST(overload_guard, retry_delays_differ_by_request) {
  overload_guard guard = guard_with_lag(milliseconds(900));
  guard.refuse(0, 0, "first of eight is admitted");
  const auto a = guard.refuse(0, 0, "a");
  const auto b = guard.refuse(0, 0, "b");
  ASSERT_TRUE(a && b);
  EXPECT_NE(*a, *b);
  EXPECT_GE(std::min(*a, *b), std::chrono::seconds(1));
  EXPECT_LE(std::max(*a, *b), milliseconds(1500));
}

}  // namespace
}  // namespace medlarloft::tier
