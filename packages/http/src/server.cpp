#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/status.hpp>
#include <cstdint>
#include <set>
#include <utility>

#include "parsing.hpp"

namespace medlarloft::http {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using detail::beast::http::error;

constexpr std::size_t read_bytes = 4096;
/// Bytes of pipelined requests that are read while a request is active.
constexpr std::size_t max_pipelined_bytes = std::size_t{16} << 10;
/// How long a connection is still read after its last response. Closing it with
/// unread bytes would send a reset, and the caller might lose the response.
constexpr duration linger_time = std::chrono::seconds(1);
constexpr duration accept_retry_delay = std::chrono::milliseconds(20);
constexpr int accept_backlog = 1024;

constexpr int status_bad_request = 400;
constexpr int status_request_timeout = 408;
constexpr int status_content_too_large = 413;
constexpr int status_header_fields_too_large = 431;
constexpr int status_unavailable = 503;
/// Retry-After in seconds; by then some of the active requests have ended and
/// freed their memory.
constexpr std::string_view buffer_full_retry_after = "1";

class session;

}  // namespace

struct server::state : std::enable_shared_from_this<server::state> {
  state(io_context& event_loop, loop::timer_queue& queue,
        options server_options, request_handler on_request)
      : loop(event_loop),
        timers(queue),
        settings(std::move(server_options)),
        handler(std::move(on_request)),
        acceptor(event_loop) {}

  void accept();
  /// Serves a new connection, or closes it beyond the limit.
  void add_session(tcp::socket socket);

  io_context& loop;
  loop::timer_queue& timers;
  options settings;
  request_handler handler;
  tcp::acceptor acceptor;
  std::set<std::shared_ptr<session>> sessions;
  std::size_t active_requests = 0;
  /// Bytes of the requests that have no response yet, over all sessions.
  std::size_t buffered_bytes = 0;
  bool draining = false;
  /// The handler must not be called any more.
  bool destroyed = false;
};

namespace {

// One connection of a caller. Its requests run one after the other.
class session final : public std::enable_shared_from_this<session> {
 public:
  session(std::shared_ptr<server::state> owner, tcp::socket socket)
      : owner_(std::move(owner)), socket_(std::move(socket)) {}

  void start();
  void close();
  /// Whether a request is being read or waits for its response.
  bool busy() const noexcept { return active_ != nullptr || reading_request_; }
  void finish_request(const message& response);

  class session_exchange final : public exchange {
   public:
    session_exchange(std::shared_ptr<session> owner, message request,
                     bool first_on_connection)
        : session_(std::move(owner)),
          request_(std::move(request)),
          first_on_connection_(first_on_connection),
          received_at_(steady_clock::now()) {}
    ~session_exchange() override = default;
    const message& request() const noexcept override { return request_; }
    time_point received_at() const noexcept override { return received_at_; }
    bool first_on_connection() const noexcept override {
      return first_on_connection_;
    }
    void respond(message response) override {
      on_disconnect_ = nullptr;
      if (auto owner = std::exchange(session_, nullptr)) {
        owner->finish_request(response);
      }
    }
    void on_disconnect(std::function<void()> handler) override {
      on_disconnect_ = std::move(handler);
    }
    void caller_disconnected() {
      session_ = nullptr;
      if (on_disconnect_) std::exchange(on_disconnect_, nullptr)();
    }

   private:
    std::shared_ptr<session> session_;
    message request_;
    bool first_on_connection_ = false;
    time_point received_at_;
    std::function<void()> on_disconnect_;
  };

 private:
  void reset_parser();
  void read();
  void on_read(const error_code& failed, std::size_t count);
  void parse();
  void run_request();
  void reject(int status);
  /// Sets the bytes that this session buffers and updates the server's total.
  void set_buffered_bytes(std::size_t bytes);
  void reject_unparsable(const error_code& reason);
  void send(const message& response, bool last);
  void linger();
  /// Starts the session's timer for `expires_at_`.
  void start_timer();

