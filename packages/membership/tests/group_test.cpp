#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

#include "harness.hpp"

namespace medlarloft::membership {
namespace {

using namespace std::chrono_literals;

class eight_daemons : public testing::Test {
 protected:
  eight_daemons() { net_.start_all(); }

  network net_{8, 3, 4ms};
};

TEST_F(eight_daemons, suspect_nobody_in_peace) {
  net_.run_for(60s);
  EXPECT_TRUE(net_.events().empty());
}

TEST_F(eight_daemons, notice_a_dead_one) {
  net_.node("d3").up = false;
  net_.run_for(25s);
  for (const char* observer : {"d0", "d4", "d7"}) {
    EXPECT_EQ(net_.state_at(observer, "d3"), member_state::failed);
  }
}

TEST_F(eight_daemons, spread_a_note_to_all_at_once) {
  net_.read_note("d2", 5);
  net_.run_for(100ms);
  EXPECT_EQ(net_.count_with(5), 8U);
}

TEST_F(eight_daemons, keep_a_slow_prober_from_accusing_the_others) {
  net_.node("d5").paused = true;
  net_.run_for(1500ms);
  net_.node("d5").paused = false;
  net_.clear_events();
  net_.take("d5", net_.node("d5").members->reset_after_pause(net_.now()));
  net_.run_for(20s);
  for (const auto& event : net_.events()) {
    EXPECT_EQ(event.id, "d5") << name_of(event.state);
  }
  EXPECT_EQ(net_.state_at("d0", "d5"), member_state::alive);
}

TEST_F(eight_daemons, hear_that_one_leaves_and_comes_back) {
  net_.take("d1",
            net_.node("d1").members->leave(net_.now(), member_state::leaving));
  net_.run_for(1s);
  EXPECT_EQ(net_.state_at("d7", "d1"), member_state::leaving);
  net_.take("d1",
            net_.node("d1").members->leave(net_.now(), member_state::left));
  net_.run_for(1s);
  net_.node("d1").up = false;
  net_.run_for(5s);
  EXPECT_EQ(net_.state_at("d7", "d1"), member_state::left);
  net_.start("d1", false, 2);
  net_.run_for(5s);
  EXPECT_EQ(net_.state_at("d7", "d1"), member_state::alive);
}

// Starts are numbered by the time of day, which may jump back.
TEST_F(eight_daemons, hear_of_a_start_after_the_clock_went_back) {
  net_.node("d1").up = false;
  net_.start("d1", false, 1'000'000);
  net_.run_for(2s);
  net_.node("d1").up = false;
  net_.run_for(25s);
  EXPECT_EQ(net_.state_at("d7", "d1"), member_state::failed);
  net_.start("d1", false, 400'000);
  net_.run_for(3s);
  for (const char* observer : {"d0", "d4", "d7"}) {
    EXPECT_EQ(net_.state_at(observer, "d1"), member_state::alive);
  }
}

// A reader of the platform tells all that it answers, without a note.
TEST_F(eight_daemons, pass_word_on_to_one_of_each_other_data_centre) {
  std::size_t sent = 0;
  const outputs wanted = net_.node("d0").members->broadcast_status("d0", true);
  std::set<std::string> centres;
  for (const envelope& each : wanted.messages) {
    EXPECT_EQ(each.message.kind, message_kind::notes);
    EXPECT_TRUE(each.message.notes.empty());
    EXPECT_FALSE(each.message.root.empty());
    centres.insert(each.message.root);
    ++sent;
  }
  // Itself for its own data centre, and one root for each of the two others.
  EXPECT_EQ(centres.size(), 3U);
  EXPECT_LE(sent, 8U);
}

TEST_F(eight_daemons, give_a_restarted_one_the_note_in_force) {
  net_.read_note("d2", 5);
  net_.run_for(1s);
  net_.start("d6", false, 2);
  net_.run_for(200ms);
  EXPECT_EQ(net_.node("d6").held.version, 5U);
  EXPECT_TRUE(net_.node("d6").members->joined());
}

TEST_F(eight_daemons, heal_a_partition_to_the_newest_note) {
  const auto side = [](const std::string& id) { return id < "d3"; };
  net_.set_link([&side](const std::string& from, const std::string& to) {
    return side(from) == side(to);
  });
  net_.read_note("d0", 5);
  net_.read_note("d7", 6);
  net_.run_for(30s);
  EXPECT_EQ(net_.count_with(5), 3U);
  EXPECT_EQ(net_.count_with(6), 5U);
  net_.set_link(nullptr);
  net_.run_for(30s);
  EXPECT_EQ(net_.count_with(6), 8U);
  EXPECT_EQ(net_.state_at("d0", "d7"), member_state::alive);
}

TEST_F(eight_daemons, report_two_contents_under_one_version) {
  net_.read_note("d2", 5);
  net_.run_for(1s);
  message odd;
  odd.kind = message_kind::ping;
  odd.from = "d4";
  odd.target = "d0";
  odd.version = 5;
  odd.digest = 1234;
  net_.take("d0", net_.node("d0").members->receive(net_.now(), odd));
  EXPECT_EQ(net_.conflicts(), 1U);
}

TEST_F(eight_daemons, ignore_a_ping_that_is_meant_for_another) {
  message odd;
  odd.kind = message_kind::ping;
  odd.from = "d4";
  odd.target = "d1";
  const auto answer = net_.node("d0").members->receive(net_.now(), odd);
  EXPECT_TRUE(answer.messages.empty());
}

TEST(group, refutes_what_is_said_of_itself) {
  network net(3, 3, 1ms);
  net.start_all();
  message lie;
  lie.kind = message_kind::ping;
  lie.from = "d1";
  lie.target = "d0";
  lie.updates = {*net.node("d1").members->find("d0")};
  lie.updates[0].state = member_state::failed;
  net.take("d0", net.node("d0").members->receive(net.now(), lie));
  EXPECT_GT(net.node("d0").members->find("d0")->incarnation, 1U);
  net.run_for(5s);
  EXPECT_EQ(net.state_at("d2", "d0"), member_state::alive);
}

TEST(group, ranks_duties_alike_everywhere) {
  network net(9, 3, 1ms);
  net.start_all();
  const auto expected = net.node("d0").members->rendezvous_order("c1", "watch");
  ASSERT_EQ(expected.size(), 3U);
  EXPECT_EQ(net.node("d8").members->rendezvous_order("c1", "watch"), expected);
}

// The naive model is the highest version that any daemon has read. Whatever
// is read where, whoever restarts, pauses or is cut off: no daemon that runs
// on ever falls, and when all is whole again everyone has the naive one.
RC_GTEST_PROP(group, never_reverts_and_converges, ()) {
  network net(6, 2, 4ms);
  net.start_all();
  std::map<std::string, notes::note_version> seen;
  notes::note_version naive = 0;
  std::uint64_t incarnation = 1;
  std::set<std::string> cut;
  net.set_link([&cut](const std::string& from, const std::string& to) {
    return cut.contains(from) == cut.contains(to);
  });
  const auto events = *rc::gen::container<std::vector<std::pair<int, int>>>(
      12, rc::gen::pair(rc::gen::inRange(0, 4), rc::gen::inRange(0, 6)));
  for (const auto& [kind, who] : events) {
    const std::string id = "d" + std::to_string(who);
    if (kind == 0) {
      net.read_note(id, ++naive);
    } else if (kind == 1) {
      // A restart: it comes back empty, and others must still hold its note.
      if (net.count_with(naive) > 1 && cut.empty()) {
        net.start(id, false, ++incarnation);
        seen[id] = 0;
      }
    } else if (kind == 2) {
      if (!cut.insert(id).second) cut.erase(id);
    } else {
      net.run_for(2s);
    }
    net.run_for(100ms);
    for (int i = 0; i < 6; ++i) {
      const std::string each = "d" + std::to_string(i);
      const auto version = net.node(each).held.version;
      RC_ASSERT(version >= seen[each]);
      seen[each] = version;
    }
  }
  cut.clear();
  net.run_for(40s, 50ms);
  RC_ASSERT(net.count_with(naive) == 6U);
}

}  // namespace
}  // namespace medlarloft::membership
