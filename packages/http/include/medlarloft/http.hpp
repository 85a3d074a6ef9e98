#pragma once

/// HTTP/1.1 on one Asio loop for the traffic path: callers' connections and
/// connections to backend servers. Headers and bodies pass through unchanged.
/// Boost.Beast parses; it stays behind this interface.

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

struct message {
  /// Of a request.
  std::string method;
  std::string target;
  /// Of an answer.
  int status = 0;
  std::vector<header> headers;
  std::string body;

  /// Returns the first value of a header, or nothing; names ignore case.
  std::optional<std::string_view> find(std::string_view name) const;
};

/// Whether the field concerns one connection only, or the message's framing.
bool is_hop_by_hop(std::string_view name) noexcept;

/// The headers that are passed on: without those of one connection only,
/// also those that its Connection header names.
std::vector<header> end_to_end_headers(const message& received);

/// Writes a request with its body; framing headers are added here. `more` are
/// headers beside those of the request.
std::string to_request_text(const message& request,
                            std::span<const header> more = {});

/// What callers may send, and how long they may take.
struct limits {
  std::size_t max_header_bytes = std::size_t{16} << 10;
  std::size_t max_body_bytes = std::size_t{256} << 10;
  /// From the first byte of a request to its last.
  duration request_timeout = std::chrono::seconds(3);
  duration idle_timeout = std::chrono::seconds(15);
};

enum class http_errc : std::uint8_t { cannot_listen };
using http_error = basic_error<http_errc>;

/// One request of a caller that waits for its answer.
class exchange {
 public:
  virtual ~exchange() = default;
  virtual const message& request() const noexcept = 0;
  /// When the request's last byte was read.
  virtual time_point received_at() const noexcept = 0;
  /// Whether the caller's connection is new with this request.
  virtual bool on_new_connection() const noexcept = 0;
  /// Answers; may be called once.
  virtual void respond(message answer) = 0;
  /// Calls `gone` once if the caller leaves before the answer.
  virtual void on_gone(std::function<void()> gone) = 0;
};

using request_handler = std::function<void(std::shared_ptr<exchange>)>;

/// Serves one address. Malformed, oversized and slow requests get an error of
/// their own and lose their own connection only.
class server {
 public:
  struct options {
    endpoint listen;
    std::size_t max_connections = 3500;
    /// Bytes of requests that are held for all connections together, from
    /// their arrival to their answer. A request beyond is answered 503.
    std::size_t max_held_bytes = std::size_t{64} << 20;
    /// Asked for each request, since the configuration may change.
    std::function<http::limits()> limits;
  };

  server(io_context& loop, loop::timer_queue& timers, options settings,
         request_handler handler);
  ~server();
  server(const server&) = delete;
  server& operator=(const server&) = delete;

  result<void, http_error> start();

  /// Each connection closes after its next answer; new ones are accepted.
  void drain();
  /// Accepts no new connection.
  void stop_accepting();
  /// Closes connections without a request.
  void close_idle();

  std::size_t connections() const noexcept;
  std::size_t running() const noexcept;

  /// Shared with the connections; defined where they are.
  struct state;

 private:
  std::shared_ptr<state> state_;
};

/// How an exchange with a backend server failed.
enum class exchange_errc : std::uint8_t {
  lost,       // the connection broke; the request may have run
  malformed,  // what came back is no answer
  timed_out,
};

/// A complete answer and what it says of its connection.
struct received {
  message answer;
  /// The connection may carry another request.
  bool reusable = false;
  /// How long the other end keeps the connection when idle, if it says so.
  std::optional<duration> idle_limit;
};

using exchange_result = result<received, exchange_errc>;

/// One connection to a backend server or another daemon; carries one request
/// at a time.
class connection : public std::enable_shared_from_this<connection> {
 public:
  struct options {
    endpoint to;
    std::string from_ip;
    duration connect_timeout = std::chrono::milliseconds(100);
    std::size_t max_answer_bytes = std::size_t{8} << 20;
    /// Ends the connection if sent bytes are not acknowledged for so long.
    duration silence_limit = std::chrono::seconds(2);
  };
  using opened = std::function<void(bool ok, duration took)>;
  using finished = std::function<void(exchange_result)>;
  /// Whether an answer belongs to the request that is waited for; one that
  /// does not is passed over, and the connection is not used again.
  using belongs = std::function<bool(const message& answer)>;

  static std::shared_ptr<connection> make(io_context& loop,
                                          loop::timer_queue& timers,
                                          options settings);
  virtual ~connection() = default;

  virtual void open(opened done) = 0;
  /// Sends a request as text and waits for its answer. `method` tells whether
  /// the answer has a body.
  virtual void exchange(std::string text, std::string_view method, belongs mine,
                        finished done) = 0;
  /// Calls `lost` when the connection ends while it is idle.
  virtual void on_idle_close(std::function<void()> lost) = 0;
  /// Whether a request can be sent now; looks for a close not yet handled.
  virtual bool usable() = 0;
  /// Closes at once; a waiting exchange ends as `timed_out`.
  virtual void close() = 0;
};

}  // namespace medlarloft::http