  std::shared_ptr<server::state> owner_;
  tcp::socket socket_;
  std::array<char, read_bytes> buffer_{};
  std::string unparsed_;
  std::optional<detail::request_parser> parser_;
  /// The request that waits for its response, if there is one.
  std::shared_ptr<session_exchange> active_;
  std::string response_text_;
  http::limits limits_;
  std::size_t buffered_bytes_ = 0;
  /// When the request, the response or the idle connection times out.
  time_point expires_at_{};
  loop::timer_queue::handle timer_;
  bool first_request_ = true;
  /// Some bytes of a request have arrived, but not all.
  bool reading_request_ = false;
  bool continue_sent_ = false;
  bool caller_keep_alive_ = true;
  bool is_head_request_ = false;
  bool read_pending_ = false;
  bool closed_ = false;
  /// The last response has been queued; further input is discarded.
  bool lingering_ = false;
};

void session::start() {
  error_code ignored;
  socket_.set_option(tcp::no_delay(true), ignored);
  reset_parser();
  expires_at_ = steady_clock::now() + limits_.idle_timeout;
  start_timer();
  read();
}

void session::reset_parser() {
  limits_ = owner_->settings.limits();
  parser_.emplace();
  parser_->eager(true);
  parser_->header_limit(static_cast<std::uint32_t>(limits_.max_header_bytes));
  parser_->body_limit(limits_.max_body_bytes);
  reading_request_ = false;
  continue_sent_ = false;
}

// A session has one timer. If `expires_at_` was moved while the timer waited,
// it starts again for the new time.
void session::start_timer() {
  timer_ = owner_->timers.at(expires_at_, [me = shared_from_this()] {
    me->timer_ = {};
    if (me->closed_) return;
    if (steady_clock::now() < me->expires_at_) {
      me->start_timer();
    } else if (me->reading_request_ && !me->lingering_) {
      me->reject(status_request_timeout);
    } else {
      me->close();
    }
  });
}

void session::close() {
  if (closed_) return;
  closed_ = true;
  set_buffered_bytes(0);
  owner_->timers.cancel(timer_);
  error_code ignored;
  socket_.close(ignored);
  if (auto interrupted = std::exchange(active_, nullptr)) {
    --owner_->active_requests;
    interrupted->caller_disconnected();
  }
  owner_->sessions.erase(shared_from_this());
}

void session::read() {
  if (read_pending_ || closed_) return;
  read_pending_ = true;
  socket_.async_read_some(
      asio::buffer(buffer_),
      [me = shared_from_this()](const error_code& failed, std::size_t count) {
        me->read_pending_ = false;
        me->on_read(failed, count);
      });
}

void session::on_read(const error_code& failed, std::size_t count) {
  if (closed_) return;
  if (failed) {
    close();
    return;
  }
  if (lingering_) {
    read();
    return;
  }
  unparsed_.append(buffer_.data(), count);
  if (active_ == nullptr) parse();
  if (unparsed_.size() < max_pipelined_bytes || active_ == nullptr) read();
}

void session::parse() {
  if (unparsed_.empty() || lingering_ || closed_) return;
  if (!reading_request_) {
    reading_request_ = true;
    expires_at_ = steady_clock::now() + limits_.request_timeout;
    owner_->timers.cancel(timer_);
    start_timer();
  }
  std::string_view bytes = unparsed_;
  error_code failed;
  while (!bytes.empty() && !parser_->is_done()) {
    const std::size_t used =
        parser_->put(asio::buffer(bytes.data(), bytes.size()), failed);
    bytes.remove_prefix(used);
    if (failed) break;
  }
  unparsed_.erase(0, unparsed_.size() - bytes.size());
  if (failed && failed != error::need_more) {
    reject_unparsable(failed);
    return;
  }
  set_buffered_bytes(unparsed_.size() + parser_->get().body().size());
  if (owner_->buffered_bytes > owner_->settings.max_buffered_bytes) {
    reject(status_unavailable);
    return;
  }
  if (parser_->is_done()) {
    run_request();
    return;
  }
  const bool expects_continue =
      parser_->is_header_done() && !continue_sent_ &&
      parser_->get().count(detail::beast::http::field::expect);
  if (expects_continue) {
    continue_sent_ = true;
    static const std::string interim_response = "HTTP/1.1 100 Continue\r\n\r\n";
    asio::async_write(socket_, asio::buffer(interim_response),
                      [me = shared_from_this()](const auto&, std::size_t) {});
  }
}

void session::run_request() {
  const auto& parsed = parser_->get();
  message request{.method = detail::to_string(parsed.method_string()),
                  .target = detail::to_string(parsed.target()),
                  .headers = detail::to_headers(parsed),
                  .body = std::move(parser_->get().body())};
  caller_keep_alive_ = parser_->keep_alive();
  is_head_request_ = request.method == "HEAD";
  expires_at_ = time_point::max();
  owner_->timers.cancel(timer_);
  reading_request_ = false;
  active_ =
      std::make_shared<session_exchange>(shared_from_this(), std::move(request),
                                         std::exchange(first_request_, false));
  ++owner_->active_requests;
  owner_->handler(active_);
}

void session::finish_request(const message& response) {
  if (closed_ || active_ == nullptr) return;
  active_ = nullptr;
  --owner_->active_requests;
  set_buffered_bytes(unparsed_.size());
  send(response, !caller_keep_alive_ || owner_->draining);
}

void session::send(const message& response, bool last) {
  response_text_.clear();
  response_text_.append("HTTP/1.1 ")
      .append(std::to_string(response.status))
      .append(" ");
  const auto reason =
      detail::beast::http::obsolete_reason(detail::beast::http::int_to_status(
          static_cast<unsigned>(response.status)));
  response_text_.append(reason.data(), reason.size()).append("\r\n");
  for (const header& field : response.headers)
    response_text_.append(field.name)
        .append(": ")
        .append(field.value)
        .append("\r\n");
  response_text_.append("Content-Length: ")
      .append(std::to_string(response.body.size()))
      .append("\r\n");
  if (last) response_text_.append("Connection: close\r\n");
  response_text_.append("\r\n");
  if (!is_head_request_) response_text_.append(response.body);
  // A caller that does not read its response loses the connection.
  expires_at_ = steady_clock::now() + limits_.idle_timeout;
  owner_->timers.cancel(timer_);
  start_timer();
  asio::async_write(
      socket_, asio::buffer(response_text_),
      [me = shared_from_this(), last](const error_code& failed, std::size_t) {
        if (me->closed_) return;
        if (failed) {
          me->close();
        } else if (last) {
          me->linger();
        } else {
          me->reset_parser();
          me->parse();
          if (!me->closed_) me->read();
        }
      });
}

void session::linger() {
  lingering_ = true;
  unparsed_.clear();
  error_code ignored;
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
  expires_at_ = steady_clock::now() + linger_time;
  owner_->timers.cancel(timer_);
  start_timer();
  read();
}

void session::set_buffered_bytes(std::size_t bytes) {
  owner_->buffered_bytes += bytes;
  owner_->buffered_bytes -= std::exchange(buffered_bytes_, bytes);
}

void session::reject(int status) {
  is_head_request_ = false;
  reading_request_ = false;
  set_buffered_bytes(0);
  message response{.status = status};
  if (status == status_unavailable) {
    response.headers.push_back(
        {"Retry-After", std::string(buffer_full_retry_after)});
  }
  send(response, true);
  lingering_ = true;
}

void session::reject_unparsable(const error_code& reason) {
  if (reason == error::body_limit) {
    reject(status_content_too_large);
  } else if (reason == error::header_limit ||
             reason == error::buffer_overflow) {
    reject(status_header_fields_too_large);
  } else {
    reject(status_bad_request);
  }
}

}  // namespace

