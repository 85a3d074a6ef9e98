#include "medlarloft/loop.hpp"

#include <gtest/gtest.h>

#include <vector>

namespace medlarloft::loop {
namespace {

using std::chrono::milliseconds;

TEST(timer_queue, runs_actions_in_order_of_expiry) {
  io_context context;
  timer_queue timers(context);
  std::vector<int> order;
  timers.after(milliseconds(8), [&order] { order.push_back(2); });
  timers.after(milliseconds(2), [&order] { order.push_back(1); });
  context.run();
  EXPECT_EQ(order, (std::vector{1, 2}));
}

TEST(timer_queue, a_cancelled_timer_does_not_run) {
  io_context context;
  timer_queue timers(context);
  bool ran = false;
  auto timer = timers.after(milliseconds(2), [&ran] { ran = true; });
  timers.after(milliseconds(4), [] {});
  timers.cancel(timer);
  context.run();
  EXPECT_FALSE(ran);
}

TEST(timer_queue, an_action_may_add_a_timer) {
  io_context context;
  timer_queue timers(context);
  int runs = 0;
  timers.after(milliseconds(1), [&] {
    ++runs;
    timers.after(milliseconds(1), [&runs] { ++runs; });
  });
  context.run();
  EXPECT_EQ(runs, 2);
}

}  // namespace
}  // namespace medlarloft::loop
