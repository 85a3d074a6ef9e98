#include "stop_sequence.hpp"

#include <gtest/gtest.h>

namespace medlarloft::tier {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const time_point start = time_point{} + std::chrono::hours(1);

stop_sequence started_stop(duration address_ttl = seconds(15)) {
  stop_sequence stop({.stop_within = seconds(6), .address_ttl = address_ttl});
  stop.begin(start);
  return stop;
}

TEST(stop_sequence, is_running_before_a_stop_is_requested) {
  const stop_sequence stop({});
  EXPECT_EQ(stop.phase(start, 0), stop_phase::running);
}

TEST(stop_sequence, serves_while_callers_may_use_cached_addresses) {
  EXPECT_EQ(started_stop().phase(start + seconds(4), 0), stop_phase::serving);
  EXPECT_EQ(started_stop(seconds(2)).phase(start + seconds(3), 0),
            stop_phase::ended);
}

// Callers may use addresses for longer than a stop may take, so requests arrive
// until the end. On the bench, a request sent to a leaf 5.3 s after the signal
// lost its connection without an answer.
TEST(stop_sequence, late_requests_are_refused_instead_of_interrupted) {
  const stop_sequence stop = started_stop();
  EXPECT_EQ(stop.phase(start + milliseconds(4400), 1), stop_phase::refusing);
  EXPECT_EQ(stop.phase(start + milliseconds(5300), 1), stop_phase::refusing);
}

TEST(stop_sequence, ends_as_soon_as_no_request_is_open) {
  EXPECT_EQ(started_stop().phase(start + milliseconds(4600), 0),
            stop_phase::ended);
}

TEST(stop_sequence, the_answer_deadline_is_before_the_end_of_the_process) {
  const stop_sequence stop = started_stop();
  EXPECT_EQ(stop.phase(stop.answer_deadline(), 1), stop_phase::refusing);
  EXPECT_EQ(stop.phase(start + milliseconds(5700), 1), stop_phase::ended);
  EXPECT_LT(stop.answer_deadline(), start + seconds(6));
}

TEST(stop_sequence, a_second_signal_changes_nothing) {
  stop_sequence stop = started_stop();
  stop.begin(start + seconds(3));
  EXPECT_EQ(stop.phase(start + milliseconds(4400), 1), stop_phase::refusing);
}

}  // namespace
}  // namespace medlarloft::tier
