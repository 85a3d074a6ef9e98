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

  simulated_network net_{8, 3, 4ms};
};

TEST_F(eight_daemons, suspect_nobody_without_failures) {
  net_.run_for(60s);
  EXPECT_TRUE(net_.events().empty());
}

TEST_F(eight_daemons, detect_a_failed_daemon) {
  net_.daemon("d3").running = false;
  net_.run_for(25s);
  for (const char* observer : {"d0", "d4", "d7"}) {
    EXPECT_EQ(net_.state_at(observer, "d3"), member_state::failed);
  }
}

TEST_F(eight_daemons, distribute_a_note_to_all) {
  net_.read_note("d2", 5);
  net_.run_for(100ms);
  EXPECT_EQ(net_.count_with(5), 8U);
}

TEST_F(eight_daemons, do_not_suspect_others_after_a_pause) {
  net_.daemon("d5").paused = true;
  net_.run_for(1500ms);
  net_.daemon("d5").paused = false;
  net_.clear_events();
  net_.apply_outputs("d5",
                     net_.daemon("d5").members->reset_after_pause(net_.now()));
  net_.run_for(20s);
  for (const auto& event : net_.events()) {
    EXPECT_EQ(event.id, "d5") << name_of(event.state);
  }
  EXPECT_EQ(net_.state_at("d0", "d5"), member_state::alive);
}

TEST_F(eight_daemons, see_a_daemon_leave_and_rejoin) {
  net_.apply_outputs("d1", net_.daemon("d1").members->leave(
                               net_.now(), member_state::leaving));
  net_.run_for(1s);
  EXPECT_EQ(net_.state_at("d7", "d1"), member_state::leaving);
  net_.apply_outputs(
      "d1", net_.daemon("d1").members->leave(net_.now(), member_state::left));
  net_.run_for(1s);
  net_.daemon("d1").running = false;
  net_.run_for(5s);
  EXPECT_EQ(net_.state_at("d7", "d1"), member_state::left);
  net_.start("d1", false, 2);
  net_.run_for(5s);
  EXPECT_EQ(net_.state_at("d7", "d1"), member_state::alive);
}

