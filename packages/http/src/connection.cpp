#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <cerrno>
#include <charconv>
#include <utility>

#include "parsing.hpp"

namespace medlarloft::http {
namespace detail {

std::optional<duration> parse_keep_alive_timeout(std::string_view keep_alive) {
  constexpr std::string_view name = "timeout=";
  const std::size_t position = keep_alive.find(name);
  if (position == std::string_view::npos) return std::nullopt;
  const char* begin = keep_alive.data() + position + name.size();
  unsigned seconds = 0;
  const auto parsed =
      std::from_chars(begin, keep_alive.data() + keep_alive.size(), seconds);
  if (parsed.ec != std::errc{}) return std::nullopt;
  return std::chrono::seconds(seconds);
}

}  // namespace detail

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t read_bytes = 4096;
constexpr std::size_t max_response_header_bytes = std::size_t{16} << 10;
/// Limit on a line that has no end yet, such as the header of a chunk, and on
/// the trailer fields of a chunked body.
constexpr std::size_t max_unparsed_bytes = max_response_header_bytes;
/// Interim responses and responses to earlier requests before the response to
/// the pending request.
constexpr int max_skipped_responses = 8;
/// TCP keep-alive probes detect a peer that disappeared without a reset.
constexpr int probe_idle_s = 1;
constexpr int probe_interval_s = 1;
constexpr int probe_count = 2;

// The parser takes any three digits. Other status codes than those of RFC 9110,
// section 15, mean nothing to a caller, so that they are no response.
bool is_valid_status(unsigned status) {
  constexpr unsigned first_status = 100;
  constexpr unsigned last_status = 599;
  return status >= first_status && status <= last_status;
}

bool is_interim(unsigned status) {
  constexpr unsigned first_final_status = 200;
  return status < first_final_status;
}

void set_tcp_timeouts(int descriptor, duration user_timeout) {
  const auto set = [descriptor](int level, int name, int value) {
    // An option that cannot be set is no error: a dead connection is then only
    // found later.
    static_cast<void>(
        ::setsockopt(descriptor, level, name, &value, sizeof value));
  };
  const auto user_timeout_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(user_timeout)
          .count();
  set(SOL_SOCKET, SO_KEEPALIVE, 1);
  set(IPPROTO_TCP, TCP_KEEPIDLE, probe_idle_s);
  set(IPPROTO_TCP, TCP_KEEPINTVL, probe_interval_s);
  set(IPPROTO_TCP, TCP_KEEPCNT, probe_count);
  set(IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(user_timeout_ms));
}

class tcp_connection final : public connection {
 public:
  tcp_connection(io_context& loop, loop::timer_queue& timers, options settings)
      : socket_(loop), timers_(timers), options_(std::move(settings)) {}
  ~tcp_connection() override { release_memory(); }
  tcp_connection(const tcp_connection&) = delete;
  tcp_connection& operator=(const tcp_connection&) = delete;

  void open(open_handler on_open) override;
  void send_request(std::string text, std::string_view method,
                    response_matcher matches,
                    response_handler on_response) override;
  void on_idle_close(std::function<void()> handler) override {
    on_idle_close_ = std::move(handler);
  }
  bool usable() override;
  void close() override;

 private:
  std::shared_ptr<tcp_connection> self() {
    return std::static_pointer_cast<tcp_connection>(shared_from_this());
  }
  void read();
  void on_read(const error_code& error, std::size_t count);
  void on_read_error(const error_code& error);
  void parse(std::string_view bytes);
  void reset_parser();
  void complete_response(bool has_excess_bytes);
  /// Continues with the next response of the peer, up to a limit.
  void skip_response();
  /// Accounts for the bytes of the unfinished response; false over the limit.
  bool reserve_memory();
  void release_memory();
  void fail(response_errc reason);
  void close_socket();

