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

caller_attempt asked(const std::string& id, const request_kind& kind,
                     int status, time_point sent = start) {
  return {.request_id = id,
          .kind = &kind,
          .daemon = "d",
          .sent_at = sent,
          .ended_at = sent + milliseconds(10),
          .status = status,
          .connected = true};
}

execution_record ran(const std::string& service, time_point at = start) {
  return {
      .leaf = "i-1", .service = service, .data_centre = "a", .started_at = at};
}

TEST(promises, a_sound_request_breaks_none) {
  promises all;
  all.configured(start, 1);
  all.on_run("r", ran("once"));
  all.on_try(asked("r", once, 200));
  all.finish();
  EXPECT_TRUE(all.findings().empty());
}

TEST(promises, a_request_that_may_run_once_ran_twice) {
  promises all;
  all.on_run("r", ran("once"));
  all.on_run("r", ran("once"));
  all.on_try(asked("r", once, 502));
  all.finish();
  EXPECT_EQ(all.findings().size(), 1U);
}

TEST(promises, a_refused_request_had_run) {
  promises all;
  all.on_run("r", ran("once"));
  all.on_try(asked("r", once, 503));
  all.finish();
  EXPECT_EQ(all.findings().size(), 1U);
}

TEST(promises, a_request_that_nobody_sent_ran) {
  promises all;
  all.on_run("r", ran("once"));
  all.finish();
  EXPECT_EQ(all.findings().size(), 1U);
}

TEST(promises, a_draining_leaf_got_new_work) {
  promises all;
  all.draining(start, "i-1");
  all.on_run("r1", ran("once", start + drain_bound));
  EXPECT_TRUE(all.findings().empty());
  all.on_run("r2", ran("once", start + drain_bound + seconds(1)));
  EXPECT_EQ(all.findings().size(), 1U);
}

TEST(promises, a_data_centre_that_is_out_got_new_work) {
  promises all;
  all.out(start, "a");
  all.on_run("r", ran("once", start + evacuation_bound + seconds(1)));
  EXPECT_EQ(all.findings().size(), 1U);
}

TEST(promises, an_older_version_was_served_after_its_bound) {
  promises all;
  all.configured(start, 1);
  all.configured(start + seconds(1), 2);
  const time_point late = start + seconds(2) + configuration_bound;
  all.on_run("r", ran("odd", late));
  all.on_try(asked("r", changing, 200, late));
  all.finish();
  EXPECT_EQ(all.findings().size(), 1U);
}

// Bounds hold again when there was no fault for the time that is allowed.
TEST(promises, bounds_do_not_hold_while_there_are_faults) {
  promises all;
  all.draining(start, "i-1");
  all.fault(start + seconds(3), 1);
  all.on_run("r1", ran("once", start + seconds(5)));
  all.fault(start + seconds(6), -1);
  all.on_run("r2", ran("once", start + seconds(9)));
  EXPECT_TRUE(all.findings().empty());
  all.on_run("r3", ran("once", start + seconds(7) + contact));
  EXPECT_EQ(all.findings().size(), 1U);
}

TEST(promises, a_request_was_cut_without_a_fault) {
  promises all;
  all.on_run("r", ran("changing"));
  all.on_try(asked("r", changing, 0));
  EXPECT_EQ(all.findings().size(), 1U);
}

TEST(promises, more_repeats_than_the_budget_of_a_service) {
  promises all;
  all.configured(start, 1);
  for (int i = 0; i < 100; ++i) {
    const std::string id = "r" + std::to_string(i);
    all.on_run(id, ran("odd", start + milliseconds(i)));
    all.on_run(id, ran("odd", start + milliseconds(i)));
    all.on_try(asked(id, changing, 200));
  }
  all.finish();
  EXPECT_EQ(all.findings().size(), 1U);
}

TEST(promises, a_daemon_ended_by_itself) {
  promises all;
  const daemon_process own{.id = "d1"};
  all.on_end(start, own, {.exited = true, .code = 0});
  EXPECT_EQ(all.findings().size(), 1U);
}

TEST(promises, a_planned_stop_took_too_long) {
  promises all;
  const daemon_process own{.id = "d1", .stop_asked = start};
  all.on_end(start + seconds(5), own, {.exited = true, .code = 0});
  EXPECT_TRUE(all.findings().empty());
  all.on_end(start + seconds(7), own, {.exited = true, .code = 0});
  EXPECT_EQ(all.findings().size(), 1U);
}

// Seed 24: the daemon was paused when it was told to stop, and heard of it
// 1.8 s later.
TEST(promises, a_stop_during_a_fault_has_no_bound) {
  promises all;
  all.fault(start, 1);
  all.fault(start + seconds(1), -1);
  const daemon_process own{.id = "d1", .stop_asked = start};
  all.on_end(start + seconds(7), own, {.exited = true, .code = 0});
  EXPECT_TRUE(all.findings().empty());
}

}  // namespace
}  // namespace medlarloft::soak
