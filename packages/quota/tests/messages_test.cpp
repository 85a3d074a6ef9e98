#include <gtest/gtest.h>

#include <cmath>

#include "medlarloft/quota.hpp"

namespace medlarloft::quota {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const time_point start = time_point{} + std::chrono::hours(1);
/// The tokens of this limit live for 4 s.
const account_limits limits{{"a", {.rate_per_second = 10, .burst = 40}}};

coordinator make_coordinator() {
  coordinator made({.id = "c", .process = 7});
  made.set_limits(limits);
  return made;
}

process_time at(std::uint64_t process, time_point when) {
  return {process, when.time_since_epoch()};
}

/// A request that gives the rights of one second to all of the rate.
quota_message gift(time_point now, time_point echoed) {
  return {.from = "d",
          .sent = at(3, now),
          .echo = at(7, echoed),
          .creation = {.age = seconds(1), .amount = 1}};
}

long granted(coordinator& from, time_point now) {
  quota_message request{.from = "e", .sent = at(4, now)};
  request.accounts.push_back({.account = "a", .needed = 1000});
  const quota_message answer = from.receive(now, request);
  double sum = 0;
  for (const auto& parcel : answer.accounts[0].granted)
    sum += parcel.amount;
  return std::lround(sum);
}

client make_client() {
  client made({.id = "d", .process = 3, .started_at = start});
  made.set_limits(limits);
  made.set_coordinators({"c"});
  return made;
}

/// Sends a request of the client and returns an answer that grants `amount`
/// tokens.
quota_message answer_to(client& from, time_point now, double amount,
                        double rate = 10) {
  const std::vector<envelope> sent = from.tick(now);
  quota_message answer{.from = "c", .is_answer = true, .sent = at(7, now)};
  for (const envelope& each : sent)
    if (each.to == "c") answer.echo = each.message.sent;
  answer.accounts.push_back(
      {.account = "a", .granted = {{.amount = amount}}, .rate = rate});
  return answer;
}

// The network may deliver a datagram twice; both copies would add tokens.
TEST(quota_messages, a_copied_request_gives_its_rights_once) {
  coordinator receiver = make_coordinator();
  const quota_message message = gift(start, start);
  receiver.receive(start, message);
  receiver.receive(start, message);
  EXPECT_EQ(granted(receiver, start), 10);
}

// Requests wait in the socket of a frozen coordinator; their tokens expire
// meanwhile.
TEST(quota_messages, a_late_request_brings_old_tokens) {
  coordinator receiver = make_coordinator();
  receiver.receive(start + milliseconds(1900), gift(start, start));
  coordinator same = receiver;
  EXPECT_EQ(granted(receiver, start + milliseconds(2800)), 10);
  EXPECT_EQ(granted(same, start + milliseconds(3100)), 0);
  receiver.receive(start + milliseconds(4100),
                   gift(start + seconds(1), start + seconds(2)));
  EXPECT_EQ(granted(receiver, start + milliseconds(4100)), 0);
}

// The rights of a request are of no use to a coordinator that restarted: it
// cannot tell how old they are.
TEST(quota_messages, rights_with_the_echo_of_a_former_process_are_ignored) {
  coordinator receiver = make_coordinator();
  quota_message message = gift(start, start);
  message.echo.process = 6;
  receiver.receive(start, message);
  EXPECT_EQ(granted(receiver, start), 0);
}

TEST(quota_messages, a_copied_answer_brings_its_tokens_once) {
  client receiver = make_client();
  const quota_message answer = answer_to(receiver, start, 5);
  receiver.receive(start, answer);
  receiver.receive(start, answer);
  EXPECT_DOUBLE_EQ(receiver.tokens_held(start), 5);
}

// Tokens may have been taken as early as the request was sent.
TEST(quota_messages, a_late_answer_brings_old_tokens) {
  client receiver = make_client();
  const quota_message answer = answer_to(receiver, start, 5);
  receiver.receive(start + milliseconds(400), answer);
  EXPECT_DOUBLE_EQ(receiver.tokens_held(start + milliseconds(3900)), 5);
  EXPECT_DOUBLE_EQ(receiver.tokens_held(start + milliseconds(4100)), 0);
}

// The coordinator of a cut-off part, or a frozen one, may answer any time
// later.
TEST(quota_messages, an_answer_after_half_a_second_is_ignored) {
  client receiver = make_client();
  const quota_message answer = answer_to(receiver, start, 5);
  receiver.receive(start + milliseconds(600), answer);
  EXPECT_DOUBLE_EQ(receiver.tokens_held(start + milliseconds(600)), 0);
}

// The coordinator may still have the former, higher limit.
TEST(quota_messages, tokens_of_a_higher_rate_count_less) {
  client receiver = make_client();
  receiver.receive(start, answer_to(receiver, start, 8, 40));
  EXPECT_DOUBLE_EQ(receiver.tokens_held(start), 2);
}

// A daemon that was frozen for a minute must not create the tokens of that
// minute: the others have divided its fraction among themselves.
TEST(quota_messages, a_daemon_that_was_frozen_gives_the_rights_of_a_second) {
  client giver = make_client();
  giver.set_fraction(start, 0.5);
  giver.receive(start, answer_to(giver, start, 0));
  const time_point later = start + std::chrono::minutes(1);
  giver.receive(later, answer_to(giver, later, 0));
  const auto sent = giver.tick(later + milliseconds(400));
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_EQ(sent[0].to, "c");
  EXPECT_DOUBLE_EQ(sent[0].message.creation.amount, 0.5);
}

// A request that was refused later, before any leaf got it, costs nothing.
TEST(quota_messages, a_token_that_is_given_back_expires_as_before) {
  client owner = make_client();
  owner.receive(start, answer_to(owner, start, 1));
  const decision taken = owner.admit(start, "a", {});
  EXPECT_EQ(taken.outcome, admission::admitted);
  EXPECT_DOUBLE_EQ(owner.tokens_held(start), 0);
  owner.give_back("a", taken.created_at);
  EXPECT_DOUBLE_EQ(owner.tokens_held(start + milliseconds(3900)), 1);
  EXPECT_DOUBLE_EQ(owner.tokens_held(start + milliseconds(4100)), 0);
}

// After a start of all daemons there are no tokens yet. All requests of the
// first second were refused, also those of accounts far below their quota.
TEST(quota_messages, a_daemon_that_starts_admits_one_request_of_each_account) {
  client tolerant({.id = "d",
                   .process = 3,
                   .allowed = {.excess = 0.25, .slack = 20},
                   .started_at = start});
  tolerant.set_limits(limits);
  const auto admit = [](client& at_daemon, time_point now) {
    return at_daemon.admit(now, "a", duration::zero()).outcome;
  };
  EXPECT_EQ(admit(tolerant, start + milliseconds(100)), admission::admitted);
  EXPECT_EQ(admit(tolerant, start + milliseconds(200)), admission::wait);
  client strict = make_client();
  EXPECT_EQ(admit(strict, start + milliseconds(100)), admission::wait);
  client running = make_client();
  EXPECT_EQ(admit(running, start + seconds(2)), admission::wait);
}

// The tokens of the time in which a daemon does not know the others yet were
// lost, so that small accounts were refused for seconds.
TEST(quota_messages, the_tokens_of_the_first_second_are_created_at_its_end) {
  client alone({.id = "d", .process = 3, .started_at = start});
  alone.set_limits(limits);
  alone.set_fraction(start, 1);
  alone.set_coordinators({"c"});
  // The last message goes to the coordinator, which has not answered yet.
  const quota_message first =
      alone.tick(start + milliseconds(900)).back().message;
  EXPECT_EQ(first.creation.amount, 0);
  alone.receive(start + milliseconds(910), {.from = "c",
                                            .is_answer = true,
                                            .sent = at(7, start),
                                            .echo = first.sent});
  const auto later = alone.tick(start + milliseconds(1000));
  ASSERT_FALSE(later.empty());
  EXPECT_NEAR(later[0].message.creation.amount, 1, 0.01);
}

}  // namespace
}  // namespace medlarloft::quota
