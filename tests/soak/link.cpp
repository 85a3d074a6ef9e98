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

constexpr std::size_t piece_bytes = 16384;
constexpr duration delay = std::chrono::milliseconds(40);

tcp::endpoint to_asio(const endpoint& value) {
  return {asio::ip::make_address(value.ip), value.port};
}

}  // namespace

// Two connections whose bytes are passed on.
class link::pair : public std::enable_shared_from_this<pair> {
 public:
  pair(link& owner, tcp::socket near)
      : owner_(owner), near_(std::move(near)), far_(owner.loop_) {}

  void start() {
    far_.async_connect(to_asio(owner_.target_),
                       [me = shared_from_this()](const error_code& failed) {
                         if (failed) {
                           me->reset();
                           return;
                         }
                         me->pass(me->near_, me->far_, true);
                         me->pass(me->far_, me->near_, false);
                       });
  }

  void reset() {
    if (std::exchange(closed_, true)) return;
    error_code ignored;
    for (tcp::socket* each : {&near_, &far_}) {
      each->set_option(asio::socket_base::linger(true, 0), ignored);
      each->close(ignored);
    }
    owner_.pairs_.erase(shared_from_this());
  }

  void silence() { silent_ = true; }

 private:
  bool drops(bool to_target) const {
    if (silent_ || owner_.mode_ == link_mode::silent) return true;
    return owner_.mode_ == link_mode::no_answer && !to_target;
  }

  void pass(tcp::socket& from, tcp::socket& to, bool to_target) {
    auto piece = std::make_shared<std::vector<char>>(piece_bytes);
    from.async_read_some(asio::buffer(*piece),
                         [me = shared_from_this(), &from, &to, to_target,
                          piece](const error_code& failed, std::size_t count) {
                           if (me->closed_) return;
                           if (failed) {
                             me->end(failed, to, to_target);
                             return;
                           }
                           piece->resize(count);
                           const auto go_on = [me, &from, &to, to_target,
                                               piece] {
                             me->write(from, to, to_target, piece);
                           };
                           if (me->owner_.mode_ == link_mode::delays) {
                             me->owner_.timers_.after(delay, go_on);
                           } else {
                             go_on();
                           }
                         });
  }

  // What is lost on the way is never given later: a stream has no holes.
  void write(tcp::socket& from, tcp::socket& to, bool to_target,
             const std::shared_ptr<std::vector<char>>& piece) {
    if (closed_) return;
    if (drops(to_target)) {
      silent_ = true;
      return;
    }
    asio::async_write(to, asio::buffer(*piece),
                      [me = shared_from_this(), &from, &to, to_target, piece](
                          const error_code& failed, std::size_t) {
                        if (me->closed_) return;
                        if (failed) {
                          me->reset();
                        } else {
                          me->pass(from, to, to_target);
                        }
                      });
  }

  void end(const error_code& failed, tcp::socket& to, bool to_target) {
    if (drops(to_target)) {
      silent_ = true;
      return;
    }
    if (failed != asio::error::eof) {
      reset();
      return;
    }
    error_code ignored;
    to.shutdown(tcp::socket::shutdown_send, ignored);
    if (std::exchange(half_closed_, true)) reset();
  }

  link& owner_;
  tcp::socket near_;
  tcp::socket far_;
  bool silent_ = false;
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
  reset_all();
}

void link::accept() {
  acceptor_.async_accept([this](const error_code& failed, tcp::socket socket) {
    if (failed == asio::error::operation_aborted) return;
    if (!failed) {
      auto fresh = std::make_shared<pair>(*this, std::move(socket));
      pairs_.insert(fresh);
      if (mode_ == link_mode::refuses) {
        fresh->reset();
      } else if (mode_ == link_mode::silent) {
        fresh->silence();
      } else {
        fresh->start();
      }
    }
    accept();
  });
}

void link::set_mode(link_mode mode) {
  mode_ = mode;
}

void link::reset_all() {
  const auto open = pairs_;
  for (const auto& each : open)
    each->reset();
}

void link::silence_open() {
  for (const auto& each : pairs_)
    each->silence();
}

datagram_link::datagram_link(loop::io_context& loop, loop::timer_queue& timers,
                             const endpoint& listen, const endpoint& target)
    : timers_(timers),
      target_(asio::ip::make_address(target.ip), target.port),
      socket_(loop, {asio::ip::make_address(listen.ip), listen.port}) {
  receive();
}

void datagram_link::receive() {
  buffer_.resize(piece_bytes);
  socket_.async_receive_from(
      asio::buffer(buffer_), from_,
      [this](const error_code& failed, std::size_t count) {
        if (failed == asio::error::operation_aborted) return;
        if (!failed && mode_ == link_mode::passes) {
          pass(buffer_.substr(0, count));
        } else if (!failed && mode_ == link_mode::delays) {
          timers_.after(
              delay, [this, bytes = buffer_.substr(0, count)] { pass(bytes); });
        }
        receive();
      });
}

void datagram_link::pass(const std::string& bytes) {
  // One that nobody takes is lost, as datagrams are.
  error_code lost;
  socket_.send_to(asio::buffer(bytes), target_, 0, lost);
}

}  // namespace medlarloft::soak
