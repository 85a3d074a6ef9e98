#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>

#include "harness.hpp"

namespace medlarloft::fanout {
namespace {

using std::chrono::milliseconds;
using testing::bench;
using testing::part;
using testing::start;

TEST(execution, asks_one_leaf_of_each_shard_and_answers_when_all_have) {
  bench all(3);
  execution run = all.make();
  const actions first = run.start(start);
  ASSERT_EQ(first.sends.size(), 3U);
  run.on_response(start, 1, part("a"));
  run.on_response(start, 2, part("b"));
  const actions last = run.on_response(start, 3, part("c"));
  ASSERT_TRUE(last.result);
  EXPECT_EQ(last.result->outcome, request_outcome::answered);
  EXPECT_EQ(last.result->responses.size(), 3U);
  EXPECT_EQ(last.result->missing_count, 0U);
}

// Pattern: a leaf pauses. The request is sent to another replica once the
// first had more than the usual time, and the slow answer is not waited for.
TEST(execution, a_straggling_replica_is_hedged) {
  bench one(1);
  execution run = one.make();
  const actions first = run.start(start);
  EXPECT_EQ(first.wake_at, start + milliseconds(30));
  const actions hedge = run.on_timer(start + milliseconds(30));
  ASSERT_EQ(hedge.sends.size(), 1U);
  EXPECT_EQ(hedge.sends[0].kind, attempt_kind::hedge);
  EXPECT_NE(hedge.sends[0].leaf, first.sends[0].leaf);
  const actions end = run.on_response(start + milliseconds(40), 2, part("b"));
  ASSERT_TRUE(end.result);
  ASSERT_EQ(end.abandons.size(), 1U);
  EXPECT_EQ(end.abandons[0].attempt, 1U);
}

// Pattern: the objective is near. A hedge goes out while the second leaf can
// still answer in time, also before the usual patience is over.
TEST(execution, a_hedge_goes_out_while_it_can_help) {
  bench one(1);
  one.soft_deadline = milliseconds(35);
  execution run = one.make();
  EXPECT_EQ(run.start(start).wake_at, start + milliseconds(22));
}

TEST(execution, a_hedge_needs_the_shared_budget) {
  bench one(1);
  one.budget = 0;
  execution run = one.make();
  run.start(start);
  EXPECT_TRUE(run.on_timer(start + milliseconds(30)).sends.empty());
}

TEST(execution, sends_to_no_more_leafs_than_the_route_allows) {
  bench one(1);
  execution run = one.make();
  run.start(start);
  run.on_timer(start + milliseconds(30));
  run.on_failure(start + milliseconds(31), 1, attempt_outcome::lost);
  const actions end =
      run.on_failure(start + milliseconds(32), 2, attempt_outcome::lost);
  EXPECT_TRUE(end.sends.empty());
  ASSERT_TRUE(end.result);
  EXPECT_EQ(end.result->outcome, request_outcome::failed);
}

// Pattern: all replicas of one shard are dark. The answer comes from the rest
// as soon as the rest is there, not at the deadline.
TEST(execution, answers_without_a_dark_shard_once_coverage_allows) {
  bench ten(10, 0.89);
  ten.obstacles[4] = unavailable_reason::all_dark;
  execution run = ten.make();
  EXPECT_EQ(run.start(start).sends.size(), 9U);
  actions last;
  for (attempt_id id = 1; id <= 9; ++id)
    last = run.on_response(start + milliseconds(12), id,
                           part("p" + std::to_string(id)));
  ASSERT_TRUE(last.result);
  EXPECT_EQ(last.result->outcome, request_outcome::answered);
  EXPECT_EQ(last.result->missing_count, 1U);
}

// Pattern: more shards are dark than the coverage allows. Nothing is sent, and
// the caller hears so at once.
TEST(execution, refuses_before_anything_runs_when_coverage_is_out_of_reach) {
  bench ten(10, 0.89);
  ten.obstacles[2] = unavailable_reason::all_dark;
  ten.obstacles[7] = unavailable_reason::all_dark;
  execution run = ten.make();
  const actions end = run.start(start);
  EXPECT_TRUE(end.sends.empty());
  ASSERT_TRUE(end.result);
  EXPECT_EQ(end.result->outcome, request_outcome::not_run);
  EXPECT_GT(end.result->retry_after, duration::zero());
}

// Pattern: one shard straggles until the objective. A partial answer in time
// is worth more than a whole one after it.
TEST(execution, answers_in_part_when_the_objective_is_near) {
  bench ten(10, 0.89);
  ten.budget = 0;
  execution run = ten.make();
  run.start(start);
  for (attempt_id id = 1; id <= 9; ++id)
    EXPECT_FALSE(run.on_response(start + milliseconds(12), id,
                                 part("p" + std::to_string(id)))
                     .result);
  const actions end = run.on_timer(start + milliseconds(180));
  ASSERT_TRUE(end.result);
  EXPECT_EQ(end.result->responses.size(), 9U);
  EXPECT_EQ(end.result->reason, "objective_near");
  ASSERT_EQ(end.result->missing.size(), 1U);
  EXPECT_EQ(end.result->missing[0].unanswered.size(), 1U);
}

TEST(execution, waits_past_the_objective_for_the_least_coverage) {
  bench ten(10, 0.89);
  ten.budget = 0;
  execution run = ten.make();
  run.start(start);
  for (attempt_id id = 1; id <= 8; ++id)
    run.on_response(start, id, part("p" + std::to_string(id)));
  EXPECT_FALSE(run.on_timer(start + milliseconds(180)).result);
  const actions end = run.on_response(start + milliseconds(300), 9, part("p9"));
  ASSERT_TRUE(end.result);
  EXPECT_EQ(end.result->outcome, request_outcome::answered);
}

// Pattern: every connection to a shard's leafs is in use for a moment. The
// other shards are asked, and this one as soon as a leaf is free.
TEST(execution, a_busy_shard_is_waited_for) {
  bench three(3);
  three.obstacles[1] = unavailable_reason::all_busy;
  three.max_wait = three.deadline;
  execution run = three.make();
  const actions first = run.start(start);
  EXPECT_EQ(first.sends.size(), 2U);
  EXPECT_FALSE(first.result);
  EXPECT_LE(first.wake_at, start + milliseconds(10));
  three.obstacles.clear();
  EXPECT_EQ(run.on_timer(start + milliseconds(5)).sends.size(), 1U);
}

// Pattern: all leafs of a service are full. A request that cannot be served is
// refused soon, while its caller has time to come back.
TEST(execution, a_single_request_is_refused_after_a_short_wait) {
  bench one(1);
  one.obstacles[0] = unavailable_reason::all_busy;
  execution run = one.make();
  EXPECT_FALSE(run.start(start).result);
  const actions end = run.on_timer(start + milliseconds(50));
  ASSERT_TRUE(end.result);
  EXPECT_EQ(end.result->outcome, request_outcome::not_run);
}

// Pattern: a leaf sheds. It did not run the request, so the same leaf may be
// asked again when the route allows no other.
// Pattern: a burst beyond what the leafs can do. A request that would wait past
// its objective is refused at once, before any shard runs it, with the time at
// which there will be room.
TEST(execution, what_would_wait_past_its_objective_is_refused_at_once) {
  bench ten(10, 0.89);
  ten.obstacles[3] = unavailable_reason::all_busy;
  ten.obstacles[7] = unavailable_reason::all_busy;
  ten.estimate = {.wait = milliseconds(300), .work_time = milliseconds(20)};
  execution run = ten.make();
  const actions first = run.start(start);
  EXPECT_TRUE(first.sends.empty());
  ASSERT_TRUE(first.result);
  EXPECT_EQ(first.result->outcome, request_outcome::not_run);
  EXPECT_GE(first.result->retry_after, milliseconds(300));
  EXPECT_LE(first.result->retry_after, std::chrono::seconds(1));
}

TEST(execution, one_long_line_is_borne_while_coverage_allows) {
  bench ten(10, 0.89);
  ten.obstacles[3] = unavailable_reason::all_busy;
  ten.estimate = {.wait = milliseconds(300), .work_time = milliseconds(20)};
  execution run = ten.make();
  const actions first = run.start(start);
  EXPECT_EQ(first.sends.size(), 9U);
  EXPECT_EQ(first.join_queues, (std::vector<std::size_t>{3}));
}

TEST(execution, a_short_line_is_joined_and_left) {
  bench two(2);
  two.obstacles[1] = unavailable_reason::all_busy;
  two.estimate = {.wait = milliseconds(5), .work_time = milliseconds(10)};
  execution run = two.make();
  EXPECT_EQ(run.start(start).join_queues, (std::vector<std::size_t>{1}));
  two.obstacles.clear();
  const actions next = run.on_timer(start + milliseconds(6));
  EXPECT_EQ(next.sends.size(), 1U);
  EXPECT_EQ(next.leave_queues, (std::vector<std::size_t>{1}));
}

TEST(execution, a_request_that_ends_leaves_the_line) {
  bench two(2);
  two.obstacles[1] = unavailable_reason::all_busy;
  execution run = two.make();
  run.start(start);
  EXPECT_EQ(run.on_caller_left(start + milliseconds(1)).leave_queues,
            (std::vector<std::size_t>{1}));
}

TEST(execution, a_shed_request_may_return_to_a_leaf_that_did_not_run_it) {
  bench one(1);
  one.route.max_leafs = 1;
  execution run = one.make();
  run.start(start);
  const actions again = run.on_failure(start, 1, attempt_outcome::shed);
  ASSERT_EQ(again.sends.size(), 1U);
  EXPECT_EQ(again.sends[0].leaf, 0U);
  const actions end = run.on_failure(start, 2, attempt_outcome::shed);
  ASSERT_TRUE(end.result);
  EXPECT_EQ(end.result->outcome, request_outcome::not_run);
}

TEST(execution, a_leaf_that_cannot_be_reached_costs_no_budget) {
  bench one(1);
  one.budget = 0;
  execution run = one.make();
  run.start(start);
  EXPECT_EQ(
      run.on_failure(start, 1, attempt_outcome::no_connection).sends.size(),
      1U);
}

// Pattern: answers are lost after the run. A request that runs at most once is
// never sent again, and "not run" is not said of it.
TEST(execution, at_most_once_is_not_repeated_after_a_lost_answer) {
  bench one(1);
  one.route.retry = routes::retry_policy::at_most_once;
  execution run = one.make();
  run.start(start);
  EXPECT_TRUE(run.on_timer(start + milliseconds(30)).sends.empty());
  const actions end = run.on_failure(start, 1, attempt_outcome::lost);
  EXPECT_TRUE(end.sends.empty());
  ASSERT_TRUE(end.result);
  EXPECT_EQ(end.result->outcome, request_outcome::failed);
}

TEST(execution, at_most_once_may_be_repeated_when_it_surely_did_not_run) {
  bench one(1);
  one.route.retry = routes::retry_policy::at_most_once;
  execution run = one.make();
  run.start(start);
  EXPECT_EQ(run.on_failure(start, 1, attempt_outcome::misdirected).sends.size(),
            1U);
}

TEST(execution, passes_on_the_failure_of_the_only_leaf) {
  bench one(1);
  one.route.retry = routes::retry_policy::at_most_once;
  execution run = one.make();
  run.start(start);
  const actions end =
      run.on_failure(start, 1, attempt_outcome::failed,
                     leaf_response{.status = 500, .signature = "x"});
  ASSERT_TRUE(end.result);
  EXPECT_EQ(end.result->outcome, request_outcome::answered);
  EXPECT_EQ(end.result->responses.at(0).status, 500);
}

TEST(execution, one_signature_is_not_counted_twice) {
  bench two(2, 0.5);
  execution run = two.make();
  run.start(start);
  run.on_response(start, 1, part("same"));
  EXPECT_FALSE(run.on_response(start, 2, part("same")).result);
}

TEST(execution, a_caller_that_left_is_not_worked_for) {
  bench two(2);
  execution run = two.make();
  run.start(start);
  const actions end = run.on_caller_left(start);
  EXPECT_EQ(end.abandons.size(), 2U);
  EXPECT_EQ(end.result->outcome, request_outcome::caller_left);
}

TEST(execution, says_at_the_deadline_that_it_is_out_of_time) {
  bench one(1);
  one.route.retry = routes::retry_policy::at_most_once;
  execution run = one.make();
  run.start(start);
  const actions end = run.on_timer(start + milliseconds(800));
  ASSERT_TRUE(end.result);
  EXPECT_EQ(end.result->outcome, request_outcome::out_of_time);
}

// Whatever happens in whatever order: one outcome; "not run" only if nothing
// that may run was handed to a leaf; at most `attempts` leafs that may have
// run it for each shard; at most one for a request that runs at most once.
TEST(execution, every_history_ends_once_and_truthfully) {
  EXPECT_TRUE(rc::check([] {
    const auto shards = *rc::gen::inRange<std::size_t>(1, 5);
    bench all(shards, 0.5);
    const bool once = shards == 1 && *rc::gen::arbitrary<bool>();
    if (once) all.route.retry = routes::retry_policy::at_most_once;
    all.budget = *rc::gen::inRange<std::size_t>(0, 6);
    execution run = all.make();
    struct sent {
      attempt_id id;
      std::size_t shard;
      leaf_handle leaf;
    };
    std::vector<sent> open;
    std::map<std::size_t, std::set<leaf_handle>> may_have_run;
    std::size_t outcomes = 0;
    std::optional<request_outcome> what;
    time_point now = start;
    const auto take = [&](const actions& wanted) {
      for (const send_action& each : wanted.sends) {
        RC_ASSERT(!what);
        open.push_back({each.attempt, each.shard, each.leaf});
      }
      if (!wanted.result) return;
      ++outcomes;
      what = wanted.result->outcome;
    };
    take(run.start(now));
    for (int step = 0; step < 40 && !run.finished(); ++step) {
      now += milliseconds(*rc::gen::inRange(1, 40));
      const bool tick = open.empty() || *rc::gen::arbitrary<bool>();
      if (tick) {
        take(run.on_timer(now));
        continue;
      }
      const auto at = *rc::gen::inRange<std::size_t>(0, open.size());
      const sent one = open[at];
      open.erase(open.begin() + static_cast<std::ptrdiff_t>(at));
      const auto how =
          *rc::gen::element(attempt_outcome::answered, attempt_outcome::failed,
                            attempt_outcome::shed, attempt_outcome::misdirected,
                            attempt_outcome::lost, attempt_outcome::silent,
                            attempt_outcome::no_connection);
      const bool ran =
          how == attempt_outcome::answered || how == attempt_outcome::failed ||
          how == attempt_outcome::lost || how == attempt_outcome::silent;
      if (ran) may_have_run[one.shard].insert(one.leaf);
      if (how == attempt_outcome::answered) {
        take(run.on_response(now, one.id, part(std::to_string(one.id))));
      } else {
        take(run.on_failure(now, one.id, how));
      }
    }
    if (!run.finished()) take(run.on_timer(start + milliseconds(900)));
    RC_ASSERT(run.finished());
    RC_ASSERT(outcomes == 1U);
    if (*what == request_outcome::not_run) RC_ASSERT(may_have_run.empty());
    for (const auto& [shard, leafs] : may_have_run) {
      RC_ASSERT(leafs.size() <= (once ? 1U : all.route.max_leafs));
    }
  }));
}

}  // namespace
}  // namespace medlarloft::fanout
