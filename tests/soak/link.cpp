#include "link.hpp"

#include <array>
#include <boost/asio/write.hpp>
#include <cstdlib>
#include <utility>
#include <vector>

namespace medlarloft::soak {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t buffer_size = 16384;
constexpr duration forwarding_delay = std::chrono::milliseconds(40);

tcp::endpoint to_asio(const endpoint& value) {
  return {asio::ip::make_address(value.ip), value.port};
}

}  // namespace

// A client connection and its connection to the target.
class link::proxied_connection
    : public std::enable_shared_from_this<proxied_connection> {
 public:
  proxied_connection(link& owner, tcp::socket client_socket)
      : owner_(owner),
        client_socket_(std::move(client_socket)),
        target_socket_(owner.loop_) {}

  void start() {
    target_socket_.async_connect(
        to_asio(owner_.target_),
        [self = shared_from_this()](const error_code& error) {
          if (error) {
            self->reset();
            return;
          }
          self->forward(self->client_socket_, self->target_socket_, true);
          self->forward(self->target_socket_, self->client_socket_, false);
        });
  }

  void reset() {
    if (std::exchange(closed_, true)) return;
    error_code ignored;
    for (tcp::socket* socket : {&client_socket_, &target_socket_}) {
      socket->set_option(asio::socket_base::linger(true, 0), ignored);
      socket->close(ignored);
    }
    owner_.connections_.erase(shared_from_this());
  }

  void stop_forwarding() { stopped_forwarding_ = true; }

  /// Sends bytes that are no response until the client closes.
  void send_endlessly() {
    static const std::string bytes(buffer_size, 'x');
    asio::async_write(
        client_socket_, asio::buffer(bytes),
        [self = shared_from_this()](const error_code& error, std::size_t) {
          if (self->closed_) return;
          if (error || self->owner_.mode_ != link_mode::endless) {
            self->reset();
          } else {
            self->send_endlessly();
          }
        });
  }

 private:
  bool drops_data(bool to_target) const {
    if (stopped_forwarding_ || owner_.mode_ == link_mode::silent) return true;
    return owner_.mode_ == link_mode::no_response && !to_target;
  }

  void forward(tcp::socket& from, tcp::socket& to, bool to_target) {
    auto buffer = std::make_shared<std::vector<char>>(buffer_size);
    from.async_read_some(
        asio::buffer(*buffer),
        [self = shared_from_this(), &from, &to, to_target, buffer](
            const error_code& error, std::size_t count) {
          if (self->closed_) return;
          if (error) {
            self->on_read_error(error, to, to_target);
            return;
          }
          buffer->resize(count);
          const auto write_buffer = [self, &from, &to, to_target, buffer] {
            self->write(from, to, to_target, buffer);
          };
          if (self->owner_.mode_ == link_mode::delayed) {
            self->owner_.timers_.after(forwarding_delay, write_buffer);
          } else {
            write_buffer();
          }
        });
  }

  // After dropped bytes nothing more is forwarded: a TCP stream has no gaps.
  void write(tcp::socket& from, tcp::socket& to, bool to_target,
             const std::shared_ptr<std::vector<char>>& buffer) {
    if (closed_) return;
    if (drops_data(to_target)) {
      stopped_forwarding_ = true;
      return;
    }
    if (owner_.mode_ == link_mode::endless && !to_target) {
      send_endlessly();
      return;
    }
    asio::async_write(to, asio::buffer(*buffer),
                      [self = shared_from_this(), &from, &to, to_target,
                       buffer](const error_code& error, std::size_t) {
                        if (self->closed_) return;
                        if (error) {
                          self->reset();
                        } else {
                          self->forward(from, to, to_target);
                        }
                      });
  }

  void on_read_error(const error_code& error, tcp::socket& to, bool to_target) {
    if (drops_data(to_target)) {
      stopped_forwarding_ = true;
      return;
    }
    if (error != asio::error::eof) {
      reset();
      return;
    }
    error_code ignored;
    to.shutdown(tcp::socket::shutdown_send, ignored);
    if (std::exchange(half_closed_, true)) reset();
  }

  link& owner_;
  tcp::socket client_socket_;
  tcp::socket target_socket_;
  bool stopped_forwarding_ = false;
  bool half_closed_ = false;
  bool closed_ = false;
};

link::link(loop::io_context& loop, loop::timer_queue& timers, endpoint listen,
           endpoint target)
    : loop_(loop),
      timers_(timers),
      listen_(std::move(listen)),
      target_(std::move(target)),
      acceptor_(loop, to_asio(listen_)) {
  accept();
}

link::~link() {
  reset_connections();
}

void link::accept() {
  acceptor_.async_accept([this](const error_code& error, tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    if (!error) {
      auto connection =
          std::make_shared<proxied_connection>(*this, std::move(socket));
      connections_.insert(connection);
      if (mode_ == link_mode::refusing) {
        connection->reset();
      } else if (mode_ == link_mode::silent) {
        connection->stop_forwarding();
      } else {
        connection->start();
      }
    }
    accept();
  });
}

void link::set_mode(link_mode mode) {
  mode_ = mode;
}

void link::reset_connections() {
  const auto open = connections_;
  for (const auto& connection : open)
    connection->reset();
}

void link::silence_open_connections() {
  for (const auto& connection : connections_)
    connection->stop_forwarding();
}

datagram_link::datagram_link(loop::io_context& loop, loop::timer_queue& timers,
                             const endpoint& listen, const endpoint& target)
    : timers_(timers),
      target_(asio::ip::make_address(target.ip), target.port),
      socket_(loop, {asio::ip::make_address(listen.ip), listen.port}) {
  receive();
}

void datagram_link::receive() {
  buffer_.resize(buffer_size);
  socket_.async_receive_from(
      asio::buffer(buffer_), sender_,
      [this](const error_code& error, std::size_t count) {
        if (error == asio::error::operation_aborted) return;
        if (!error && mode_ == link_mode::forwarding) {
          forward(buffer_.substr(0, count));
        } else if (!error && mode_ == link_mode::delayed) {
          timers_.after(
              forwarding_delay,
              [this, bytes = buffer_.substr(0, count)] { forward(bytes); });
        }
        receive();
      });
}

void datagram_link::forward(const std::string& bytes) {
  // Errors are ignored: datagrams may be lost.
  error_code ignored;
  socket_.send_to(asio::buffer(bytes), target_, 0, ignored);
}

}  // namespace medlarloft::soak
