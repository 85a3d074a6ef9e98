#include "session.hpp"

#include <boost/asio/error.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/status.hpp>
#include <utility>

namespace medlarloft::http::detail {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using detail::beast::http::error;

/// Bytes of pipelined requests that are read while a request is active.
constexpr std::size_t max_pipelined_bytes = std::size_t{16} << 10;
/// How long a connection is still read after its last response. Closing it with
/// unread bytes would send a reset, and the caller might lose the response.
constexpr duration linger_time = std::chrono::seconds(1);

constexpr int status_bad_request = 400;
constexpr int status_request_timeout = 408;
constexpr int status_content_too_large = 413;
constexpr int status_header_fields_too_large = 431;
constexpr int status_unavailable = 503;
/// Retry-After in seconds; by then some of the active requests have ended and
/// freed their memory.
constexpr std::string_view buffer_full_retry_after = "1";

std::string serialize_response(const message& response, bool last,
                               bool without_body) {
  std::string text;
  text.append("HTTP/1.1 ").append(std::to_string(response.status)).append(" ");
  const auto reason = beast::http::obsolete_reason(
      beast::http::int_to_status(static_cast<unsigned>(response.status)));
  text.append(reason.data(), reason.size()).append("\r\n");
  for (const header& field : response.headers)
    text.append(field.name).append(": ").append(field.value).append("\r\n");
  text.append("Content-Length: ")
      .append(std::to_string(response.body.size()))
      .append("\r\n");
  if (last) text.append("Connection: close\r\n");
  text.append("\r\n");
  if (!without_body) text.append(response.body);
  return text;
}

}  // namespace

session_exchange::session_exchange(std::shared_ptr<session> owner,
                                   message request, bool first_on_connection)
    : session_(std::move(owner)),
      request_(std::move(request)),
      first_on_connection_(first_on_connection),
      received_at_(steady_clock::now()) {}

void session_exchange::respond(message response) {
  on_disconnect_ = nullptr;
  if (auto owner = std::exchange(session_, nullptr)) {
    owner->finish_request(response);
  }
}

void session_exchange::on_disconnect(std::function<void()> handler) {
  on_disconnect_ = std::move(handler);
}

void session_exchange::caller_disconnected() {
  session_ = nullptr;
  if (on_disconnect_) std::exchange(on_disconnect_, nullptr)();
}

session::session(std::shared_ptr<server::state> owner, tcp::socket socket)
    : owner_(std::move(owner)), socket_(std::move(socket)) {}

void session::start() {
  error_code ignored;
  socket_.set_option(tcp::no_delay(true), ignored);
  receive_next();
  set_timeout(steady_clock::now() + limits_.idle_timeout);
  read();
}

bool session::busy() const noexcept {
  if (const auto* state = std::get_if<receiving>(&state_))
    return state->started;
  return std::holds_alternative<running>(state_) ||
         std::holds_alternative<responding>(state_);
}

void session::receive_next() {
  limits_ = owner_->settings.limits();
  request_parser& parser = state_.emplace<receiving>().parser;
  parser.eager(true);
  parser.header_limit(static_cast<std::uint32_t>(limits_.max_header_bytes));
  parser.body_limit(limits_.max_body_bytes);
}

void session::set_timeout(time_point expires_at) {
  owner_->timers.cancel(timer_);
  if (expires_at == time_point::max()) return;
  timer_ = owner_->timers.at(expires_at, [me = shared_from_this()] {
    me->timer_ = {};
    me->on_timeout();
  });
}

void session::on_timeout() {
  const auto* state = std::get_if<receiving>(&state_);
  if (state && state->started) {
    reject(status_request_timeout);
  } else {
    close();
  }
}

void session::close() {
  if (std::holds_alternative<closed>(state_)) return;
  std::shared_ptr<session_exchange> interrupted;
  if (const auto* state = std::get_if<running>(&state_))
    interrupted = state->exchange;
  state_.emplace<closed>();
  unparsed_.clear();
  update_buffered_bytes();
  owner_->timers.cancel(timer_);
  error_code ignored;
  socket_.close(ignored);
  if (interrupted) {
    --owner_->active_requests;
    interrupted->caller_disconnected();
  }
  owner_->sessions.erase(shared_from_this());
}

bool session::wants_input() const noexcept {
  if (std::holds_alternative<closed>(state_)) return false;
  const auto* response = std::get_if<responding>(&state_);
  const bool keeps_input =
      std::holds_alternative<running>(state_) || (response && !response->last);
  if (!keeps_input) return true;
  return unparsed_.size() < max_pipelined_bytes &&
         owner_->buffered_bytes <= owner_->settings.max_buffered_bytes;
}

void session::read() {
  if (read_pending_) return;
  if (!wants_input()) {
    watch_for_reset();
    return;
  }
  read_pending_ = true;
  socket_.async_read_some(
      asio::buffer(buffer_),
      [me = shared_from_this()](const error_code& failed, std::size_t count) {
        me->read_pending_ = false;
        me->on_read(failed, count);
      });
}

