#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <utility>

#include "session.hpp"

namespace medlarloft::http {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr duration accept_retry_delay = std::chrono::milliseconds(20);
constexpr int accept_backlog = 1024;

}  // namespace

server::state::state(io_context& event_loop, loop::timer_queue& queue,
                     options server_options, request_handler on_request)
    : loop(event_loop),
      timers(queue),
      settings(std::move(server_options)),
      handler(std::move(on_request)),
      acceptor(event_loop) {}

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
      std::make_shared<detail::session>(shared_from_this(), std::move(socket));
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
      std::ranges::count_if(state_->sessions, &detail::session::busy));
}

}  // namespace medlarloft::http
