#include "medlarloft/server.hpp"

#include <atomic>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <latch>

#include "control.hpp"
#include "operators.hpp"
#include "worker.hpp"

namespace medlarloft::server {
namespace {

constexpr int http_not_found = 404;
/// How often the end of the running requests is looked for while stopping.
constexpr duration stop_poll = std::chrono::milliseconds(20);
/// Callers that kept an address until the last moment may still connect.
constexpr duration stop_margin = std::chrono::milliseconds(200);
/// Time for the last words to peers to be sent.
constexpr duration farewell = std::chrono::milliseconds(50);

}  // namespace

struct daemon::state {
  explicit state(settings::daemon_settings settings);

  result<void, server_error> start();
  void handle_caller(std::size_t index, const net::http_request& request,
                     net::respond answer);
  peers::traffic_hooks traffic_hooks(std::size_t index);
  void collect_servers(
      const std::function<void(std::vector<leaf_status>)>& done);
  metrics::summary figures() const;
  void on_signal();
  void stop_listening();
  void await_requests();
  void end(std::optional<server_error> error);
  void fan_out(const view_ptr& current);
  net::server_options caller_options() const;

  daemon_context context;
  peers::event_loop control_loop;
  std::vector<worker_port> ports;
  std::vector<std::unique_ptr<worker>> workers;
  std::unique_ptr<control> controller;
  std::unique_ptr<operators> operator_pages;
  std::unique_ptr<net::http_server> callers;
  std::unique_ptr<net::http_server> operator_server;
  std::unique_ptr<peers::traffic_server> peer_server;
  boost::asio::signal_set signals;
  boost::asio::steady_timer stop_timer;
  time_point stop_by{};
  bool stopping = false;
  std::optional<server_error> failure;
};

daemon::state::state(settings::daemon_settings settings)
    : context(std::move(settings)),
      ports(context.settings.traffic_threads),
      signals(control_loop.context(), SIGTERM, SIGINT),
      stop_timer(control_loop.context()) {
  for (std::size_t i = 0; i < ports.size(); ++i) {
    workers.push_back(
        std::make_unique<worker>(context, i, ports.size(), ports));
  }
  controller = std::make_unique<control>(
      context, control_loop,
      control_hooks{
          .publish = [this](const view_ptr& current) { fan_out(current); },
          .word =
              [this](const membership::server_report& word) {
                const std::size_t owner = worker_of(word.leaf, ports.size());
                boost::asio::post(*ports[owner].loop,
                                  [pools = ports[owner].pools, word] {
                                    pools->take_word(word);
                                  });
              },
          .servers = [this](auto done) { collect_servers(std::move(done)); }});
  operator_pages = std::make_unique<operators>(
      context, *controller, [this] { return figures(); },
      [this](auto done) { collect_servers(std::move(done)); });
}

void daemon::state::fan_out(const view_ptr& current) {
  for (const auto& each : workers)
    each->follow(current);
}

metrics::summary daemon::state::figures() const {
  std::vector<const metrics::recorder*> recorders;
  for (const auto& each : workers)
    recorders.push_back(&each->figures());
  return metrics::merge(recorders);
}

// Asks each traffic thread in turn, so that nothing is shared.
void daemon::state::collect_servers(
    const std::function<void(std::vector<leaf_status>)>& done) {
  struct gathering {
    std::vector<leaf_status> all;
    std::size_t missing = 0;
  };
  auto state = std::make_shared<gathering>();
  state->missing = workers.size();
  for (const auto& each : workers) {
    boost::asio::post(each->loop().context(), [this, state, done,
                                               from = each.get()] {
      boost::asio::post(
          control_loop.context(), [state, done, part = from->pools().status()] {
            state->all.insert(state->all.end(), part.begin(), part.end());
            if (--state->missing == 0) done(state->all);
          });
    });
  }
}

net::server_options daemon::state::caller_options() const {
  const settings::caller_settings& values = context.settings.callers;
  return {.listen = context.settings.listen.callers,
          .max_header_bytes = values.max_header_bytes,
          .max_body_bytes = values.max_body_bytes,
          .request_timeout = values.request_timeout,
          .idle_timeout = values.idle_timeout,
          .max_connections = values.max_connections};
}

void daemon::state::handle_caller(std::size_t index,
                                  const net::http_request& request,
                                  net::respond answer) {
  entry& queries = workers[index]->queries();
  if (request.method == "POST" && request.target == "/v1/query") {
    queries.query(request, std::move(answer));
  } else if (request.method == "GET" &&
             request.target.starts_with("/v1/addresses")) {
    queries.addresses(request, answer);
  } else {
    answer({.status = http_not_found,
            .body = R"({"outcome":"invalid","error":"no such page"})"
                    "\n"});
  }
}

peers::traffic_hooks daemon::state::traffic_hooks(std::size_t index) {
  worker& serving = *workers[index];
  return {
      .run = [&serving](
                 const peers::subquery& work,
                 auto reply) { serving.parts().run(work, std::move(reply)); },
      .collect =
          [&serving](std::uint64_t part_id, auto reply) {
            serving.parts().collect(part_id, std::move(reply));
          },
      .cancel =
          [&serving](std::uint64_t part_id,
                     const std::vector<query::attempt_id>& attempts) {
            serving.parts().cancel(part_id, attempts);
          },
      .forward =
          [&serving](const std::string& text, duration remaining, auto reply) {
            serving.queries().forwarded(text, remaining, std::move(reply));
          }};
}

result<void, server_error> daemon::state::start() {
  std::vector<net::io_context*> contexts;
  std::vector<peers::event_loop*> loops;
  for (const auto& each : workers) {
    contexts.push_back(&each->loop().context());
    loops.push_back(&each->loop());
  }
  callers = std::make_unique<net::http_server>(
      contexts, caller_options(),
      [this](std::size_t index, const net::http_request& request,
             net::respond answer) {
        handle_caller(index, request, std::move(answer));
      });
  operator_server = std::make_unique<net::http_server>(
      std::vector<net::io_context*>{&control_loop.context()},
      net::server_options{.listen = context.settings.listen.operators},
      [this](std::size_t, const net::http_request& request,
             net::respond answer) {
        operator_pages->handle(request, std::move(answer));
      });
  peer_server = std::make_unique<peers::traffic_server>(
      loops, context.settings.listen.peers,
      [this](std::size_t index) { return traffic_hooks(index); },
      context.stamping());
  const auto refuse = [](const std::string& text) {
    return server_error{server_errc::cannot_start, text};
  };
  if (auto began = callers->start(); !began) return refuse(began.error().text);
  if (auto began = operator_server->start(); !began) {
    return refuse(began.error().text);
  }
  if (auto began = peer_server->start(); !began) {
    return refuse(began.error().text);
  }
  if (auto began = controller->start(); !began) {
    return refuse(began.error().text);
  }
  signals.async_wait([this](const auto& cancelled, int) {
    if (!cancelled) on_signal();
  });
  return outcome::success();
}

void daemon::state::on_signal() {
  if (stopping) {
    end(server_error{server_errc::stop_limit, "second signal"});
    return;
  }
  stopping = true;
  stop_by = steady_clock::now() + context.settings.stop.limit;
  context.event(timeline::event_kind::stop_began, context.settings.id);
  controller->begin_stop();
  signals.async_wait([this](const auto& cancelled, int) {
    if (!cancelled) on_signal();
  });
  // Callers may keep the addresses they were given for as long as promised.
  stop_timer.expires_after(
      std::min(context.settings.callers.keep_addresses + stop_margin,
               context.settings.stop.limit));
  stop_timer.async_wait([this](const auto& cancelled) {
    if (!cancelled) stop_listening();
  });
}

void daemon::state::stop_listening() {
  callers->close();
  await_requests();
}

void daemon::state::await_requests() {
  const bool idle = callers->running_requests() == 0;
  const bool late = steady_clock::now() >= stop_by;
  if (!idle && !late) {
    stop_timer.expires_after(stop_poll);
    stop_timer.async_wait([this](const auto& cancelled) {
      if (!cancelled) await_requests();
    });
    return;
  }
  if (!idle) {
    end(server_error{server_errc::stop_limit,
                     "requests still run at the stop limit"});
    return;
  }
  controller->finish_stop();
  context.event(timeline::event_kind::stop_finished, context.settings.id);
  stop_timer.expires_after(farewell);
  stop_timer.async_wait([this](const auto&) { end(std::nullopt); });
}

void daemon::state::end(std::optional<server_error> error) {
  failure = std::move(error);
  control_loop.stop();
}

daemon::daemon(settings::daemon_settings settings)
    : state_(std::make_unique<state>(std::move(settings))) {}
daemon::~daemon() = default;

result<void, server_error> daemon::run() {
  state& self = *state_;
  bool workers_run = false;
  self.control_loop.run(
      [&self, &workers_run] {
        auto began = self.start();
        if (!began) {
          self.end(began.error());
          return;
        }
        workers_run = true;
        for (std::size_t i = 0; i < self.workers.size(); ++i) {
          self.workers[i]->start(
              [&self, i] { self.peer_server->close_connections(i); });
        }
      },
      [&self, &workers_run] {
        if (workers_run) {
          for (const auto& each : self.workers)
            each->stop();
          for (const auto& each : self.workers)
            each->join();
        }
        self.controller->close();
        self.signals.cancel();
      });
  if (self.failure) return *self.failure;
  return outcome::success();
}

}  // namespace medlarloft::server
