#include <capnp/rpc-twoparty.h>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <list>

#include "asio_stream.hpp"
#include "wire_codec.hpp"

namespace medlarloft::peers {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using boost::system::error_code;

// Returns a promise and the callback that fulfils it with an answer.
template <class Value>
std::pair<kj::Promise<void>, std::function<void(Value)>> reply_promise(
    std::function<void(const Value&)> write) {
  auto pair = kj::newPromiseAndFulfiller<void>();
  auto fulfiller = std::make_shared<kj::Own<kj::PromiseFulfiller<void>>>(
      kj::mv(pair.fulfiller));
  return {kj::mv(pair.promise),
          [fulfiller, write = std::move(write)](Value value) {
            // The client may have dropped the call.
            if (!(*fulfiller)->isWaiting()) return;
            write(value);
            (*fulfiller)->fulfill();
          }};
}

class traffic_service final : public wire::Traffic::Server {
 public:
  traffic_service(traffic_hooks hooks, clock_callbacks clock)
      : hooks_(std::move(hooks)), clock_(std::move(clock)) {}

  kj::Promise<void> run(RunContext context) override {
    const auto work = context.getParams().getPart();
    clock_.merge(detail::read(work.getStamp()));
    auto [promise, reply] = reply_promise<subquery_answer>(
        [this, context](const subquery_answer& answer) mutable {
          write(answer, context.getResults().initAnswer());
        });
    hooks_.run(detail::read(work), std::move(reply));
    return kj::mv(promise);
  }

  kj::Promise<void> collect(CollectContext context) override {
    auto [promise, reply] = reply_promise<subquery_answer>(
        [this, context](const subquery_answer& answer) mutable {
          write(answer, context.getResults().initAnswer());
        });
    hooks_.collect(context.getParams().getPartId(), std::move(reply));
    return kj::mv(promise);
  }

  kj::Promise<void> cancel(CancelContext context) override {
    const auto requested = context.getParams().getAttempts();
    std::vector<query::attempt_id> attempts;
    attempts.reserve(requested.size());
    for (const std::uint64_t attempt : requested)
      attempts.push_back(attempt);
    hooks_.cancel(context.getParams().getPartId(), std::move(attempts));
    return kj::READY_NOW;
  }

  kj::Promise<void> forward(ForwardContext context) override {
    const auto params = context.getParams();
    clock_.merge(detail::read(params.getStamp()));
    auto [promise, reply] = reply_promise<forwarded_answer>(
        [this, context](const forwarded_answer& answer) mutable {
          auto results = context.getResults();
          results.setStatus(static_cast<std::uint16_t>(answer.status));
          results.setAnswer(answer.body);
          detail::write(clock_.tick(), results.initStamp());
        });
    hooks_.forward(detail::text_of(params.getRequest()),
                   std::chrono::duration_cast<duration>(
                       std::chrono::nanoseconds(params.getRemaining())),
                   std::move(reply));
    return kj::mv(promise);
  }

 private:
  void write(const subquery_answer& answer, wire::PartAnswer::Builder to) {
    detail::write(answer, to);
    detail::write(clock_.tick(), to.initStamp());
  }

  traffic_hooks hooks_;
  clock_callbacks clock_;
};

class control_service final : public wire::Control::Server {
 public:
  control_service(control_server::message_handler on_message,
                  clock_callbacks clock)
      : on_message_(std::move(on_message)), clock_(std::move(clock)) {}

  kj::Promise<void> deliver(DeliverContext context) override {
    const auto message = context.getParams().getMessage();
    clock_.merge(detail::read(message.getStamp()));
    on_message_(detail::read(message));
    return kj::READY_NOW;
  }

 private:
  control_server::message_handler on_message_;
  clock_callbacks clock_;
};

// The accepted connections of one loop.
class accepted_connections {
 public:
  void add(tcp::socket socket, capnp::Capability::Client service) {
    connections_.emplace_back(detail::make_stream(std::move(socket)),
                              kj::mv(service));
    const auto added = std::prev(connections_.end());
    added->watch = added->network.onDisconnect()
                       .then([this, added] { disconnected_.push_back(added); })
                       .eagerlyEvaluate(nullptr);
    // Closed connections are freed here, outside of their own promises.
    for (const auto& closed : std::exchange(disconnected_, {}))
      connections_.erase(closed);
  }

  void close_connections() {
    disconnected_.clear();
    connections_.clear();
  }

 private:
  struct connection {
    connection(kj::Own<kj::AsyncIoStream> opened,
               capnp::Capability::Client bootstrap)
        : stream(kj::mv(opened)),
          network(*stream, capnp::rpc::twoparty::Side::SERVER),
          rpc(capnp::makeRpcServer(network, kj::mv(bootstrap))) {}
    kj::Own<kj::AsyncIoStream> stream;
    capnp::TwoPartyVatNetwork network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc;
    kj::Promise<void> watch = nullptr;
  };

