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
/// Bytes of later requests that are read while one is running.
constexpr std::size_t max_ahead_bytes = std::size_t{16} << 10;
/// After its last answer a connection is read for so long, so that the answer
/// is not lost by a reset.
constexpr duration linger_time = std::chrono::seconds(1);
constexpr duration accept_pause = std::chrono::milliseconds(20);
constexpr int accept_backlog = 1024;

constexpr int status_bad_request = 400;
constexpr int status_timeout = 408;
constexpr int status_too_large = 413;
constexpr int status_header_too_large = 431;
constexpr int status_unavailable = 503;
/// Memory is free again when the requests that hold it are answered.
constexpr std::string_view retry_when_memory_is_short = "1";

class session;

}  // namespace

struct server::state : std::enable_shared_from_this<server::state> {
  state(io_context& io, loop::timer_queue& queue, options given,
        request_handler handle)
      : loop(io),
        timers(queue),
        settings(std::move(given)),
        handler(std::move(handle)),
        acceptor(io) {}

  void accept();

  io_context& loop;
  loop::timer_queue& timers;
  options settings;
  request_handler handler;
  tcp::acceptor acceptor;
  std::set<std::shared_ptr<session>> sessions;
  std::size_t running = 0;
  /// Bytes of requests that came in and are not answered.
  std::size_t held_bytes = 0;
  bool draining = false;
};

namespace {

// One connection of a caller. Requests on it run one after the other.
class session final : public std::enable_shared_from_this<session> {
 public:
  session(std::shared_ptr<server::state> owner, tcp::socket socket)
      : owner_(std::move(owner)), socket_(std::move(socket)) {}

  void start();
  void close();
  bool busy() const noexcept { return current_ != nullptr || started_; }
  void write_answer(const message& answer);

  class running_exchange final : public exchange {
   public:
    running_exchange(std::shared_ptr<session> owner, message request,
                     bool first)
        : session_(std::move(owner)),
          request_(std::move(request)),
          first_(first),
          received_at_(steady_clock::now()) {}
    ~running_exchange() override = default;
    const message& request() const noexcept override { return request_; }
    time_point received_at() const noexcept override { return received_at_; }
    bool on_new_connection() const noexcept override { return first_; }
    void respond(message answer) override {
      gone_ = nullptr;
      if (auto owner = std::exchange(session_, nullptr)) {
        owner->write_answer(answer);
      }
    }
    void on_gone(std::function<void()> gone) override {
      gone_ = std::move(gone);
    }
    void caller_gone() {
      session_ = nullptr;
      if (gone_) std::exchange(gone_, nullptr)();
    }

   private:
    std::shared_ptr<session> session_;
    message request_;
    bool first_ = false;
    time_point received_at_;
    std::function<void()> gone_;
  };

 private:
  void new_parser();
  void read();
  void on_read(const error_code& failed, std::size_t count);
  void parse();
  void run_request();
  void refuse(int status);
  /// Counts what this connection holds among what all hold.
  void hold(std::size_t bytes);
  void refuse_malformed(const error_code& why);
  void send(const message& answer, bool last);
  void linger();
  void watch_time();

