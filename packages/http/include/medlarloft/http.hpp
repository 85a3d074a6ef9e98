#pragma once

/// HTTP/1.1 server and client connections for the traffic path, running on one
/// Asio event loop. Headers and bodies pass through unchanged. Boost.Beast does
/// the parsing and is not visible in this interface.

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "medlarloft/base.hpp"
#include "medlarloft/loop.hpp"

namespace medlarloft::http {

using boost::asio::io_context;

/// A request or a response.
struct message {
  /// Set in requests only.
  std::string method;
  std::string target;
  /// Set in responses only.
  int status = 0;
  std::vector<header> headers;
  std::string body;

  /// Returns the first value of a header; the name is not case-sensitive.
  std::optional<std::string_view> find(std::string_view name) const;
};

/// Whether a proxy must not forward this header: it applies to a single
/// connection (RFC 9110, 7.6.1), or it frames the message.
bool is_hop_by_hop(std::string_view name) noexcept;

/// Returns the headers to forward, without the hop-by-hop headers and without
/// those that the Connection header lists.
std::vector<header> end_to_end_headers(const message& received);

/// Serializes a request with its body. Adds Content-Length where it is needed
/// and writes `extra_headers` after the headers of the request.
std::string serialize_request(const message& request,
                              std::span<const header> extra_headers = {});

/// Limits on the requests of callers.
struct limits {
  std::size_t max_header_bytes = std::size_t{16} << 10;
  std::size_t max_body_bytes = std::size_t{256} << 10;
  /// From the first byte of a request to its last.
  duration request_timeout = std::chrono::seconds(3);
  /// Also bounds the time in which a caller must read its response.
  duration idle_timeout = std::chrono::seconds(15);
};

enum class http_errc : std::uint8_t { cannot_listen };
using http_error = basic_error<http_errc>;

/// A request of a caller and the means to respond to it.
class exchange {
 public:
  virtual ~exchange() = default;
  virtual const message& request() const noexcept = 0;
  /// When the last byte of the request was read.
  virtual time_point received_at() const noexcept = 0;
  /// Whether this is the first request on its connection.
  virtual bool first_on_connection() const noexcept = 0;
  /// Sends the response; may be called once.
  virtual void respond(message response) = 0;
  /// Calls `handler` once if the caller disconnects before the response.
  virtual void on_disconnect(std::function<void()> handler) = 0;
};

using request_handler = std::function<void(std::shared_ptr<exchange>)>;

/// An HTTP server on one address. It rejects malformed, oversized and slow
/// requests with an error status and then closes only their connection.
class server {
 public:
  struct options {
    endpoint listen;
    std::size_t max_connections = 3500;
    /// Request bytes buffered over all connections, from arrival until the
    /// response. A request that exceeds this is answered with 503.
    std::size_t max_buffered_bytes = std::size_t{64} << 20;
    /// Called for each request, since the configuration may change.
    std::function<http::limits()> limits;
  };

  server(io_context& loop, loop::timer_queue& timers, options settings,
         request_handler handler);
  ~server();
  server(const server&) = delete;
  server& operator=(const server&) = delete;

  /// Starts to listen and to accept connections.
  result<void, http_error> start();

  /// Closes each connection after its next response; still accepts new ones.
  void drain();
  /// Accepts the connections that wait in the backlog, which closing the
  /// listening socket would reset, then closes it; open connections stay.
  void stop_accepting();
  /// Closes the connections that have no request in progress.
  void close_idle_connections();

  std::size_t open_connections() const noexcept;
  /// Requests that were read and have no response yet.
  std::size_t active_requests() const noexcept;
  /// The same, and those of which only a part was read so far.
  std::size_t unfinished_requests() const noexcept;

  /// State shared with the connections; defined in the source file.
  struct state;

 private:
  std::shared_ptr<state> state_;
};

/// Why a request to a backend server got no response.
enum class response_errc : std::uint8_t {
  connection_lost,  // the backend server may have run the request
  malformed,        // no HTTP response, or one that exceeds a limit
  timed_out,
};

/// Limits the memory that several connections use for unfinished responses.
/// Each connection may exceed it by the bytes of a single read.
class memory_budget {
 public:
  explicit memory_budget(std::size_t limit) noexcept : limit_(limit) {}

  /// Changes a reservation from `before` to `after` bytes. Returns false and
  /// changes nothing if the limit would be exceeded.
  bool try_resize(std::size_t before, std::size_t after) noexcept {
    const std::size_t total = used_ - before + after;
    if (after > before && total > limit_) return false;
    used_ = total;
    peak_ = std::max(peak_, used_);
    return true;
  }

  std::size_t used() const noexcept { return used_; }
  /// The most bytes that were reserved at the same time.
  std::size_t peak() const noexcept { return peak_; }

 private:
  std::size_t limit_;
  std::size_t used_ = 0;
  std::size_t peak_ = 0;
};

/// A complete response and what it says about its connection.
struct received_response {
  message response;
  /// The connection can carry another request.
  bool reusable = false;
  /// The timeout of the Keep-Alive header, if the peer sent one.
  std::optional<duration> keep_alive_timeout;
};

/// Outcome of a request on a client connection.
using response_result = result<received_response, response_errc>;

/// Whether a response belongs to the pending request.
enum class response_match : std::uint8_t {
  matches,
  other,     // to an earlier request; the response to this one may follow
  unmarked,  // nothing in it shows to which request it belongs
};

/// A client connection to a backend server or another daemon. It carries one
/// request at a time.
class connection : public std::enable_shared_from_this<connection> {
 public:
  struct options {
    endpoint to;
    /// Local address to connect from; empty: the system chooses.
    std::string from_ip;
    duration connect_timeout = std::chrono::milliseconds(100);
    /// Limit on the body of a response.
    std::size_t max_response_bytes = std::size_t{8} << 20;
    /// Shared limit on the bytes of unfinished responses; none if not set.
    std::shared_ptr<memory_budget> memory;
    /// Closes the connection when sent data stays unacknowledged for this long
    /// (TCP_USER_TIMEOUT).
    duration tcp_user_timeout = std::chrono::seconds(2);
  };
  /// Receives whether the connection is open, and how long connecting took.
  using open_handler = std::function<void(bool ok, duration took)>;
  using response_handler = std::function<void(response_result)>;
  /// Tells to which request a response belongs. One to another request is
  /// skipped, and the connection is not reused. An unmarked one is accepted
  /// only on a connection that carried no other request.
  using response_matcher =
      std::function<response_match(const message& response)>;

  static std::shared_ptr<connection> make(io_context& loop,
                                          loop::timer_queue& timers,
                                          options settings);
  virtual ~connection() = default;

  /// `on_open` is called by the event loop, never by this function.
  virtual void open(open_handler on_open) = 0;
  /// Sends a serialized request and waits for its response. The response to
  /// the method HEAD is read without a body. Without a matcher, the first
  /// response is taken.
  virtual void send_request(std::string text, std::string_view method,
                            response_matcher matches,
                            response_handler on_response) = 0;
  /// Calls `handler` when the connection closes while it is idle.
  virtual void on_idle_close(std::function<void()> handler) = 0;
  /// Whether a request can be sent now. Also checks the socket for a close by
  /// the peer that the event loop has not reported yet.
  virtual bool usable() = 0;
  /// Closes immediately; a pending request fails with `timed_out`.
  virtual void close() = 0;
};

}  // namespace medlarloft::http
