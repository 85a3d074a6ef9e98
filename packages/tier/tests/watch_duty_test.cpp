#include "watch_duty.hpp"

#include <gtest/gtest.h>

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

// Pattern: the store does not change, so that only probes carry word of it.
// Among sixty daemons that took over 4.5 s now and then, and dozens read.
TEST(watch_duty, word_may_travel_for_longer_among_many_daemons) {
  watch_duty few({}, start);
  watch_duty many({}, start);
  few.set_daemons(8);
  many.set_daemons(64);
  for (watch_duty* each : {&few, &many})
    each->answered(start);
  EXPECT_FALSE(few.fresh(start + milliseconds(4600)));
  EXPECT_TRUE(many.fresh(start + milliseconds(5900)));
  EXPECT_FALSE(many.fresh(start + milliseconds(6100)));
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