  std::list<connection> connections_;
  std::vector<std::list<connection>::iterator> disconnected_;
};

peer_result<void> listen_on(tcp::acceptor& acceptor, const endpoint& listen) {
  error_code failed;
  const tcp::endpoint address(asio::ip::make_address(listen.ip, failed),
                              listen.port);
  if (!failed) acceptor.open(address.protocol(), failed);
  if (!failed) acceptor.set_option(tcp::acceptor::reuse_address(true), failed);
  if (!failed) acceptor.bind(address, failed);
  if (!failed)
    acceptor.listen(asio::socket_base::max_listen_connections, failed);
  if (failed) {
    return peer_error{peer_errc::not_connected, "cannot listen on " +
                                                    format_endpoint(listen) +
                                                    ": " + failed.message()};
  }
  return outcome::success();
}

}  // namespace

struct traffic_server::state : std::enable_shared_from_this<state> {
  state(std::vector<event_loop*> all_loops, endpoint address,
        hooks_factory factory, clock_callbacks callbacks)
      : loops(std::move(all_loops)),
        listen(std::move(address)),
        make_hooks(std::move(factory)),
        clock(std::move(callbacks)),
        acceptor(loops.front()->context()),
        connections(loops.size()) {}

  void accept_next() {
    const std::size_t loop_index = next++ % loops.size();
    io_context& serving = loops[loop_index]->context();
    acceptor.async_accept(
        serving, [self = shared_from_this(), loop_index, &serving](
                     error_code failed, tcp::socket socket) {
          if (failed == asio::error::operation_aborted) return;
          if (!failed) {
            asio::post(serving, [self, loop_index,
                                 socket = std::move(socket)]() mutable {
              self->connections[loop_index].add(
                  std::move(socket),
                  kj::heap<traffic_service>(self->make_hooks(loop_index),
                                            self->clock));
            });
          }
          self->accept_next();
        });
  }

  std::vector<event_loop*> loops;
  endpoint listen;
  hooks_factory make_hooks;
  clock_callbacks clock;
  tcp::acceptor acceptor;
  std::size_t next = 0;
  std::vector<accepted_connections> connections;
};

traffic_server::traffic_server(std::vector<event_loop*> loops, endpoint listen,
                               hooks_factory make_hooks, clock_callbacks clock)
    : state_(std::make_shared<state>(std::move(loops), std::move(listen),
                                     std::move(make_hooks), std::move(clock))) {
}
traffic_server::~traffic_server() = default;

peer_result<void> traffic_server::start() {
  BOOST_OUTCOME_TRYV(listen_on(state_->acceptor, state_->listen));
  state_->accept_next();
  return outcome::success();
}

void traffic_server::close() {
  asio::post(state_->loops.front()->context(), [state = state_] {
    error_code ignored;
    state->acceptor.close(ignored);
  });
}

void traffic_server::close_connections(std::size_t loop_index) {
  state_->connections[loop_index].close_connections();
}

struct control_server::state : std::enable_shared_from_this<state> {
  state(event_loop& rpc_loop, endpoint address, message_handler handler,
        clock_callbacks callbacks)
      : loop(rpc_loop),
        listen(std::move(address)),
        on_message(std::move(handler)),
        clock(std::move(callbacks)),
        acceptor(loop.context()) {}

  void accept_next() {
    acceptor.async_accept(
        [self = shared_from_this()](error_code failed, tcp::socket socket) {
          if (failed == asio::error::operation_aborted) return;
          if (!failed) {
            self->connections.add(
                std::move(socket),
                kj::heap<control_service>(self->on_message, self->clock));
          }
          self->accept_next();
        });
  }

  event_loop& loop;
  endpoint listen;
  message_handler on_message;
  clock_callbacks clock;
  tcp::acceptor acceptor;
  accepted_connections connections;
};

control_server::control_server(event_loop& loop, endpoint listen,
                               message_handler on_message,
                               clock_callbacks clock)
    : state_(std::make_shared<state>(
          loop, std::move(listen), std::move(on_message), std::move(clock))) {}

control_server::~control_server() = default;

peer_result<void> control_server::start() {
  BOOST_OUTCOME_TRYV(listen_on(state_->acceptor, state_->listen));
  state_->accept_next();
  return outcome::success();
}

void control_server::close() {
  error_code ignored;
  state_->acceptor.close(ignored);
  state_->connections.close_connections();
}

}  // namespace medlarloft::peers
