#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

#include "sample_service.hpp"

namespace medlarloft::query {
namespace {

using namespace std::chrono_literals;

const time_point start_time{1s};

class execution_of_three_shards : public testing::Test {
 protected:
  execution make(policy rules = {}) {
    request asked{.id = "r1",
                  .service = &service_,
                  .deadline = start_time + 100ms,
                  .coverage_wanted = wanted_,
                  .idempotent = idempotent_,
                  .snapshot = 7};
    return {asked, rules, plain_hooks(next_)};
  }

  notes::service service_ = sample_service(3, 2);
  attempt_id next_ = 0;
  double wanted_ = 1.0;
  bool idempotent_ = true;
};

TEST_F(execution_of_three_shards, answers_when_every_shard_has) {
  execution run = make();
  const actions begun = run.start(start_time);
  ASSERT_EQ(begun.sends.size(), 3U);
  actions last;
  for (const send_action& one : begun.sends) {
    last =
        run.on_answer(start_time + 5ms, one.attempt, answer_of(*one.shard, 7));
  }
  ASSERT_TRUE(last.done.has_value());
  EXPECT_EQ(last.done->kind, outcome_kind::answered);
  EXPECT_TRUE(last.done->complete);
  EXPECT_EQ(last.done->coverage.covered, notes::key_space);
  EXPECT_EQ(last.done->rows.size(), 3U);
}

TEST_F(execution_of_three_shards, drops_late_crossed_and_doubled_answers) {
  execution run = make();
  const actions begun = run.start(start_time);
  const send_action& first = begun.sends[0];
  run.on_answer(start_time, first.attempt, answer_of(*first.shard, 7));
  run.on_answer(start_time, first.attempt, answer_of(*first.shard, 7));
  run.on_answer(start_time, 999, answer_of(*first.shard, 7));
  EXPECT_EQ(run.tally().foreign_dropped, 2U);
  EXPECT_FALSE(run.finished());
}

TEST_F(execution_of_three_shards, retries_another_replica) {
  execution run = make();
  const actions begun = run.start(start_time);
  const actions again =
      run.on_failure(start_time, begun.sends[0].attempt, {failure::lost});
  ASSERT_EQ(again.sends.size(), 1U);
  EXPECT_EQ(again.sends[0].kind, attempt_kind::retry);
  EXPECT_NE(again.sends[0].route.leaf, begun.sends[0].route.leaf);
}

TEST_F(execution_of_three_shards, tells_less_coverage_when_a_shard_is_lost) {
  execution run = make();
  const actions begun = run.start(start_time);
  run.on_answer(start_time, begun.sends[0].attempt,
                answer_of(*begun.sends[0].shard, 7));
  run.on_answer(start_time, begun.sends[1].attempt,
                answer_of(*begun.sends[1].shard, 7));
  const actions ended = run.on_timer(start_time + 100ms);
  ASSERT_TRUE(ended.done.has_value());
  EXPECT_FALSE(ended.done->complete);
  const std::uint64_t lost = begun.sends[2].shard->range.size();
  EXPECT_EQ(ended.done->coverage.covered, notes::key_space - lost);
}

TEST_F(execution_of_three_shards, hedges_once_and_cancels_the_loser) {
  execution run = make({.hedge_after = 10ms});
  const actions begun = run.start(start_time);
  const actions hedged = run.on_timer(start_time + 10ms);
  ASSERT_EQ(hedged.sends.size(), 3U);
  EXPECT_TRUE(run.on_timer(start_time + 20ms).sends.empty());
  const actions won = run.on_answer(start_time + 21ms, hedged.sends[0].attempt,
                                    answer_of(*hedged.sends[0].shard, 7));
  ASSERT_EQ(won.cancels.size(), 1U);
  EXPECT_EQ(won.cancels[0].attempt, begun.sends[0].attempt);
}

TEST_F(execution_of_three_shards, sends_a_refused_hedge_to_another_replica) {
  service_ = sample_service(3, 3);
  execution run = make({.hedge_after = 10ms});
  run.start(start_time);
  const actions hedged = run.on_timer(start_time + 10ms);
  ASSERT_EQ(hedged.sends.size(), 3U);
  const actions again = run.on_failure(
      start_time + 11ms, hedged.sends[0].attempt, {failure::not_sent});
  ASSERT_EQ(again.sends.size(), 1U);
  EXPECT_EQ(again.sends[0].kind, attempt_kind::hedge);
  EXPECT_NE(again.sends[0].route.leaf, hedged.sends[0].route.leaf);
}

TEST_F(execution_of_three_shards, hedges_again_when_the_hedge_is_lost) {
  service_ = sample_service(3, 3);
  execution run = make({.hedge_after = 10ms});
  run.start(start_time);
  const actions hedged = run.on_timer(start_time + 10ms);
  const actions lost = run.on_failure(start_time + 12ms,
                                      hedged.sends[0].attempt, {failure::lost});
  EXPECT_EQ(lost.wake_at, start_time + 12ms);
  EXPECT_EQ(run.on_timer(start_time + 12ms).sends.size(), 1U);
}

TEST_F(execution_of_three_shards, hedges_a_hedge_that_is_slow_too) {
  service_ = sample_service(3, 4);
  execution run = make({.hedge_after = 10ms, .max_open_per_shard = 3});
  run.start(start_time);
  EXPECT_EQ(run.on_timer(start_time + 10ms).sends.size(), 3U);
  EXPECT_EQ(run.on_timer(start_time + 20ms).sends.size(), 3U);
  EXPECT_TRUE(run.on_timer(start_time + 30ms).sends.empty());
}

TEST_F(execution_of_three_shards, never_hedges_what_is_not_idempotent) {
  idempotent_ = false;
  execution run = make({.hedge_after = 10ms});
  run.start(start_time);
  EXPECT_TRUE(run.on_timer(start_time + 50ms).sends.empty());
}

TEST_F(execution_of_three_shards, reruns_whole_on_the_newer_snapshot) {
  execution run = make();
  const actions begun = run.start(start_time);
  run.on_answer(start_time, begun.sends[0].attempt,
                answer_of(*begun.sends[0].shard, 7));
  run.on_answer(start_time, begun.sends[1].attempt,
                answer_of(*begun.sends[1].shard, 7));
  const attempt_failure gone{failure::snapshot_gone, 8, 9};
  const actions other =
      run.on_failure(start_time, begun.sends[2].attempt, gone);
  ASSERT_EQ(other.sends.size(), 1U);  // the other replica first
  const actions rerun =
      run.on_failure(start_time, other.sends[0].attempt, gone);
  ASSERT_EQ(rerun.sends.size(), 3U);
  EXPECT_EQ(rerun.sends[0].snapshot, 9U);
  actions last;
  for (const send_action& one : rerun.sends) {
    last = run.on_answer(start_time, one.attempt, answer_of(*one.shard, 9));
  }
  ASSERT_TRUE(last.done.has_value());
  EXPECT_EQ(last.done->snapshot, 9U);
  for (const row& found : last.done->rows) {
    EXPECT_EQ(found.body, "snapshot 9");
  }
}

TEST_F(execution_of_three_shards, stops_early_when_enough_is_covered) {
  wanted_ = 0.6;
  service_.stop_early_after = 5ms;
  execution run = make();
  const actions begun = run.start(start_time);
  run.on_answer(start_time + 1ms, begun.sends[0].attempt,
                answer_of(*begun.sends[0].shard, 7));
  const actions enough = run.on_answer(start_time + 2ms, begun.sends[1].attempt,
                                       answer_of(*begun.sends[1].shard, 7));
  EXPECT_FALSE(enough.done.has_value());
  EXPECT_EQ(enough.wake_at, start_time + 7ms);
  const actions ended = run.on_timer(start_time + 7ms);
  ASSERT_TRUE(ended.done.has_value());
  EXPECT_TRUE(ended.done->complete);
  EXPECT_LT(ended.done->coverage.covered, notes::key_space);
}

TEST_F(execution_of_three_shards, a_relays_refusal_costs_no_budget) {
  request asked{.id = "r1",
                .service = &service_,
                .deadline = start_time + 100ms,
                .snapshot = 7};
  hooks choices = plain_hooks(next_);
  choices.take_extra = [](attempt_kind) { return false; };
  execution run(asked, {}, choices);
  const actions begun = run.start(start_time);
  const actions again =
      run.on_failure(start_time, begun.sends[0].attempt, {failure::not_sent});
  EXPECT_EQ(again.sends.size(), 1U);
  const actions spent =
      run.on_failure(start_time, begun.sends[1].attempt, {failure::lost});
  EXPECT_TRUE(spent.sends.empty());
}

// What a leaf does with one attempt, as the test decides.
enum class fate {
  answers,
  answers_other_snapshot,
  refuses,
  not_sent,
  dies_before,
  dies_after,
  silent
};

// Runs one query against random leafs and keeps the truth about what ran.
struct random_world {
  std::map<std::size_t, int> runs;  // by first key of the shard
  bool any_ran = false;
  final_outcome outcome;
};

random_world play(bool idempotent, const std::vector<int>& choices) {
  const notes::service service = sample_service(4, 3);
  attempt_id next = 0;
  request asked{.id = "r1",
                .service = &service,
                .deadline = start_time + 100ms,
                .idempotent = idempotent,
                .snapshot = 7};
  execution run(asked, {.hedge_after = 20ms, .attempt_timeout = 40ms},
                plain_hooks(next));
  random_world world;
  time_point now = start_time;
  std::size_t choice = 0;
  std::vector<send_action> open;
  const auto take = [&](const actions& wanted) {
    for (const send_action& one : wanted.sends)
      open.push_back(one);
    if (wanted.done) world.outcome = *wanted.done;
  };
  take(run.start(now));
  while (!run.finished()) {
    if (open.empty()) {
      now += 5ms;
      take(run.on_timer(now));
      continue;
    }
    const send_action one = open.front();
    open.erase(open.begin());
    const int drawn = choice < choices.size() ? choices[choice++] : 0;
    const fate what = static_cast<fate>(drawn);
    const bool ran = what == fate::answers || what == fate::dies_after ||
                     what == fate::answers_other_snapshot ||
                     what == fate::silent;
    if (ran) {
      world.any_ran = true;
      ++world.runs[one.shard->range.from];
    }
    switch (what) {
      case fate::answers:
        take(run.on_answer(now, one.attempt,
                           answer_of(*one.shard, one.snapshot)));
        break;
      case fate::answers_other_snapshot:
        take(run.on_answer(now, one.attempt,
                           answer_of(*one.shard, one.snapshot + 1)));
        break;
      case fate::refuses:
        take(run.on_failure(now, one.attempt, {failure::not_run}));
        break;
      case fate::not_sent:
        take(run.on_failure(now, one.attempt, {failure::not_sent}));
        break;
      case fate::dies_before:
      case fate::dies_after:
        take(run.on_failure(now, one.attempt, {failure::lost}));
        break;
      case fate::silent:
        now += 7ms;
        take(run.on_timer(now));
        break;
    }
  }
  return world;
}

auto fates() {
  return rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 7));
}

