#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <cerrno>
#include <charconv>
#include <utility>

#include "parsing.hpp"

namespace medlarloft::http {
namespace detail {

std::optional<duration> idle_limit_of(std::string_view keep_alive) {
  constexpr std::string_view name = "timeout=";
  const std::size_t at = keep_alive.find(name);
  if (at == std::string_view::npos) return std::nullopt;
  const char* begin = keep_alive.data() + at + name.size();
  unsigned seconds = 0;
  const auto read =
      std::from_chars(begin, keep_alive.data() + keep_alive.size(), seconds);
  if (read.ec != std::errc{}) return std::nullopt;
  return std::chrono::seconds(seconds);
}

}  // namespace detail

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t read_bytes = 4096;
constexpr std::size_t max_answer_header_bytes = std::size_t{16} << 10;
/// Probes of the system on a connection that is silent.
constexpr int keep_alive_idle_s = 1;
constexpr int keep_alive_interval_s = 1;
constexpr int keep_alive_probes = 2;

void watch_for_silence(int descriptor, duration limit) {
  const auto set = [descriptor](int level, int name, int value) {
    // Without these a silent connection is only found later; not an error.
    static_cast<void>(
        ::setsockopt(descriptor, level, name, &value, sizeof value));
  };
  const auto limit_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(limit).count();
  set(SOL_SOCKET, SO_KEEPALIVE, 1);
  set(IPPROTO_TCP, TCP_KEEPIDLE, keep_alive_idle_s);
  set(IPPROTO_TCP, TCP_KEEPINTVL, keep_alive_interval_s);
  set(IPPROTO_TCP, TCP_KEEPCNT, keep_alive_probes);
  set(IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(limit_ms));
}

class tcp_connection final : public connection {
 public:
  tcp_connection(io_context& loop, loop::timer_queue& timers, options settings)
      : socket_(loop), timers_(timers), options_(std::move(settings)) {}

  void open(opened done) override;
  void exchange(std::string text, std::string_view method, belongs mine,
                finished done) override;
  void on_idle_close(std::function<void()> lost) override {
    idle_closed_ = std::move(lost);
  }
  bool usable() override;
  void close() override;

 private:
  std::shared_ptr<tcp_connection> self() {
    return std::static_pointer_cast<tcp_connection>(shared_from_this());
  }
  void read();
  void on_read(const error_code& error, std::size_t count);
  void on_end(const error_code& error);
  void feed(std::string_view bytes);
  void new_parser();
  void complete(bool more_bytes);
  void fail(exchange_errc how);
  void shut();

