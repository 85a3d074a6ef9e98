#pragma once

/// Loopback proxies between two processes, for TCP and UDP. They can delay,
/// reset or silently drop traffic, also in one direction only.

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <memory>
#include <set>
#include <string>

#include "medlarloft/loop.hpp"

namespace medlarloft::soak {

enum class link_mode : std::uint8_t {
  forwarding,
  delayed,      // each read is forwarded after a delay
  silent,       // drops data of both directions; new connections hang
  no_response,  // forwards requests, drops responses
  refusing,     // resets new connections
  endless,      // replaces responses by bytes without end
};

/// A TCP proxy that forwards each connection to the target.
class link {
 public:
  link(loop::io_context& loop, loop::timer_queue& timers, endpoint listen,
       endpoint target);
  ~link();
  link(const link&) = delete;
  link& operator=(const link&) = delete;

  void set_mode(link_mode mode);
  link_mode mode() const noexcept { return mode_; }
  /// Resets every open connection.
  void reset_connections();
  /// Stops forwarding on the open connections; new ones work.
  void silence_open_connections();
  const endpoint& listen_endpoint() const noexcept { return listen_; }

 private:
  class proxied_connection;
  void accept();

  loop::io_context& loop_;
  loop::timer_queue& timers_;
  endpoint listen_;
  endpoint target_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::set<std::shared_ptr<proxied_connection>> connections_;
  link_mode mode_ = link_mode::forwarding;
};

/// A UDP proxy that forwards, delays or drops datagrams.
class datagram_link {
 public:
  datagram_link(loop::io_context& loop, loop::timer_queue& timers,
                const endpoint& listen, const endpoint& target);
  datagram_link(const datagram_link&) = delete;
  datagram_link& operator=(const datagram_link&) = delete;

  void set_mode(link_mode mode) { mode_ = mode; }

 private:
  void receive();
  void forward(const std::string& bytes);

  loop::timer_queue& timers_;
  boost::asio::ip::udp::endpoint target_;
  boost::asio::ip::udp::socket socket_;
  boost::asio::ip::udp::endpoint sender_;
  std::string buffer_;
  link_mode mode_ = link_mode::forwarding;
};

}  // namespace medlarloft::soak
