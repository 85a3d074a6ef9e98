#include <gtest/gtest.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <optional>
#include <thread>

#include "medlarloft/net.hpp"

namespace medlarloft::net {
namespace {

using namespace std::chrono_literals;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

constexpr std::uint16_t test_port = 17351;

// Runs an echo server on its own loop and thread.
class http_exchange : public testing::Test {
 protected:
  http_exchange()
      : server_({&loop_},
                {.listen = {"127.0.0.1", test_port},
                 .max_header_bytes = 1024,
                 .max_body_bytes = 64,
                 .request_timeout = 200ms},
                [](std::size_t, const http_request& request,
                   const respond& answer) {
                  answer({.body = request.target + ":" + request.body});
                }) {}

  void SetUp() override {
    ASSERT_TRUE(server_.start().has_value());
    thread_ = std::jthread([this] { loop_.run(); });
  }
  void TearDown() override { loop_.stop(); }

  net_result<http_response> fetch(const http_request& request) {
    io_context client;
    std::optional<net_result<http_response>> got;
    http_fetch(
        client, {.to = {"127.0.0.1", test_port}}, request, 2s,
        [&got](const net_result<http_response>& answer) { got = answer; });
    client.run();
    return *got;
  }

  // Sends raw bytes and returns everything received until the close.
  static std::string raw(const std::string& bytes) {
    io_context client;
    tcp::socket socket(client);
    socket.connect(
        tcp::endpoint(asio::ip::make_address("127.0.0.1"), test_port));
    asio::write(socket, asio::buffer(bytes));
    std::string text;
    boost::system::error_code end;
    asio::read(socket, asio::dynamic_buffer(text), end);
    return text;
  }

  io_context loop_;
  http_server server_;
  std::jthread thread_;
};

TEST_F(http_exchange, answers_a_request) {
  const auto got = fetch({.method = "POST", .target = "/q", .body = "abc"});
  ASSERT_TRUE(got.has_value());
  EXPECT_EQ(got.value().body, "/q:abc");
}

TEST_F(http_exchange, refuses_oversized_malformed_and_dripping_requests) {
  const auto large =
      fetch({.method = "POST", .target = "/q", .body = std::string(65, 'x')});
  ASSERT_TRUE(large.has_value());
  EXPECT_EQ(large.value().status, 413);
  EXPECT_NE(raw("nonsense\r\n\r\n").find("400"), std::string::npos);
  EXPECT_NE(raw("GET / HTTP/1.1\r\nX: " + std::string(2000, 'y')).find("431"),
            std::string::npos);
  // Declares a body and never sends it.
  const std::string dripping =
      raw("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc");
  EXPECT_NE(dripping.find("408"), std::string::npos);
  EXPECT_TRUE(fetch({.target = "/still-there"}).has_value());
}

TEST_F(http_exchange, drain_tells_connections_to_close) {
  server_.drain();
  const std::string text =
      raw("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");  // ends only by the close
  EXPECT_NE(text.find("Connection: close"), std::string::npos);
  EXPECT_NE(text.find("/a:"), std::string::npos);
}

TEST(http_client, reports_refused_connections_as_never_sent) {
  io_context client;
  std::optional<net_result<http_response>> got;
  http_fetch(client, {.to = {"127.0.0.1", test_port + 1}}, {}, 1s,
             [&got](const net_result<http_response>& answer) { got = answer; });
  client.run();
  ASSERT_FALSE(got->has_value());
  EXPECT_EQ(got->error().code, net_errc::cannot_connect);
}

TEST(http_client, gives_up_a_truncated_answer) {
  io_context loop;
  tcp::acceptor acceptor(
      loop, tcp::endpoint(asio::ip::make_address("127.0.0.1"), test_port + 2));
  tcp::socket accepted(loop);
  acceptor.async_accept(accepted, [&accepted](boost::system::error_code) {
    asio::write(accepted,
                asio::buffer(std::string(
                    "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nshort")));
    accepted.close();
  });
  std::optional<net_result<http_response>> got;
  http_fetch(loop, {.to = {"127.0.0.1", test_port + 2}}, {}, 1s,
             [&got](const net_result<http_response>& answer) { got = answer; });
  loop.run();
  ASSERT_FALSE(got->has_value());
  EXPECT_EQ(got->error().code, net_errc::closed);
}

}  // namespace
}  // namespace medlarloft::net
