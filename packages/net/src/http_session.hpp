#pragma once

/// One server connection: reads a request, waits for its answer, writes it,
/// and goes on until either side ends it.

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <memory>
#include <mutex>
#include <optional>
#include <set>

#include "medlarloft/net.hpp"

namespace medlarloft::net::detail {

class http_session;

/// What the sessions of one server share.
struct session_shared {
  server_options options;
  http_handler handler;
  std::atomic<bool> draining{false};
  std::atomic<bool> closing{false};
  std::atomic<std::size_t> connections{0};
  std::atomic<std::size_t> requests{0};
  std::mutex mutex;
  /// Sessions that wait for the first byte of a request.
  std::set<std::shared_ptr<http_session>> idle;
};

class http_session : public std::enable_shared_from_this<http_session> {
 public:
  http_session(std::shared_ptr<session_shared> shared, std::size_t worker,
               boost::asio::ip::tcp::socket socket);
  ~http_session();
  http_session(const http_session&) = delete;
  http_session& operator=(const http_session&) = delete;

  void start();
  /// Ends the session if no request has begun; from any thread.
  void close_if_idle();

 private:
  using error_code = boost::system::error_code;

  void await_request();
  void set_idle(bool idle);
  void read_request();
  void on_request(error_code failed);
  void hand_over();
  void answer(http_response ready);
  void write(http_response ready, bool keep);
  void on_written(error_code failed, bool keep);
  void end();

  std::shared_ptr<session_shared> shared_;
  std::size_t worker_;
  boost::beast::tcp_stream stream_;
  boost::beast::flat_buffer buffer_;
  std::optional<
      boost::beast::http::request_parser<boost::beast::http::string_body>>
      parser_;
  boost::beast::http::response<boost::beast::http::string_body> message_;
  boost::asio::steady_timer limit_;
  bool late_ = false;
  bool keep_ = true;
  bool busy_ = false;
};

}  // namespace medlarloft::net::detail
