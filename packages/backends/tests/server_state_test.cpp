#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

#include "medlarloft/backends.hpp"

namespace medlarloft::backends {
namespace {

using namespace std::chrono_literals;

const time_point start_time{100s};

answer_facts good(const std::string& start_id, duration latency = 5ms) {
  return {.how = ending::answered, .latency = latency, .start_id = start_id};
}

class warm_server : public testing::Test {
 protected:
  warm_server() {
    state_.set_share({.slots = 4, .connections = 10, .cold = 1});
    warm_up("s0");
  }

  void warm_up(const std::string& start_id) {
    for (int i = 0; i < 11; ++i) {
      state_.started(now_);
      state_.finished(now_, good(start_id));
    }
  }

  server_state state_{{.warm_after = 10}};
  time_point now_ = start_time;
};

TEST(server_state, is_cold_until_warmth_is_shown) {
  server_state state({.warm_after = 10});
  state.set_share({.slots = 4, .connections = 10, .cold = 1});
  EXPECT_EQ(state.limit(), 1U);
  for (int i = 0; i < 9; ++i) {
    state.started(start_time);
    state.finished(start_time, good("s0"));
  }
  EXPECT_EQ(state.warmth(), warmth::cold);
  state.started(start_time);
  state.finished(start_time, good("s0"));
  EXPECT_EQ(state.warmth(), warmth::warm);
  EXPECT_EQ(state.limit(), 4U);
}

TEST_F(warm_server, turns_cold_by_a_new_start_identity) {
  state_.started(now_);
  EXPECT_EQ(state_.finished(now_, good("s1")), cold_evidence::start_identity);
  EXPECT_EQ(state_.limit(), 1U);
}

TEST_F(warm_server, turns_cold_by_a_lost_connection) {
  EXPECT_EQ(state_.connection_lost(now_), cold_evidence::lost_connection);
  EXPECT_EQ(state_.limit(), 1U);
}

TEST_F(warm_server, turns_cold_by_its_own_word) {
  state_.started(now_);
  answer_facts facts = good("s0");
  facts.says_cold = true;
  EXPECT_EQ(state_.finished(now_, facts), cold_evidence::own_word);
}

TEST_F(warm_server, turns_cold_by_sudden_slowness_but_not_by_one_straggler) {
  state_.started(now_);
  EXPECT_FALSE(state_.finished(now_, good("s0", 100ms)).has_value());
  for (int i = 0; i < 2; ++i) {
    state_.started(now_);
    state_.finished(now_, good("s0", 200ms));
  }
  EXPECT_EQ(state_.warmth(), warmth::cold);
}

TEST_F(warm_server, does_not_trust_health_that_says_warm) {
  state_.connection_lost(now_);
  state_.heard_health(now_, "s0", false);
  EXPECT_EQ(state_.warmth(), warmth::cold);
}

TEST_F(warm_server, takes_bad_news_from_health) {
  EXPECT_EQ(state_.heard_health(now_, "s1", false),
            cold_evidence::start_identity);
  EXPECT_EQ(state_.warmth(), warmth::cold);
}

TEST_F(warm_server, believes_another_home_only_after_the_evidence) {
  state_.connection_lost(now_);
  EXPECT_FALSE(state_.take_report({"s1", now_ - 1s}));
  EXPECT_FALSE(state_.take_report({"s1", now_ + 500ms}));
  EXPECT_TRUE(state_.take_report({"s1", now_ + 2s}));
  EXPECT_EQ(state_.warmth(), warmth::warm);
}

TEST_F(warm_server, lowers_its_limit_when_the_server_sheds) {
  state_.started(now_);
  answer_facts facts = good("s0");
  facts.how = ending::shed;
  state_.finished(now_, facts);
  EXPECT_LT(state_.limit(), 4U);
  EXPECT_FALSE(state_.may_start(now_));
  EXPECT_TRUE(state_.may_start(now_ + 20ms));
}

TEST_F(warm_server, gets_nothing_while_any_source_says_it_leaves) {
  state_.set_leaving(leaving_source::drain, true);
  state_.set_leaving(leaving_source::host_list, true);
  state_.set_leaving(leaving_source::host_list, false);
  EXPECT_FALSE(state_.may_start(now_));
}

TEST_F(warm_server, stays_left_though_a_lagging_health_says_alive) {
  state_.started(now_);
  answer_facts facts = good("s0");
  facts.how = ending::refused_leaving;
  state_.finished(now_, facts);
  state_.heard_health(now_, "s0", false);
  state_.set_leaving(leaving_source::host_list, false);
  EXPECT_TRUE(state_.leaving());
  // Its next start is another server.
  state_.heard_health(now_, "s1", false);
  EXPECT_FALSE(state_.leaving());
}

// Against a naive server that counts: whatever happens, what is started on a
// server known to be cold never exceeds the cold share, and never the slots.
RC_GTEST_PROP(server_state, keeps_the_cold_share_and_the_slots, ()) {
  server_state state({.warm_after = 5});
  const share granted{.slots = 4, .connections = 9, .cold = 1};
  state.set_share(granted);
  std::uint32_t running = 0;
  int answers = 0;  // in a row since the last evidence of cold
  int start = 0;
  time_point now = start_time;
  const auto events =
      *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 12));
  for (const int event : events) {
    now += 30ms;
    if (event < 6) {
      const bool naive_cold = answers < 5;
      if (state.may_start(now)) {
        RC_ASSERT(running < granted.slots);
        if (naive_cold) RC_ASSERT(running < granted.cold);
        state.started(now);
        ++running;
      }
    } else if (event < 10 && running > 0) {
      --running;
      const bool shed = event == 9;
      answer_facts facts = good("s" + std::to_string(start));
      if (shed) facts.how = ending::shed;
      const bool fresh = state.start_id() != facts.start_id;
      state.finished(now, facts);
      if (fresh) answers = 0;
      if (!shed) ++answers;
    } else if (event == 10) {
      ++start;
      state.connection_lost(now);
      answers = 0;
    } else if (event == 11) {
      ++start;  // restarts, and nobody notices yet
    }
  }
}

