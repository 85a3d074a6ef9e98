#include "pause_guard.hpp"

#include <gtest/gtest.h>

namespace medlarloft::tier {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const time_point start = time_point{} + std::chrono::hours(1);
const duration uptime = std::chrono::hours(2);

TEST(pause_guard, a_process_that_runs_holds_nothing) {
  pause_guard guard({}, uptime);
  for (int i = 1; i <= 50; ++i) {
    const duration elapsed = milliseconds(100) * i;
    EXPECT_EQ(guard.check(start + elapsed, uptime + elapsed), std::nullopt);
    EXPECT_FALSE(guard.holds(start + elapsed, false));
  }
}

TEST(pause_guard, holds_after_a_pause_until_the_view_is_confirmed) {
  pause_guard guard({}, uptime);
  EXPECT_EQ(guard.check(start + seconds(3), uptime + seconds(3)), seconds(3));
  EXPECT_TRUE(guard.holds(start + seconds(3), false));
  EXPECT_TRUE(guard.holds(start + milliseconds(3200), false));
  EXPECT_FALSE(guard.holds(start + milliseconds(3300), true));
  EXPECT_FALSE(guard.holds(start + milliseconds(3400), false));
}

// The steady clock does not count the time in which a host is suspended.
TEST(pause_guard, notices_a_suspended_host) {
  pause_guard guard({}, uptime);
  EXPECT_EQ(guard.check(start + milliseconds(100), uptime + seconds(4)),
            seconds(4));
  EXPECT_TRUE(guard.holds(start + milliseconds(100), false));
}

TEST(pause_guard, holds_for_a_limited_time_while_nobody_answers) {
  pause_guard guard({}, uptime);
  guard.check(start + seconds(3), uptime + seconds(3));
  EXPECT_TRUE(guard.holds(start + milliseconds(3900), false));
  EXPECT_FALSE(guard.holds(start + milliseconds(4000), false));
}

}  // namespace
}  // namespace medlarloft::tier
