#include <gtest/gtest.h>

#include "harness.hpp"

namespace medlarloft::http {
namespace {

using testing::run_until;
using testing::scripted_leaf;

class connection_test : public ::testing::Test {
 protected:
  /// Returns an open connection to the leaf.
  std::shared_ptr<connection> open() {
    auto client = connection::make(loop, timers, {.to = leaf.address()});
    std::optional<bool> ok;
    client->open([&ok](bool opened, duration) { ok = opened; });
    run_until(loop, [&ok] { return ok.has_value(); });
    EXPECT_TRUE(ok.value_or(false));
    return client;
  }

  /// Sends a request and waits for its result. A response with another value in
  /// its header "Id" is not matched.
  response_result send(connection& client, const std::string& id = "1") {
    std::optional<response_result> result;
    client.send_request(
        serialize_request({.method = "GET", .target = "/x"}), "GET",
        [id](const message& response) {
          const auto echoed = response.find("Id");
          if (!echoed) return response_match::unmarked;
          return *echoed == id ? response_match::matches
                               : response_match::other;
        },
        [&result](response_result received) { result = std::move(received); });
    run_until(loop, [&result] { return result.has_value(); });
    return result ? *result : response_result(response_errc::timed_out);
  }

  io_context loop;
  loop::timer_queue timers{loop};
  scripted_leaf leaf{loop};
};

TEST_F(connection_test, sends_requests_in_sequence) {
  leaf.responses = {
      "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n"
      "Keep-Alive: timeout=7\r\n\r\nhi",
      "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\nyou"};
  const auto client = open();
  const auto first = send(*client);
  ASSERT_TRUE(first);
  EXPECT_EQ(first.value().response.body, "hi");
  EXPECT_TRUE(first.value().reusable);
  EXPECT_EQ(first.value().keep_alive_timeout, std::chrono::seconds(7));
  EXPECT_TRUE(client->usable());
  EXPECT_EQ(send(*client).value().response.body, "you");
  EXPECT_EQ(leaf.connections, 1);
}

// A connection that fails at once, for example without a free descriptor, ended
// the request in the middle of being sent, and its owner wrote to freed memory.
TEST_F(connection_test, reports_an_immediate_failure_from_the_event_loop) {
  const auto client = connection::make(
      loop, timers, {.to = leaf.address(), .from_ip = "no address"});
  std::optional<bool> opened;
  client->open([&opened](bool ok, duration) { opened = ok; });
  EXPECT_FALSE(opened);
  EXPECT_TRUE(run_until(loop, [&opened] { return opened.has_value(); }));
  EXPECT_FALSE(opened.value_or(true));
}

TEST_F(connection_test, reads_a_chunked_body) {
  leaf.responses = {
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n"
      "3\r\ncde\r\n0\r\n\r\n"};
  const auto client = open();
  EXPECT_EQ(send(*client).value().response.body, "abcde");
}

TEST_F(connection_test, truncated_response_fails) {
  leaf.responses = {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort"};
  leaf.close_after_response = true;
  const auto client = open();
  EXPECT_EQ(send(*client).error(), response_errc::connection_lost);
}

TEST_F(connection_test, response_without_length_ends_when_closed) {
  leaf.responses = {"HTTP/1.1 200 OK\r\n\r\nwhole"};
  leaf.close_after_response = true;
  const auto client = open();
  const auto result = send(*client);
  ASSERT_TRUE(result);
  EXPECT_EQ(result.value().response.body, "whole");
  EXPECT_FALSE(result.value().reusable);
}

TEST_F(connection_test, response_without_length_fails_when_reset) {
  leaf.responses = {"HTTP/1.1 200 OK\r\n\r\nhalf"};
  leaf.reset_after_response = true;
  const auto client = open();
  EXPECT_EQ(send(*client).error(), response_errc::connection_lost);
}

TEST_F(connection_test, bytes_after_a_response_prevent_reuse) {
  leaf.responses = {
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhiHTTP/1.1 200 OK\r\n"
      "Content-Length: 3\r\n\r\nbad"};
  const auto client = open();
  const auto result = send(*client);
  ASSERT_TRUE(result);
  EXPECT_EQ(result.value().response.body, "hi");
  EXPECT_FALSE(result.value().reusable);
  EXPECT_FALSE(client->usable());
}

TEST_F(connection_test, skips_a_late_response_to_another_request) {
  leaf.responses = {
      "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 3\r\n\r\nold"
      "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\nmine"};
  const auto client = open();
  const auto result = send(*client, "1");
  ASSERT_TRUE(result);
  EXPECT_EQ(result.value().response.body, "mine");
  EXPECT_FALSE(result.value().reusable);
}

// A backend server sends a second copy of its answer late, when the connection
// carries another request. A copy without an id looks like the answer to that
// request: only a connection that carried no other request proves whose it is.
TEST_F(connection_test, a_late_copy_without_an_id_is_not_the_next_response) {
  const std::string unmarked =
      "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold";
  leaf.responses = {unmarked, unmarked};
  const auto client = open();
  EXPECT_EQ(send(*client, "1").value().response.body, "old");
  const auto next = send(*client, "2");
  ASSERT_FALSE(next);
  EXPECT_EQ(next.error(), response_errc::malformed);
  EXPECT_FALSE(client->usable());
}

TEST_F(connection_test, a_late_copy_before_the_next_request_prevents_reuse) {
  leaf.responses = {"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\nold"};
  leaf.late_text = leaf.responses.front();
  const auto client = open();
  EXPECT_TRUE(send(*client, "1"));
  ASSERT_TRUE(run_until(loop, [this] { return leaf.late_text.empty(); }));
  // The copy may be in the socket still, or already read by the event loop.
  EXPECT_FALSE(client->usable());
}

TEST_F(connection_test, a_response_cut_midway_is_no_response) {
  const std::string chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const std::string& cut :
       {std::string("HTTP/1.1 200 OK\r\nContent-Le"),
        std::string("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nhal"),
        chunked + "4\r\nha", chunked + "2\r\nha\r\n", chunked + "2\r\nha\r\n2",
        chunked + "2\r\nha\r\n0\r\n"}) {
    for (const bool reset : {false, true}) {
      SCOPED_TRACE(cut + (reset ? " reset" : " closed"));
      leaf.responses = {cut};
      leaf.close_after_response = !reset;
      leaf.reset_after_response = reset;
      const auto client = open();
      const auto result = send(*client);
      EXPECT_FALSE(result);
      if (!result) {
        EXPECT_EQ(result.error(), response_errc::connection_lost);
      }
    }
  }
}

// A leaf stops in the middle of its response's head and closes the connection.
// Without the header that states the length, the rest would pass for a response
// that ends with its connection.
TEST_F(connection_test, a_response_that_ends_in_its_head_is_no_response) {
  const std::string head =
      "HTTP/1.1 200 OK\r\nX-Field: s\r\nContent-Length: 4\r\n\r\n";
  for (std::size_t length = 1; length <= head.size(); ++length) {
    SCOPED_TRACE(head.substr(0, length));
    leaf.responses = {head.substr(0, length)};
    leaf.close_after_response = true;
    const auto client = open();
    const auto result = send(*client);
    ASSERT_FALSE(result);
    EXPECT_EQ(result.error(), response_errc::connection_lost);
  }
}

TEST_F(connection_test, invalid_response_is_malformed) {
  leaf.responses = {"nonsense\r\n\r\n"};
  const auto client = open();
  EXPECT_EQ(send(*client).error(), response_errc::malformed);
  EXPECT_FALSE(client->usable());
}

// A failing leaf answered with status 000. It was skipped like an interim
// response, so that the request waited for its timeout; a status above 599 was
// passed on to the caller.
TEST_F(connection_test, a_status_outside_100_to_599_is_malformed) {
  for (const char* status : {"000", "001", "099", "600", "999"}) {
    leaf.responses = {std::string("HTTP/1.1 ") + status +
                      " Odd\r\nId: 1\r\nContent-Length: 2\r\n\r\nno"};
    const auto client = open();
    const auto result = send(*client);
    ASSERT_FALSE(result) << status;
    EXPECT_EQ(result.error(), response_errc::malformed) << status;
    EXPECT_FALSE(client->usable()) << status;
  }
}

TEST_F(connection_test, a_malformed_status_line_is_malformed) {
  for (const char* line :
       {"HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 -20 OK",
        "HTTP/1.1 2x0 OK", "HTTP/1.1  200 OK", "HTTP/1.1", "HTTP/9.9 200 OK",
        "HTTP/1.1 \r\n"}) {
    leaf.responses = {std::string(line) + "\r\nContent-Length: 2\r\n\r\nno"};
    const auto client = open();
    EXPECT_FALSE(send(*client)) << line;
  }
}

TEST_F(connection_test, skips_an_interim_response) {
  leaf.responses = {
      "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n"
      "Content-Length: 2\r\n\r\nok"};
  const auto client = open();
  EXPECT_EQ(send(*client).value().response.body, "ok");
}

TEST_F(connection_test, reports_a_close_while_idle) {
  leaf.responses = {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"};
  leaf.close_after_response = true;
  const auto client = open();
  EXPECT_TRUE(send(*client));
  bool closed = false;
  client->on_idle_close([&closed] { closed = true; });
  run_until(loop, [&closed] { return closed; });
  EXPECT_FALSE(client->usable());
}

TEST_F(connection_test, open_fails_when_nobody_listens) {
  auto client = connection::make(loop, timers, {.to = {"127.0.0.1", 1}});
  std::optional<bool> ok;
  client->open([&ok](bool opened, duration) { ok = opened; });
  run_until(loop, [&ok] { return ok.has_value(); });
  EXPECT_EQ(ok, false);
}

TEST(message, hop_by_hop_headers_are_not_forwarded) {
  const message received{.headers = {{"Connection", "close, X-Hop"},
                                     {"X-Hop", "1"},
                                     {"Keep-Alive", "timeout=3"},
                                     {"X-End", "2"}}};
  EXPECT_EQ(end_to_end_headers(received),
            (std::vector<header>{{"X-End", "2"}}));
}

}  // namespace
}  // namespace medlarloft::http