TEST(connection_policy, spaces_openings_by_their_cost) {
  connection_policy policy({.connection_cost = 6ms});
  policy.set_limit(10);
  EXPECT_TRUE(policy.should_open(start_time, 0, 0, 0));
  policy.opened(start_time);
  EXPECT_FALSE(policy.should_open(start_time + 11ms, 1, 0, 0));
  EXPECT_TRUE(policy.should_open(start_time + 12ms, 1, 0, 0));
}

TEST(connection_policy, counts_silent_connections_against_the_share) {
  connection_policy policy({.connection_cost = 0ms, .lost_counts_for = 30s});
  policy.set_limit(2);
  policy.went_silent(start_time);
  EXPECT_TRUE(policy.should_open(start_time, 0, 0, 0));
  EXPECT_FALSE(policy.should_open(start_time, 1, 0, 0));
  EXPECT_TRUE(policy.should_open(start_time + 30s, 1, 0, 0));
}

RC_GTEST_PROP(wait_queue, equals_a_sorted_list, ()) {
  wait_queue queue(5);
  std::vector<waiting_request> naive;
  const auto more_urgent = [](const auto& a, const auto& b) {
    return std::pair(a.priority, a.deadline) <
           std::pair(b.priority, b.deadline);
  };
  const auto events = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 4), rc::gen::inRange(0, 100)));
  std::uint64_t id = 0;
  for (const auto& [kind, value] : events) {
    if (kind == 3) {
      const auto popped = queue.pop();
      RC_ASSERT(popped.has_value() == !naive.empty());
      if (!popped) continue;
      RC_ASSERT(popped->id == naive.front().id);
      naive.erase(naive.begin());
      continue;
    }
    const waiting_request request{
        ++id, static_cast<notes::service_class>(kind),
        start_time + std::chrono::milliseconds(value)};
    naive.push_back(request);
    std::stable_sort(naive.begin(), naive.end(), more_urgent);
    std::optional<std::uint64_t> expected;
    if (naive.size() > 5) {
      expected = naive.back().id;
      naive.pop_back();
    }
    RC_ASSERT(queue.push(request) == expected);
  }
}

}  // namespace
}  // namespace medlarloft::backends
