#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <deque>

#include "harness.hpp"

namespace medlarloft::http {
namespace {

using testing::raw_caller;
using testing::run_until;

const endpoint address{"127.0.0.1", 18475};
/// More than the buffers of a socket hold.
constexpr std::size_t long_body_bytes = std::size_t{16} << 20;

std::string get(const std::string& target) {
  return "GET " + target + " HTTP/1.1\r\nHost: a\r\n\r\n";
}

std::string post(const std::string& target, const std::string& body) {
  return "POST " + target +
         " HTTP/1.1\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

/// A server that holds the responses until the test sends them.
struct fixture {
  explicit fixture(std::size_t max_buffered_bytes = std::size_t{1} << 20)
      : tested(loop, timers,
               {.listen = address,
                .max_buffered_bytes = max_buffered_bytes,
                .limits = [] { return limits{}; }},
               [this](std::shared_ptr<exchange> received) {
                 requests.push_back(received->request());
                 received->on_disconnect([this] { ++disconnects; });
                 pending.push_back(std::move(received));
               }) {
    EXPECT_TRUE(tested.start());
  }

  /// Responds to the oldest request with its own target.
  void respond() {
    const auto oldest = pending.front();
    pending.pop_front();
    oldest->respond({.status = 200, .body = oldest->request().target + ";"});
  }

  bool wait_for_requests(std::size_t count) {
    return run_until(loop, [&] { return requests.size() >= count; });
  }

  /// Runs what is due, so that bytes that were sent have been read.
  void settle() {
    loop.restart();
    while (loop.run_one_for(std::chrono::milliseconds(5)) > 0) {
    }
  }

  io_context loop;
  loop::timer_queue timers{loop};
  std::vector<message> requests;
  std::deque<std::shared_ptr<exchange>> pending;
  int disconnects = 0;
  server tested;
};

// The bodies of the responses in the order of arrival.
std::string bodies(std::string_view received) {
  std::string all;
  for (std::size_t at = 0;
       (at = received.find("\r\n\r\n", at)) != std::string_view::npos;) {
    at += 4;
    all += received.substr(at, received.find(';', at) + 1 - at);
  }
  return all;
}

// Bytes that arrived between the end of a request and its response made the
// parser, which was still at the end of the first request, run that one again.
TEST(session, a_request_that_arrives_before_the_response_runs_once) {
  fixture f;
  raw_caller caller(f.loop, address);
  caller.send(get("/1"));
  ASSERT_TRUE(f.wait_for_requests(1));
  // A long response is still being written when the next request arrives.
  f.pending.front()->respond(
      {.status = 200, .body = "/1;" + std::string(long_body_bytes, 'x')});
  f.pending.clear();
  caller.send(get("/2"));
  ASSERT_TRUE(f.wait_for_requests(2));
  f.respond();
  run_until(f.loop, [&] { return bodies(caller.received) == "/1;/2;"; });
  EXPECT_EQ(bodies(caller.received), "/1;/2;");
  ASSERT_EQ(f.requests.size(), 2U);
  EXPECT_EQ(f.requests[1].target, "/2");
}

// Wherever the bytes are split and whenever the responses are sent, each
// request runs once, in order, with its own body, and gets its own response.
TEST(session, every_split_of_the_input_gives_the_same_responses) {
  EXPECT_TRUE(rc::check([] {
    fixture f;
    raw_caller caller(f.loop, address);
    const auto count = *rc::gen::inRange<std::size_t>(1, 6);
    std::string input;
    std::string expected;
    std::vector<std::string> sent_bodies;
    for (std::size_t i = 0; i < count; ++i) {
      const std::string target = "/" + std::to_string(i);
      // Some bodies exceed what is read of later requests.
      const auto size = *rc::gen::element<std::size_t>(0, 1, 300, 20'000);
      sent_bodies.emplace_back(size, static_cast<char>('a' + i));
      input += size == 0 ? get(target) : post(target, sent_bodies.back());
      expected += target + ";";
    }
    std::size_t running_at_most = 0;
    while (!input.empty()) {
      const auto length = *rc::gen::inRange<std::size_t>(1, input.size() + 1);
      caller.send(input.substr(0, length));
      input.erase(0, length);
      const auto events = *rc::gen::inRange(0, 12);
      f.loop.restart();
      for (int i = 0; i < events; ++i)
        f.loop.poll_one();
      running_at_most = std::max(running_at_most, f.pending.size());
      if (!f.pending.empty() && *rc::gen::arbitrary<bool>()) f.respond();
    }
    run_until(f.loop, [&] {
      running_at_most = std::max(running_at_most, f.pending.size());
      if (!f.pending.empty()) f.respond();
      return bodies(caller.received).size() >= expected.size();
    });
    f.settle();
    RC_ASSERT(bodies(caller.received) == expected);
    RC_ASSERT(f.requests.size() == count);
    RC_ASSERT(running_at_most <= 1U);
    for (std::size_t i = 0; i < count; ++i)
      RC_ASSERT(f.requests[i].body == sent_bodies[i]);
  }));
}

// A request that was read behind one whose response ends the connection must
// not run: its caller cannot get a response.
TEST(session, a_request_behind_a_last_response_does_not_run) {
  fixture f;
  raw_caller caller(f.loop, address);
  caller.send("GET /1 HTTP/1.1\r\nConnection: close\r\n\r\n" + get("/2"));
  ASSERT_TRUE(f.wait_for_requests(1));
  f.respond();
  EXPECT_TRUE(run_until(f.loop, [&] { return caller.disconnected; }));
  EXPECT_EQ(bodies(caller.received), "/1;");
  EXPECT_EQ(f.requests.size(), 1U);
}

// A planned stop begins while a second request is already read. It must not
// run, and the caller must learn from the first response that it did not.
TEST(session, a_planned_stop_does_not_run_a_request_that_was_read_ahead) {
  fixture f;
  raw_caller caller(f.loop, address);
  caller.send(get("/1") + get("/2"));
  ASSERT_TRUE(f.wait_for_requests(1));
  f.settle();
  f.tested.drain();
  f.respond();
  EXPECT_TRUE(run_until(f.loop, [&] { return caller.disconnected; }));
  EXPECT_NE(caller.received.find("Connection: close"), std::string::npos);
  EXPECT_EQ(f.requests.size(), 1U);
}

// The end of a planned stop closed connections whose response was not yet
// written, since only requests without a response counted as unfinished.
TEST(session, a_response_that_is_being_written_counts_as_unfinished) {
  fixture f;
  raw_caller caller(f.loop, address);
  caller.send(get("/1"));
  ASSERT_TRUE(f.wait_for_requests(1));
  f.respond();
  EXPECT_EQ(f.tested.unfinished_requests(), 1U);
  f.tested.close_idle_connections();
  EXPECT_TRUE(run_until(f.loop, [&] { return !caller.received.empty(); }));
  EXPECT_TRUE(
      run_until(f.loop, [&] { return f.tested.unfinished_requests() == 0; }));
}

// A caller that closes its sending half counts as one that left. What it sent
// ahead must not run, above all not a request that may run only once.
TEST(session, a_half_closed_connection_runs_no_further_request) {
  fixture f;
  raw_caller caller(f.loop, address);
  caller.send(get("/1") + get("/2"));
  ASSERT_TRUE(f.wait_for_requests(1));
  caller.shutdown_send();
  EXPECT_TRUE(run_until(f.loop, [&] { return f.disconnects == 1; }));
  EXPECT_TRUE(run_until(f.loop, [&] { return caller.disconnected; }));
  EXPECT_EQ(f.requests.size(), 1U);
  EXPECT_EQ(f.tested.active_requests(), 0U);
}

// A response that is being written when the caller closes its sending half was
// cut off.
TEST(session, a_response_is_completed_on_a_half_closed_connection) {
  fixture f;
  raw_caller caller(f.loop, address);
  caller.send(get("/1"));
  ASSERT_TRUE(f.wait_for_requests(1));
  f.pending.front()->respond(
      {.status = 200, .body = std::string(long_body_bytes, 'x')});
  caller.shutdown_send();
  EXPECT_TRUE(run_until(f.loop, [&] { return caller.disconnected; }));
  EXPECT_GT(caller.received.size(), long_body_bytes);
}

// Once the bytes that a caller sends ahead reach the limit they are not read,
// so that a read does not report that the caller has left.
TEST(session, reports_a_reset_while_the_input_is_not_read) {
  fixture f;
  raw_caller caller(f.loop, address);
  caller.send(get("/1") + post("/2", std::string(60'000, 'x')));
  ASSERT_TRUE(f.wait_for_requests(1));
  f.settle();
  EXPECT_EQ(f.disconnects, 0);
  caller.reset();
  EXPECT_TRUE(run_until(f.loop, [&] { return f.disconnects == 1; }));
}

// Bytes that callers send ahead count for the limit over all connections: many
// callers could use 16 KiB each beyond it.
TEST(session, bytes_of_later_requests_count_for_the_shared_limit) {
  fixture f(6000);
  raw_caller first(f.loop, address);
  first.send(get("/1") + post("/2", std::string(30'000, 'x')));
  ASSERT_TRUE(f.wait_for_requests(1));
  f.settle();
  raw_caller second(f.loop, address);
  second.send(get("/3"));
  EXPECT_TRUE(run_until(f.loop, [&] { return second.disconnected; }));
  EXPECT_TRUE(second.received.starts_with("HTTP/1.1 503")) << second.received;
  EXPECT_EQ(f.requests.size(), 1U);
}

}  // namespace
}  // namespace medlarloft::http
