#include <map>
#include <utility>

#include <boost/asio/post.hpp>

#include "connection.hpp"
#include "wire_codec.hpp"

namespace medlarloft::peers {
namespace {

constexpr duration control_answer_timeout = std::chrono::seconds(2);
constexpr duration control_connect_timeout = std::chrono::milliseconds(500);
constexpr duration control_idle_timeout = std::chrono::seconds(30);
// Idle connections are closed once per this many sent messages.
constexpr std::size_t sweep_interval_messages = 64;

using traffic_link = detail::connection<wire::Traffic>;
using control_link = detail::connection<wire::Control>;

}  // namespace

struct traffic_client::state {
  state(event_loop& loop, const options& settings, clock_callbacks callbacks)
      : clock(std::move(callbacks)),
        link(std::make_shared<traffic_link>(loop.context(), settings.to,
                                            settings.from_ip,
                                            settings.connect_timeout)) {}

  clock_callbacks clock;
  std::shared_ptr<traffic_link> link;
};

traffic_client::traffic_client(event_loop& loop, const options& settings,
                               clock_callbacks clock)
    : state_(std::make_shared<state>(loop, settings, std::move(clock))) {}

traffic_client::~traffic_client() {
  state_->link->close();
}

void traffic_client::run(const subquery& work, duration answer_timeout,
                         subquery_callback done) {
  const auto callback = std::make_shared<subquery_callback>(std::move(done));
  state_->link->start(
      [self = state_, work, callback](wire::Traffic::Client& peer) {
        auto request = peer.runRequest();
        detail::write(work, request.initPart());
        detail::write(self->clock.tick(), request.getPart().initStamp());
        return request.send().then([self, callback](auto&& reply) {
          self->clock.merge(detail::read(reply.getAnswer().getStamp()));
          (*callback)(detail::read(reply.getAnswer()));
        });
      },
      answer_timeout,
      [callback](peer_error error) { (*callback)(std::move(error)); });
}

void traffic_client::collect(std::uint64_t subquery_id, duration answer_timeout,
                             subquery_callback done) {
  const auto callback = std::make_shared<subquery_callback>(std::move(done));
  state_->link->start(
      [self = state_, subquery_id, callback](wire::Traffic::Client& peer) {
        auto request = peer.collectRequest();
        request.setPartId(subquery_id);
        return request.send().then([self, callback](auto&& reply) {
          self->clock.merge(detail::read(reply.getAnswer().getStamp()));
          (*callback)(detail::read(reply.getAnswer()));
        });
      },
      answer_timeout,
      [callback](peer_error error) { (*callback)(std::move(error)); });
}

void traffic_client::cancel(std::uint64_t subquery_id,
                            const std::vector<query::attempt_id>& attempts) {
  state_->link->start(
      [subquery_id, attempts](wire::Traffic::Client& peer) {
        auto request = peer.cancelRequest();
        request.setPartId(subquery_id);
        auto list =
            request.initAttempts(static_cast<unsigned>(attempts.size()));
        for (unsigned i = 0; i < list.size(); ++i)
          list.set(i, attempts[i]);
        return request.send().ignoreResult();
      },
      control_answer_timeout, [](const peer_error&) {});
}

void traffic_client::forward(const std::string& request_text,
                             duration remaining, duration answer_timeout,
                             forward_callback done) {
  const auto callback = std::make_shared<forward_callback>(std::move(done));
  state_->link->start(
      [self = state_, request_text, remaining,
       callback](wire::Traffic::Client& peer) {
        auto request = peer.forwardRequest();
        request.setRequest(request_text);
        request.setRemaining(
            std::chrono::duration_cast<std::chrono::nanoseconds>(remaining)
                .count());
        detail::write(self->clock.tick(), request.initStamp());
        return request.send().then([self, callback](auto&& reply) {
          self->clock.merge(detail::read(reply.getStamp()));
          (*callback)(forwarded_answer{reply.getStatus(),
                                       detail::text_of(reply.getAnswer())});
        });
      },
      answer_timeout,
      [callback](peer_error error) { (*callback)(std::move(error)); });
}

std::uint64_t traffic_client::timed_out_calls() const noexcept {
  return state_->link->timed_out_calls();
}

struct control_client::state {
  state(event_loop& rpc_loop, std::string source_ip, clock_callbacks callbacks)
      : loop(rpc_loop),
        from_ip(std::move(source_ip)),
        clock(std::move(callbacks)) {}

  void close_idle_links() {
    const time_point now = steady_clock::now();
    std::erase_if(links, [now](const auto& entry) {
      const auto& link = entry.second;
      if (!link->idle() || now - link->last_used() < control_idle_timeout) {
        return false;
      }
      link->close();
      return true;
    });
  }

  event_loop& loop;
  std::string from_ip;
  clock_callbacks clock;
  std::map<endpoint, std::shared_ptr<control_link>> links;
  control_counters sent;
};

control_client::control_client(event_loop& loop, std::string from_ip,
                               clock_callbacks clock)
    : state_(std::make_shared<state>(loop, std::move(from_ip),
                                     std::move(clock))) {}

control_client::~control_client() {
  for (const auto& [to, link] : state_->links)
    link->close();
}

void control_client::send(const endpoint& to,
                          const membership::message& message) {
  auto& link = state_->links[to];
  if (!link) {
    link = std::make_shared<control_link>(
        state_->loop.context(), to, state_->from_ip, control_connect_timeout);
  }
  ++state_->sent.messages;
  if (state_->sent.messages % sweep_interval_messages == 0) {
    const auto current = link;
    state_->close_idle_links();
    state_->links[to] = current;
  }
  const auto used = state_->links[to];
  used->start(
      [self = state_, message](wire::Control::Client& peer) {
        auto request = peer.deliverRequest();
        auto body = request.initMessage();
        detail::write(message, body);
        detail::write(self->clock.tick(), body.initStamp());
        self->sent.bytes += body.totalSize().wordCount * sizeof(capnp::word);
        return request.send().ignoreResult();
      },
      control_answer_timeout, [](const peer_error&) {});
}

control_counters control_client::sent() const noexcept {
  return state_->sent;
}

}  // namespace medlarloft::peers
