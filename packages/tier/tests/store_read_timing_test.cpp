#include "store_read_timing.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace medlarloft::tier {
namespace {

using std::chrono::milliseconds;

// Each of 39 to 160 leafs writes a heartbeat every 1.2 s, so that every call to
// the store returns at once. A reader with a short pause made 1,290 calls in a
// quiet test day (66 s) with 60 daemons.
TEST(store_read_timing, bounds_the_calls_while_heartbeats_change_the_store) {
  const duration pause = pause_after_changes(
      {.leaf_leaves = milliseconds(5000), .configuration = milliseconds(5000)});
  const duration day = std::chrono::seconds(66);
  EXPECT_LE(day / pause, 34);
}

RC_GTEST_PROP(store_read_timing, a_single_reader_meets_the_limits, ()) {
  const milliseconds leaf{*rc::gen::inRange(2750, 20000)};
  const milliseconds configuration{*rc::gen::inRange(1000, 20000)};
  // A slow call, the distribution to all daemons, and a request in transit to a
  // leaf.
  const duration latency = milliseconds(500);
  const duration pause = pause_after_changes(
      {.leaf_leaves = leaf, .configuration = configuration});
  RC_ASSERT(pause + record_removal_delay + latency <= leaf);
  RC_ASSERT(pause + latency <= configuration);
}

TEST(store_read_timing,
     a_limit_below_the_removal_delay_gives_the_shortest_pause) {
  const duration pause = pause_after_changes(
      {.leaf_leaves = milliseconds(1000), .configuration = milliseconds(3000)});
  EXPECT_EQ(pause, milliseconds(120));
}

}  // namespace
}  // namespace medlarloft::tier
