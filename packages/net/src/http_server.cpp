#include <utility>

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <mutex>
#include <optional>
#include <set>

#include "medlarloft/net.hpp"

namespace medlarloft::net {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;
using boost::system::error_code;

constexpr int http_bad_request = 400;
constexpr int http_timeout = 408;
constexpr int http_too_large = 413;
constexpr int http_header_too_large = 431;

// An answer on its way from any thread to the session that waits for it.
struct pending_answer {
  explicit pending_answer(asio::any_io_executor executor)
      : signal(executor, asio::steady_timer::time_point::max()) {}

  asio::steady_timer signal;
  std::optional<http_response> answer;
  std::atomic<bool> given{false};
};

// Cancels the reads of a stream when a request takes too long to arrive.
class read_limit {
 public:
  read_limit(beast::tcp_stream& stream, duration limit)
      : state_(std::make_shared<state>(stream, limit)) {
    state_->timer.async_wait([kept = state_](error_code cancelled) {
      if (cancelled || kept->over) return;
      kept->reached = true;
      kept->stream.cancel();
    });
  }
  ~read_limit() {
    state_->over = true;
    state_->timer.cancel();
  }
  read_limit(const read_limit&) = delete;
  read_limit& operator=(const read_limit&) = delete;

  bool reached() {
    state_->over = true;
    return state_->reached;
  }

 private:
  struct state {
    state(beast::tcp_stream& limited, duration limit)
        : stream(limited), timer(limited.get_executor(), limit) {}
    beast::tcp_stream& stream;
    asio::steady_timer timer;
    bool reached = false;
    bool over = false;
  };
  std::shared_ptr<state> state_;
};

http_response error_answer(int status, const std::string& text) {
  return {.status = status,
          .body = R"({"outcome":"invalid","error":")" + text + "\"}\n"};
}

http_response answer_to(const error_code& failed) {
  if (failed == http::error::body_limit) {
    return error_answer(http_too_large, "body is larger than allowed");
  }
  if (failed == http::error::header_limit) {
    return error_answer(http_header_too_large, "header is larger than allowed");
  }
  if (failed == beast::error::timeout) {
    return error_answer(http_timeout, "request took too long to arrive");
  }
  return error_answer(http_bad_request, "malformed request");
}

}  // namespace

struct http_server::state : std::enable_shared_from_this<state> {
  state(std::vector<io_context*> all, server_options settings,
        http_handler handle)
      : loops(std::move(all)),
        options(std::move(settings)),
        handler(std::move(handle)),
        acceptor(*loops.front()) {}

  void accept_next();
  asio::awaitable<void> serve(std::size_t worker, tcp::socket socket);
  asio::awaitable<bool> serve_one(std::size_t worker, beast::tcp_stream& stream,
                                  beast::flat_buffer& buffer);
  asio::awaitable<http_response> handle(std::size_t worker,
                                        http_request request);
  asio::awaitable<bool> send(beast::tcp_stream& stream, http_response answer,
                             unsigned version, bool keep);
  void track(beast::tcp_stream* stream, bool add);

  std::vector<io_context*> loops;
  server_options options;
  http_handler handler;
  tcp::acceptor acceptor;
  std::size_t next_loop = 0;
  std::atomic<bool> draining{false};
  std::atomic<bool> closing{false};
  std::atomic<std::size_t> connections{0};
  std::atomic<std::size_t> requests{0};
  std::mutex mutex;
  std::set<beast::tcp_stream*> idle;
};

void http_server::state::accept_next() {
  const std::size_t worker = next_loop++ % loops.size();
  acceptor.async_accept(*loops[worker], [self = shared_from_this(), worker](
                                            error_code failed,
                                            tcp::socket socket) {
    if (failed == asio::error::operation_aborted) return;
    if (!failed && self->connections.load() < self->options.max_connections) {
      ++self->connections;
      const auto executor = socket.get_executor();
      asio::co_spawn(
          executor,
          [self, worker, socket = std::move(socket)]() mutable {
            return self->serve(worker, std::move(socket));
          },
          asio::detached);
    }
    self->accept_next();
  });
}

void http_server::state::track(beast::tcp_stream* stream, bool add) {
  const std::lock_guard<std::mutex> guard(mutex);
  if (add) {
    idle.insert(stream);
  } else {
    idle.erase(stream);
  }
}

asio::awaitable<void> http_server::state::serve(std::size_t worker,
                                                tcp::socket socket) {
  const std::shared_ptr<state> self = shared_from_this();
  error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  beast::tcp_stream stream(std::move(socket));
  beast::flat_buffer buffer;
  bool go_on = true;
  while (go_on && !closing.load()) {
    go_on = co_await serve_one(worker, stream, buffer);
  }
  stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
  stream.close();
  --connections;
}

