#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>

#include "harness.hpp"

namespace medlarloft::fanout {
namespace {

using std::chrono::milliseconds;
using testing::make_response;
using testing::scenario;
using testing::start;

TEST(execution, sends_to_one_leaf_of_each_shard_and_waits_for_all) {
  scenario setup(3);
  execution run = setup.make_execution();
  const actions first = run.start(start);
  ASSERT_EQ(first.sends.size(), 3U);
  run.on_response(start, 1, make_response("a"));
  run.on_response(start, 2, make_response("b"));
  const actions last = run.on_response(start, 3, make_response("c"));
  ASSERT_TRUE(last.result);
  EXPECT_EQ(last.result->outcome, request_outcome::answered);
  EXPECT_EQ(last.result->responses.size(), 3U);
  EXPECT_EQ(last.result->missing_count, 0U);
}

// A leaf pauses. A hedge is sent to another replica after the hedge delay, and
// the slow attempt is abandoned once the hedge is answered.
TEST(execution, hedges_a_slow_replica) {
  scenario setup(1);
  execution run = setup.make_execution();
  const actions first = run.start(start);
  EXPECT_EQ(first.wake_at, start + milliseconds(30));
  const actions hedge = run.on_timer(start + milliseconds(30));
  ASSERT_EQ(hedge.sends.size(), 1U);
  EXPECT_EQ(hedge.sends[0].kind, attempt_kind::hedge);
  EXPECT_NE(hedge.sends[0].leaf, first.sends[0].leaf);
  const actions end =
      run.on_response(start + milliseconds(40), 2, make_response("b"));
  ASSERT_TRUE(end.result);
  ASSERT_EQ(end.abandons.size(), 1U);
  EXPECT_EQ(end.abandons[0].attempt, 1U);
}

// Near the soft deadline a hedge is sent while the second leaf can still
// respond in time, even before the usual hedge delay has passed.
TEST(execution, hedges_early_enough_for_the_soft_deadline) {
  scenario setup(1);
  setup.soft_deadline = milliseconds(35);
  execution run = setup.make_execution();
  EXPECT_EQ(run.start(start).wake_at, start + milliseconds(22));
}

TEST(execution, does_not_hedge_without_retry_budget) {
  scenario setup(1);
  setup.budget = 0;
  execution run = setup.make_execution();
  run.start(start);
  EXPECT_TRUE(run.on_timer(start + milliseconds(30)).sends.empty());
}

TEST(execution, sends_to_no_more_leafs_than_the_route_allows) {
  scenario setup(1);
  execution run = setup.make_execution();
  run.start(start);
  run.on_timer(start + milliseconds(30));
  run.on_failure(start + milliseconds(31), 1, attempt_outcome::lost);
  const actions end =
      run.on_failure(start + milliseconds(32), 2, attempt_outcome::lost);
  EXPECT_TRUE(end.sends.empty());
  ASSERT_TRUE(end.result);
  EXPECT_EQ(end.result->outcome, request_outcome::failed);
}

// All replicas of one shard are ejected. The request is answered as soon as the
// other shards have responded, not at the deadline.
TEST(execution, answers_without_an_ejected_shard_if_coverage_suffices) {
  scenario setup(10, 0.89);
  setup.unavailable[4] = unavailable_reason::all_dark;
  execution run = setup.make_execution();
  EXPECT_EQ(run.start(start).sends.size(), 9U);
  actions last;
  for (attempt_id id = 1; id <= 9; ++id)
    last = run.on_response(start + milliseconds(12), id,
                           make_response("p" + std::to_string(id)));
  ASSERT_TRUE(last.result);
  EXPECT_EQ(last.result->outcome, request_outcome::answered);
  EXPECT_EQ(last.result->missing_count, 1U);
}

// More shards are ejected than the minimum coverage allows. Nothing is sent and
// the caller is refused at once.
TEST(execution, refuses_before_anything_runs_if_coverage_is_unreachable) {
  scenario setup(10, 0.89);
  setup.unavailable[2] = unavailable_reason::all_dark;
  setup.unavailable[7] = unavailable_reason::all_dark;
  execution run = setup.make_execution();
  const actions end = run.start(start);
  EXPECT_TRUE(end.sends.empty());
  ASSERT_TRUE(end.result);
  EXPECT_EQ(end.result->outcome, request_outcome::not_run);
  EXPECT_GT(end.result->retry_after, duration::zero());
}

// One shard is slow. A partial answer before the soft deadline is worth more to
// the caller than a complete one after it.
TEST(execution, answers_partially_at_the_soft_deadline) {
  scenario setup(10, 0.89);
  setup.budget = 0;
  execution run = setup.make_execution();
  run.start(start);
  for (attempt_id id = 1; id <= 9; ++id)
    EXPECT_FALSE(run.on_response(start + milliseconds(12), id,
                                 make_response("p" + std::to_string(id)))
                     .result);
  const actions end = run.on_timer(start + milliseconds(180));
  ASSERT_TRUE(end.result);
  EXPECT_EQ(end.result->responses.size(), 9U);
  EXPECT_EQ(end.result->reason, "objective_near");
  ASSERT_EQ(end.result->missing.size(), 1U);
  EXPECT_EQ(end.result->missing[0].unanswered_leafs.size(), 1U);
}

TEST(execution, waits_past_the_soft_deadline_for_the_minimum_coverage) {
  scenario setup(10, 0.89);
  setup.budget = 0;
  execution run = setup.make_execution();
  run.start(start);
  for (attempt_id id = 1; id <= 8; ++id)
    run.on_response(start, id, make_response("p" + std::to_string(id)));
  EXPECT_FALSE(run.on_timer(start + milliseconds(180)).result);
  const actions end =
      run.on_response(start + milliseconds(300), 9, make_response("p9"));
  ASSERT_TRUE(end.result);
  EXPECT_EQ(end.result->outcome, request_outcome::answered);
}

// All connections to the leafs of one shard are in use for a moment. The
// request is sent to the other shards, and to this one as soon as a leaf is
// free.
TEST(execution, waits_for_a_busy_shard) {
  scenario setup(3);
  setup.unavailable[1] = unavailable_reason::all_busy;
  setup.max_wait = setup.deadline;
  execution run = setup.make_execution();
  const actions first = run.start(start);
  EXPECT_EQ(first.sends.size(), 2U);
  EXPECT_FALSE(first.result);
  EXPECT_LE(first.wake_at, start + milliseconds(10));
  setup.unavailable.clear();
  EXPECT_EQ(run.on_timer(start + milliseconds(5)).sends.size(), 1U);
}

// All leafs of a service are full. A request that can't be served is refused
// soon, while its caller still has time to retry.
TEST(execution, refuses_a_single_request_after_a_short_wait) {
  scenario setup(1);
  setup.unavailable[0] = unavailable_reason::all_busy;
  execution run = setup.make_execution();
  EXPECT_FALSE(run.start(start).result);
  const actions end = run.on_timer(start + milliseconds(50));
  ASSERT_TRUE(end.result);
  EXPECT_EQ(end.result->outcome, request_outcome::not_run);
}

// A burst exceeds the capacity of the leafs. A request that would wait past its
// soft deadline is refused at once, before any shard runs it, with the time at
// which capacity is expected to be free.
TEST(execution, refuses_at_once_if_the_wait_would_exceed_the_soft_deadline) {
  scenario setup(10, 0.89);
  setup.unavailable[3] = unavailable_reason::all_busy;
  setup.unavailable[7] = unavailable_reason::all_busy;
  setup.estimate = {.wait = milliseconds(300),
                    .response_time = milliseconds(20)};
  execution run = setup.make_execution();
  const actions first = run.start(start);
  EXPECT_TRUE(first.sends.empty());
  ASSERT_TRUE(first.result);
  EXPECT_EQ(first.result->outcome, request_outcome::not_run);
  EXPECT_GE(first.result->retry_after, milliseconds(300));
  EXPECT_LE(first.result->retry_after, std::chrono::seconds(1));
}

TEST(execution, accepts_one_long_wait_queue_if_coverage_suffices) {
  scenario setup(10, 0.89);
  setup.unavailable[3] = unavailable_reason::all_busy;
  setup.estimate = {.wait = milliseconds(300),
                    .response_time = milliseconds(20)};
  execution run = setup.make_execution();
  const actions first = run.start(start);
  EXPECT_EQ(first.sends.size(), 9U);
  EXPECT_EQ(first.join_queues, (std::vector<std::size_t>{3}));
}

TEST(execution, joins_a_short_wait_queue_and_leaves_it_when_sent) {
  scenario setup(2);
  setup.unavailable[1] = unavailable_reason::all_busy;
  setup.estimate = {.wait = milliseconds(5), .response_time = milliseconds(10)};
  execution run = setup.make_execution();
  EXPECT_EQ(run.start(start).join_queues, (std::vector<std::size_t>{1}));
  setup.unavailable.clear();
  const actions next = run.on_timer(start + milliseconds(6));
  EXPECT_EQ(next.sends.size(), 1U);
  EXPECT_EQ(next.leave_queues, (std::vector<std::size_t>{1}));
}

TEST(execution, a_request_that_ends_leaves_the_wait_queue) {
  scenario setup(2);
  setup.unavailable[1] = unavailable_reason::all_busy;
  execution run = setup.make_execution();
  run.start(start);
  EXPECT_EQ(run.on_caller_left(start + milliseconds(1)).leave_queues,
            (std::vector<std::size_t>{1}));
}

// A leaf that sheds a request didn't run it, so that the request may be sent to
// the same leaf again if the route allows no other.
TEST(execution, may_resend_a_shed_request_to_the_same_leaf) {
  scenario setup(1);
  setup.route.max_leafs = 1;
  execution run = setup.make_execution();
  run.start(start);
  const actions again = run.on_failure(start, 1, attempt_outcome::shed);
  ASSERT_EQ(again.sends.size(), 1U);
  EXPECT_EQ(again.sends[0].leaf, 0U);
  const actions end = run.on_failure(start, 2, attempt_outcome::shed);
  ASSERT_TRUE(end.result);
  EXPECT_EQ(end.result->outcome, request_outcome::not_run);
}

TEST(execution, an_unreachable_leaf_uses_no_retry_budget) {
  scenario setup(1);
  setup.budget = 0;
  execution run = setup.make_execution();
  run.start(start);
  EXPECT_EQ(
      run.on_failure(start, 1, attempt_outcome::no_connection).sends.size(),
      1U);
}

// The response is lost after a leaf ran the request. A request that may run at
// most once is not sent again, and its outcome is not `not_run`.
TEST(execution, does_not_repeat_at_most_once_after_a_lost_response) {
  scenario setup(1);
  setup.route.retry = routes::retry_policy::at_most_once;
  execution run = setup.make_execution();
  run.start(start);
  EXPECT_TRUE(run.on_timer(start + milliseconds(30)).sends.empty());
  const actions end = run.on_failure(start, 1, attempt_outcome::lost);
  EXPECT_TRUE(end.sends.empty());
  ASSERT_TRUE(end.result);
  EXPECT_EQ(end.result->outcome, request_outcome::failed);
}

TEST(execution, may_repeat_at_most_once_if_it_certainly_did_not_run) {
  scenario setup(1);
  setup.route.retry = routes::retry_policy::at_most_once;
  execution run = setup.make_execution();
  run.start(start);
  EXPECT_EQ(run.on_failure(start, 1, attempt_outcome::misdirected).sends.size(),
            1U);
}

TEST(execution, passes_on_the_error_response_of_the_only_leaf) {
  scenario setup(1);
  setup.route.retry = routes::retry_policy::at_most_once;
  execution run = setup.make_execution();
  run.start(start);
  const actions end =
      run.on_failure(start, 1, attempt_outcome::failed,
                     leaf_response{.status = 500, .signature = "x"});
  ASSERT_TRUE(end.result);
  EXPECT_EQ(end.result->outcome, request_outcome::answered);
  EXPECT_EQ(end.result->responses.at(0).status, 500);
}

TEST(execution, does_not_count_a_signature_twice) {
  scenario setup(2, 0.5);
  execution run = setup.make_execution();
  run.start(start);
  run.on_response(start, 1, make_response("same"));
  EXPECT_FALSE(run.on_response(start, 2, make_response("same")).result);
}

TEST(execution, abandons_all_attempts_when_the_caller_leaves) {
  scenario setup(2);
  execution run = setup.make_execution();
  run.start(start);
  const actions end = run.on_caller_left(start);
  EXPECT_EQ(end.abandons.size(), 2U);
  EXPECT_EQ(end.result->outcome, request_outcome::caller_left);
}

TEST(execution, is_out_of_time_at_the_deadline) {
  scenario setup(1);
  setup.route.retry = routes::retry_policy::at_most_once;
  execution run = setup.make_execution();
  run.start(start);
  const actions end = run.on_timer(start + milliseconds(800));
  ASSERT_TRUE(end.result);
  EXPECT_EQ(end.result->outcome, request_outcome::out_of_time);
}

// For any sequence of events there is exactly one outcome. It is `not_run` only
// if no leaf may have run the request. At most `max_leafs` leafs of each shard
// may have run it, and at most one if it may run at most once.
TEST(execution, every_sequence_of_events_has_one_correct_outcome) {
  EXPECT_TRUE(rc::check([] {
    const auto shards = *rc::gen::inRange<std::size_t>(1, 5);
    scenario setup(shards, 0.5);
    const bool once = shards == 1 && *rc::gen::arbitrary<bool>();
    if (once) setup.route.retry = routes::retry_policy::at_most_once;
    setup.budget = *rc::gen::inRange<std::size_t>(0, 6);
    execution run = setup.make_execution();
    struct sent {
      attempt_id id;
      std::size_t shard;
      leaf_handle leaf;
    };
    std::vector<sent> open;
    std::map<std::size_t, std::set<leaf_handle>> may_have_run;
    std::size_t outcomes = 0;
    std::optional<request_outcome> final_outcome;
    time_point now = start;
    const auto apply = [&](const actions& next) {
      for (const send_action& each : next.sends) {
        RC_ASSERT(!final_outcome);
        open.push_back({each.attempt, each.shard, each.leaf});
      }
      if (!next.result) return;
      ++outcomes;
      final_outcome = next.result->outcome;
    };
    apply(run.start(now));
    for (int step = 0; step < 40 && !run.finished(); ++step) {
      now += milliseconds(*rc::gen::inRange(1, 40));
      const bool tick = open.empty() || *rc::gen::arbitrary<bool>();
      if (tick) {
        apply(run.on_timer(now));
        continue;
      }
      const auto index = *rc::gen::inRange<std::size_t>(0, open.size());
      const sent ended = open[index];
      open.erase(open.begin() + static_cast<std::ptrdiff_t>(index));
      const auto outcome =
          *rc::gen::element(attempt_outcome::answered, attempt_outcome::failed,
                            attempt_outcome::shed, attempt_outcome::misdirected,
                            attempt_outcome::lost, attempt_outcome::silent,
                            attempt_outcome::no_connection);
      const bool ran = outcome == attempt_outcome::answered ||
                       outcome == attempt_outcome::failed ||
                       outcome == attempt_outcome::lost ||
                       outcome == attempt_outcome::silent;
      if (ran) may_have_run[ended.shard].insert(ended.leaf);
      if (outcome == attempt_outcome::answered) {
        apply(run.on_response(now, ended.id,
                              make_response(std::to_string(ended.id))));
      } else {
        apply(run.on_failure(now, ended.id, outcome));
      }
    }
    if (!run.finished()) apply(run.on_timer(start + milliseconds(900)));
    RC_ASSERT(run.finished());
    RC_ASSERT(outcomes == 1U);
    if (*final_outcome == request_outcome::not_run)
      RC_ASSERT(may_have_run.empty());
    for (const auto& [shard, leafs] : may_have_run) {
      RC_ASSERT(leafs.size() <= (once ? 1U : setup.route.max_leafs));
    }
  }));
}

// All leafs of a shard are at limits that they state, and their next turn comes
// after the soft deadline. The request must not wait for it in vain.
TEST(execution, refuses_at_once_when_no_turn_of_a_limited_leaf_is_in_time) {
  scenario setup(1);
  setup.unavailable[0] = unavailable_reason::all_limited;
  setup.estimate.min_wait = milliseconds(700);
  execution run = setup.make_execution();
  const actions end = run.start(start);
  ASSERT_TRUE(end.result);
  EXPECT_EQ(end.result->outcome, request_outcome::not_run);
  // Back then, the caller gets its response just before its soft deadline.
  EXPECT_GE(end.result->retry_after, milliseconds(700) - setup.soft_deadline);
}

// The daemon ends before a request that has begun would give up.
TEST(execution, ends_by_a_deadline_that_is_limited_later) {
  scenario setup(1);
  execution run = setup.make_execution();
  ASSERT_EQ(run.start(start).sends.size(), 1U);
  const time_point limit = start + milliseconds(1);
  const actions limited = run.limit_deadline(start, limit);
  EXPECT_FALSE(limited.result);
  EXPECT_LE(limited.wake_at, limit);
  const actions end = run.on_timer(limit);
  ASSERT_TRUE(end.result);
  EXPECT_EQ(end.result->outcome, request_outcome::out_of_time);
}

TEST(execution, waits_for_a_turn_of_a_limited_leaf_that_is_in_time) {
  scenario setup(1);
  setup.unavailable[0] = unavailable_reason::all_limited;
  setup.estimate.min_wait = milliseconds(20);
  execution run = setup.make_execution();
  EXPECT_FALSE(run.start(start).result);
  setup.unavailable.clear();
  EXPECT_EQ(run.on_timer(start + milliseconds(20)).sends.size(), 1U);
}

TEST(execution, answers_without_a_limited_shard_if_coverage_suffices) {
  scenario setup(10, 0.89);
  setup.unavailable[4] = unavailable_reason::all_limited;
  setup.estimate.min_wait = milliseconds(700);
  execution run = setup.make_execution();
  EXPECT_EQ(run.start(start).sends.size(), 9U);
  actions last;
  for (attempt_id id = 1; id <= 9; ++id)
    last = run.on_response(start + milliseconds(12), id,
                           make_response("p" + std::to_string(id)));
  ASSERT_TRUE(last.result);
  EXPECT_EQ(last.result->missing_count, 1U);
}

}  // namespace
}  // namespace medlarloft::fanout
