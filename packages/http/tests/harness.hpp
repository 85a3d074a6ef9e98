#pragma once

/// Fake peers for the tests of this package. They run on the event loop of the
/// test.

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <functional>
#include <string>

#include "medlarloft/http.hpp"

namespace medlarloft::http::testing {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// How long a test waits for a condition.
inline constexpr duration wait_timeout = seconds(10);

/// Runs the loop until `done` returns true or the timeout passes; returns the
/// last value of `done`.
inline bool run_until(io_context& loop, const std::function<bool()>& done) {
  const time_point end = steady_clock::now() + wait_timeout;
  loop.restart();
  while (!done() && steady_clock::now() < end)
    loop.run_one_for(milliseconds(20));
  return done();
}

/// A fake backend server that replies to each read with the next scripted
/// response.
class scripted_leaf {
 public:
  explicit scripted_leaf(io_context& loop)
      : acceptor_(loop, {asio::ip::make_address("127.0.0.1"), 0}) {
    accept();
  }

  endpoint address() const {
    return {"127.0.0.1", acceptor_.local_endpoint().port()};
  }

  /// An empty text closes the connection.
  std::deque<std::string> responses;
  /// Closes the connection after each response.
  bool close_after_response = false;
  /// Resets the connection after each response.
  bool reset_after_response = false;
  /// Sent once, shortly after a response.
  std::string late_text;
  /// Repeated after the first response until the caller closes the connection.
  std::string endless_text;
  /// Pause before each repetition of `endless_text`.
  duration endless_pause{};
  /// Whether a connection that received `endless_text` was closed.
  bool endless_closed = false;
  std::size_t endless_bytes = 0;
  std::string received;
  int connections = 0;

 private:
  struct client {
    explicit client(tcp::socket accepted)
        : socket(std::move(accepted)), timer(socket.get_executor()) {}
    tcp::socket socket;
    asio::steady_timer timer;
    std::array<char, 4096> buffer{};
  };

  void accept() {
    acceptor_.async_accept([this](const auto& failed, tcp::socket socket) {
      if (failed) return;
      ++connections;
      read(std::make_shared<client>(std::move(socket)));
      accept();
    });
  }

  void read(const std::shared_ptr<client>& from) {
    from->socket.async_read_some(
        asio::buffer(from->buffer),
        [this, from](const auto& failed, std::size_t count) {
          if (failed) return;
          received.append(from->buffer.data(), count);
          if (responses.empty()) return;
          const std::string text = responses.front();
          responses.pop_front();
          asio::write(from->socket, asio::buffer(text));
          if (!late_text.empty()) write_late(from);
          if (!endless_text.empty()) {
            write_endlessly(from);
          } else if (reset_after_response) {
            from->socket.set_option(asio::socket_base::linger(true, 0));
            from->socket.close();
          } else if (close_after_response || text.empty()) {
            from->socket.close();
          } else {
            read(from);
          }
        });
  }

  void write_late(const std::shared_ptr<client>& to) {
    to->timer.expires_after(milliseconds(20));
    to->timer.async_wait([this, to](const auto&) {
      asio::write(to->socket, asio::buffer(std::exchange(late_text, {})));
    });
  }

  void write_endlessly(const std::shared_ptr<client>& to) {
    to->timer.expires_after(endless_pause);
    to->timer.async_wait([this, to](const auto&) {
      asio::async_write(to->socket, asio::buffer(endless_text),
                        [this, to](const auto& failed, std::size_t count) {
                          endless_bytes += count;
                          if (failed) {
                            endless_closed = true;
                          } else {
                            write_endlessly(to);
                          }
                        });
    });
  }

  tcp::acceptor acceptor_;
};

/// A fake caller that sends raw bytes and collects the bytes it receives.
class raw_caller {
 public:
  raw_caller(io_context& loop, const endpoint& to) : socket_(loop) {
    socket_.connect({asio::ip::make_address(to.ip), to.port});
    // Otherwise the system may merge the parts of a split request.
    socket_.set_option(tcp::no_delay(true));
    read();
  }

  void send(const std::string& text) {
    asio::write(socket_, asio::buffer(text));
  }
  void close() { socket_.close(); }
  /// Closes only the sending half.
  void shutdown_send() { socket_.shutdown(tcp::socket::shutdown_send); }
  /// Closes the connection with a reset.
  void reset() {
    socket_.set_option(asio::socket_base::linger(true, 0));
    socket_.close();
  }

  std::string received;
  bool disconnected = false;

 private:
  void read() {
    socket_.async_read_some(asio::buffer(buffer_),
                            [this](const auto& failed, std::size_t count) {
                              if (failed) {
                                disconnected = true;
                                return;
                              }
                              received.append(buffer_.data(), count);
                              read();
                            });
  }

  tcp::socket socket_;
  std::array<char, 4096> buffer_{};
};

}  // namespace medlarloft::http::testing
