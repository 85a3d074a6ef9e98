#include "peer_link.hpp"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "medlarloft/peers.hpp"

namespace medlarloft::tier {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;
using boost::system::error_code;

/// Larger messages would be cut into packets of which each may be lost.
constexpr std::size_t max_datagram_bytes = 1300;
constexpr std::size_t read_bytes = 2048;
constexpr std::size_t max_message_bytes = std::size_t{16} << 20;
constexpr duration transfer_timeout = std::chrono::seconds(2);
/// Transfers from others at once.
constexpr std::size_t max_incoming = 64;

}  // namespace

// One message on its way in; it ends with its connection.
struct peer_link::incoming : std::enable_shared_from_this<peer_link::incoming> {
  incoming(std::shared_ptr<peer_link> link, tcp::socket from)
      : owner(std::move(link)), socket(std::move(from)) {
    ++owner->open_incoming_;
  }
  ~incoming() {
    owner->timers_.cancel(timer);
    --owner->open_incoming_;
  }
  incoming(const incoming&) = delete;
  incoming& operator=(const incoming&) = delete;

  void start() {
    timer = owner->timers_.after(transfer_timeout, [weak = weak_from_this()] {
      const auto me = weak.lock();
      if (!me) return;
      error_code ignored;
      me->socket.close(ignored);
    });
    asio::async_read(
        socket, asio::dynamic_buffer(bytes, max_message_bytes),
        [me = shared_from_this()](const error_code& end, std::size_t) {
          if (end == asio::error::eof) me->owner->take(me->bytes);
        });
  }

  std::shared_ptr<peer_link> owner;
  tcp::socket socket;
  std::string bytes;
  loop::timer_queue::handle timer;
};

struct peer_link::outgoing : std::enable_shared_from_this<peer_link::outgoing> {
  outgoing(std::shared_ptr<peer_link> link, std::string text)
      : owner(std::move(link)), socket(owner->loop_), bytes(std::move(text)) {}
  ~outgoing() { owner->timers_.cancel(timer); }
  outgoing(const outgoing&) = delete;
  outgoing& operator=(const outgoing&) = delete;

  void start(const tcp::endpoint& to) {
    timer = owner->timers_.after(transfer_timeout, [weak = weak_from_this()] {
      const auto me = weak.lock();
      if (!me) return;
      error_code ignored;
      me->socket.close(ignored);
    });
    socket.async_connect(to, [me = shared_from_this()](const error_code& bad) {
      if (!bad) me->write();
    });
  }
  void write() {
    asio::async_write(
        socket, asio::buffer(bytes),
        [me = shared_from_this()](const error_code& bad, std::size_t) {
          error_code ignored;
          if (!bad) {
            me->socket.shutdown(tcp::socket::shutdown_send, ignored);
          }
        });
  }

  std::shared_ptr<peer_link> owner;
  tcp::socket socket;
  std::string bytes;
  loop::timer_queue::handle timer;
};

peer_link::peer_link(http::io_context& io, loop::timer_queue& timers,
                     endpoint self, received told)
    : loop_(io),
      timers_(timers),
      self_(std::move(self)),
      told_(std::move(told)),
      datagrams_(io),
      acceptor_(io) {}

result<void, tier_error> peer_link::start() {
  error_code bad;
  const auto address = asio::ip::make_address(self_.ip, bad);
  if (!bad) datagrams_.open(udp::v4(), bad);
  if (!bad) datagrams_.bind({address, self_.port}, bad);
  if (!bad) datagrams_.non_blocking(true, bad);
  if (!bad) acceptor_.open(tcp::v4(), bad);
  if (!bad) acceptor_.set_option(tcp::acceptor::reuse_address(true), bad);
  if (!bad) acceptor_.bind({address, self_.port}, bad);
  if (!bad) acceptor_.listen(asio::socket_base::max_listen_connections, bad);
  if (bad) {
    return tier_error{
        tier_errc::cannot_start,
        "control address " + format_endpoint(self_) + ": " + bad.message()};
  }
  receive_datagram();
  accept();
  return outcome::success();
}

void peer_link::receive_datagram() {
  datagram_.resize(read_bytes);
  datagrams_.async_receive_from(
      asio::buffer(datagram_), from_,
      [me = shared_from_this()](const error_code& bad, std::size_t count) {
        if (!me->datagrams_.is_open()) return;
        if (!bad) me->take({me->datagram_.data(), count});
        if (me->datagrams_.is_open()) me->receive_datagram();
      });
}

void peer_link::accept() {
  acceptor_.async_accept(
      [me = shared_from_this()](const error_code& bad, tcp::socket socket) {
        if (!me->acceptor_.is_open()) return;
        if (!bad && me->open_incoming_ < max_incoming) {
          std::make_shared<incoming>(me, std::move(socket))->start();
        }
        me->accept();
      });
}

void peer_link::take(std::string_view bytes) {
  const auto message = peers::decode(bytes);
  if (message) told_(message.value());
}

void peer_link::send(const endpoint& to, const membership::message& message) {
  std::string bytes = peers::encode(message);
  sent_bytes_ += bytes.size();
  error_code bad;
  const auto address = asio::ip::make_address(to.ip, bad);
  if (bad) return;
  if (bytes.size() > max_datagram_bytes) {
    std::make_shared<outgoing>(shared_from_this(), std::move(bytes))
        ->start({address, to.port});
    return;
  }
  // A datagram that cannot be sent is like one that is lost on the way.
  datagrams_.send_to(asio::buffer(bytes), {address, to.port}, 0, bad);
}

void peer_link::close() {
  error_code ignored;
  datagrams_.close(ignored);
  acceptor_.close(ignored);
}

}  // namespace medlarloft::tier
