#include "medlarloft/timeline.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace medlarloft::timeline {
namespace {

using namespace std::chrono_literals;

wall_time at(std::int64_t micros) {
  return wall_time(std::chrono::microseconds(micros));
}

// Two processes with clocks that disagree exchange messages; an effect must
// be stamped after its cause whatever the clocks say.
RC_GTEST_PROP(hybrid_clock, effects_follow_causes, ()) {
  hybrid_clock left;
  hybrid_clock right;
  stamp last;
  const auto steps =
      *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1000));
  bool to_right = true;
  for (const int step : steps) {
    hybrid_clock& from = to_right ? left : right;
    hybrid_clock& to = to_right ? right : left;
    const stamp sent = from.tick(at(step));
    RC_ASSERT(sent > last);
    RC_ASSERT(to.merge(at(1000 - step), sent));
    last = to.tick(at(1000 - step));
    RC_ASSERT(last > sent);
    to_right = !to_right;
  }
}

TEST(hybrid_clock, ignores_a_stamp_far_in_the_future) {
  hybrid_clock clock;
  const stamp far{.wall = 3'600'000'000, .logical = 0};
  EXPECT_FALSE(clock.merge(at(0), far));
  EXPECT_LT(clock.tick(at(5)), far);
}

event numbered(std::uint64_t wall, std::string process) {
  return {.at = {wall, 0},
          .process = std::move(process),
          .kind = event_kind::note_accepted,
          .subject = "note 7",
          .detail = {}};
}

TEST(ring, keeps_the_newest_in_order) {
  ring kept(3);
  for (std::uint64_t i = 1; i <= 5; ++i)
    kept.add(numbered(i, "a"));
  const auto events = kept.events();
  ASSERT_EQ(events.size(), 3U);
  EXPECT_EQ(events.front().at.wall, 3U);
  EXPECT_EQ(events.back().at.wall, 5U);
  EXPECT_EQ(kept.dropped(), 2U);
}

TEST(merge, orders_over_processes) {
  const auto merged = merge({{"b", {numbered(1, "b"), numbered(4, "b")}},
                             {"a", {numbered(2, "a"), numbered(4, "a")}}});
  ASSERT_EQ(merged.size(), 4U);
  EXPECT_TRUE(std::ranges::is_sorted(merged, {}, &event::at));
  EXPECT_EQ(merged[2].process, "a");
}

TEST(json, round_trips_and_refuses_unknown_kinds) {
  const auto read = from_json(to_json({numbered(1, "a")}));
  ASSERT_TRUE(read.has_value());
  EXPECT_EQ(read.value()[0].subject, "note 7");
  EXPECT_FALSE(from_json(R"([{"wall_us":1,"logical":0,"process":"a",
    "kind":"nonsense","subject":"","detail":""}])")
                   .has_value());
}

}  // namespace
}  // namespace medlarloft::timeline
