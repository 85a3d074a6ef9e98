#include <gtest/gtest.h>

#include <algorithm>
#include <deque>

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
      : tested(loop, timers,
               {.listen = {"127.0.0.1", port},
                .limits = [this] { return limits; }},
               [this](std::shared_ptr<exchange> received) {
                 requests.push_back(received->request());
                 if (hold_responses) {
                   pending.push_back(std::move(received));
                 } else {
                   received->respond({.status = 200, .body = "ok"});
                 }
               }) {
    EXPECT_TRUE(tested.start());
  }

  /// Sends the text, waits until the received bytes contain `marker`, and
  /// returns them.
  std::string send(raw_caller& caller, const std::string& text,
                   const std::string& marker) {
    caller.send(text);
    run_until(loop, [&] {
      return caller.received.find(marker) != std::string::npos ||
             caller.disconnected;
    });
    return caller.received;
  }

  io_context loop;
  loop::timer_queue timers{loop};
  http::limits limits{.max_header_bytes = 512,
                      .max_body_bytes = 64,
                      .request_timeout = milliseconds(100)};
  bool hold_responses = false;
  std::vector<message> requests;
  std::vector<std::shared_ptr<exchange>> pending;
  server tested;
};

TEST_F(server_test, runs_pipelined_requests) {
  raw_caller caller(loop, {"127.0.0.1", port});
  caller.send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
  run_until(loop, [this] { return requests.size() == 2; });
  ASSERT_EQ(requests.size(), 2U);
  EXPECT_EQ(requests[0].target, "/1");
  EXPECT_EQ(requests[1].target, "/2");
}

TEST_F(server_test, reads_bodies_with_a_length_and_in_chunks) {
  raw_caller caller(loop, {"127.0.0.1", port});
  send(caller, "POST /1 HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc", "ok");
  send(caller,
       "POST /2 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nxy\r\n"
       "0\r\n\r\n",
       "okHTTP");
  ASSERT_EQ(requests.size(), 2U);
  EXPECT_EQ(requests[0].body, "abc");
  EXPECT_EQ(requests[1].body, "xy");
}

TEST_F(server_test, rejects_an_invalid_request) {
  raw_caller caller(loop, {"127.0.0.1", port});
  EXPECT_TRUE(
      send(caller, "nonsense\r\n\r\n", "\r\n\r\n").starts_with("HTTP/1.1 400"));
}

