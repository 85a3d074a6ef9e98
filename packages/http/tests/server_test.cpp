#include <gtest/gtest.h>

#include "harness.hpp"

namespace medlarloft::http {
namespace {

using std::chrono::milliseconds;
using testing::raw_caller;
using testing::run_until;

constexpr std::uint16_t port = 18473;

class server_test : public ::testing::Test {
 protected:
  server_test()
      : served(loop, timers,
               {.listen = {"127.0.0.1", port},
                .limits = [this] { return limits; }},
               [this](std::shared_ptr<exchange> asked) {
                 requests.push_back(asked->request());
                 if (held) {
                   waiting.push_back(std::move(asked));
                 } else {
                   asked->respond({.status = 200, .body = "ok"});
                 }
               }) {
    EXPECT_TRUE(served.start());
  }

  /// Sends the text and returns everything up to the marker.
  std::string ask(raw_caller& from, const std::string& text,
                  const std::string& until) {
    from.send(text);
    run_until(loop, [&] {
      return from.received.find(until) != std::string::npos || from.ended;
    });
    return from.received;
  }

  io_context loop;
  loop::timer_queue timers{loop};
  http::limits limits{.max_header_bytes = 512,
                      .max_body_bytes = 64,
                      .request_timeout = milliseconds(100)};
  bool held = false;
  std::vector<message> requests;
  std::vector<std::shared_ptr<exchange>> waiting;
  server served;
};

TEST_F(server_test, answers_requests_that_follow_each_other_at_once) {
  raw_caller from(loop, {"127.0.0.1", port});
  from.send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
  run_until(loop, [this] { return requests.size() == 2; });
  ASSERT_EQ(requests.size(), 2U);
  EXPECT_EQ(requests[0].target, "/1");
  EXPECT_EQ(requests[1].target, "/2");
}

TEST_F(server_test, reads_bodies_by_length_and_in_chunks) {
  raw_caller from(loop, {"127.0.0.1", port});
  ask(from, "POST /1 HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc", "ok");
  ask(from,
      "POST /2 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nxy\r\n"
      "0\r\n\r\n",
      "okHTTP");
  ASSERT_EQ(requests.size(), 2U);
  EXPECT_EQ(requests[0].body, "abc");
  EXPECT_EQ(requests[1].body, "xy");
}

TEST_F(server_test, refuses_what_is_no_request) {
  raw_caller from(loop, {"127.0.0.1", port});
  EXPECT_TRUE(
      ask(from, "nonsense\r\n\r\n", "\r\n\r\n").starts_with("HTTP/1.1 400"));
}

TEST_F(server_test, refuses_two_framings_of_one_body) {
  raw_caller from(loop, {"127.0.0.1", port});
  EXPECT_TRUE(ask(from,
                  "POST / HTTP/1.1\r\nContent-Length: 3\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                  "\r\n\r\n")
                  .starts_with("HTTP/1.1 400"));
  EXPECT_TRUE(requests.empty());
}

TEST_F(server_test, refuses_a_body_over_the_limit) {
  raw_caller from(loop, {"127.0.0.1", port});
  EXPECT_TRUE(
      ask(from, "POST / HTTP/1.1\r\nContent-Length: 65\r\n\r\n", "\r\n\r\n")
          .starts_with("HTTP/1.1 413"));
}

// Pattern: many callers send long bodies at once. What all hold together is
// bounded; the request that is too much is refused before it runs.
TEST(server, refuses_what_would_hold_too_much_memory) {
  const endpoint where{"127.0.0.1", port + 1};
  const std::string posted =
      "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 50\r\n\r\n" +
      std::string(50, 'x');
  io_context loop;
  loop::timer_queue timers{loop};
  std::vector<std::shared_ptr<exchange>> waiting;
  server served(loop, timers,
                {.listen = where,
                 .max_buffered_bytes = 90,
                 .limits = [] { return limits{}; }},
                [&waiting](std::shared_ptr<exchange> asked) {
                  waiting.push_back(std::move(asked));
                });
  ASSERT_TRUE(served.start());
  raw_caller first(loop, where);
  first.send(posted);
  ASSERT_TRUE(run_until(loop, [&] { return waiting.size() == 1; }));
  raw_caller second(loop, where);
  second.send(posted);
  run_until(loop, [&] { return second.ended; });
  EXPECT_TRUE(second.received.starts_with("HTTP/1.1 503")) << second.received;
  EXPECT_NE(second.received.find("Retry-After: 1\r\n"), std::string::npos);
  EXPECT_EQ(waiting.size(), 1U);

  waiting.front()->respond({.status = 200});
  raw_caller third(loop, where);
  third.send(posted);
  EXPECT_TRUE(run_until(loop, [&] { return waiting.size() == 2; }));
}

TEST_F(server_test, refuses_a_header_over_the_limit) {
  raw_caller from(loop, {"127.0.0.1", port});
  EXPECT_TRUE(
      ask(from, "GET / HTTP/1.1\r\nA: " + std::string(600, 'a'), "\r\n\r\n")
          .starts_with("HTTP/1.1 431"));
}

TEST_F(server_test, refuses_a_request_that_does_not_end) {
  raw_caller from(loop, {"127.0.0.1", port});
  EXPECT_TRUE(ask(from, "GET / HT", "\r\n\r\n").starts_with("HTTP/1.1 408"));
}

TEST_F(server_test, tells_when_the_caller_leaves) {
  held = true;
  raw_caller from(loop, {"127.0.0.1", port});
  from.send("GET / HTTP/1.1\r\n\r\n");
  run_until(loop, [this] { return !waiting.empty(); });
  ASSERT_FALSE(waiting.empty());
  bool gone = false;
  waiting[0]->on_disconnect([&gone] { gone = true; });
  from.close();
  EXPECT_TRUE(run_until(loop, [&gone] { return gone; }));
  EXPECT_EQ(served.active_requests(), 0U);
}

TEST_F(server_test, an_answer_after_the_caller_left_is_dropped) {
  held = true;
  raw_caller from(loop, {"127.0.0.1", port});
  from.send("GET / HTTP/1.1\r\n\r\n");
  run_until(loop, [this] { return !waiting.empty(); });
  from.close();
  run_until(loop, [this] { return served.open_connections() == 0; });
  waiting[0]->respond({.status = 200});
  EXPECT_EQ(served.open_connections(), 0U);
}

TEST_F(server_test, a_draining_server_closes_after_the_answer) {
  served.drain();
  raw_caller from(loop, {"127.0.0.1", port});
  const std::string got = ask(from, "GET / HTTP/1.1\r\n\r\n", "ok");
  EXPECT_NE(got.find("Connection: close"), std::string::npos);
  EXPECT_TRUE(run_until(loop, [&from] { return from.ended; }));
}

TEST_F(server_test, asks_a_caller_that_waits_to_go_on) {
  raw_caller from(loop, {"127.0.0.1", port});
  EXPECT_TRUE(ask(from,
                  "POST / HTTP/1.1\r\nExpect: 100-continue\r\n"
                  "Content-Length: 3\r\n\r\n",
                  "\r\n\r\n")
                  .starts_with("HTTP/1.1 100"));
  EXPECT_NE(ask(from, "abc", "ok").find("HTTP/1.1 200"), std::string::npos);
}

}  // namespace
}  // namespace medlarloft::http
