#include <gtest/gtest.h>

#include "harness.hpp"

namespace medlarloft::http {
namespace {

using testing::run_until;
using testing::scripted_leaf;

class connection_test : public ::testing::Test {
 protected:
  /// Opens a connection to the leaf.
  std::shared_ptr<connection> open() {
    auto made = connection::make(loop, timers, {.to = leaf.address()});
    std::optional<bool> ok;
    made->open([&ok](bool opened, duration) { ok = opened; });
    run_until(loop, [&ok] { return ok.has_value(); });
    EXPECT_TRUE(ok.value_or(false));
    return made;
  }

  /// Sends one request and waits for its end.
  exchange_result exchange(connection& over, const std::string& id = "1") {
    std::optional<exchange_result> ended;
    over.send_request(
        serialize_request({.method = "GET", .target = "/x"}), "GET",
        [id](const message& answer) {
          return answer.find("Id").value_or(id) == id;
        },
        [&ended](exchange_result got) { ended = std::move(got); });
    run_until(loop, [&ended] { return ended.has_value(); });
    return ended ? *ended : exchange_result(exchange_errc::timed_out);
  }

  io_context loop;
  loop::timer_queue timers{loop};
  scripted_leaf leaf{loop};
};

TEST_F(connection_test, carries_one_request_after_the_other) {
  leaf.answers = {
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=7\r\n\r\nhi",
      "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nyou"};
  const auto over = open();
  const auto first = exchange(*over);
  ASSERT_TRUE(first);
  EXPECT_EQ(first.value().response.body, "hi");
  EXPECT_TRUE(first.value().reusable);
  EXPECT_EQ(first.value().keep_alive_timeout, std::chrono::seconds(7));
  EXPECT_TRUE(over->usable());
  EXPECT_EQ(exchange(*over).value().response.body, "you");
  EXPECT_EQ(leaf.connections, 1);
}

TEST_F(connection_test, reads_chunks_and_headers_in_pieces) {
  leaf.answers = {
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n"
      "3\r\ncde\r\n0\r\n\r\n"};
  const auto over = open();
  EXPECT_EQ(exchange(*over).value().response.body, "abcde");
}

TEST_F(connection_test, an_answer_that_ends_early_is_not_complete) {
  leaf.answers = {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort"};
  leaf.close_after = true;
  const auto over = open();
  EXPECT_EQ(exchange(*over).error(), exchange_errc::connection_lost);
}

TEST_F(connection_test, an_answer_without_a_length_ends_with_a_close) {
  leaf.answers = {"HTTP/1.1 200 OK\r\n\r\nwhole"};
  leaf.close_after = true;
  const auto over = open();
  const auto got = exchange(*over);
  ASSERT_TRUE(got);
  EXPECT_EQ(got.value().response.body, "whole");
  EXPECT_FALSE(got.value().reusable);
}

TEST_F(connection_test, an_answer_without_a_length_that_is_reset_is_lost) {
  leaf.answers = {"HTTP/1.1 200 OK\r\n\r\nhalf"};
  leaf.reset_after = true;
  const auto over = open();
  EXPECT_EQ(exchange(*over).error(), exchange_errc::connection_lost);
}

TEST_F(connection_test, bytes_after_an_answer_belong_to_no_request) {
  leaf.answers = {
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhiHTTP/1.1 200 OK\r\n"
      "Content-Length: 3\r\n\r\nbad"};
  const auto over = open();
  const auto got = exchange(*over);
  ASSERT_TRUE(got);
  EXPECT_EQ(got.value().response.body, "hi");
  EXPECT_FALSE(got.value().reusable);
  EXPECT_FALSE(over->usable());
}

TEST_F(connection_test, passes_over_a_late_answer_to_another_request) {
  leaf.answers = {
      "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 3\r\n\r\nold"
      "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\nmine"};
  const auto over = open();
  const auto got = exchange(*over, "1");
  ASSERT_TRUE(got);
  EXPECT_EQ(got.value().response.body, "mine");
  EXPECT_FALSE(got.value().reusable);
}

TEST_F(connection_test, bytes_that_are_no_answer_are_malformed) {
  leaf.answers = {"nonsense\r\n\r\n"};
  const auto over = open();
  EXPECT_EQ(exchange(*over).error(), exchange_errc::malformed);
  EXPECT_FALSE(over->usable());
}

TEST_F(connection_test, an_interim_answer_is_not_the_answer) {
  leaf.answers = {
      "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n"
      "Content-Length: 2\r\n\r\nok"};
  const auto over = open();
  EXPECT_EQ(exchange(*over).value().response.body, "ok");
}

TEST_F(connection_test, notices_a_close_while_idle) {
  leaf.answers = {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"};
  leaf.close_after = true;
  const auto over = open();
  EXPECT_TRUE(exchange(*over));
  bool lost = false;
  over->on_idle_close([&lost] { lost = true; });
  run_until(loop, [&lost] { return lost; });
  EXPECT_FALSE(over->usable());
}

TEST_F(connection_test, says_that_nobody_listens) {
  auto over = connection::make(loop, timers, {.to = {"127.0.0.1", 1}});
  std::optional<bool> ok;
  over->open([&ok](bool opened, duration) { ok = opened; });
  run_until(loop, [&ok] { return ok.has_value(); });
  EXPECT_EQ(ok, false);
}

TEST(message, headers_of_one_connection_are_not_passed_on) {
  const message received{.headers = {{"Connection", "close, X-Hop"},
                                     {"X-Hop", "1"},
                                     {"Keep-Alive", "timeout=3"},
                                     {"X-End", "2"}}};
  EXPECT_EQ(end_to_end_headers(received),
            (std::vector<header>{{"X-End", "2"}}));
}

}  // namespace
}  // namespace medlarloft::http
