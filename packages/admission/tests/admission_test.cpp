#include "medlarloft/admission.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace medlarloft::admission {
namespace {

using namespace std::chrono_literals;
using notes::service_class;

const time_point start_time{100s};

TEST(concurrency_limiter, releases_the_most_urgent_waiting_query) {
  concurrency_limiter limiter({.max_running = 1, .max_queued = 10});
  const auto deadline = start_time + 1s;
  EXPECT_EQ(
      limiter.submit(start_time, 1, service_class::ordinary, deadline).action,
      verdict::run);
  limiter.submit(start_time, 2, service_class::ordinary, deadline);
  limiter.submit(start_time, 3, service_class::critical, deadline);
  const auto released = limiter.finish(start_time, 5ms);
  EXPECT_EQ(released.run, (std::vector<std::uint64_t>{3}));
}

TEST(concurrency_limiter, evicts_a_lower_class_from_a_full_queue) {
  concurrency_limiter limiter(
      {.max_running = 1, .max_queued = 2, .queue_fraction = {1, 1, 1}});
  const auto deadline = start_time + 1s;
  for (std::uint64_t id = 1; id <= 3; ++id) {
    limiter.submit(start_time, id, service_class::ordinary, deadline);
  }
  const decision urgent =
      limiter.submit(start_time, 4, service_class::critical, deadline);
  EXPECT_EQ(urgent.action, verdict::wait);
  EXPECT_EQ(urgent.evicted, 3U);
}

TEST(concurrency_limiter, reserves_capacity_for_higher_classes) {
  concurrency_limiter limiter({.max_running = 10, .max_queued = 10});
  const auto deadline = start_time + 1s;
  int ordinary = 0;
  for (std::uint64_t id = 0; id < 10; ++id) {
    const auto arrived =
        limiter.submit(start_time, id, service_class::ordinary, deadline);
    if (arrived.action == verdict::run) ++ordinary;
  }
  EXPECT_EQ(ordinary, 7);
}

TEST(concurrency_limiter, refuses_queries_that_would_be_late) {
  concurrency_limiter limiter({.max_running = 1, .max_queued = 100});
  limiter.submit(start_time, 1, service_class::critical, start_time + 1s);
  limiter.finish(start_time, 50ms);
  limiter.submit(start_time, 2, service_class::critical, start_time + 1s);
  const decision late =
      limiter.submit(start_time, 3, service_class::critical, start_time + 60ms);
  EXPECT_EQ(late.action, verdict::refuse);
  EXPECT_EQ(late.reason, refusal::would_be_late);
  EXPECT_GT(late.retry_after, 0ms);
}

TEST(concurrency_limiter, refuses_waiting_queries_past_their_deadline) {
  concurrency_limiter limiter({.max_running = 1, .max_queued = 10});
  limiter.submit(start_time, 1, service_class::critical, start_time + 1s);
  limiter.submit(start_time, 2, service_class::critical, start_time + 10ms);
  const auto released = limiter.finish(start_time + 20ms, 20ms);
  EXPECT_EQ(released.refused, (std::vector<std::uint64_t>{2}));
}

// Under arbitrary arrivals and ends, no more queries run than allowed, and
// every query is exactly one of run, refused or waiting.
RC_GTEST_PROP(concurrency_limiter, accounts_for_every_query, ()) {
  concurrency_limiter limiter({.max_running = 4, .max_queued = 6});
  std::uint64_t id = 0;
  std::uint64_t running = 0;
  std::uint64_t waiting = 0;
  time_point now = start_time;
  const auto events = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 5), rc::gen::inRange(1, 200)));
  for (const auto& [kind, value] : events) {
    now += 1ms;
    if (kind < 3) {
      const auto arrived =
          limiter.submit(now, ++id, static_cast<service_class>(kind),
                         now + std::chrono::milliseconds(value));
      if (arrived.action == verdict::run) ++running;
      if (arrived.action == verdict::wait) ++waiting;
      if (arrived.evicted) --waiting;
    } else if (running > 0) {
      --running;
      const auto released = limiter.finish(now, 10ms);
      running += released.run.size();
      waiting -= released.run.size() + released.refused.size();
    }
    RC_ASSERT(running <= 4U);
    RC_ASSERT(limiter.running() == running);
    RC_ASSERT(limiter.waiting() == waiting);
  }
}

TEST(throttle, refuses_lower_classes_first_while_servers_refuse) {
  throttle throttled({});
  for (int i = 0; i < 200; ++i) {
    throttled.record(start_time, service_class::ordinary, i % 2 == 0);
    throttled.record(start_time, service_class::critical, i % 2 == 0);
  }
  EXPECT_FALSE(throttled.admit(start_time, service_class::ordinary, 0.3));
  EXPECT_TRUE(throttled.admit(start_time, service_class::critical, 0.0));
}

TEST(throttle, forgets_old_refusals) {
  throttle throttled({});
  for (int i = 0; i < 200; ++i) {
    throttled.record(start_time, service_class::critical, false);
  }
  EXPECT_FALSE(throttled.admit(start_time, service_class::critical, 0.5));
  EXPECT_TRUE(throttled.admit(start_time + 30s, service_class::critical, 0.5));
}

