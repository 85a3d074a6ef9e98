#pragma once

/// State of a server that its connections share.

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <set>

#include "medlarloft/http.hpp"

namespace medlarloft::http {

namespace detail {
class session;
}  // namespace detail

struct server::state : std::enable_shared_from_this<server::state> {
  state(io_context& event_loop, loop::timer_queue& queue,
        options server_options, request_handler on_request);

  void accept();
  /// Serves a new connection, or closes it beyond the limit.
  void add_session(boost::asio::ip::tcp::socket socket);

  io_context& loop;
  loop::timer_queue& timers;
  options settings;
  request_handler handler;
  boost::asio::ip::tcp::acceptor acceptor;
  std::set<std::shared_ptr<detail::session>> sessions;
  std::size_t active_requests = 0;
  /// Bytes read from callers of which no response was sent yet, over all
  /// sessions.
  std::size_t buffered_bytes = 0;
  bool draining = false;
  /// The handler must not be called any more.
  bool destroyed = false;
};

}  // namespace medlarloft::http