// The incarnation of a start is taken from the wall clock, which may be set
// back between two starts.
TEST_F(eight_daemons, accept_a_restart_after_the_clock_went_back) {
  net_.daemon("d1").running = false;
  net_.start("d1", false, 1'000'000);
  net_.run_for(2s);
  net_.daemon("d1").running = false;
  net_.run_for(25s);
  EXPECT_EQ(net_.state_at("d7", "d1"), member_state::failed);
  net_.start("d1", false, 400'000);
  net_.run_for(3s);
  for (const char* observer : {"d0", "d4", "d7"}) {
    EXPECT_EQ(net_.state_at(observer, "d1"), member_state::alive);
  }
}

// A daemon that reads the store announces to all that the store answers, with
// messages that carry no note.
TEST_F(eight_daemons, send_status_to_one_daemon_of_each_other_data_centre) {
  std::size_t sent = 0;
  const outputs actions =
      net_.daemon("d0").members->broadcast_status("d0", true);
  std::set<std::string> roots;
  for (const envelope& entry : actions.messages) {
    EXPECT_EQ(entry.message.kind, message_kind::notes);
    EXPECT_TRUE(entry.message.notes.empty());
    EXPECT_FALSE(entry.message.root.empty());
    roots.insert(entry.message.root);
    ++sent;
  }
  // d0 in its own data centre, and one root in each of the two others.
  EXPECT_EQ(roots.size(), 3U);
  EXPECT_LE(sent, 8U);
}

TEST_F(eight_daemons, send_the_note_in_force_to_a_restarted_daemon) {
  net_.read_note("d2", 5);
  net_.run_for(1s);
  net_.start("d6", false, 2);
  net_.run_for(200ms);
  EXPECT_EQ(net_.daemon("d6").note.version, 5U);
  EXPECT_TRUE(net_.daemon("d6").members->joined());
}

TEST_F(eight_daemons, converge_on_the_newest_note_after_a_partition) {
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
  message ping;
  ping.kind = message_kind::ping;
  ping.from = "d4";
  ping.target = "d0";
  ping.version = 5;
  ping.digest = 1234;
  net_.apply_outputs("d0",
                     net_.daemon("d0").members->receive(net_.now(), ping));
  EXPECT_EQ(net_.conflicts(), 1U);
}

TEST_F(eight_daemons, ignore_a_ping_for_another_daemon) {
  message ping;
  ping.kind = message_kind::ping;
  ping.from = "d4";
  ping.target = "d1";
  const auto answer = net_.daemon("d0").members->receive(net_.now(), ping);
  EXPECT_TRUE(answer.messages.empty());
}

TEST(group, refutes_an_update_that_it_failed) {
  simulated_network net(3, 3, 1ms);
  net.start_all();
  message ping;
  ping.kind = message_kind::ping;
  ping.from = "d1";
  ping.target = "d0";
  ping.updates = {*net.daemon("d1").members->find("d0")};
  ping.updates[0].state = member_state::failed;
  net.apply_outputs("d0", net.daemon("d0").members->receive(net.now(), ping));
  EXPECT_GT(net.daemon("d0").members->find("d0")->incarnation, 1U);
  net.run_for(5s);
  EXPECT_EQ(net.state_at("d2", "d0"), member_state::alive);
}

TEST(group, computes_the_same_rendezvous_order_everywhere) {
  simulated_network net(9, 3, 1ms);
  net.start_all();
  const auto expected =
      net.daemon("d0").members->rendezvous_order("c1", "watch");
  ASSERT_EQ(expected.size(), 3U);
  EXPECT_EQ(net.daemon("d8").members->rendezvous_order("c1", "watch"),
            expected);
}

// By probes alone, a daemon hears of the load of each of 110 others every 27 s.
TEST_F(eight_daemons, send_their_status_to_all_of_their_data_centre) {
  std::set<std::string> receivers;
  for (const envelope& sent : net_.daemon("d0").members->send_status().messages)
    receivers.insert(sent.to_id);
  EXPECT_EQ(receivers, (std::set<std::string>{"d1", "d2"}));
}

class first_notes : public testing::Test {
 protected:
  static member_record record(const std::string& id) {
    return {.id = id,
            .data_centre = "c0",
            .control = {"10.0.0.1", static_cast<std::uint16_t>(id[0])},
            .incarnation = 1,
            .state = member_state::alive};
  }
  // Notes of more than 8 bytes are large here.
  static group make_group(const std::string& id) {
    return {{.self = record(id),
             .seeds = {record("s").control},
             .max_pushed_bytes = 8,
             .max_first_transfers = 1,
             .first_join_interval = 100ms},
            [](note_version) -> std::vector<notes::release_note> {
              return {{.version = 5, .base = 0, .text = "a large note"}};
            }};
  }
  static message from(const std::string& id, message_kind kind,
                      note_version version = 0) {
    message made;
    made.kind = kind;
    made.from = id;
    made.version = version;
    made.updates = {record(id)};
    return made;
  }

  time_point now_{1h};
};

// When all daemons start at once, each seed sends every one of them the whole
// listing in its join response, over one slow link: none arrives in time.
TEST_F(first_notes, are_not_part_of_a_join_response_if_large) {
  group seed = make_group("s");
  seed.set_note(now_, 5, 5, "");
  const outputs joined = seed.receive(now_, from("a", message_kind::join));
  ASSERT_EQ(joined.messages.size(), 1U);
  EXPECT_TRUE(joined.messages[0].message.notes.empty());
  EXPECT_EQ(joined.messages[0].message.version, 5U);
}

// A daemon that was paused serves nobody until its copy is confirmed, so that
// one more round trip, and a wait for the tree, delays it.
TEST_F(first_notes, are_part_of_the_response_to_a_daemon_that_joins_again) {
  group seed = make_group("s");
  seed.set_note(now_, 5, 5, "");
  seed.receive(now_, from("a", message_kind::join));
  const outputs joined = seed.receive(now_, from("b", message_kind::join, 4));
  EXPECT_FALSE(joined.messages.at(0).message.notes.empty());
}

// Transfers to many new daemons at once share the link and all time out.
TEST_F(first_notes, are_sent_to_few_and_the_others_referred_to_those) {
  group seed = make_group("s");
  seed.set_note(now_, 5, 5, "");
  const auto ask = [&](const std::string& id) {
    return seed.receive(now_, from(id, message_kind::notes_request))
        .messages.at(0)
        .message;
  };
  EXPECT_FALSE(ask("a").notes.empty());
  EXPECT_TRUE(ask("b").notes.empty());
  seed.on_notes_delivered("a");
  EXPECT_FALSE(ask("b").notes.empty());
  const message referral = ask("c");
  EXPECT_TRUE(referral.notes.empty());
  EXPECT_EQ(referral.target, "a");
  // A receiver that is gone blocks the others only for a while.
  now_ += 2s;
  EXPECT_FALSE(ask("c").notes.empty());
}

// A new daemon that was turned away waits for the next random request, 0.5 s
// or more, though another daemon could serve it.
TEST_F(first_notes, are_requested_from_the_member_named_by_a_busy_one) {
  group fresh = make_group("a");
  fresh.start(now_);
  const auto asked_by = [](const outputs& out) {
    return out.messages.empty() ? "" : out.messages.back().to_id;
  };
  EXPECT_EQ(
      asked_by(fresh.receive(now_, from("s", message_kind::join_response, 5))),
      "s");
  message referral = from("s", message_kind::notes, 5);
  referral.target = "b";
  referral.updates = {record("b")};
  EXPECT_EQ(asked_by(fresh.receive(now_, referral)), "b");
  // Both are busy: it asks again after a pause, not in a loop.
  EXPECT_EQ(asked_by(fresh.receive(now_, from("b", message_kind::notes, 5))),
            "");
  EXPECT_EQ(fresh.next_tick(), now_ + 50ms);
  now_ += 50ms;
  EXPECT_NE(asked_by(fresh.tick(now_)), "");
}

// A daemon that starts before the seeds waits a whole probe period for its
// second join message.
TEST_F(first_notes, joins_are_repeated_soon_at_first) {
  group fresh = make_group("a");
  fresh.start(now_);
  int joins = 0;
  for (const time_point end = now_ + 1s; now_ < end; now_ += 10ms) {
    const outputs out = fresh.tick(now_);
    joins += static_cast<int>(
        std::ranges::count_if(out.messages, [](const envelope& sent) {
          return sent.message.kind == message_kind::join;
        }));
  }
  EXPECT_EQ(joins, 3);
}

// Under arbitrary reads, restarts and partitions, the version of a running
// daemon never decreases. After the partitions heal, every daemon has the
// highest version that any daemon has read.
RC_GTEST_PROP(group, never_reverts_and_converges, ()) {
  simulated_network net(6, 2, 4ms);
  net.start_all();
  std::map<std::string, notes::note_version> seen;
  notes::note_version highest = 0;
  std::uint64_t incarnation = 1;
  std::set<std::string> cut;
  net.set_link([&cut](const std::string& from, const std::string& to) {
    return cut.contains(from) == cut.contains(to);
  });
  const auto events = *rc::gen::container<std::vector<std::pair<int, int>>>(
      12, rc::gen::pair(rc::gen::inRange(0, 4), rc::gen::inRange(0, 6)));
  for (const auto& [kind, number] : events) {
    const std::string id = "d" + std::to_string(number);
    if (kind == 0) {
      net.read_note(id, ++highest);
    } else if (kind == 1) {
      // A restarted daemon holds no note; another must still hold the newest.
      if (net.count_with(highest) > 1 && cut.empty()) {
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
      const std::string observed = "d" + std::to_string(i);
      const auto version = net.daemon(observed).note.version;
      RC_ASSERT(version >= seen[observed]);
      seen[observed] = version;
    }
  }
  cut.clear();
  net.run_for(40s, 50ms);
  RC_ASSERT(net.count_with(highest) == 6U);
}

}  // namespace
}  // namespace medlarloft::membership
