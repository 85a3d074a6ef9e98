#include <gtest/gtest.h>

#include <optional>

#include "harness.hpp"

namespace medlarloft::http {
namespace {

using testing::run_until;
using testing::scripted_leaf;

constexpr std::size_t body_limit = std::size_t{64} << 10;
constexpr std::size_t budget_bytes = std::size_t{100} << 10;

// A backend server in trouble sends bytes that are no response and does not
// stop until the connection is closed. Each pattern must end the attempt and
// close the connection, with no more memory than the limits allow.
class endless_response_test : public ::testing::Test {
 protected:
  std::shared_ptr<connection> open() {
    auto client = connection::make(loop, timers,
                                   {.to = leaf.address(),
                                    .max_response_bytes = body_limit,
                                    .memory = memory});
    std::optional<bool> ok;
    client->open([&ok](bool opened, duration) { ok = opened; });
    run_until(loop, [&ok] { return ok.has_value(); });
    EXPECT_TRUE(ok.value_or(false));
    return client;
  }

  /// Starts a request; its result is stored in `result`.
  void send(connection& client) {
    result.reset();
    client.send_request(
        serialize_request({.method = "GET", .target = "/x"}), "GET",
        [](const message& response) {
          return response.find("Id").value_or("1") == "1"
                     ? response_match::matches
                     : response_match::other;
        },
        [this](response_result received) { result = std::move(received); });
  }

  /// Expects that a response beginning with `head` and continued with
  /// `repeated` fails the request and closes the connection.
  void expect_refused(const std::string& head, const std::string& repeated) {
    leaf.responses = {head};
    leaf.endless_text = repeated;
    const auto client = open();
    send(*client);
    ASSERT_TRUE(run_until(loop, [this] { return result.has_value(); }))
        << "the request never ended";
    ASSERT_FALSE(*result);
    EXPECT_EQ(result->error(), response_errc::malformed);
    EXPECT_FALSE(client->usable());
    EXPECT_TRUE(run_until(loop, [this] { return leaf.endless_closed; }));
    EXPECT_LE(memory->peak(), budget_bytes);
    EXPECT_EQ(memory->used(), 0U);
  }

  io_context loop;
  loop::timer_queue timers{loop};
  scripted_leaf leaf{loop};
  std::shared_ptr<memory_budget> memory =
      std::make_shared<memory_budget>(budget_bytes);
  std::optional<response_result> result;
};

TEST_F(endless_response_test, status_line) {
  expect_refused("HTTP/1.1 200 ", "OK and still no end of the line ");
}

TEST_F(endless_response_test, no_http_at_all) {
  expect_refused("x", "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx");
}

TEST_F(endless_response_test, header_value) {
  expect_refused("HTTP/1.1 200 OK\r\nX: ", std::string(512, 'a'));
}

TEST_F(endless_response_test, header_fields) {
  expect_refused("HTTP/1.1 200 OK\r\n", "X-Field: value\r\n");
}

TEST_F(endless_response_test, interim_responses) {
  expect_refused("HTTP/1.1 103 Early Hints\r\n\r\n",
                 "HTTP/1.1 103 Early Hints\r\n\r\n");
}

TEST_F(endless_response_test, responses_to_other_requests) {
  const std::string other =
      "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 3\r\n\r\nold";
  expect_refused(other, other);
}

TEST_F(endless_response_test, body_without_a_length) {
  expect_refused("HTTP/1.1 200 OK\r\n\r\n", std::string(1024, 'b'));
}

TEST_F(endless_response_test, body_with_an_excessive_length) {
  expect_refused("HTTP/1.1 200 OK\r\nContent-Length: 999999999999\r\n\r\n",
                 std::string(1024, 'b'));
}

TEST_F(endless_response_test, chunks) {
  expect_refused("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                 "10\r\n0123456789abcdef\r\n");
}

TEST_F(endless_response_test, chunk_of_excessive_size) {
  expect_refused(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffff\r\n",
      std::string(1024, 'b'));
}

TEST_F(endless_response_test, chunk_extension) {
  expect_refused("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10;a=",
                 std::string(512, 'e'));
}

TEST_F(endless_response_test, chunk_size_digits) {
  expect_refused("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                 std::string(512, '0'));
}

TEST_F(endless_response_test, trailer_fields) {
  expect_refused("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
                 "X-Trailer: value\r\n");
}

// Bytes after a complete response belong to no request: the response counts,
// the connection is closed.
TEST_F(endless_response_test, bytes_after_a_complete_response) {
  leaf.responses = {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"};
  leaf.endless_text = std::string(1024, 'z');
  const auto client = open();
  send(*client);
  ASSERT_TRUE(run_until(loop, [this] { return result.has_value(); }));
  ASSERT_TRUE(*result);
  EXPECT_EQ(result->value().response.body, "hi");
  EXPECT_TRUE(run_until(loop, [this] { return leaf.endless_closed; }));
  EXPECT_FALSE(client->usable());
}

// A slow sender stays under every size limit for long. The owner of the request
// closes the connection when it no longer needs the response.
TEST_F(endless_response_test, slow_bytes_end_when_the_request_is_closed) {
  leaf.responses = {"HTTP/1.1 200 OK\r\n\r\n"};
  leaf.endless_text = "b";
  leaf.endless_pause = testing::milliseconds(5);
  const auto client = open();
  send(*client);
  const time_point end = steady_clock::now() + testing::milliseconds(200);
  run_until(loop, [end] { return steady_clock::now() >= end; });
  ASSERT_FALSE(result);
  client->close();
  ASSERT_TRUE(result);
  ASSERT_FALSE(*result);
  EXPECT_EQ(result->error(), response_errc::timed_out);
  EXPECT_TRUE(run_until(loop, [this] { return leaf.endless_closed; }));
  EXPECT_EQ(memory->used(), 0U);
}

// Many connections share one budget: together they never hold more than it.
TEST_F(endless_response_test, all_connections_share_the_memory_budget) {
  leaf.responses = std::deque<std::string>(8, "HTTP/1.1 200 OK\r\n\r\n");
  leaf.endless_text = std::string(1024, 'b');
  std::size_t ended = 0;
  std::vector<std::shared_ptr<connection>> clients;
  for (int i = 0; i < 8; ++i) {
    clients.push_back(open());
    clients.back()->send_request(
        serialize_request({.method = "GET", .target = "/x"}), "GET", nullptr,
        [&ended](const response_result& received) {
          EXPECT_FALSE(received);
          ++ended;
        });
  }
  EXPECT_TRUE(run_until(loop, [&ended] { return ended == 8; }));
  EXPECT_LE(memory->peak(), budget_bytes);
  EXPECT_EQ(memory->used(), 0U);
}

}  // namespace
}  // namespace medlarloft::http
