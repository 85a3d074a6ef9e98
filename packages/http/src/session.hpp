#pragma once

/// One connection of a caller. Its requests run one after the other, each once
/// and in the order of their arrival.

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <variant>

#include "parsing.hpp"
#include "server_state.hpp"

namespace medlarloft::http::detail {

class session;

/// The exchange of the request that a session runs.
class session_exchange final : public exchange {
 public:
  session_exchange(std::shared_ptr<session> owner, message request,
                   bool first_on_connection);
  ~session_exchange() override = default;

  const message& request() const noexcept override { return request_; }
  time_point received_at() const noexcept override { return received_at_; }
  bool first_on_connection() const noexcept override {
    return first_on_connection_;
  }
  void respond(message response) override;
  void on_disconnect(std::function<void()> handler) override;
  void caller_disconnected();

 private:
  /// Null once the request has its response or the caller has disconnected.
  std::shared_ptr<session> session_;
  message request_;
  bool first_on_connection_ = false;
  time_point received_at_;
  std::function<void()> on_disconnect_;
};

// The states of a connection.

/// A request is being read, or the connection is idle.
struct receiving {
  request_parser parser;
  /// The first bytes of the request have arrived.
  bool started = false;
  bool continue_sent = false;
};

/// The request waits for its response. Bytes of later requests are kept
/// unparsed.
struct running {
  std::shared_ptr<session_exchange> exchange;
  bool keep_alive = true;
  bool is_head = false;
};

/// A response is being written. After the last one the input is discarded.
struct responding {
  bool last = false;
};

/// The last response was sent; the caller is expected to close.
struct lingering {};
struct closed {};

class session final : public std::enable_shared_from_this<session> {
 public:
  session(std::shared_ptr<server::state> owner,
          boost::asio::ip::tcp::socket socket);

  void start();
  void close();
  /// Whether a request is being read or runs, or its response is being sent.
  bool busy() const noexcept;
  /// Sends the response of the running request.
  void finish_request(const message& response);

 private:
  void receive_next();
  void read();
  void on_read(const boost::system::error_code& failed, std::size_t count);
  void on_read_failed(const boost::system::error_code& failed);
  /// Whether more input may be read now.
  bool wants_input() const noexcept;
  /// Detects a reset connection while no input is read.
  void watch_for_reset();
  void parse();
  void send_continue_if_expected(receiving& state);
  void run_request(receiving& state);
  void reject(int status);
  void reject_unparsable(const boost::system::error_code& reason);
  void send(const message& response, bool last, bool without_body);
  void on_sent(const boost::system::error_code& failed);
  void linger();
  /// Updates the server's total of buffered bytes from this session's state.
  void update_buffered_bytes();
  void set_timeout(time_point expires_at);
  void on_timeout();

  std::shared_ptr<server::state> owner_;
  boost::asio::ip::tcp::socket socket_;
  std::variant<receiving, running, responding, lingering, closed> state_;
  static constexpr std::size_t read_bytes = 4096;
  std::array<char, read_bytes> buffer_{};
  std::string unparsed_;
  http::limits limits_;
  std::size_t buffered_bytes_ = 0;
  loop::timer_queue::handle timer_;
  bool first_request_ = true;
  bool read_pending_ = false;
  bool reset_watch_pending_ = false;
};

}  // namespace medlarloft::http::detail
