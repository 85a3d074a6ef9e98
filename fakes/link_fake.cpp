#include "link_fake.hpp"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <deque>

namespace medlarloft::fakes {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t chunk_bytes = std::size_t{64} << 10;

}  // namespace

// Both directions of one forwarded connection.
struct link_fake::pair : std::enable_shared_from_this<pair> {
  // Bytes on their way in one direction, each chunk with its time of arrival.
  struct direction {
    direction(asio::io_context& loop, tcp::socket& from_end,
              tcp::socket& to_end)
        : from(from_end), to(to_end), timer(loop) {}
    struct chunk {
      time_point due;
      std::string bytes;
    };
    tcp::socket& from;
    tcp::socket& to;
    asio::steady_timer timer;
    std::array<char, chunk_bytes> buffer{};
    std::deque<chunk> queue;
    bool writing = false;
    bool ended = false;
  };

  explicit pair(asio::io_context& loop)
      : near(loop), far(loop), out(loop, near, far), back(loop, far, near) {}

  void close() {
    error_code ignored;
    near.close(ignored);
    far.close(ignored);
  }

  void read(direction& way) {
    way.from.async_read_some(
        asio::buffer(way.buffer),
        [self = shared_from_this(), &way](error_code failed, std::size_t got) {
          if (failed) {
            way.ended = true;
            self->write_next(way);
            return;
          }
          if (!self->silent) {
            way.queue.push_back({steady_clock::now() + self->delay,
                                 std::string(way.buffer.data(), got)});
            self->write_next(way);
          }
          self->read(way);
        });
  }

  void write_next(direction& way) {
    if (way.writing) return;
    if (way.queue.empty()) {
      error_code ignored;
      if (way.ended && !silent) {
        way.to.shutdown(tcp::socket::shutdown_send, ignored);
      }
      return;
    }
    way.writing = true;
    way.timer.expires_at(way.queue.front().due);
    way.timer.async_wait([self = shared_from_this(), &way](const auto&) {
      asio::async_write(way.to, asio::buffer(way.queue.front().bytes),
                        [self, &way](error_code failed, std::size_t) {
                          way.writing = false;
                          way.queue.pop_front();
                          if (failed) {
                            self->close();
                          } else {
                            self->write_next(way);
                          }
                        });
    });
  }

  tcp::socket near;
  tcp::socket far;
  std::string from_ip;
  duration delay{};
  bool silent = false;
  direction out;
  direction back;
};

link_fake::link_fake(asio::io_context& loop, endpoint listen, endpoint target,
                     link_rule rule)
    : loop_(loop),
      listen_(std::move(listen)),
      target_(std::move(target)),
      rule_(std::move(rule)),
      acceptor_(loop) {}

result<void, std::string> link_fake::start() {
  error_code failed;
  const tcp::endpoint at(asio::ip::make_address(listen_.ip, failed),
                         listen_.port);
  acceptor_.open(at.protocol(), failed);
  if (!failed) {
    acceptor_.set_option(tcp::acceptor::reuse_address(true), failed);
  }
  if (!failed) acceptor_.bind(at, failed);
  if (!failed)
    acceptor_.listen(asio::socket_base::max_listen_connections, failed);
  if (failed) return failed.message();
  accept_next();
  return outcome::success();
}

void link_fake::accept_next() {
  auto fresh = std::make_shared<pair>(loop_);
  acceptor_.async_accept(fresh->near, [this, fresh](error_code failed) {
    if (failed == asio::error::operation_aborted) return;
    accept_next();
    error_code unknown;
    fresh->from_ip = fresh->near.remote_endpoint(unknown).address().to_string();
    const link_state state = rule_(fresh->from_ip, target_);
    if (failed || state.cut) return;
    fresh->delay = state.delay;
    std::erase_if(pairs_, [](const auto& known) { return known.expired(); });
    pairs_.push_back(fresh);
    const tcp::endpoint to(asio::ip::make_address(target_.ip), target_.port);
    fresh->far.async_connect(to, [fresh](error_code refused) {
      if (refused) {
        fresh->close();
        return;
      }
      error_code ignored;
      fresh->near.set_option(tcp::no_delay(true), ignored);
      fresh->far.set_option(tcp::no_delay(true), ignored);
      fresh->read(fresh->out);
      fresh->read(fresh->back);
    });
  });
}

void link_fake::apply() {
  for (const auto& known : pairs_) {
    const auto open = known.lock();
    if (!open) continue;
    const link_state state = rule_(open->from_ip, target_);
    open->delay = state.delay;
    if (state.silent) open->silent = true;
    if (state.cut) open->close();
  }
}

}  // namespace medlarloft::fakes
