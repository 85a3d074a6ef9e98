#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <utility>

#include "http_session.hpp"
#include "medlarloft/net.hpp"

namespace medlarloft::net {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using boost::system::error_code;

}  // namespace

struct http_server::state : std::enable_shared_from_this<state> {
  state(std::vector<io_context*> all, server_options settings,
        http_handler handle)
      : loops(std::move(all)),
        acceptor(*loops.front()),
        shared(std::make_shared<detail::session_shared>()) {
    shared->options = std::move(settings);
    shared->handler = std::move(handle);
  }

  void accept_next() {
    const std::size_t worker = next_loop++ % loops.size();
    acceptor.async_accept(*loops[worker],
                          [self = shared_from_this(), worker](
                              const error_code& failed, tcp::socket socket) {
                            if (failed == asio::error::operation_aborted)
                              return;
                            if (!failed) self->serve(worker, std::move(socket));
                            self->accept_next();
                          });
  }

  void serve(std::size_t worker, tcp::socket socket) {
    if (shared->connections >= shared->options.max_connections) return;
    const auto session = std::make_shared<detail::http_session>(
        shared, worker, std::move(socket));
    asio::post(*loops[worker], [session] { session->start(); });
  }

  std::vector<io_context*> loops;
  tcp::acceptor acceptor;
  std::shared_ptr<detail::session_shared> shared;
  std::size_t next_loop = 0;
};

http_server::http_server(std::vector<io_context*> loops,
                         const server_options& options,
                         const http_handler& handler)
    : state_(std::make_shared<state>(std::move(loops), options, handler)) {}

http_server::~http_server() {
  error_code ignored;
  state_->acceptor.close(ignored);
}

net_result<void> http_server::start() {
  error_code failed;
  const endpoint& listen = state_->shared->options.listen;
  const tcp::endpoint at(asio::ip::make_address(listen.ip, failed),
                         listen.port);
  tcp::acceptor& acceptor = state_->acceptor;
  if (!failed) acceptor.open(at.protocol(), failed);
  if (!failed) acceptor.set_option(tcp::acceptor::reuse_address(true), failed);
  if (!failed) acceptor.bind(at, failed);
  if (!failed) {
    acceptor.listen(asio::socket_base::max_listen_connections, failed);
  }
  if (failed) {
    return net_error{net_errc::cannot_listen, "cannot listen on " +
                                                  format_endpoint(listen) +
                                                  ": " + failed.message()};
  }
  state_->accept_next();
  return outcome::success();
}

void http_server::drain() {
  state_->shared->draining = true;
}

void http_server::close() {
  state_->shared->draining = true;
  state_->shared->closing = true;
  asio::post(*state_->loops.front(), [state = state_] {
    error_code ignored;
    state->acceptor.close(ignored);
  });
  const std::lock_guard<std::mutex> guard(state_->shared->mutex);
  for (const auto& session : state_->shared->idle)
    session->close_if_idle();
}

std::size_t http_server::open_connections() const noexcept {
  return state_->shared->connections;
}

std::size_t http_server::running_requests() const noexcept {
  return state_->shared->requests;
}

}  // namespace medlarloft::net
