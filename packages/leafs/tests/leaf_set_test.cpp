#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <map>

#include "medlarloft/leafs.hpp"

namespace medlarloft::leafs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const time_point start = time_point{} + std::chrono::hours(1);
/// The quota has been known for longer than the handover delay.
const time_point known_since = start - seconds(10);

leaf_registration leaf(std::string id, std::string data_centre = "near") {
  return {.id = std::move(id),
          .service = "s",
          .address = {"10.0.0.1", 80},
          .data_centre = std::move(data_centre),
          .slots = 4};
}

class leaf_set_test : public ::testing::Test {
 protected:
  leaf_set_test() { set.set_limits(start, "s", {.max_connections = 40}); }

  /// Sends one request, which ends after `response_time`.
  void run(time_point sent_at, leaf_handle leaf, duration response_time,
           attempt_outcome outcome = attempt_outcome::answered) {
    set.on_attempt_sent(sent_at, leaf, ++attempt, "w");
    set.on_attempt_ended(sent_at + response_time, leaf, attempt, outcome);
  }

  leaf_set set{{.local_data_centre = "near"}, 7};
  attempt_id attempt = 0;
};

// A burst of requests meets a shard with one remaining leaf. If each of seven
// daemons used its four connections to the leaf, 28 requests would queue at
// four slots and all would be late. A request that waits in the daemon can
// still be cancelled in time.
TEST_F(leaf_set_test, a_burst_does_not_queue_at_the_last_leaf_of_a_shard) {
  constexpr std::size_t daemons = 7;
  set.set_limits(start, "s", {.max_connections = 36});
  set.set_quota(known_since, {.fraction = 1.0 / daemons, .daemons = daemons});
  set.put(start, leaf("a"));
  std::size_t in_flight = 0;
  while (const auto picked = set.pick(start, "s", "w")) {
    set.on_attempt_sent(start, picked.value(), ++attempt, "w");
    ++in_flight;
  }
  EXPECT_EQ(in_flight, 3U);
  EXPECT_EQ(set.pick(start, "s", "w").error(), unavailable_reason::all_busy);
}

TEST_F(leaf_set_test, a_single_daemon_sends_two_requests_per_slot) {
  set.put(start, leaf("a"));
  std::size_t in_flight = 0;
  while (const auto picked = set.pick(start, "s", "w")) {
    set.on_attempt_sent(start, picked.value(), ++attempt, "w");
    ++in_flight;
  }
  EXPECT_EQ(in_flight, 8U);
}

// Some leaf of a gather over many shards pauses nearly always. An urgent
// request with an objective of 60 ms and a usual time of 2.5 ms was hedged
// after 15 ms and the round trip, and answered without the part.
TEST_F(leaf_set_test, hedges_the_most_urgent_requests_sooner) {
  const leaf_handle near = set.put(start, leaf("a"));
  for (int i = 0; i < 200; ++i)
    run(start + milliseconds(10) * i, near, std::chrono::microseconds(2500));
  const time_point now = start + seconds(3);
  EXPECT_EQ(set.hedge_delay(now, near, "w"), milliseconds(15));
  EXPECT_LE(set.hedge_delay(now, near, "w", true), milliseconds(8));
  EXPECT_GE(set.hedge_delay(now, near, "w", true), milliseconds(5));
}

TEST_F(leaf_set_test, prefers_the_local_data_centre) {
  set.put(start, leaf("a", "far"));
  const leaf_handle near = set.put(start, leaf("b"));
  for (int i = 0; i < 50; ++i)
    EXPECT_EQ(set.pick(start, "s", "w").value(), near);
}

TEST_F(leaf_set_test, sends_nothing_to_a_draining_leaf) {
  leaf_registration draining = leaf("a");
  draining.draining = true;
  set.put(start, draining);
  EXPECT_EQ(set.pick(start, "s", "w").error(),
            unavailable_reason::none_registered);
}

TEST_F(leaf_set_test, sends_nothing_to_a_data_centre_that_is_out) {
  const leaf_handle far = set.put(start, leaf("a", "far"));
  set.put(start, leaf("b"));
  set.set_data_centres_out({"near"});
  EXPECT_EQ(set.pick(start, "s", "w").value(), far);
  set.set_data_centres_out({"near", "far"});
  EXPECT_FALSE(set.pick(start, "s", "w"));
}