void session::watch_for_reset() {
  if (reset_watch_pending_ || !std::holds_alternative<running>(state_)) return;
  reset_watch_pending_ = true;
  socket_.async_wait(tcp::socket::wait_error, [me = shared_from_this()](
                                                  const error_code& failed) {
    me->reset_watch_pending_ = false;
    if (!failed && std::holds_alternative<running>(me->state_)) me->close();
  });
}

void session::on_read(const error_code& failed, std::size_t count) {
  if (std::holds_alternative<closed>(state_)) return;
  if (failed) {
    on_read_failed(failed);
    return;
  }
  const auto* response = std::get_if<responding>(&state_);
  const bool discards =
      std::holds_alternative<lingering>(state_) || (response && response->last);
  if (!discards) {
    unparsed_.append(buffer_.data(), count);
    update_buffered_bytes();
    parse();
  }
  read();
}

// A caller that closes its sending half is treated as one that has left: its
// request is interrupted, and those that it sent ahead do not run. A response
// that is being written is still completed.
void session::on_read_failed(const error_code& failed) {
  auto* response = std::get_if<responding>(&state_);
  if (failed == asio::error::eof && response) {
    response->last = true;
  } else {
    close();
  }
}

void session::parse() {
  auto* state = std::get_if<receiving>(&state_);
  if (!state || unparsed_.empty()) return;
  if (!state->started) {
    state->started = true;
    set_timeout(steady_clock::now() + limits_.request_timeout);
  }
  request_parser& parser = state->parser;
  std::string_view bytes = unparsed_;
  error_code failed;
  while (!bytes.empty() && !parser.is_done()) {
    const std::size_t used =
        parser.put(asio::buffer(bytes.data(), bytes.size()), failed);
    bytes.remove_prefix(used);
    if (failed) break;
  }
  unparsed_.erase(0, unparsed_.size() - bytes.size());
  if (failed && failed != error::need_more) {
    reject_unparsable(failed);
    return;
  }
  update_buffered_bytes();
  if (owner_->buffered_bytes > owner_->settings.max_buffered_bytes) {
    reject(status_unavailable);
  } else if (parser.is_done()) {
    run_request(*state);
  } else {
    send_continue_if_expected(*state);
  }
}

void session::send_continue_if_expected(receiving& state) {
  const bool expects_continue =
      state.parser.is_header_done() && !state.continue_sent &&
      state.parser.get().count(beast::http::field::expect);
  if (!expects_continue) return;
  state.continue_sent = true;
  static const std::string interim_response = "HTTP/1.1 100 Continue\r\n\r\n";
  asio::async_write(socket_, asio::buffer(interim_response),
                    [me = shared_from_this()](const auto&, std::size_t) {});
}

void session::run_request(receiving& state) {
  auto& parsed = state.parser.get();
  message request{.method = to_string(parsed.method_string()),
                  .target = to_string(parsed.target()),
                  .headers = to_headers(parsed),
                  .body = std::move(parsed.body())};
  const bool keep_alive = state.parser.keep_alive();
  const bool is_head = request.method == "HEAD";
  set_timeout(time_point::max());
  const auto exchange =
      std::make_shared<session_exchange>(shared_from_this(), std::move(request),
                                         std::exchange(first_request_, false));
  state_.emplace<running>(running{
      .exchange = exchange, .keep_alive = keep_alive, .is_head = is_head});
  ++owner_->active_requests;
  owner_->handler(exchange);
}

void session::finish_request(const message& response) {
  const auto* state = std::get_if<running>(&state_);
  if (!state) return;
  --owner_->active_requests;
  send(response, !state->keep_alive || owner_->draining, state->is_head);
}

void session::send(const message& response, bool last, bool without_body) {
  const auto text = std::make_shared<const std::string>(
      serialize_response(response, last, without_body));
  state_.emplace<responding>(responding{.last = last});
  if (last) unparsed_.clear();
  update_buffered_bytes();
  // A caller that does not read its response loses the connection.
  set_timeout(steady_clock::now() + limits_.idle_timeout);
  asio::async_write(
      socket_, asio::buffer(*text),
      [me = shared_from_this(), text](const error_code& failed, std::size_t) {
        me->on_sent(failed);
      });
}

void session::on_sent(const error_code& failed) {
  const auto* state = std::get_if<responding>(&state_);
  if (!state) return;
  if (failed) {
    close();
  } else if (state->last) {
    linger();
  } else {
    receive_next();
    parse();
    read();
  }
}

void session::linger() {
  state_.emplace<lingering>();
  unparsed_.clear();
  update_buffered_bytes();
  error_code ignored;
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
  set_timeout(steady_clock::now() + linger_time);
  read();
}

void session::update_buffered_bytes() {
  std::size_t bytes = unparsed_.size();
  if (auto* state = std::get_if<receiving>(&state_))
    bytes += state->parser.get().body().size();
  if (const auto* state = std::get_if<running>(&state_))
    bytes += state->exchange->request().body.size();
  owner_->buffered_bytes += bytes;
  owner_->buffered_bytes -= std::exchange(buffered_bytes_, bytes);
}

void session::reject(int status) {
  message response{.status = status};
  if (status == status_unavailable) {
    response.headers.push_back(
        {"Retry-After", std::string(buffer_full_retry_after)});
  }
  send(response, true, false);
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

}  // namespace medlarloft::http::detail