void server::state::accept() {
  acceptor.async_accept(
      [me = shared_from_this()](const error_code& failed, tcp::socket socket) {
        if (me->destroyed) return;
        if (failed && !me->acceptor.is_open()) return;
        if (failed) {
          // The process may be out of file descriptors; retry once other
          // connections may have closed.
          me->timers.after(accept_retry_delay, [me] {
            if (me->acceptor.is_open()) me->accept();
          });
          return;
        }
        me->add_session(std::move(socket));
        // The socket may have been accepted just before the acceptor closed.
        if (me->acceptor.is_open()) me->accept();
      });
}

void server::state::add_session(tcp::socket socket) {
  if (sessions.size() >= settings.max_connections) return;
  auto accepted =
      std::make_shared<session>(shared_from_this(), std::move(socket));
  sessions.insert(accepted);
  accepted->start();
}

server::server(io_context& loop, loop::timer_queue& timers, options settings,
               request_handler handler)
    : state_(std::make_shared<state>(loop, timers, std::move(settings),
                                     std::move(handler))) {}

server::~server() {
  state_->destroyed = true;
  error_code ignored;
  state_->acceptor.close(ignored);
  const auto sessions = state_->sessions;
  for (const auto& open_session : sessions)
    open_session->close();
}

result<void, http_error> server::start() {
  const endpoint& address = state_->settings.listen;
  error_code failed;
  const auto ip = asio::ip::make_address(address.ip, failed);
  tcp::acceptor& acceptor = state_->acceptor;
  if (!failed) acceptor.open(tcp::v4(), failed);
  if (!failed) acceptor.set_option(tcp::acceptor::reuse_address(true), failed);
  if (!failed) acceptor.bind({ip, address.port}, failed);
  if (!failed) acceptor.listen(accept_backlog, failed);
  if (failed) {
    return http_error{
        http_errc::cannot_listen,
        "address " + format_endpoint(address) + ": " + failed.message()};
  }
  state_->accept();
  return outcome::success();
}

void server::drain() {
  state_->draining = true;
}

void server::stop_accepting() {
  tcp::acceptor& acceptor = state_->acceptor;
  if (!acceptor.is_open()) return;
  error_code failed;
  acceptor.cancel(failed);
  acceptor.non_blocking(true, failed);
  while (!failed) {
    tcp::socket waiting = acceptor.accept(failed);
    if (!failed) state_->add_session(std::move(waiting));
  }
  acceptor.close(failed);
}

void server::close_idle_connections() {
  const auto sessions = state_->sessions;
  for (const auto& open_session : sessions)
    if (!open_session->busy()) open_session->close();
}

std::size_t server::open_connections() const noexcept {
  return state_->sessions.size();
}

std::size_t server::active_requests() const noexcept {
  return state_->active_requests;
}

std::size_t server::unfinished_requests() const noexcept {
  return static_cast<std::size_t>(
      std::ranges::count_if(state_->sessions, &session::busy));
}

}  // namespace medlarloft::http
