#include "medlarloft/peers.hpp"

#include <gtest/gtest.h>

#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <optional>
#include <thread>

namespace medlarloft::peers {
namespace {

using namespace std::chrono_literals;

clock_callbacks zero_clock() {
  return {.tick = [] { return timeline::hybrid_timestamp{}; },
          .merge = [](timeline::hybrid_timestamp) {}};
}

subquery sample_subquery() {
  return {.request_id = "r1",
          .service = "lease-desk",
          .priority = notes::service_class::critical,
          .body = "mast 7",
          .remaining = 100ms,
          .tasks = {{.attempt = 42,
                     .leaf = "l1",
                     .shard = "s1",
                     .range = {0, 10},
                     .snapshot = 7}}};
}

subquery_answer answer_for(const subquery& work) {
  subquery_answer answer{.subquery_id = 9};
  for (const subquery_task& task : work.tasks) {
    answer.results.push_back(
        {.attempt = task.attempt,
         .answer = {task.snapshot, task.range, {{"row", 3, 0.5, "x"}}}});
  }
  return answer;
}

TEST(traffic, carries_a_subquery_and_its_answer) {
  event_loop loop;
  std::optional<peer_result<subquery_answer>> received;
  std::optional<traffic_server> server;
  std::optional<traffic_client> client;
  loop.run(
      [&] {
        server.emplace(
            std::vector<event_loop*>{&loop}, endpoint{"127.0.0.1", 17361},
            [](std::size_t) {
              return traffic_hooks{.run = [](const subquery& work, auto reply) {
                reply(answer_for(work));
              }};
            },
            zero_clock());
        ASSERT_TRUE(server->start().has_value());
        client.emplace(loop,
                       traffic_client::options{.to = {"127.0.0.1", 17361}},
                       zero_clock());
        client->run(sample_subquery(), 1s, [&](auto answer) {
          received = std::move(answer);
          loop.stop();
        });
      },
      [&] {
        client.reset();
        server->close_connections(0);
        server.reset();
      });
  ASSERT_TRUE(received && received->has_value());
  ASSERT_EQ(received->value().results.size(), 1U);
  EXPECT_EQ(received->value().results[0].attempt, 42U);
  EXPECT_EQ(received->value().results[0].answer.rows[0].id, "row");
}

TEST(traffic, reports_a_peer_that_never_answers_as_lost) {
  event_loop loop;
  std::optional<peer_error> error;
  std::vector<std::function<void(subquery_answer)>> replies;
  std::optional<traffic_server> server;
  std::optional<traffic_client> client;
  loop.run(
      [&] {
        server.emplace(
            std::vector<event_loop*>{&loop}, endpoint{"127.0.0.1", 17362},
            [&replies](std::size_t) {
              return traffic_hooks{
                  .run = [&replies](const subquery&, auto reply) {
                    replies.push_back(std::move(reply));
                  }};
            },
            zero_clock());
        ASSERT_TRUE(server->start().has_value());
        client.emplace(loop,
                       traffic_client::options{.to = {"127.0.0.1", 17362}},
                       zero_clock());
        client->run(sample_subquery(), 50ms, [&](auto answer) {
          error = answer.error();
          loop.stop();
        });
      },
      [&] {
        client.reset();
        server->close_connections(0);
        server.reset();
      });
  ASSERT_TRUE(error);
  EXPECT_EQ(error->code, peer_errc::lost);
}

TEST(traffic, reports_an_unreachable_peer_as_not_connected) {
  event_loop loop;
  std::optional<peer_error> error;
  std::optional<traffic_client> client;
  loop.run(
      [&] {
        client.emplace(loop,
                       traffic_client::options{.to = {"127.0.0.1", 17369}},
                       zero_clock());
        client->run(sample_subquery(), 1s, [&](auto answer) {
          error = answer.error();
          loop.stop();
        });
      },
      [&] { client.reset(); });
  ASSERT_TRUE(error);
  EXPECT_EQ(error->code, peer_errc::not_connected);
}

TEST(control, round_trips_a_message) {
  membership::message sent;
  sent.kind = membership::message_kind::notes;
  sent.from = "d1";
  sent.version = 7;
  sent.digest = 99;
  sent.updates = {
      {"d2", "a", {"127.0.0.1", 5}, 3, membership::member_state::leaving}};
  sent.notes = {{7, 6, "{}"}};
  sent.store_failing = true;
  sent.server_reports = {
      {.leaf = "l", .warm_start_id = "s", .age = 5ms, .leaving = true}};
  const auto read = decode(encode(sent));
  ASSERT_TRUE(read.has_value());
  EXPECT_EQ(read.value().updates, sent.updates);
  EXPECT_EQ(read.value().notes[0].text, "{}");
  EXPECT_EQ(read.value().server_reports[0].leaving, true);
  EXPECT_TRUE(read.value().store_failing);
}

// As a Text field, the text of a note was cut at its first zero byte, and no
// daemon could decode the changes in it.
TEST(control, carries_notes_with_any_bytes) {
  using namespace std::string_literals;
  membership::message sent;
  sent.kind = membership::message_kind::notes;
  sent.notes = {{7, 6, "a\0b\0"s}};
  const auto read = decode(encode(sent));
  ASSERT_TRUE(read.has_value());
  EXPECT_EQ(read.value().notes[0].text, "a\0b\0"s);
}

// An older daemon must refuse a message about quotas: read as one of the
// membership protocol, it would count as a sign of life.
TEST(control, carries_quota_messages_that_older_daemons_refuse) {
  const quota::quota_message message{
      .from = "d1",
      .is_answer = true,
      .sent = {.process = 7, .time = 8ns},
      .echo = {.process = 9, .time = 10ns},
      .creation = {.age = 400ms, .amount = 0.25},
      .accounts = {{.account = "a",
                    .needed = 3,
                    .ahead = 4,
                    .granted = {{.age = 1s, .amount = 2.5}},
                    .rate = 12.5,
                    .retry_after = 70ms}}};
  const std::string bytes = encode(message);
  EXPECT_FALSE(decode(bytes));
  const auto decoded = decode_any(bytes);
  ASSERT_TRUE(decoded);
  const auto* read = std::get_if<quota::quota_message>(&decoded.value());
  ASSERT_NE(read, nullptr);
  EXPECT_EQ(*read, message);
}

TEST(control, refuses_malformed_bytes) {
  EXPECT_FALSE(decode("nonsense, and not a message at all").has_value());
  membership::message malformed;
  malformed.kind = static_cast<membership::message_kind>(200);
  EXPECT_FALSE(decode(encode(malformed)).has_value());
}

}  // namespace
}  // namespace medlarloft::peers
