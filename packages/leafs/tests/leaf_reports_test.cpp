#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <set>

#include "medlarloft/leafs.hpp"

namespace medlarloft::leafs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const time_point start = time_point{} + std::chrono::hours(1);

leaf_registration leaf(std::string id, std::int64_t start_id = 1) {
  return {.id = std::move(id),
          .service = "s",
          .address = {"10.0.0.1", 80},
          .data_centre = "near",
          .slots = 4,
          .start_id = start_id};
}

class leaf_reports : public ::testing::Test {
 protected:
  leaf_reports() { set.set_limits(start, "s", {.max_connections = 40}); }

  leaf_set set{{.local_data_centre = "near"}, 7};
};

// A leaf says that it leaves, while its record in the store is older and still
// says that it is ready.
TEST_F(leaf_reports, an_older_record_does_not_bring_back_a_leaf_that_leaves) {
  const leaf_handle a = set.put(start, leaf("a"));
  EXPECT_TRUE(set.on_report(start, a, start, {.leaving = true}).leaving);
  EXPECT_FALSE(set.on_report(start, a, start, {.leaving = true}).leaving);
  set.put(start + seconds(1), leaf("a"));
  EXPECT_FALSE(set.usable(a));
  EXPECT_EQ(set.pick(start + seconds(1), "s", "w").error(),
            unavailable_reason::none_registered);
}

// The record of a leaf that leaves is removed, and one of its earlier writes
// reaches the store late. The leaf was taken for a new one and got requests.
TEST_F(leaf_reports, a_record_that_returns_does_not_bring_back_a_leaving_leaf) {
  const leaf_handle a = set.put(start, leaf("a"));
  set.on_report(start, a, start, {.leaving = true});
  set.remove(start + seconds(1), "a");
  const leaf_handle returned = set.put(start + seconds(5), leaf("a"));
  EXPECT_FALSE(set.usable(returned));
  EXPECT_EQ(set.pick(start + seconds(5), "s", "w").error(),
            unavailable_reason::none_registered);
}

// The response to a request that was in flight when the record was removed.
TEST_F(leaf_reports, what_a_leaf_says_after_its_record_was_removed_holds) {
  const leaf_handle a = set.put(start, leaf("a"));
  set.remove(start + seconds(1), "a");
  set.on_report(start + seconds(2), a, start, {.leaving = true});
  EXPECT_FALSE(set.usable(set.put(start + seconds(5), leaf("a"))));
}

// Records of two starts arrive in turns, as with writes that are carried out
// late.
TEST_F(leaf_reports, a_leaving_start_stays_so_behind_another_start) {
  set.on_report(start, set.put(start, leaf("a", 1)), start, {.leaving = true});
  EXPECT_TRUE(set.usable(set.put(start + seconds(1), leaf("a", 2))));
  EXPECT_FALSE(set.usable(set.put(start + seconds(2), leaf("a", 1))));
  EXPECT_TRUE(set.usable(set.put(start + seconds(3), leaf("a", 2))));
}

// A write from before the leaf said in its record that it drains is carried out
// late: the leaf got requests again.
TEST_F(leaf_reports, an_older_write_does_not_end_a_drain) {
  leaf_registration ready = leaf("a");
  ready.write_number = 6;
  leaf_registration draining = ready;
  draining.write_number = 7;
  draining.draining = true;
  const leaf_handle a = set.put(start, draining);
  set.put(start + seconds(1), ready);
  EXPECT_FALSE(set.usable(a));
  set.remove(start + seconds(2), "a");
  EXPECT_FALSE(set.usable(set.put(start + seconds(3), ready)));
  EXPECT_EQ(set.size(), 0U);
  ready.write_number = 8;
  EXPECT_TRUE(set.usable(set.put(start + seconds(4), ready)));
}

// A new start counts its writes anew.
TEST_F(leaf_reports, the_first_write_of_a_new_start_is_not_older) {
  leaf_registration first = leaf("a", 1);
  first.write_number = 9;
  set.put(start, first);
  leaf_registration second = leaf("a", 2);
  second.write_number = 1;
  EXPECT_TRUE(set.usable(set.put(start + seconds(1), second)));
}

// The same fault for a pause: the leaf got requests in it.
TEST_F(leaf_reports, a_pause_outlives_the_record) {
  const leaf_handle a = set.put(start, leaf("a"));
  set.on_report(start, a, start, {.pause = seconds(10)});
  set.remove(start + seconds(1), "a");
  set.put(start + seconds(2), leaf("a"));
  EXPECT_EQ(set.pick(start + seconds(9), "s", "w").error(),
            unavailable_reason::all_paused);
  EXPECT_TRUE(set.pick(start + seconds(10), "s", "w"));
}

// The same fault for a stated limit: the leaf got its whole part of the load.
TEST_F(leaf_reports, a_limit_outlives_the_record) {
  const leaf_handle a = set.put(start, leaf("a"));
  set.on_report(start, a, start, {.rate_limit = 2});
  set.remove(start + seconds(1), "a");
  set.put(start + seconds(2), leaf("a"));
  std::size_t picked = 0;
  for (time_point now = start + seconds(2); now < start + seconds(12);
       now += milliseconds(100)) {
    const auto chosen = set.pick(now, "s", "w");
    if (!chosen) continue;
    ++picked;
    set.on_attempt_sent(now, chosen.value(), picked, "w");
    set.on_attempt_ended(now, chosen.value(), picked,
                         attempt_outcome::answered);
  }
  EXPECT_GT(picked, 0U);
  EXPECT_LE(picked, 21U);
}