  std::shared_ptr<server::state> owner_;
  tcp::socket socket_;
  std::array<char, read_bytes> buffer_{};
  std::string unparsed_;
  std::optional<detail::request_parser> parser_;
  std::shared_ptr<running_exchange> current_;
  std::string out_;
  http::limits limits_;
  std::size_t held_bytes_ = 0;
  time_point expires_at_{};
  loop::timer_queue::handle timer_;
  bool first_ = true;
  bool started_ = false;
  bool continued_ = false;
  bool caller_keeps_ = true;
  bool is_head_ = false;
  bool reading_ = false;
  bool closed_ = false;
  bool lingering_ = false;
};

void session::start() {
  error_code ignored;
  socket_.set_option(tcp::no_delay(true), ignored);
  new_parser();
  expires_at_ = steady_clock::now() + limits_.idle_timeout;
  watch_time();
  read();
}

void session::new_parser() {
  limits_ = owner_->settings.limits();
  parser_.emplace();
  parser_->eager(true);
  parser_->header_limit(static_cast<std::uint32_t>(limits_.max_header_bytes));
  parser_->body_limit(limits_.max_body_bytes);
  started_ = false;
  continued_ = false;
}

// One timer for each connection; it looks at the time that holds now.
void session::watch_time() {
  timer_ = owner_->timers.at(expires_at_, [me = shared_from_this()] {
    me->timer_ = {};
    if (me->closed_) return;
    if (steady_clock::now() < me->expires_at_) {
      me->watch_time();
    } else if (me->started_ && !me->lingering_) {
      me->refuse(status_timeout);
    } else {
      me->close();
    }
  });
}

void session::close() {
  if (closed_) return;
  closed_ = true;
  hold(0);
  owner_->timers.cancel(timer_);
  error_code ignored;
  socket_.close(ignored);
  if (auto running = std::exchange(current_, nullptr)) {
    --owner_->running;
    running->caller_gone();
  }
  owner_->sessions.erase(shared_from_this());
}

void session::read() {
  if (reading_ || closed_) return;
  reading_ = true;
  socket_.async_read_some(
      asio::buffer(buffer_),
      [me = shared_from_this()](const error_code& failed, std::size_t count) {
        me->reading_ = false;
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
  if (current_ == nullptr) parse();
  if (unparsed_.size() < max_ahead_bytes || current_ == nullptr) read();
}

void session::parse() {
  if (unparsed_.empty() || lingering_ || closed_) return;
  if (!started_) {
    started_ = true;
    expires_at_ = steady_clock::now() + limits_.request_timeout;
    owner_->timers.cancel(timer_);
    watch_time();
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
    refuse_malformed(failed);
    return;
  }
  hold(unparsed_.size() + parser_->get().body().size());
  if (owner_->held_bytes > owner_->settings.max_held_bytes) {
    refuse(status_unavailable);
    return;
  }
  if (parser_->is_done()) {
    run_request();
    return;
  }
  const bool asks = parser_->is_header_done() && !continued_ &&
                    parser_->get().count(detail::beast::http::field::expect);
  if (asks) {
    continued_ = true;
    static const std::string go_on = "HTTP/1.1 100 Continue\r\n\r\n";
    asio::async_write(socket_, asio::buffer(go_on),
                      [me = shared_from_this()](const auto&, std::size_t) {});
  }
}

void session::run_request() {
  const auto& got = parser_->get();
  message request{.method = detail::text_of(got.method_string()),
                  .target = detail::text_of(got.target()),
                  .headers = detail::headers_of(got),
                  .body = std::move(parser_->get().body())};
  caller_keeps_ = parser_->keep_alive();
  is_head_ = request.method == "HEAD";
  expires_at_ = time_point::max();
  owner_->timers.cancel(timer_);
  started_ = false;
  current_ = std::make_shared<running_exchange>(
      shared_from_this(), std::move(request), std::exchange(first_, false));
  ++owner_->running;
  owner_->handler(current_);
}

void session::write_answer(const message& answer) {
  if (closed_ || current_ == nullptr) return;
  current_ = nullptr;
  --owner_->running;
  hold(unparsed_.size());
  send(answer, !caller_keeps_ || owner_->draining);
}

void session::send(const message& answer, bool last) {
  out_.clear();
  out_.append("HTTP/1.1 ").append(std::to_string(answer.status)).append(" ");
  const auto reason = detail::beast::http::obsolete_reason(
      detail::beast::http::int_to_status(static_cast<unsigned>(answer.status)));
  out_.append(reason.data(), reason.size()).append("\r\n");
  for (const header& each : answer.headers)
    out_.append(each.name).append(": ").append(each.value).append("\r\n");
  out_.append("Content-Length: ")
      .append(std::to_string(answer.body.size()))
      .append("\r\n");
  if (last) out_.append("Connection: close\r\n");
  out_.append("\r\n");
  if (!is_head_) out_.append(answer.body);
  // A caller that does not read its answer does not hold the connection.
  expires_at_ = steady_clock::now() + limits_.idle_timeout;
  owner_->timers.cancel(timer_);
  watch_time();
  asio::async_write(
      socket_, asio::buffer(out_),
      [me = shared_from_this(), last](const error_code& failed, std::size_t) {
        if (me->closed_) return;
        if (failed) {
          me->close();
        } else if (last) {
          me->linger();
        } else {
          me->new_parser();
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
  watch_time();
  read();
}

void session::hold(std::size_t bytes) {
  owner_->held_bytes += bytes;
  owner_->held_bytes -= std::exchange(held_bytes_, bytes);
}

void session::refuse(int status) {
  is_head_ = false;
  started_ = false;
  hold(0);
  message answer{.status = status};
  if (status == status_unavailable) {
    answer.headers.push_back(
        {"Retry-After", std::string(retry_when_memory_is_short)});
  }
  send(answer, true);
  lingering_ = true;
}

void session::refuse_malformed(const error_code& why) {
  if (why == error::body_limit) {
    refuse(status_too_large);
  } else if (why == error::header_limit || why == error::buffer_overflow) {
    refuse(status_header_too_large);
  } else {
    refuse(status_bad_request);
  }
}

}  // namespace

void server::state::accept() {
  acceptor.async_accept(
      [me = shared_from_this()](const error_code& failed, tcp::socket socket) {
        if (!me->acceptor.is_open()) return;
        if (failed) {
          // Descriptors may have run out; others close meanwhile.
          me->timers.after(accept_pause, [me] {
            if (me->acceptor.is_open()) me->accept();
          });
          return;
        }
        if (me->sessions.size() < me->settings.max_connections) {
          auto fresh = std::make_shared<session>(me, std::move(socket));
          me->sessions.insert(fresh);
          fresh->start();
        }
        me->accept();
      });
}

server::server(io_context& loop, loop::timer_queue& timers, options settings,
               request_handler handler)
    : state_(std::make_shared<state>(loop, timers, std::move(settings),
                                     std::move(handler))) {}

server::~server() {
  stop_accepting();
  const auto sessions = state_->sessions;
  for (const auto& each : sessions)
    each->close();
}

result<void, http_error> server::start() {
  const endpoint& where = state_->settings.listen;
  error_code failed;
  const auto address = asio::ip::make_address(where.ip, failed);
  tcp::acceptor& acceptor = state_->acceptor;
  if (!failed) acceptor.open(tcp::v4(), failed);
  if (!failed) acceptor.set_option(tcp::acceptor::reuse_address(true), failed);
  if (!failed) acceptor.bind({address, where.port}, failed);
  if (!failed) acceptor.listen(accept_backlog, failed);
  if (failed) {
    return http_error{
        http_errc::cannot_listen,
        "address " + format_endpoint(where) + ": " + failed.message()};
  }
  state_->accept();
  return outcome::success();
}

void server::drain() {
  state_->draining = true;
}

void server::stop_accepting() {
  error_code ignored;
  state_->acceptor.close(ignored);
}

void server::close_idle() {
  const auto sessions = state_->sessions;
  for (const auto& each : sessions)
    if (!each->busy()) each->close();
}

std::size_t server::connections() const noexcept {
  return state_->sessions.size();
}

std::size_t server::running() const noexcept {
  return state_->running;
}

}  // namespace medlarloft::http
