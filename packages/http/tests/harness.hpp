#pragma once

/// Both ends of a connection on one loop, for the tests of this package.

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
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

/// Longest time of one test.
inline constexpr duration test_limit = seconds(10);

/// Runs the loop until `done` says so; returns whether it did.
inline bool run_until(io_context& loop, const std::function<bool()>& done) {
  const time_point end = steady_clock::now() + test_limit;
  loop.restart();
  while (!done() && steady_clock::now() < end)
    loop.run_one_for(milliseconds(20));
  return done();
}

/// A backend server that answers each read with the next of its texts.
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
  std::deque<std::string> answers;
  /// Closes after the last answer, by a reset if that is wanted.
  bool close_after = false;
  bool reset_after = false;
  std::string received;
  int connections = 0;

 private:
  struct peer {
    explicit peer(tcp::socket from) : socket(std::move(from)) {}
    tcp::socket socket;
    std::array<char, 4096> buffer{};
  };

  void accept() {
    acceptor_.async_accept([this](const auto& failed, tcp::socket socket) {
      if (failed) return;
      ++connections;
      read(std::make_shared<peer>(std::move(socket)));
      accept();
    });
  }

  void read(const std::shared_ptr<peer>& one) {
    one->socket.async_read_some(
        asio::buffer(one->buffer),
        [this, one](const auto& failed, std::size_t count) {
          if (failed) return;
          received.append(one->buffer.data(), count);
          if (answers.empty()) return;
          const std::string text = answers.front();
          answers.pop_front();
          asio::write(one->socket, asio::buffer(text));
          if (reset_after) {
            one->socket.set_option(asio::socket_base::linger(true, 0));
            one->socket.close();
          } else if (close_after || text.empty()) {
            one->socket.close();
          } else {
            read(one);
          }
        });
  }

  tcp::acceptor acceptor_;
};

/// A caller that sends bytes and collects what comes back.
class raw_caller {
 public:
  raw_caller(io_context& loop, const endpoint& to) : socket_(loop) {
    socket_.connect({asio::ip::make_address(to.ip), to.port});
    read();
  }

  void send(const std::string& text) {
    asio::write(socket_, asio::buffer(text));
  }
  void close() { socket_.close(); }

  std::string received;
  bool ended = false;

 private:
  void read() {
    socket_.async_read_some(asio::buffer(buffer_),
                            [this](const auto& failed, std::size_t count) {
                              if (failed) {
                                ended = true;
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
