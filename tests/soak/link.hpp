#pragma once

/// A loopback proxy between two processes. Connections through it can be
/// delayed, reset, cut one way or silenced.

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <memory>
#include <set>
#include <string>

#include "medlarloft/loop.hpp"

namespace medlarloft::soak {

enum class link_mode : std::uint8_t {
  passes,
  delays,     // each piece waits
  silent,     // nothing passes, both ways; new connections hang
  no_answer,  // requests pass, answers do not
  refuses,    // new connections are reset
};

class link {
 public:
  link(loop::io_context& loop, loop::timer_queue& timers, endpoint listen,
       endpoint target);
  ~link();
  link(const link&) = delete;
  link& operator=(const link&) = delete;

  void set_mode(link_mode mode);
  /// Resets every open connection.
  void reset_all();
  /// Open connections carry nothing any more, new ones work.
  void silence_open();
  const endpoint& listens() const noexcept { return listen_; }

 private:
  class pair;
  void accept();

  loop::io_context& loop_;
  loop::timer_queue& timers_;
  endpoint listen_;
  endpoint target_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::set<std::shared_ptr<pair>> pairs_;
  link_mode mode_ = link_mode::passes;
};

/// The same for datagrams, which are passed on or dropped.
class datagram_link {
 public:
  datagram_link(loop::io_context& loop, loop::timer_queue& timers,
                const endpoint& listen, const endpoint& target);
  datagram_link(const datagram_link&) = delete;
  datagram_link& operator=(const datagram_link&) = delete;

  void set_mode(link_mode mode) { mode_ = mode; }

 private:
  void receive();
  void pass(const std::string& bytes);

  loop::timer_queue& timers_;
  boost::asio::ip::udp::endpoint target_;
  boost::asio::ip::udp::socket socket_;
  boost::asio::ip::udp::endpoint from_;
  std::string buffer_;
  link_mode mode_ = link_mode::passes;
};

}  // namespace medlarloft::soak
