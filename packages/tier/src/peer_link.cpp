#include "peer_link.hpp"

#include <array>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "medlarloft/peers.hpp"

namespace medlarloft::tier {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;
using boost::system::error_code;

/// Larger datagrams would be fragmented, and are lost with any fragment.
constexpr std::size_t max_datagram_bytes = 1300;
constexpr std::size_t receive_buffer_bytes = 2048;
constexpr std::size_t max_message_bytes = std::size_t{16} << 20;
constexpr duration transfer_timeout = std::chrono::seconds(2);
/// Pause after a failed accept, for example while no file descriptor is left.
constexpr duration accept_retry_delay = std::chrono::milliseconds(20);
/// Incoming connections open at the same time.
constexpr std::size_t max_incoming = 64;

}  // namespace

// Receives one message over its own connection.
struct peer_link::incoming : std::enable_shared_from_this<peer_link::incoming> {
  incoming(std::shared_ptr<peer_link> link, tcp::socket peer_socket)
      : owner(std::move(link)), socket(std::move(peer_socket)) {
    ++owner->incoming_count_;
  }
  // The timer stays: pending operations are destroyed after the timer queue.
  ~incoming() { --owner->incoming_count_; }
  incoming(const incoming&) = delete;
  incoming& operator=(const incoming&) = delete;

  void start() {
    timer = owner->timers_.after(transfer_timeout, [weak = weak_from_this()] {
      const auto self = weak.lock();
      if (!self) return;
      error_code ignored;
      self->socket.close(ignored);
    });
    asio::async_read(
        socket, asio::dynamic_buffer(bytes, max_message_bytes),
        [self = shared_from_this()](const error_code& error, std::size_t) {
          self->owner->timers_.cancel(self->timer);
          if (error == asio::error::eof)
            self->owner->handle_message(self->bytes);
        });
  }

  std::shared_ptr<peer_link> owner;
  tcp::socket socket;
  std::string bytes;
  loop::timer_queue::handle timer;
};

// Sends one message over its own connection.
struct peer_link::outgoing : std::enable_shared_from_this<peer_link::outgoing> {
  outgoing(std::shared_ptr<peer_link> link, std::string message,
           std::function<void()> delivered)
      : owner(std::move(link)),
        socket(owner->loop_),
        bytes(std::move(message)),
        on_delivered(std::move(delivered)) {}
  ~outgoing() = default;
  outgoing(const outgoing&) = delete;
  outgoing& operator=(const outgoing&) = delete;

  void start(const tcp::endpoint& to) {
    timer = owner->timers_.after(transfer_timeout, [weak = weak_from_this()] {
      const auto self = weak.lock();
      if (!self) return;
      error_code ignored;
      self->socket.close(ignored);
    });
    socket.async_connect(to,
                         [self = shared_from_this()](const error_code& error) {
                           if (error) {
                             self->owner->timers_.cancel(self->timer);
                           } else {
                             self->write();
                           }
                         });
  }
  void write() {
    asio::async_write(
        socket, asio::buffer(bytes),
        [self = shared_from_this()](const error_code& error, std::size_t) {
          error_code ignored;
          if (!error) {
            self->socket.shutdown(tcp::socket::shutdown_send, ignored);
          }
          if (error || !self->on_delivered) {
            self->owner->timers_.cancel(self->timer);
          } else {
            self->await_close();
          }
        });
  }
  // The receiver closes the connection once it has read everything. Written
  // bytes may still wait in the buffer of the socket.
  void await_close() {
    socket.async_read_some(
        asio::buffer(unused),
        [self = shared_from_this()](const error_code& error, std::size_t) {
          self->owner->timers_.cancel(self->timer);
          if (error == asio::error::eof) self->on_delivered();
        });
  }

  std::shared_ptr<peer_link> owner;
  tcp::socket socket;
  std::string bytes;
  std::function<void()> on_delivered;
  std::array<char, 1> unused{};
  loop::timer_queue::handle timer;
};

peer_link::peer_link(http::io_context& loop, loop::timer_queue& timers,
                     endpoint self, handlers callbacks)
    : loop_(loop),
      timers_(timers),
      self_(std::move(self)),
      handlers_(std::move(callbacks)),
      datagrams_(loop),
      acceptor_(loop) {}

result<void, tier_error> peer_link::start() {
  error_code error;
  const auto address = asio::ip::make_address(self_.ip, error);
  if (!error) datagrams_.open(udp::v4(), error);
  if (!error) datagrams_.bind({address, self_.port}, error);
  if (!error) datagrams_.non_blocking(true, error);
  if (!error) acceptor_.open(tcp::v4(), error);
  if (!error) acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error) acceptor_.bind({address, self_.port}, error);
  if (!error)
    acceptor_.listen(asio::socket_base::max_listen_connections, error);
  if (error) {
    return tier_error{
        tier_errc::cannot_start,
        "control address " + format_endpoint(self_) + ": " + error.message()};
  }
  receive_datagram();
  accept();
  return outcome::success();
}

void peer_link::receive_datagram() {
  datagram_.resize(receive_buffer_bytes);
  datagrams_.async_receive_from(
      asio::buffer(datagram_), from_,
      [self = shared_from_this()](const error_code& error, std::size_t count) {
        if (!self->datagrams_.is_open()) return;
        if (!error) self->handle_message({self->datagram_.data(), count});
        if (self->datagrams_.is_open()) self->receive_datagram();
      });
}

void peer_link::accept() {
  acceptor_.async_accept(
      [self = shared_from_this()](const error_code& error, tcp::socket socket) {
        if (!self->acceptor_.is_open()) return;
        if (error) {
          self->timers_.after(accept_retry_delay, [self] {
            if (self->acceptor_.is_open()) self->accept();
          });
          return;
        }
        if (self->incoming_count_ < max_incoming) {
          std::make_shared<incoming>(self, std::move(socket))->start();
        }
        self->accept();
      });
}

void peer_link::handle_message(std::string_view bytes) {
  const auto message = peers::decode_any(bytes);
  if (!message) return;
  if (const auto* quota = std::get_if<quota::quota_message>(&message.value())) {
    handlers_.on_quota_message(*quota);
  } else {
    handlers_.on_message(std::get<membership::message>(message.value()));
  }
}

void peer_link::send(const endpoint& to, const membership::message& message,
                     std::function<void()> on_delivered) {
  send_bytes(to, peers::encode(message), std::move(on_delivered));
}

void peer_link::send(const endpoint& to, const quota::quota_message& message) {
  send_bytes(to, peers::encode(message), nullptr);
}

void peer_link::send_bytes(const endpoint& to, std::string bytes,
                           std::function<void()> on_delivered) {
  sent_bytes_ += bytes.size();
  error_code error;
  const auto address = asio::ip::make_address(to.ip, error);
  if (error) return;
  if (bytes.size() > max_datagram_bytes) {
    std::make_shared<outgoing>(shared_from_this(), std::move(bytes),
                               std::move(on_delivered))
        ->start({address, to.port});
    return;
  }
  // A send error is ignored: it is handled like a lost datagram.
  datagrams_.send_to(asio::buffer(bytes), {address, to.port}, 0, error);
}

void peer_link::close() {
  error_code ignored;
  datagrams_.close(ignored);
  acceptor_.close(ignored);
}

}  // namespace medlarloft::tier