RC_GTEST_PROP(execution, not_run_means_that_nothing_ran, ()) {
  const bool idempotent = *rc::gen::arbitrary<bool>();
  const random_world world = play(idempotent, *fates());
  if (world.outcome.kind == outcome_kind::not_run) {
    RC_ASSERT(!world.any_ran);
  }
}

RC_GTEST_PROP(execution, non_idempotent_runs_at_most_once_on_each_shard, ()) {
  const random_world world = play(false, *fates());
  for (const auto& [shard, count] : world.runs)
    RC_ASSERT(count <= 1);
}

RC_GTEST_PROP(execution, non_idempotent_whole_answer_ran_everywhere, ()) {
  const random_world world = play(false, *fates());
  if (world.outcome.kind == outcome_kind::answered) {
    RC_ASSERT(world.runs.size() == 4U);
  }
}

RC_GTEST_PROP(execution, rows_come_from_one_snapshot, ()) {
  const random_world world = play(true, *fates());
  const std::string body = "snapshot " + std::to_string(world.outcome.snapshot);
  for (const row& found : world.outcome.rows)
    RC_ASSERT(found.body == body);
  std::uint64_t covered = 0;
  for (const row& found : world.outcome.rows) {
    covered += notes::key_space / 4;
    RC_ASSERT(found.position % (notes::key_space / 4) == 0U);
  }
  RC_ASSERT(world.outcome.coverage.covered == covered);
}

}  // namespace
}  // namespace medlarloft::query