TEST_F(server_test, rejects_a_body_with_both_framings) {
  raw_caller caller(loop, {"127.0.0.1", port});
  EXPECT_TRUE(send(caller,
                   "POST / HTTP/1.1\r\nContent-Length: 3\r\n"
                   "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                   "\r\n\r\n")
                  .starts_with("HTTP/1.1 400"));
  EXPECT_TRUE(requests.empty());
}

TEST_F(server_test, rejects_a_body_over_the_limit) {
  raw_caller caller(loop, {"127.0.0.1", port});
  EXPECT_TRUE(
      send(caller, "POST / HTTP/1.1\r\nContent-Length: 65\r\n\r\n", "\r\n\r\n")
          .starts_with("HTTP/1.1 413"));
}

// Many callers that send long bodies at once must not exhaust the memory: the
// request that exceeds the limit over all connections is rejected before it
// runs.
TEST(server, rejects_a_request_over_the_shared_buffer_limit) {
  const endpoint address{"127.0.0.1", port + 1};
  const std::string request =
      "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 50\r\n\r\n" +
      std::string(50, 'x');
  io_context loop;
  loop::timer_queue timers{loop};
  std::vector<std::shared_ptr<exchange>> pending;
  server tested(loop, timers,
                {.listen = address,
                 .max_buffered_bytes = 90,
                 .limits = [] { return limits{}; }},
                [&pending](std::shared_ptr<exchange> received) {
                  pending.push_back(std::move(received));
                });
  ASSERT_TRUE(tested.start());
  raw_caller first(loop, address);
  first.send(request);
  ASSERT_TRUE(run_until(loop, [&] { return pending.size() == 1; }));
  raw_caller second(loop, address);
  second.send(request);
  run_until(loop, [&] { return second.disconnected; });
  EXPECT_TRUE(second.received.starts_with("HTTP/1.1 503")) << second.received;
  EXPECT_NE(second.received.find("Retry-After: 1\r\n"), std::string::npos);
  EXPECT_EQ(pending.size(), 1U);

  pending.front()->respond({.status = 200});
  raw_caller third(loop, address);
  third.send(request);
  EXPECT_TRUE(run_until(loop, [&] { return pending.size() == 2; }));
}

TEST_F(server_test, rejects_a_header_over_the_limit) {
  raw_caller caller(loop, {"127.0.0.1", port});
  EXPECT_TRUE(
      send(caller, "GET / HTTP/1.1\r\nA: " + std::string(600, 'a'), "\r\n\r\n")
          .starts_with("HTTP/1.1 431"));
}

TEST_F(server_test, rejects_an_incomplete_request_after_the_timeout) {
  raw_caller caller(loop, {"127.0.0.1", port});
  EXPECT_TRUE(send(caller, "GET / HT", "\r\n\r\n").starts_with("HTTP/1.1 408"));
}

TEST_F(server_test, reports_that_the_caller_disconnected) {
  hold_responses = true;
  raw_caller caller(loop, {"127.0.0.1", port});
  caller.send("GET / HTTP/1.1\r\n\r\n");
  run_until(loop, [this] { return !pending.empty(); });
  ASSERT_FALSE(pending.empty());
  bool disconnected = false;
  pending[0]->on_disconnect([&disconnected] { disconnected = true; });
  caller.close();
  EXPECT_TRUE(run_until(loop, [&disconnected] { return disconnected; }));
  EXPECT_EQ(tested.active_requests(), 0U);
}

TEST_F(server_test, drops_a_response_after_the_caller_disconnected) {
  hold_responses = true;
  raw_caller caller(loop, {"127.0.0.1", port});
  caller.send("GET / HTTP/1.1\r\n\r\n");
  run_until(loop, [this] { return !pending.empty(); });
  caller.close();
  run_until(loop, [this] { return tested.open_connections() == 0; });
  pending[0]->respond({.status = 200});
  EXPECT_EQ(tested.open_connections(), 0U);
}

TEST_F(server_test, closes_after_the_response_while_draining) {
  tested.drain();
  raw_caller caller(loop, {"127.0.0.1", port});
  const std::string received = send(caller, "GET / HTTP/1.1\r\n\r\n", "ok");
  EXPECT_NE(received.find("Connection: close"), std::string::npos);
  EXPECT_TRUE(run_until(loop, [&caller] { return caller.disconnected; }));
}

// Under load, connections wait in the backlog when a planned stop closes the
// listening socket. Their requests must be answered, not reset.
TEST_F(server_test, answers_connections_that_wait_in_the_backlog_at_a_stop) {
  std::deque<raw_caller> callers;
  for (int i = 0; i < 20; ++i) {
    callers.emplace_back(loop, endpoint{"127.0.0.1", port});
    callers.back().send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
  }
  tested.drain();
  tested.stop_accepting();
  EXPECT_TRUE(run_until(loop, [&callers] {
    return std::ranges::all_of(callers, &raw_caller::disconnected);
  }));
  for (const raw_caller& caller : callers)
    EXPECT_NE(caller.received.find("200 OK"), std::string::npos);
  EXPECT_EQ(requests.size(), 20U);
}

TEST_F(server_test, counts_a_request_of_which_a_part_was_read) {
  raw_caller caller(loop, {"127.0.0.1", port});
  caller.send("GET /1 HTTP/1.1\r\nHo");
  EXPECT_TRUE(
      run_until(loop, [this] { return tested.unfinished_requests() == 1; }));
  EXPECT_EQ(tested.active_requests(), 0U);
  caller.send("st: a\r\n\r\n");
  EXPECT_TRUE(
      run_until(loop, [this] { return tested.unfinished_requests() == 0; }));
  EXPECT_EQ(requests.size(), 1U);
}

TEST_F(server_test, sends_100_continue_on_request) {
  raw_caller caller(loop, {"127.0.0.1", port});
  EXPECT_TRUE(send(caller,
                   "POST / HTTP/1.1\r\nExpect: 100-continue\r\n"
                   "Content-Length: 3\r\n\r\n",
                   "\r\n\r\n")
                  .starts_with("HTTP/1.1 100"));
  EXPECT_NE(send(caller, "abc", "ok").find("HTTP/1.1 200"), std::string::npos);
}

}  // namespace
}  // namespace medlarloft::http