TEST_F(leaf_set_test, a_restarted_leaf_has_no_history) {
  const leaf_handle first = set.put(start, leaf("a"));
  run(start, first, milliseconds(5), attempt_outcome::no_connection);
  EXPECT_EQ(set.pick(start, "s", "w").error(), unavailable_reason::all_dark);
  leaf_registration restarted = leaf("a");
  restarted.start_id = 2;
  const leaf_handle second = set.put(start, restarted);
  EXPECT_NE(second, first);
  EXPECT_EQ(set.pick(start, "s", "w").value(), second);
  EXPECT_FALSE(set.usable(first));
}

// While a request has been in flight for longer than usual, its leaf may be
// paused and the next requests go to other leafs. The leaf is used again as
// soon as it responds.
TEST_F(leaf_set_test, a_paused_leaf_is_avoided_until_it_responds) {
  const leaf_handle near = set.put(start, leaf("a"));
  const leaf_handle far = set.put(start, leaf("b", "far"));
  time_point now = start;
  for (int i = 0; i < 50; ++i, now += milliseconds(20))
    run(now, near, milliseconds(6));
  set.on_attempt_sent(now, near, 1000, "w");
  EXPECT_EQ(set.pick(now + milliseconds(5), "s", "w").value(), near);
  EXPECT_EQ(set.pick(now + milliseconds(70), "s", "w").value(), far);
  set.on_attempt_ended(now + milliseconds(200), near, 1000,
                       attempt_outcome::answered);
  EXPECT_EQ(set.pick(now + milliseconds(201), "s", "w").value(), near);
}

// A leaf becomes several times slower. Two slow responses are enough to notice
// it, if the requests weren't delayed by the same pause.
TEST_F(leaf_set_test, a_slow_leaf_is_avoided_after_two_responses) {
  const leaf_handle near = set.put(start, leaf("a"));
  const leaf_handle far = set.put(start, leaf("b", "far"));
  time_point now = start;
  for (int i = 0; i < 50; ++i, now += milliseconds(20))
    run(now, near, milliseconds(6));
  run(now, near, milliseconds(60));
  run(now + milliseconds(70), near, milliseconds(60));
  EXPECT_EQ(set.pick(now + milliseconds(140), "s", "w").value(), far);
  EXPECT_EQ(set.pick(now + seconds(10), "s", "w").value(), near);
}

// An ejected leaf gets one trial request at a time, at growing intervals, until
// one succeeds.
TEST_F(leaf_set_test, an_ejected_leaf_gets_only_trial_requests) {
  const leaf_handle only = set.put(start, leaf("a"));
  run(start, only, milliseconds(1), attempt_outcome::lost);
  EXPECT_TRUE(set.pick(start + milliseconds(2), "s", "w"));
  run(start + milliseconds(2), only, milliseconds(1), attempt_outcome::lost);
  EXPECT_EQ(set.service_unavailable_reason(start + milliseconds(4), "s"),
            unavailable_reason::all_dark);
  const time_point due = start + milliseconds(260);
  EXPECT_FALSE(set.service_unavailable_reason(due, "s"));
  set.on_attempt_sent(due, only, 99, "w");
  EXPECT_EQ(set.pick(due, "s", "w").error(), unavailable_reason::all_dark);
  set.on_attempt_ended(due + milliseconds(5), only, 99,
                       attempt_outcome::answered);
  EXPECT_TRUE(set.pick(due + milliseconds(6), "s", "w"));
}

// Healthy leafs may shed some of their requests. Leafs that don't are
// preferred.
// The record of a leaf that is only slow to report expires while it works on a
// request. The request stays open and its response counts.
TEST_F(leaf_set_test, a_request_in_flight_outlives_the_registration_of_a_leaf) {
  const leaf_handle first = set.put(start, leaf("a"));
  set.on_attempt_sent(start, first, ++attempt, "w");
  set.remove(start, "a");
  EXPECT_FALSE(set.usable(first));
  EXPECT_EQ(set.put(start + seconds(1), leaf("a")), first + 1);
  set.on_attempt_ended(start + seconds(2), first, attempt,
                       attempt_outcome::answered);
  EXPECT_TRUE(set.pick(start + seconds(2), "s", "w"));
}

