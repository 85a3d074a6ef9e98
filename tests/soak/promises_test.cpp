#include "promises.hpp"

#include <gtest/gtest.h>

namespace medlarloft::soak {
namespace {

using standins::caller_attempt;
using standins::execution_record;
using standins::request_kind;
using std::chrono::milliseconds;
using std::chrono::seconds;

const time_point start = time_point{} + std::chrono::hours(1);
const request_kind once{.name = "once", .idempotent = false};
const request_kind changing{.name = "changing"};

caller_attempt attempt(const std::string& id, const request_kind& kind,
                       int status, time_point sent_at = start) {
  return {.request_id = id,
          .kind = &kind,
          .daemon = "d",
          .sent_at = sent_at,
          .ended_at = sent_at + milliseconds(10),
          .status = status,
          .connected = true};
}

execution_record execution(const std::string& service,
                           time_point started_at = start) {
  return {.leaf = "i-1",
          .service = service,
          .data_centre = "a",
          .started_at = started_at};
}

TEST(promises, a_sound_request_breaks_none) {
  promise_checker checker;
  checker.on_configuration(start, 1);
  checker.on_execution("r", execution("once"));
  checker.on_attempt(attempt("r", once, 200));
  checker.finish();
  EXPECT_TRUE(checker.violations().empty());
}

TEST(promises, a_request_that_may_run_once_ran_twice) {
  promise_checker checker;
  checker.on_execution("r", execution("once"));
  checker.on_execution("r", execution("once"));
  checker.on_attempt(attempt("r", once, 502));
  checker.finish();
  EXPECT_EQ(checker.violations().size(), 1U);
}

// 80 requests of the account may run within 5 s, each counted once.
TEST(promises, an_account_ran_more_requests_than_its_quota) {
  const request_kind limited{.name = "limited", .over_quota = true};
  for (const int count : {80, 81}) {
    promise_checker checker;
    for (int i = 0; i < count; ++i) {
      const std::string id = "r" + std::to_string(i);
      const time_point at = start + milliseconds(60 * i);
      checker.on_execution(id, execution("vault", at));
      checker.on_attempt(attempt(id, limited, 200, at));
    }
    checker.finish();
    EXPECT_EQ(checker.violations().size(), count > 80 ? 1U : 0U);
  }
}

TEST(promises, a_refused_request_had_run) {
  promise_checker checker;
  checker.on_execution("r", execution("once"));
  checker.on_attempt(attempt("r", once, 503));
  checker.finish();
  EXPECT_EQ(checker.violations().size(), 1U);
}

TEST(promises, a_request_that_nobody_sent_ran) {
  promise_checker checker;
  checker.on_execution("r", execution("once"));
  checker.finish();
  EXPECT_EQ(checker.violations().size(), 1U);
}

TEST(promises, a_draining_leaf_got_new_work) {
  promise_checker checker;
  checker.on_leaf_draining(start, "i-1");
  checker.on_execution("r1", execution("once", start + drain_bound));
  EXPECT_TRUE(checker.violations().empty());
  checker.on_execution("r2",
                       execution("once", start + drain_bound + seconds(1)));
  EXPECT_EQ(checker.violations().size(), 1U);
}

TEST(promises, a_data_centre_that_is_out_got_new_work) {
  promise_checker checker;
  checker.on_data_centre_out(start, "a");
  checker.on_execution(
      "r", execution("once", start + evacuation_bound + seconds(1)));
  EXPECT_EQ(checker.violations().size(), 1U);
}

TEST(promises, an_older_version_was_served_after_its_bound) {
  promise_checker checker;
  checker.on_configuration(start, 1);
  checker.on_configuration(start + seconds(1), 2);
  const time_point after_bound = start + seconds(2) + configuration_bound;
  checker.on_execution("r", execution("odd", after_bound));
  checker.on_attempt(attempt("r", changing, 200, after_bound));
  checker.finish();
  EXPECT_EQ(checker.violations().size(), 1U);
}

// Bounds apply again when there was no fault for `recovery_time`.
TEST(promises, bounds_do_not_hold_while_there_are_faults) {
  promise_checker checker;
  checker.on_leaf_draining(start, "i-1");
  checker.on_fault_change(start + seconds(3), 1);
  checker.on_execution("r1", execution("once", start + seconds(5)));
  checker.on_fault_change(start + seconds(6), -1);
  checker.on_execution("r2", execution("once", start + seconds(9)));
  EXPECT_TRUE(checker.violations().empty());
  checker.on_execution("r3",
                       execution("once", start + seconds(7) + recovery_time));
  EXPECT_EQ(checker.violations().size(), 1U);
}

TEST(promises, a_request_was_cut_without_a_fault) {
  promise_checker checker;
  checker.on_execution("r", execution("changing"));
  checker.on_attempt(attempt("r", changing, 0));
  EXPECT_EQ(checker.violations().size(), 1U);
}

TEST(promises, more_repeats_than_the_budget_of_a_service) {
  promise_checker checker;
  checker.on_configuration(start, 1);
  for (int i = 0; i < 100; ++i) {
    const std::string id = "r" + std::to_string(i);
    checker.on_execution(id, execution("odd", start + milliseconds(i)));
    checker.on_execution(id, execution("odd", start + milliseconds(i)));
    checker.on_attempt(attempt(id, changing, 200));
  }
  checker.finish();
  EXPECT_EQ(checker.violations().size(), 1U);
}

TEST(promises, a_daemon_ended_by_itself) {
  promise_checker checker;
  const daemon_process daemon{.id = "d1"};
  checker.on_process_end(start, daemon, {.exited = true, .code = 0});
  EXPECT_EQ(checker.violations().size(), 1U);
}

TEST(promises, a_planned_stop_took_too_long) {
  promise_checker checker;
  const daemon_process daemon{.id = "d1", .stop_requested_at = start};
  checker.on_process_end(start + seconds(5), daemon,
                         {.exited = true, .code = 0});
  EXPECT_TRUE(checker.violations().empty());
  checker.on_process_end(start + seconds(7), daemon,
                         {.exited = true, .code = 0});
  EXPECT_EQ(checker.violations().size(), 1U);
}

// Seed 24: the daemon was paused when it was sent SIGTERM, and received the
// signal only when it was resumed 1.8 s later.
TEST(promises, a_stop_during_a_fault_has_no_bound) {
  promise_checker checker;
  checker.on_fault_change(start, 1);
  checker.on_fault_change(start + seconds(1), -1);
  const daemon_process daemon{.id = "d1", .stop_requested_at = start};
  checker.on_process_end(start + seconds(7), daemon,
                         {.exited = true, .code = 0});
  EXPECT_TRUE(checker.violations().empty());
}

}  // namespace
}  // namespace medlarloft::soak
