#include "watch_duty.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <iterator>

#include "read_pace.hpp"

namespace medlarloft::tier {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const time_point start = time_point{} + std::chrono::hours(1);

// A group of this daemon and others that are alive.
membership::group group_of(const std::string& self, int daemons) {
  const auto record = [](int i) {
    return membership::member_record{
        .id = "d" + std::to_string(i),
        .data_centre = "z" + std::to_string(i % 3),
        .control = {"10.0.0." + std::to_string(i), 80},
        .incarnation = 1,
        .state = membership::member_state::alive};
  };
  membership::group_options options;
  for (int i = 0; i < daemons; ++i)
    if (record(i).id == self) options.self = record(i);
  membership::group made(options, [](notes::note_version) {
    return std::vector<notes::release_note>{};
  });
  membership::message all{.kind = membership::message_kind::members,
                          .from = self == "d0" ? "d1" : "d0"};
  for (int i = 0; i < daemons; ++i)
    all.updates.push_back(record(i));
  made.receive(start, all);
  return made;
}

TEST(watch_duty, fresher_word_is_worth_passing_on) {
  watch_duty duty({}, start);
  EXPECT_TRUE(duty.heard(start, milliseconds(900)));
  EXPECT_FALSE(duty.heard(start, milliseconds(800)));
  EXPECT_TRUE(duty.heard(start, milliseconds(100)));
  EXPECT_FALSE(duty.heard(start, membership::unknown_age));
}

// Pattern: the store turns a reader away and answers others. The next one in
// its data centre reads at once; when it is answered again, it is the reader.
TEST(watch_duty, the_next_one_reads_for_a_reader_that_gets_no_answer) {
  const auto reads = [](const std::string& id, const std::string& failing,
                        duration later) {
    const auto members = group_of(id, 9);
    watch_duty duty({}, start);
    duty.answered(start + later);
    if (!failing.empty()) duty.failing(start, failing, true);
    return duty.reads(start + later, members, "z0", id, 3);
  };
  const std::vector<std::string> centre{"d0", "d3", "d6"};
  const auto reader_among = [&](const std::string& failing, duration later) {
    std::vector<std::string> found;
    std::ranges::copy_if(
        centre, std::back_inserter(found),
        [&](const auto& id) { return reads(id, failing, later); });
    return found;
  };
  const auto usual = reader_among("", seconds(0));
  ASSERT_EQ(usual.size(), 1U);
  const auto now = reader_among(usual[0], seconds(1));
  ASSERT_EQ(now.size(), 2U);  // the first goes on trying
  EXPECT_EQ(reader_among(usual[0], seconds(6)), usual);
}

TEST(watch_duty, a_reader_without_an_answer_is_told_of_once_a_second) {
  watch_duty duty({}, start);
  EXPECT_TRUE(duty.failing(start, "d1", true));
  EXPECT_FALSE(duty.failing(start + milliseconds(500), "d1", true));
  EXPECT_TRUE(duty.failing(start + milliseconds(1100), "d1", true));
  EXPECT_FALSE(duty.failing(start + milliseconds(1200), "d1", false));
  EXPECT_TRUE(duty.failing(start + milliseconds(1300), "d1", true));
}

// Pattern: the store turns away just those that read it, right after it
// answered. A configuration made then must be in force within its bound, so
// that the others are to read in time (grown, hunt-2911-3: 8.2 s after 1.9 s).
TEST(watch_duty, others_read_before_a_configuration_is_due) {
  const auto three = seconds(3);
  watch_duty duty({.stale_after = stale_after({.configuration = three})},
                  start);
  duty.answered(start);
  EXPECT_FALSE(duty.fresh(start + three - milliseconds(500)));
  EXPECT_EQ(stale_after({.configuration = seconds(60)}), milliseconds(4500));
}

TEST(watch_duty, a_reader_alone_answers_before_others_read_too) {
  for (const auto bound : {seconds(2), seconds(3), seconds(5), seconds(9)}) {
    const propagation_deadlines bounds{.leaf_leaves = bound,
                                       .configuration = bound};
    EXPECT_LT(read_wait(bounds) + read_pause(bounds), stale_after(bounds));
    EXPECT_GE(read_wait(bounds), milliseconds(200));
  }
}

int readers(int daemons, const std::function<void(watch_duty&)>& prepare,
            time_point now) {
  int reading = 0;
  for (int i = 0; i < daemons; ++i) {
    const std::string id = "d" + std::to_string(i);
    watch_duty duty({}, start);
    prepare(duty);
    const auto members = group_of(id, daemons);
    reading += duty.reads(now, members, "z" + std::to_string(i % 3), id, 3);
  }
  return reading;
}

// Pattern: calls to the store grow with the fleet unless a few daemons read
// for all.
TEST(watch_duty, one_daemon_of_each_data_centre_reads_for_all) {
  for (const int daemons : {3, 7, 60}) {
    EXPECT_EQ(readers(
                  daemons,
                  [](watch_duty& duty) { duty.heard(start, milliseconds(0)); },
                  start + seconds(1)),
              3);
  }
}

// Pattern: the daemons that read are cut off from the store, or gone.
TEST(watch_duty, everybody_reads_when_nobody_has_word_of_the_store) {
  EXPECT_EQ(readers(
                9, [](watch_duty& duty) { duty.heard(start, milliseconds(0)); },
                start + seconds(5)),
            9);
}

TEST(watch_duty, a_stand_in_goes_on_for_a_while) {
  watch_duty duty({}, start);
  const auto members = group_of("d0", 60);
  // d0 is not among the first of its data centre when others are fresh.
  watch_duty fresh({}, start);
  fresh.heard(start, milliseconds(0));
  const bool ranked = fresh.reads(start, members, "z0", "d0", 3);
  duty.heard(start, milliseconds(0));
  const time_point lost = start + seconds(5);
  EXPECT_TRUE(duty.reads(lost, members, "z0", "d0", 3));
  duty.heard(lost + seconds(1), milliseconds(0));
  EXPECT_TRUE(duty.reads(lost + seconds(2), members, "z0", "d0", 3));
  duty.heard(lost + seconds(11), milliseconds(0));
  EXPECT_EQ(duty.reads(lost + seconds(12), members, "z0", "d0", 3), ranked);
}

// Pattern: all daemons of a large fleet start at once, and each reads the
// store because it has not heard the others yet.
TEST(watch_duty, a_stand_in_at_the_start_ends_soon_after_others_are_heard) {
  const std::string id = "d59";
  const auto members = group_of(id, 60);
  watch_duty fresh({}, start);
  fresh.heard(start, milliseconds(0));
  ASSERT_FALSE(fresh.reads(start, members, "z2", id, 3));
  watch_duty duty({}, start);
  EXPECT_TRUE(duty.reads(start, members, "z2", id, 3));
  duty.heard(start + milliseconds(200), milliseconds(0));
  EXPECT_TRUE(duty.reads(start + milliseconds(400), members, "z2", id, 3));
  duty.heard(start + milliseconds(1500), milliseconds(0));
  EXPECT_FALSE(duty.reads(start + milliseconds(1600), members, "z2", id, 3));
}

TEST(watch_duty, hears_others_first_at_the_start) {
  watch_duty duty({.first_wait = milliseconds(400)}, start);
  const auto members = group_of("d0", 60);
  EXPECT_FALSE(duty.reads(start + milliseconds(300), members, "z0", "d0", 3));
  EXPECT_TRUE(duty.reads(start + milliseconds(400), members, "z0", "d0", 3));
}

TEST(watch_duty, word_of_others_ages) {
  watch_duty duty({}, start);
  EXPECT_EQ(duty.age(start), membership::unknown_age);
  duty.heard(start, milliseconds(500));
  EXPECT_EQ(duty.age(start + seconds(1)), milliseconds(1500));
  duty.heard(start + seconds(1), milliseconds(4000));
  EXPECT_EQ(duty.age(start + seconds(1)), milliseconds(1500));
  duty.heard(start + seconds(1), membership::unknown_age);
  EXPECT_TRUE(duty.fresh(start + seconds(2)));
  EXPECT_FALSE(duty.fresh(start + seconds(5)));
}

}  // namespace
}  // namespace medlarloft::tier
