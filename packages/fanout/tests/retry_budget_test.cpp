#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

#include "medlarloft/fanout.hpp"

namespace medlarloft::fanout {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const time_point start = time_point{} + std::chrono::hours(1);

TEST(retry_budget, allows_a_fraction_of_the_requests) {
  retry_budget budget({.ratio = 0.2, .slack = 0, .safety_factor = 1.0});
  for (int i = 0; i < 100; ++i)
    budget.add_request(start, "s");
  int count = 0;
  while (budget.try_consume(start, "s"))
    ++count;
  EXPECT_EQ(count, 20);
}

TEST(retry_budget, divides_the_slack_among_the_daemons) {
  retry_budget budget({.ratio = 0.2,
                       .slack = 54,
                       .slack_fraction = 1.0 / 9,
                       .safety_factor = 1.0});
  int count = 0;
  while (budget.try_consume(start, "s"))
    ++count;
  EXPECT_EQ(count, 6);
}

TEST(retry_budget, has_a_separate_budget_for_each_service) {
  retry_budget budget({.ratio = 0, .slack = 1, .safety_factor = 1.0});
  EXPECT_TRUE(budget.try_consume(start, "a"));
  EXPECT_FALSE(budget.try_consume(start, "a"));
  EXPECT_TRUE(budget.try_consume(start, "b"));
}

TEST(retry_budget, restores_the_budget_after_a_window) {
  retry_budget budget({.ratio = 0, .slack = 1, .safety_factor = 1.0});
  EXPECT_TRUE(budget.try_consume(start, "a"));
  EXPECT_FALSE(budget.try_consume(start + seconds(9), "a"));
  EXPECT_TRUE(budget.try_consume(start + seconds(11), "a"));
}

// Compares the budget with a naive count over the traffic of all daemons: no
// window may contain more extra sends than the users' limit allows.
TEST(retry_budget, all_daemons_together_exceed_the_limit_in_no_window) {
  EXPECT_TRUE(rc::check([] {
    constexpr std::size_t daemons = 3;
    constexpr double ratio = 0.2;
    constexpr double slack = 12;
    std::vector<retry_budget> budgets(
        daemons,
        retry_budget(
            {.ratio = ratio, .slack = slack, .slack_fraction = 1.0 / daemons}));
    std::vector<time_point> requests;
    std::vector<time_point> extras;
    time_point now = start;
    const auto steps = *rc::gen::inRange(1, 200);
    for (int i = 0; i < steps; ++i) {
      now += milliseconds(*rc::gen::inRange(0, 400));
      const auto daemon = *rc::gen::inRange<std::size_t>(0, daemons);
      if (*rc::gen::arbitrary<bool>()) {
        budgets[daemon].add_request(now, "s");
        requests.push_back(now);
      } else if (budgets[daemon].try_consume(now, "s")) {
        extras.push_back(now);
      }
    }
    const auto in_window = [](const std::vector<time_point>& times,
                              time_point end) {
      return std::ranges::count_if(times, [end](time_point at) {
        return at > end - seconds(10) && at <= end;
      });
    };
    for (const time_point end : extras) {
      RC_ASSERT(static_cast<double>(in_window(extras, end)) <=
                ratio * static_cast<double>(in_window(requests, end)) + slack);
    }
  }));
}

}  // namespace
}  // namespace medlarloft::fanout
