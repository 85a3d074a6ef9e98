#include "medlarloft/timeline.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace medlarloft::timeline {
namespace {

using namespace std::chrono_literals;

wall_time time_at(std::int64_t micros) {
  return wall_time(std::chrono::microseconds(micros));
}

// Two processes whose wall clocks differ exchange messages. The timestamp of an
// effect must be later than that of its cause.
RC_GTEST_PROP(hybrid_clock, an_effect_is_later_than_its_cause, ()) {
  hybrid_clock left;
  hybrid_clock right;
  hybrid_timestamp last;
  const auto steps =
      *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1000));
  bool to_right = true;
  for (const int step : steps) {
    hybrid_clock& from = to_right ? left : right;
    hybrid_clock& to = to_right ? right : left;
    const hybrid_timestamp sent = from.tick(time_at(step));
    RC_ASSERT(sent > last);
    RC_ASSERT(to.merge(time_at(1000 - step), sent));
    last = to.tick(time_at(1000 - step));
    RC_ASSERT(last > sent);
    to_right = !to_right;
  }
}

TEST(hybrid_clock, ignores_a_timestamp_far_in_the_future) {
  hybrid_clock clock;
  const hybrid_timestamp far{.wall = 3'600'000'000, .logical = 0};
  EXPECT_FALSE(clock.merge(time_at(0), far));
  EXPECT_LT(clock.tick(time_at(5)), far);
}

event event_at(std::uint64_t wall, std::string process) {
  return {.timestamp = {wall, 0},
          .process = std::move(process),
          .kind = event_kind::note_accepted,
          .subject = "note 7",
          .detail = {}};
}

TEST(ring, keeps_the_newest_events_in_order) {
  event_ring ring(3);
  for (std::uint64_t i = 1; i <= 5; ++i)
    ring.add(event_at(i, "a"));
  const auto events = ring.events();
  ASSERT_EQ(events.size(), 3U);
  EXPECT_EQ(events.front().timestamp.wall, 3U);
  EXPECT_EQ(events.back().timestamp.wall, 5U);
  EXPECT_EQ(ring.dropped(), 2U);
}

TEST(merge, orders_events_of_several_processes) {
  const auto merged = merge({{"b", {event_at(1, "b"), event_at(4, "b")}},
                             {"a", {event_at(2, "a"), event_at(4, "a")}}});
  ASSERT_EQ(merged.size(), 4U);
  EXPECT_TRUE(std::ranges::is_sorted(merged, {}, &event::timestamp));
  EXPECT_EQ(merged[2].process, "a");
}

TEST(json, round_trips_and_rejects_unknown_kinds) {
  const auto parsed = from_json(to_json({event_at(1, "a")}));
  ASSERT_TRUE(parsed.has_value());
  EXPECT_EQ(parsed.value()[0].subject, "note 7");
  EXPECT_FALSE(from_json(R"([{"wall_us":1,"logical":0,"process":"a",
    "kind":"nonsense","subject":"","detail":""}])")
                   .has_value());
}

}  // namespace
}  // namespace medlarloft::timeline