// A removal does not make room at a leaf that still works on its requests, nor
// does it end an ejection.
TEST_F(leaf_reports, an_ejection_outlives_the_record) {
  const leaf_handle a = set.put(start, leaf("a"));
  set.on_attempt_sent(start, a, 1, "w");
  set.on_attempt_ended(start, a, 1, attempt_outcome::no_connection);
  set.remove(start, "a");
  set.put(start, leaf("a"));
  EXPECT_EQ(set.pick(start, "s", "w").error(), unavailable_reason::all_dark);
}

TEST_F(leaf_reports, a_late_response_without_it_does_not_bring_it_back) {
  const leaf_handle a = set.put(start, leaf("a"));
  set.on_report(start, a, start, {.leaving = true});
  set.on_report(start + seconds(1), a, start, {});
  EXPECT_FALSE(set.usable(a));
}

TEST_F(leaf_reports, a_new_start_under_the_same_id_is_used) {
  const leaf_handle a = set.put(start, leaf("a"));
  set.on_report(start, a, start, {.leaving = true});
  const leaf_handle restarted = set.put(start, leaf("a", 2));
  EXPECT_FALSE(set.usable(a));
  EXPECT_TRUE(set.usable(restarted));
}

TEST_F(leaf_reports, a_leaf_that_asks_for_a_pause_gets_no_request_meanwhile) {
  const leaf_handle a = set.put(start, leaf("a"));
  EXPECT_TRUE(set.on_report(start, a, start, {.pause = seconds(2)}).pause);
  const time_point end = start + seconds(2);
  EXPECT_EQ(set.pick(end - milliseconds(1), "s", "w").error(),
            unavailable_reason::all_paused);
  EXPECT_EQ(set.earliest_turn(start, "s"), end);
  EXPECT_TRUE(set.pick(end, "s", "w"));
}

// Several requests were turned away, each with a time of its own.
TEST_F(leaf_reports, the_latest_end_of_a_pause_holds) {
  const leaf_handle a = set.put(start, leaf("a"));
  set.on_report(start, a, start, {.pause = seconds(2)});
  EXPECT_FALSE(
      set.on_report(start + milliseconds(5), a, start, {.pause = seconds(1)})
          .pause);
  set.on_report(start + milliseconds(9), a, start, {});
  EXPECT_EQ(set.earliest_turn(start, "s"), start + seconds(2));
}

TEST_F(leaf_reports, a_pause_has_an_upper_bound) {
  const leaf_handle a = set.put(start, leaf("a"));
  const auto changes =
      set.on_report(start, a, start, {.pause = std::chrono::hours(9)});
  EXPECT_TRUE(changes.pause_shortened);
  EXPECT_EQ(set.earliest_turn(start, "s"), start + std::chrono::minutes(5));
}

TEST_F(leaf_reports, a_pause_and_a_limit_hold_together) {
  const leaf_handle a = set.put(start, leaf("a"));
  set.on_report(start, a, start, {.rate_limit = 0.5, .pause = seconds(3)});
  const time_point turn = set.earliest_turn(start, "s");
  EXPECT_GE(turn, start + seconds(3));
  EXPECT_FALSE(set.pick(turn - milliseconds(1), "s", "w"));
  EXPECT_TRUE(set.pick(turn, "s", "w"));
}

// Responses of earlier starts arrive in any order with records of the store. No
// start that said that it leaves may be used again, and every other one may.
TEST(leaf_reports_property, each_start_of_a_leaf_leaves_by_its_own_word) {
  EXPECT_TRUE(rc::check([](const std::vector<std::uint8_t>& steps) {
    leaf_set set({.local_data_centre = "near"}, 7);
    set.set_limits(start, "s", {.max_connections = 40});
    std::map<std::string, std::int64_t> starts{{"a", 1}, {"b", 1}};
    using leaf_start = std::pair<std::string, std::int64_t>;
    std::map<leaf_handle, leaf_start> handles;
    std::set<leaf_start> left;
    std::map<std::string, leaf_handle> current;
    time_point now = start;
    for (const std::uint8_t step : steps) {
      now += milliseconds(10);
      const std::string id(1, static_cast<char>('a' + step % 2));
      switch (step / 2 % 4) {
        case 0:
          ++starts[id];
          [[fallthrough]];
        case 1:
          current[id] = set.put(now, leaf(id, starts[id]));
          handles[current[id]] = {id, starts[id]};
          break;
        case 2: {
          if (handles.empty()) break;
          const auto& [handle, leaving] =
              *std::next(handles.begin(),
                         static_cast<std::ptrdiff_t>(step % handles.size()));
          left.insert(leaving);
          set.on_report(now, handle, now, {.leaving = true});
          break;
        }
        default:
          set.remove(now, id);
          current.erase(id);
      }
      for (const auto& [name, handle] : current)
        RC_ASSERT(set.usable(handle) == !left.contains(handles[handle]));
      const auto picked = set.pick(now, "s", "w");
      if (picked) RC_ASSERT(!left.contains(handles[picked.value()]));
    }
  }));
}

}  // namespace
}  // namespace medlarloft::leafs
