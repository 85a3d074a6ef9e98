#pragma once

/// HTTP over TCP for callers, operators, backend servers and the platform.
/// Boost.Beast stays behind this interface.

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "medlarloft/base.hpp"

namespace medlarloft::net {

using boost::asio::io_context;

enum class net_errc : std::uint8_t {
  cannot_listen,
  cannot_connect,  // nothing was sent
  timed_out,
  closed,     // the other end closed before the whole answer
  malformed,  // not HTTP, or larger than allowed
};
using net_error = basic_error<net_errc>;
template <class Value>
using net_result = result<Value, net_error>;

struct http_request {
  std::string method = "GET";
  std::string target = "/";
  std::string body;
  /// IP address of the other end; only on requests received.
  std::string remote;
};

struct http_response {
  int status = 200;
  std::string content_type = "application/json";
  std::string body;
};

/// Limits of one HTTP server.
struct server_options {
  endpoint listen;
  std::size_t max_header_bytes = std::size_t{8} << 10;
  std::size_t max_body_bytes = std::size_t{256} << 10;
  /// From the first byte of a request to its last.
  duration request_timeout = std::chrono::seconds(5);
  /// Between requests on one connection.
  duration idle_timeout = std::chrono::seconds(60);
  duration write_timeout = std::chrono::seconds(5);
  std::size_t max_connections = 4096;
};

/// Answers one request; may be called once, from any thread.
using respond = std::function<void(http_response)>;

/// Handles a request on the loop `worker` that serves its connection.
using http_handler = std::function<void(std::size_t worker,
                                        http_request request, respond answer)>;

/// Serves HTTP/1.1 on several loops. Malformed, oversized and slow requests
/// get a clear error and lose their own connection only.
class http_server {
 public:
  /// Connections are accepted on the first loop and served on all in turn.
  http_server(std::vector<io_context*> loops, const server_options& options,
              const http_handler& handler);
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  net_result<void> start();

  /// Starts to tell each connection to close after its next answer; new
  /// connections are still accepted.
  void drain();

  /// Stops accepting and closes connections that carry no request.
  void close();

  std::size_t open_connections() const noexcept;
  std::size_t running_requests() const noexcept;

 private:
  struct state;
  std::shared_ptr<state> state_;
};

/// One client connection that carries one request at a time. Lives on one
/// loop; every call and callback happens there.
class http_connection : public std::enable_shared_from_this<http_connection> {
 public:
  struct options {
    endpoint to;
    /// Local address to connect from; empty for any.
    std::string from_ip;
    duration connect_timeout = std::chrono::seconds(1);
    std::size_t max_answer_bytes = 8U << 20;
  };
  using opened = std::function<void(
      net_result<std::shared_ptr<http_connection>> connection)>;
  using answered = std::function<void(net_result<http_response> answer)>;

  static void open(io_context& loop, const options& settings, opened done);

  virtual ~http_connection() = default;

  /// Sends a request and waits for its whole answer.
  virtual void exchange(http_request request, duration timeout,
                        answered done) = 0;

  /// Calls `lost` once if the other end closes while the connection is idle.
  virtual void watch(std::function<void()> lost) = 0;

  virtual void close() = 0;
  virtual bool usable() const noexcept = 0;
};

/// Opens a connection, exchanges one request and closes it.
void http_fetch(io_context& loop, const http_connection::options& to,
                http_request request, duration timeout,
                http_connection::answered done);

}  // namespace medlarloft::net