  tcp::socket socket_;
  loop::timer_queue& timers_;
  options options_;
  std::array<char, read_bytes> buffer_{};
  std::optional<detail::response_parser> parser_;
  std::string request_text_;
  std::string unparsed_;
  std::string method_;
  response_matcher matches_;
  /// Set while a request is pending.
  response_handler on_response_;
  std::function<void()> on_idle_close_;
  std::size_t reserved_bytes_ = 0;
  bool open_ = false;
  bool request_written_ = true;
  /// A late response to an earlier request was skipped; the connection is not
  /// reused.
  bool skipped_response_ = false;
  /// Interim and skipped responses since the request was sent.
  int skipped_count_ = 0;
  /// Requests sent on this connection.
  std::uint64_t request_count_ = 0;
};

void tcp_connection::open(open_handler on_open) {
  const time_point started_at = steady_clock::now();
  error_code error;
  const auto address = asio::ip::make_address(options_.to.ip, error);
  if (!error) socket_.open(tcp::v4(), error);
  if (!error && !options_.from_ip.empty()) {
    const auto from = asio::ip::make_address(options_.from_ip, error);
    if (!error) socket_.bind({from, 0}, error);
  }
  if (error) {
    asio::post(socket_.get_executor(), [on_open = std::move(on_open)] {
      on_open(false, duration::zero());
    });
    return;
  }
  socket_.set_option(tcp::no_delay(true), error);
  set_tcp_timeouts(socket_.native_handle(), options_.tcp_user_timeout);
  struct pending_open {
    open_handler on_open;
    loop::timer_queue::handle timer;
  };
  auto state =
      std::make_shared<pending_open>(pending_open{std::move(on_open), {}});
  const auto me = self();
  state->timer = timers_.after(options_.connect_timeout, [me, state] {
    state->timer = {};
    me->close_socket();  // the pending connect fails
  });
  socket_.async_connect({address, options_.to.port},
                        [me, state, started_at](const error_code& failed) {
                          me->timers_.cancel(state->timer);
                          const bool ok = !failed && me->socket_.is_open();
                          me->open_ = ok;
                          if (ok) me->read();
                          state->on_open(ok, steady_clock::now() - started_at);
                        });
}

void tcp_connection::reset_parser() {
  parser_.emplace();
  parser_->eager(true);
  parser_->header_limit(max_response_header_bytes);
  parser_->body_limit(options_.max_response_bytes);
  if (method_ == "HEAD") parser_->skip(true);
}

void tcp_connection::send_request(std::string text, std::string_view method,
                                  response_matcher matches,
                                  response_handler on_response) {
  request_text_ = std::move(text);
  method_ = method;
  matches_ = std::move(matches);
  on_response_ = std::move(on_response);
  skipped_count_ = 0;
  ++request_count_;
  reset_parser();
  request_written_ = false;
  asio::async_write(socket_, asio::buffer(request_text_),
                    [me = self()](const error_code& error, std::size_t) {
                      me->request_written_ = !error;
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
    on_read_error(error);
    return;
  }
  if (!on_response_) {
    // The peer sent bytes without a request.
    close_socket();
    if (on_idle_close_) std::exchange(on_idle_close_, nullptr)();
    return;
  }
  parse({buffer_.data(), count});
  if (open_) read();
}

// Beast does not consume an incomplete line. Its bytes stay in `unparsed_` and
// are parsed again together with the bytes that follow.
void tcp_connection::parse(std::string_view bytes) {
  std::string joined;
  if (!unparsed_.empty()) {
    joined = std::exchange(unparsed_, {}).append(bytes);
    bytes = joined;
  }
  while (!bytes.empty() && on_response_) {
    error_code error;
    const std::size_t used =
        parser_->put(asio::buffer(bytes.data(), bytes.size()), error);
    bytes.remove_prefix(used);
    if (error == detail::beast::http::error::need_more) {
      unparsed_.assign(bytes);
      break;
    }
    if (error) {
      fail(response_errc::malformed);
      return;
    }
    if (parser_->is_done()) complete_response(!bytes.empty());
  }
  const bool over_limit =
      unparsed_.size() > max_unparsed_bytes || !reserve_memory();
  if (on_response_ && over_limit) {
    fail(response_errc::malformed);
  } else if (!bytes.empty() && !on_response_) {
    close_socket();
  }
}

void tcp_connection::skip_response() {
  if (++skipped_count_ > max_skipped_responses) {
    fail(response_errc::malformed);
  } else {
    reset_parser();
  }
}

bool tcp_connection::reserve_memory() {
  if (!options_.memory || !parser_) return true;
  const std::size_t bytes =
      unparsed_.capacity() + parser_->get().body().capacity();
  if (!options_.memory->try_resize(reserved_bytes_, bytes)) return false;
  reserved_bytes_ = bytes;
  return true;
}

void tcp_connection::release_memory() {
  if (!options_.memory) return;
  options_.memory->try_resize(std::exchange(reserved_bytes_, 0), 0);
}

void tcp_connection::complete_response(bool has_excess_bytes) {
  const unsigned status = parser_->get().result_int();
  if (!is_valid_status(status)) {
    fail(response_errc::malformed);
    return;
  }
  if (is_interim(status)) {
    skip_response();
    return;
  }
  const bool persistent = parser_->keep_alive() && !parser_->need_eof();
  received_response received{
      .response = {.status = static_cast<int>(parser_->get().result_int()),
                   .headers = detail::to_headers(parser_->get()),
                   .body = std::move(parser_->get().body())}};
  const response_match match =
      matches_ ? matches_(received.response) : response_match::matches;
  if (match == response_match::unmarked && request_count_ > 1) {
    fail(response_errc::malformed);
    return;
  }
  if (match == response_match::other) {
    // A late response to an earlier request; the response to this one may
    // follow.
    skipped_response_ = true;
    if (!persistent) {
      fail(response_errc::connection_lost);
      return;
    }
    skip_response();
    return;
  }
  received.reusable =
      persistent && request_written_ && !has_excess_bytes && !skipped_response_;
  if (const auto value = received.response.find("Keep-Alive")) {
    received.keep_alive_timeout = detail::parse_keep_alive_timeout(*value);
  }
  release_memory();
  if (!received.reusable) close_socket();
  std::exchange(on_response_, nullptr)(std::move(received));
}

void tcp_connection::on_read_error(const error_code& error) {
  if (!on_response_) {
    close_socket();
    if (on_idle_close_) std::exchange(on_idle_close_, nullptr)();
    return;
  }
  // A response without a length ends when the peer closes the connection. A
  // reset does not end it: bytes may be missing.
  error_code incomplete;
  if (error == asio::error::eof && unparsed_.empty() && parser_->got_some()) {
    parser_->put_eof(incomplete);
    if (!incomplete && parser_->is_done()) {
      complete_response(false);
      return;
    }
  }
  fail(response_errc::connection_lost);
}

void tcp_connection::fail(response_errc reason) {
  close_socket();
  parser_.reset();
  unparsed_ = {};
  release_memory();
  if (on_response_) std::exchange(on_response_, nullptr)(reason);
}

void tcp_connection::close_socket() {
  open_ = false;
  error_code ignored;
  socket_.close(ignored);
}

bool tcp_connection::usable() {
  if (!open_ || on_response_ || skipped_response_ || !request_written_)
    return false;
  char byte = 0;
  const auto peeked =
      ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return peeked < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void tcp_connection::close() {
  on_idle_close_ = nullptr;
  fail(response_errc::timed_out);
}

}  // namespace

std::shared_ptr<connection> connection::make(io_context& loop,
                                             loop::timer_queue& timers,
                                             options settings) {
  return std::make_shared<tcp_connection>(loop, timers, std::move(settings));
}

}  // namespace medlarloft::http
