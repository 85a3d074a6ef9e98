#pragma once

/// Sends and receives messages between daemons: small ones as UDP datagrams,
/// large ones over a TCP connection each.

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <memory>
#include <string>

#include "medlarloft/loop.hpp"
#include "medlarloft/membership.hpp"
#include "medlarloft/tier.hpp"

namespace medlarloft::tier {

class peer_link : public std::enable_shared_from_this<peer_link> {
 public:
  struct handlers {
    std::function<void(const membership::message&)> on_message;
    std::function<void(const quota::quota_message&)> on_quota_message;
  };

  peer_link(http::io_context& loop, loop::timer_queue& timers, endpoint self,
            handlers callbacks);

  result<void, tier_error> start();
  /// `on_delivered`, if set, is called once the receiver has read a message
  /// that is too large for a datagram; never, if it does not.
  void send(const endpoint& to, const membership::message& message,
            std::function<void()> on_delivered = nullptr);
  void send(const endpoint& to, const quota::quota_message& message);
  void close();
  std::uint64_t sent_bytes() const noexcept { return sent_bytes_; }

 private:
  void receive_datagram();
  void accept();
  void handle_message(std::string_view bytes);
  void send_bytes(const endpoint& to, std::string bytes,
                  std::function<void()> on_delivered);

  struct incoming;
  struct outgoing;

  http::io_context& loop_;
  loop::timer_queue& timers_;
  endpoint self_;
  handlers handlers_;
  boost::asio::ip::udp::socket datagrams_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::ip::udp::endpoint from_;
  std::string datagram_;
  std::uint64_t sent_bytes_ = 0;
  std::size_t incoming_count_ = 0;
};

}  // namespace medlarloft::tier