asio::awaitable<http_response> http_server::state::handle(
    std::size_t worker, http_request request) {
  const auto executor = co_await asio::this_coro::executor;
  auto pending = std::make_shared<pending_answer>(executor);
  handler(worker, std::move(request), [pending, executor](http_response ready) {
    if (pending->given.exchange(true)) return;
    asio::post(executor, [pending, ready = std::move(ready)]() mutable {
      pending->answer = std::move(ready);
      pending->signal.cancel();
    });
  });
  error_code woken;
  while (!pending->answer) {
    co_await pending->signal.async_wait(
        asio::redirect_error(asio::use_awaitable, woken));
  }
  co_return std::move(*pending->answer);
}

asio::awaitable<bool> http_server::state::send(beast::tcp_stream& stream,
                                               http_response answer,
                                               unsigned version, bool keep) {
  http::response<http::string_body> message(
      static_cast<http::status>(answer.status), version);
  message.set(http::field::content_type, answer.content_type);
  message.keep_alive(keep);
  message.body() = std::move(answer.body);
  message.prepare_payload();
  stream.expires_after(options.write_timeout);
  error_code failed;
  co_await http::async_write(stream, message,
                             asio::redirect_error(asio::use_awaitable, failed));
  co_return !failed && keep;
}

asio::awaitable<bool> http_server::state::serve_one(
    std::size_t worker, beast::tcp_stream& stream, beast::flat_buffer& buffer) {
  http::request_parser<http::string_body> parser;
  parser.header_limit(static_cast<std::uint32_t>(options.max_header_bytes));
  parser.body_limit(options.max_body_bytes);
  error_code failed;
  if (buffer.size() == 0) {
    // Waits for the first byte, so that an idle connection is told apart
    // from a request that drips in.
    stream.expires_after(options.idle_timeout);
    track(&stream, true);
    const std::size_t got = co_await stream.async_read_some(
        buffer.prepare(4096),
        asio::redirect_error(asio::use_awaitable, failed));
    track(&stream, false);
    buffer.commit(got);
    if (failed) co_return false;
  }
  ++requests;
  stream.expires_never();
  // The stream's own timeout would close the socket before the error answer.
  read_limit limit(stream, options.request_timeout);
  co_await http::async_read(stream, buffer, parser,
                            asio::redirect_error(asio::use_awaitable, failed));
  if (limit.reached()) failed = beast::error::timeout;
  if (failed == http::error::end_of_stream) {
    --requests;
    co_return false;
  }
  constexpr unsigned http_1_1 = 11;
  if (failed) {
    co_await send(stream, answer_to(failed), http_1_1, false);
    --requests;
    co_return false;
  }
  stream.expires_never();
  auto message = parser.release();
  http_request request{std::string(message.method_string()),
                       std::string(message.target()),
                       std::move(message.body()),
                       {}};
  error_code unknown;
  request.remote =
      stream.socket().remote_endpoint(unknown).address().to_string();
  const bool keep = message.keep_alive();
  const unsigned version = message.version();
  http_response answer = co_await handle(worker, std::move(request));
  const bool go_on = co_await send(stream, std::move(answer), version,
                                   keep && !draining.load());
  --requests;
  co_return go_on;
}

http_server::http_server(std::vector<io_context*> loops, server_options options,
                         http_handler handler)
    : state_(std::make_shared<state>(std::move(loops), std::move(options),
                                     std::move(handler))) {}

http_server::~http_server() {
  error_code ignored;
  state_->acceptor.close(ignored);
}

net_result<void> http_server::start() {
  error_code failed;
  const auto& listen = state_->options.listen;
  const tcp::endpoint at(asio::ip::make_address(listen.ip, failed),
                         listen.port);
  tcp::acceptor& acceptor = state_->acceptor;
  if (!failed) acceptor.open(at.protocol(), failed);
  if (!failed) acceptor.set_option(tcp::acceptor::reuse_address(true), failed);
  if (!failed) acceptor.bind(at, failed);
  if (!failed)
    acceptor.listen(asio::socket_base::max_listen_connections, failed);
  if (failed) {
    return net_error{net_errc::cannot_listen, "cannot listen on " +
                                                  format_endpoint(listen) +
                                                  ": " + failed.message()};
  }
  state_->accept_next();
  return outcome::success();
}

void http_server::drain() {
  state_->draining = true;
}

void http_server::close() {
  state_->draining = true;
  state_->closing = true;
  asio::post(*state_->loops.front(), [state = state_] {
    error_code ignored;
    state->acceptor.close(ignored);
  });
  const std::lock_guard<std::mutex> guard(state_->mutex);
  for (beast::tcp_stream* stream : state_->idle) {
    asio::post(stream->get_executor(), [state = state_, stream] {
      const std::lock_guard<std::mutex> inner(state->mutex);
      if (state->idle.contains(stream)) stream->cancel();
    });
  }
}

std::size_t http_server::open_connections() const noexcept {
  return state_->connections.load();
}

std::size_t http_server::running_requests() const noexcept {
  return state_->requests.load();
}

}  // namespace medlarloft::net