TEST(throttle, does_not_throttle_a_class_when_another_fails) {
  throttle throttled({});
  for (int i = 0; i < 200; ++i) {
    throttled.record(start_time, service_class::ordinary, false);
    throttled.record(start_time, service_class::critical, true);
  }
  EXPECT_TRUE(throttled.admit(start_time, service_class::critical, 0.0));
  EXPECT_FALSE(throttled.admit(start_time, service_class::ordinary, 0.9));
}

// The servers can handle a third of the queries. The admitted rate settles near
// the rate of successes, not at a fixed fraction of the queries.
TEST(throttle, admits_little_more_than_succeeds) {
  throttle throttled({});
  random_generator random(7);
  int admitted = 0;
  int succeeded = 0;
  for (int i = 0; i < 6000; ++i) {
    const time_point now = start_time + i * 10ms;
    if (!throttled.admit(now, service_class::ordinary, random.uniform()))
      continue;
    // A third of the queries can succeed; any admitted beyond that fail.
    const bool success = succeeded * 3 <= i;
    throttled.record(now, service_class::ordinary, success);
    if (i < 2000) continue;
    ++admitted;
    if (success) ++succeeded;
  }
  EXPECT_GT(succeeded, 900);
  EXPECT_LT(admitted, succeeded * 1.25);
}

wall_time at(std::chrono::milliseconds offset) {
  return wall_time(1'000s) + offset;
}

class owned_dedup_table : public testing::Test {
 protected:
  dedup_table table_{{.repeat_window = 60s, .max_skew = 1s}, at(0s)};
  wall_time owner_since_ = at(0s);

  dedup_verdict try_start(wall_time now, const std::string& id,
                          wall_time issued) {
    return table_.try_start(now, id, issued, owner_since_);
  }
};

TEST_F(owned_dedup_table, runs_an_id_once) {
  EXPECT_EQ(try_start(at(10s), "r", at(10s)), dedup_verdict::run);
  EXPECT_EQ(try_start(at(10s), "r", at(10s)), dedup_verdict::running);
  table_.finish("r", request_state::answered, "the answer");
  EXPECT_EQ(try_start(at(30s), "r", at(10s)), dedup_verdict::repeat);
  EXPECT_EQ(table_.answer("r"), "the answer");
}

TEST_F(owned_dedup_table, runs_a_request_again_that_did_not_run) {
  EXPECT_EQ(try_start(at(10s), "r", at(10s)), dedup_verdict::run);
  table_.finish("r", request_state::not_run, {});
  EXPECT_EQ(try_start(at(11s), "r", at(10s)), dedup_verdict::run);
}

TEST_F(owned_dedup_table,
       does_not_run_a_request_that_an_earlier_owner_may_have_run) {
  owner_since_ = at(20s);
  EXPECT_EQ(try_start(at(25s), "r", at(19s)), dedup_verdict::unknown);
  EXPECT_EQ(try_start(at(25s), "r", at(20s)), dedup_verdict::unknown);
  EXPECT_EQ(try_start(at(25s), "r", at(22s)), dedup_verdict::run);
}

TEST_F(owned_dedup_table, refuses_requests_issued_outside_the_window) {
  EXPECT_EQ(try_start(at(100s), "r", at(30s)), dedup_verdict::expired);
  EXPECT_EQ(try_start(at(100s), "r", at(102s)), dedup_verdict::early);
}

TEST(dedup_table, refuses_requests_when_full) {
  dedup_table table({.repeat_window = 60s, .max_skew = 0s, .capacity = 1},
                    at(0s));
  EXPECT_EQ(table.try_start(at(5s), "a", at(5s), at(0s)), dedup_verdict::run);
  EXPECT_EQ(table.try_start(at(5s), "b", at(5s), at(0s)), dedup_verdict::full);
}

// Several owners in turn, each with an empty table and each starting after the
// previous one stopped. Callers repeat ids within the window, with clock skew
// up to the maximum. No id runs twice.
RC_GTEST_PROP(dedup_table, no_id_runs_twice_over_changing_owners, ()) {
  const dedup_table::options options{.repeat_window = 60s, .max_skew = 1s};
  struct owner {
    dedup_table table;
    wall_time since;
  };
  owner current{dedup_table(options, at(0s)), at(0s)};
  wall_time now = at(5s);
  std::map<std::string, wall_time> issued;
  std::map<std::string, int> runs;
  const auto events = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 10), rc::gen::inRange(0, 3000)));
  for (const auto& [kind, value] : events) {
    now += std::chrono::milliseconds(value);
    if (kind == 9) {
      // Another owner, or a restart of the same one.
      current = {dedup_table(options, now), now};
      continue;
    }
    const std::string id = "r" + std::to_string(kind % 4);
    const auto skew = std::chrono::milliseconds(value % 2000 - 1000);
    const auto known = issued.try_emplace(id, now + skew).first;
    const auto verdict =
        current.table.try_start(now, id, known->second, current.since);
    if (verdict != dedup_verdict::run) continue;
    ++runs[id];
    const bool ends = value % 3 != 0;
    if (ends) current.table.finish(id, request_state::answered, "x");
  }
  for (const auto& [id, count] : runs)
    RC_ASSERT(count <= 1);
}

}  // namespace
}  // namespace medlarloft::admission
