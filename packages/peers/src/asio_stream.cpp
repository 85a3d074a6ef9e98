#include "asio_stream.hpp"

#include <kj/debug.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>

namespace medlarloft::peers::detail {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using boost::system::error_code;

kj::Exception failure(const error_code& code) {
  return KJ_EXCEPTION(DISCONNECTED, "peer connection", code.message());
}

// Waits for readiness and then reads or writes without blocking. A pending wait
// holds no buffer, so that a dropped promise never writes into freed memory.
class asio_stream final : public kj::AsyncIoStream {
 public:
  explicit asio_stream(tcp::socket socket)
      : socket_(std::make_shared<tcp::socket>(std::move(socket))) {
    error_code ignored;
    socket_->set_option(tcp::no_delay(true), ignored);
    socket_->non_blocking(true, ignored);
  }

  ~asio_stream() noexcept {
    error_code ignored;
    socket_->close(ignored);
  }

  kj::Promise<size_t> tryRead(void* buffer, size_t min_bytes,
                              size_t max_bytes) override {
    return read_at_least(static_cast<char*>(buffer), min_bytes, max_bytes, 0);
  }

  kj::Promise<void> write(const void* buffer, size_t size) override {
    return write_all(static_cast<const char*>(buffer), size);
  }

  kj::Promise<void> write(
      kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> buffers) override {
    if (buffers.size() == 0) return kj::READY_NOW;
    const auto first = buffers[0];
    const auto rest = buffers.slice(1, buffers.size());
    auto first_write = write(first.begin(), first.size());
    if (rest.size() == 0) return first_write;
    return first_write.then([this, rest] { return write(rest); });
  }

  kj::Promise<void> whenWriteDisconnected() override { return kj::NEVER_DONE; }

  void shutdownWrite() override {
    error_code ignored;
    socket_->shutdown(tcp::socket::shutdown_send, ignored);
  }

  void abortRead() override {
    error_code ignored;
    socket_->shutdown(tcp::socket::shutdown_receive, ignored);
  }

 private:
  kj::Promise<void> wait_ready(tcp::socket::wait_type event) {
    auto pair = kj::newPromiseAndFulfiller<void>();
    auto fulfiller = std::make_shared<kj::Own<kj::PromiseFulfiller<void>>>(
        kj::mv(pair.fulfiller));
    socket_->async_wait(
        event, [fulfiller, keep_alive = socket_](const error_code& code) {
          if (code) {
            (*fulfiller)->reject(failure(code));
          } else {
            (*fulfiller)->fulfill();
          }
        });
    return kj::mv(pair.promise);
  }

  kj::Promise<size_t> read_at_least(char* buffer, size_t min_bytes,
                                    size_t max_bytes, size_t received) {
    while (received < min_bytes) {
      error_code code;
      const size_t count = socket_->read_some(
          asio::buffer(buffer + received, max_bytes - received), code);
      if (code == asio::error::would_block || code == asio::error::try_again) {
        return wait_ready(tcp::socket::wait_read)
            .then([this, buffer, min_bytes, max_bytes, received] {
              return read_at_least(buffer, min_bytes, max_bytes, received);
            });
      }
      if (code == asio::error::eof) return received;
      if (code) return failure(code);
      received += count;
    }
    return received;
  }

  kj::Promise<void> write_all(const char* buffer, size_t size) {
    while (size > 0) {
      error_code code;
      const size_t count =
          socket_->write_some(asio::buffer(buffer, size), code);
      if (code == asio::error::would_block || code == asio::error::try_again) {
        return wait_ready(tcp::socket::wait_write).then([this, buffer, size] {
          return write_all(buffer, size);
        });
      }
      if (code) return failure(code);
      buffer += count;
      size -= count;
    }
    return kj::READY_NOW;
  }

  std::shared_ptr<tcp::socket> socket_;
};

// One attempt to connect; the timer closes the socket at the timeout.
struct connect_attempt {
  explicit connect_attempt(asio::io_context& context)
      : socket(context), timer(context) {}
  tcp::socket socket;
  asio::steady_timer timer;
};

}  // namespace

kj::Own<kj::AsyncIoStream> make_stream(tcp::socket socket) {
  return kj::heap<asio_stream>(std::move(socket));
}

void connect(asio::io_context& context, const endpoint& to,
             const std::string& from_ip, duration timeout,
             std::function<void(tcp::socket, std::string)> done) {
  auto attempt = std::make_shared<connect_attempt>(context);
  error_code failed;
  const tcp::endpoint target(asio::ip::make_address(to.ip, failed), to.port);
  if (!failed) attempt->socket.open(target.protocol(), failed);
  if (!failed && !from_ip.empty()) {
    const auto from = asio::ip::make_address(from_ip, failed);
    if (!failed) attempt->socket.bind(tcp::endpoint(from, 0), failed);
  }
  if (failed) {
    done(std::move(attempt->socket), failed.message());
    return;
  }
  attempt->timer.expires_after(timeout);
  attempt->timer.async_wait([attempt](const error_code& cancelled) {
    error_code ignored;
    if (!cancelled) attempt->socket.close(ignored);
  });
  attempt->socket.async_connect(
      target, [attempt, done = std::move(done)](const error_code& refused) {
        attempt->timer.cancel();
        const bool timed_out = !attempt->socket.is_open();
        std::string error;
        if (refused || timed_out) {
          error =
              timed_out ? "connection attempt timed out" : refused.message();
        }
        done(std::move(attempt->socket), std::move(error));
      });
}

}  // namespace medlarloft::peers::detail