  tcp::socket socket_;
  loop::timer_queue& timers_;
  options options_;
  std::array<char, read_bytes> buffer_{};
  std::optional<detail::response_parser> parser_;
  std::string text_;
  std::string unparsed_;
  std::string method_;
  belongs mine_;
  finished finished_;
  std::function<void()> idle_closed_;
  bool open_ = false;
  bool written_ = true;
  bool tainted_ = false;
};

void tcp_connection::open(opened done) {
  const time_point began = steady_clock::now();
  error_code error;
  const auto address = asio::ip::make_address(options_.to.ip, error);
  if (!error) socket_.open(tcp::v4(), error);
  if (!error && !options_.from_ip.empty()) {
    const auto from = asio::ip::make_address(options_.from_ip, error);
    if (!error) socket_.bind({from, 0}, error);
  }
  if (error) {
    done(false, duration::zero());
    return;
  }
  socket_.set_option(tcp::no_delay(true), error);
  watch_for_silence(socket_.native_handle(), options_.silence_limit);
  struct progress {
    opened done;
    loop::timer_queue::handle timer;
  };
  auto state = std::make_shared<progress>(progress{std::move(done), {}});
  const auto me = self();
  state->timer = timers_.after(options_.connect_timeout, [me, state] {
    state->timer = {};
    me->shut();  // the pending connect ends with an error
  });
  socket_.async_connect({address, options_.to.port},
                        [me, state, began](const error_code& failed) {
                          me->timers_.cancel(state->timer);
                          const bool ok = !failed && me->socket_.is_open();
                          me->open_ = ok;
                          if (ok) me->read();
                          state->done(ok, steady_clock::now() - began);
                        });
}

void tcp_connection::new_parser() {
  parser_.emplace();
  parser_->eager(true);
  parser_->header_limit(max_answer_header_bytes);
  parser_->body_limit(options_.max_answer_bytes);
  if (method_ == "HEAD") parser_->skip(true);
}

void tcp_connection::exchange(std::string text, std::string_view method,
                              belongs mine, finished done) {
  text_ = std::move(text);
  method_ = method;
  mine_ = std::move(mine);
  finished_ = std::move(done);
  new_parser();
  written_ = false;
  asio::async_write(socket_, asio::buffer(text_),
                    [me = self()](const error_code& error, std::size_t) {
                      me->written_ = !error;
                    });
}

void tcp_connection::read() {
  socket_.async_read_some(
      asio::buffer(buffer_),
      [me = self()](const error_code& error, std::size_t count) {
        me->on_read(error, count);
      });
}

void tcp_connection::on_read(const error_code& error, std::size_t count) {
  if (!open_) return;
  if (error) {
    on_end(error);
    return;
  }
  if (!finished_) {
    // Bytes without a request belong to nobody.
    shut();
    if (idle_closed_) std::exchange(idle_closed_, nullptr)();
    return;
  }
  feed({buffer_.data(), count});
  if (open_) read();
}

// Parses what came. Beast leaves the bytes of a line whose end is still to
// come; it wants to see them again together with the rest.
void tcp_connection::feed(std::string_view bytes) {
  std::string joined;
  if (!unparsed_.empty()) {
    joined = std::exchange(unparsed_, {}).append(bytes);
    bytes = joined;
  }
  while (!bytes.empty() && finished_) {
    error_code error;
    const std::size_t used =
        parser_->put(asio::buffer(bytes.data(), bytes.size()), error);
    bytes.remove_prefix(used);
    if (error == detail::beast::http::error::need_more) {
      unparsed_.assign(bytes);
      return;
    }
    if (error) {
      fail(exchange_errc::malformed);
      return;
    }
    if (parser_->is_done()) complete(!bytes.empty());
  }
  if (!bytes.empty()) shut();
}

void tcp_connection::complete(bool more_bytes) {
  constexpr unsigned first_final_status = 200;
  if (parser_->get().result_int() < first_final_status) {
    new_parser();
    return;
  }
  const bool keeps = parser_->keep_alive() && !parser_->need_eof();
  received got{
      .answer = {.status = static_cast<int>(parser_->get().result_int()),
                 .headers = detail::headers_of(parser_->get()),
                 .body = std::move(parser_->get().body())}};
  if (mine_ && !mine_(got.answer)) {
    // A late answer to an earlier request; the next one may be ours.
    tainted_ = true;
    if (!keeps) {
      fail(exchange_errc::lost);
      return;
    }
    new_parser();
    return;
  }
  got.reusable = keeps && written_ && !more_bytes && !tainted_;
  if (const auto kept = got.answer.find("Keep-Alive")) {
    got.idle_limit = detail::idle_limit_of(*kept);
  }
  if (!got.reusable) shut();
  std::exchange(finished_, nullptr)(std::move(got));
}

void tcp_connection::on_end(const error_code& error) {
  if (!finished_) {
    shut();
    if (idle_closed_) std::exchange(idle_closed_, nullptr)();
    return;
  }
  // An answer without a length ends with its connection, but only when that
  // was closed, not reset.
  error_code unfinished;
  if (error == asio::error::eof && unparsed_.empty() && parser_->got_some()) {
    parser_->put_eof(unfinished);
    if (!unfinished && parser_->is_done()) {
      complete(false);
      return;
    }
  }
  fail(exchange_errc::lost);
}

void tcp_connection::fail(exchange_errc how) {
  shut();
  if (finished_) std::exchange(finished_, nullptr)(how);
}

void tcp_connection::shut() {
  open_ = false;
  error_code ignored;
  socket_.close(ignored);
}

bool tcp_connection::usable() {
  if (!open_ || finished_ || tainted_ || !written_) return false;
  char byte = 0;
  const auto seen =
      ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return seen < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void tcp_connection::close() {
  idle_closed_ = nullptr;
  fail(exchange_errc::timed_out);
}

}  // namespace

std::shared_ptr<connection> connection::make(io_context& loop,
                                             loop::timer_queue& timers,
                                             options settings) {
  return std::make_shared<tcp_connection>(loop, timers, std::move(settings));
}

}  // namespace medlarloft::http