// All leafs of a data centre are cut off and come back. Nothing but a request
// shows that they are back, so each of them must get one soon; two replicas
// elsewhere answer all the time and would otherwise look better for ever.
TEST_F(leaf_set_test, a_data_centre_that_was_cut_off_is_used_again) {
  const leaf_handle near_leaf = set.put(start, leaf("a"));
  set.put(start, leaf("b", "far"));
  set.put(start, leaf("c", "far"));
  const auto serve_for = [this, near_leaf](time_point from, duration length,
                                           bool cut) {
    int served_near = 0;
    for (time_point now = from; now < from + length; now += milliseconds(20)) {
      const auto picked = set.pick(now, "s", "w");
      if (!picked) continue;
      const bool near = picked.value() == near_leaf;
      if (near && !cut) ++served_near;
      run(now, picked.value(), near ? milliseconds(6) : milliseconds(14),
          near && cut ? attempt_outcome::silent : attempt_outcome::answered);
    }
    return served_near;
  };
  EXPECT_GT(serve_for(start, seconds(2), false), 50);
  serve_for(start + seconds(2), seconds(4), true);
  serve_for(start + seconds(6), seconds(4), false);
  EXPECT_GT(serve_for(start + seconds(10), seconds(2), false), 50);
}

TEST_F(leaf_set_test, a_leaf_that_sheds_is_avoided) {
  const leaf_handle shedding = set.put(start, leaf("a"));
  const leaf_handle healthy = set.put(start, leaf("b"));
  time_point now = start;
  for (int i = 0; i < 20; ++i, now += milliseconds(30)) {
    run(now, shedding, milliseconds(1),
        i % 2 ? attempt_outcome::shed : attempt_outcome::answered);
    run(now, healthy, milliseconds(6));
  }
  for (int i = 0; i < 20; ++i)
    EXPECT_EQ(set.pick(now, "s", "w").value(), healthy);
}

TEST_F(leaf_set_test, uses_no_more_connections_than_its_quota) {
  set.set_quota(known_since, {.fraction = 1.0 / 20, .daemons = 20});
  const leaf_handle only = set.put(start, leaf("a"));
  EXPECT_EQ(set.connection_limit("s"), 2U);
  set.on_attempt_sent(start, only, 1, "w");
  set.on_attempt_sent(start, only, 2, "w");
  EXPECT_EQ(set.pick(start, "s", "w").error(), unavailable_reason::all_busy);
}

// However many requests the daemons have, together they send a cold leaf no
// more than the users allow in any second: 1.5 times its rate, plus 5.
TEST(leaf_set_cold, all_daemons_together_respect_the_limit_of_a_cold_leaf) {
  EXPECT_TRUE(rc::check([] {
    const auto daemons = *rc::gen::inRange<std::size_t>(1, 70);
    const double rate = *rc::gen::inRange(1, 40);
    std::vector<leaf_set> all;
    for (std::size_t i = 0; i < daemons; ++i) {
      all.emplace_back(leaf_set::options{.local_data_centre = "near"}, i);
      all.back().set_quota(
          known_since, {.fraction = 1.0 / static_cast<double>(daemons),
                        .daemons = daemons,
                        .daemon_index = [i](std::string_view) { return i; }});
      all.back().set_limits(start, "s",
                            {.max_connections = 1000, .cold_rate_limit = rate});
      leaf_registration cold = leaf("a");
      cold.cold_time_left = seconds(10);
      all.back().put(start, cold);
    }
    std::vector<time_point> sends;
    attempt_id id = 0;
    for (time_point now = start; now < start + seconds(3);
         now += milliseconds(10)) {
      for (leaf_set& set : all) {
        const auto picked = set.pick(now, "s", "w");
        if (!picked) continue;
        set.on_attempt_sent(now, picked.value(), ++id, "w");
        set.on_attempt_ended(now, picked.value(), id,
                             attempt_outcome::abandoned);
        sends.push_back(now);
      }
    }
    for (const time_point from : sends) {
      const auto count = std::ranges::count_if(sends, [from](time_point at) {
        return at >= from && at < from + seconds(1);
      });
      RC_ASSERT(static_cast<double>(count) <= 1.5 * rate + 5);
    }
  }));
}

}  // namespace
}  // namespace medlarloft::leafs
