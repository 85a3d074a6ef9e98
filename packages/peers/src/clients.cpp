#include <map>
#include <utility>

#include <boost/asio/post.hpp>

#include "connection.hpp"
#include "wire_codec.hpp"

namespace medlarloft::peers {
namespace {

constexpr duration control_silence = std::chrono::seconds(2);
constexpr duration control_connect = std::chrono::milliseconds(500);
constexpr duration control_idle = std::chrono::seconds(30);
// A message to a daemon with this many unanswered ones is dropped.
constexpr std::size_t sweep_every = 64;

using traffic_link = detail::connection<wire::Traffic>;
using control_link = detail::connection<wire::Control>;

}  // namespace

struct traffic_client::state {
  state(event_loop& loop, const options& settings, clock_callbacks stamps)
      : clock(std::move(stamps)),
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

void traffic_client::run(const subquery& work, duration silence,
                         subquery_callback done) {
  const auto finish = std::make_shared<subquery_callback>(std::move(done));
  state_->link->start(
      [kept = state_, work, finish](wire::Traffic::Client& peer) {
        auto request = peer.runRequest();
        detail::write(work, request.initPart());
        detail::write(kept->clock.tick(), request.getPart().initStamp());
        return request.send().then([kept, finish](auto&& reply) {
          kept->clock.merge(detail::read(reply.getAnswer().getStamp()));
          (*finish)(detail::read(reply.getAnswer()));
        });
      },
      silence, [finish](peer_error error) { (*finish)(std::move(error)); });
}

void traffic_client::collect(std::uint64_t subquery_id, duration silence,
                             subquery_callback done) {
  const auto finish = std::make_shared<subquery_callback>(std::move(done));
  state_->link->start(
      [kept = state_, subquery_id, finish](wire::Traffic::Client& peer) {
        auto request = peer.collectRequest();
        request.setPartId(subquery_id);
        return request.send().then([kept, finish](auto&& reply) {
          kept->clock.merge(detail::read(reply.getAnswer().getStamp()));
          (*finish)(detail::read(reply.getAnswer()));
        });
      },
      silence, [finish](peer_error error) { (*finish)(std::move(error)); });
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
      control_silence, [](const peer_error&) {});
}

void traffic_client::forward(const std::string& text, duration remaining,
                             duration silence, forward_callback done) {
  const auto finish = std::make_shared<forward_callback>(std::move(done));
  state_->link->start(
      [kept = state_, text, remaining, finish](wire::Traffic::Client& peer) {
        auto request = peer.forwardRequest();
        request.setRequest(text);
        request.setRemaining(
            std::chrono::duration_cast<std::chrono::nanoseconds>(remaining)
                .count());
        detail::write(kept->clock.tick(), request.initStamp());
        return request.send().then([kept, finish](auto&& reply) {
          kept->clock.merge(detail::read(reply.getStamp()));
          (*finish)(forwarded_answer{reply.getStatus(),
                                     detail::text_of(reply.getAnswer())});
        });
      },
      silence, [finish](peer_error error) { (*finish)(std::move(error)); });
}

std::uint64_t traffic_client::replaced_connections() const noexcept {
  return state_->link->replaced_connections();
}

struct control_client::state {
  state(event_loop& on, std::string from, clock_callbacks stamps)
      : loop(on), from_ip(std::move(from)), clock(std::move(stamps)) {}

  void sweep() {
    const time_point now = steady_clock::now();
    std::erase_if(links, [now](const auto& entry) {
      const auto& link = entry.second;
      if (!link->idle() || now - link->last_used() < control_idle) {
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
    link = std::make_shared<control_link>(state_->loop.context(), to,
                                          state_->from_ip, control_connect);
  }
  ++state_->sent.messages;
  if (state_->sent.messages % sweep_every == 0) {
    const auto keep = link;
    state_->sweep();
    state_->links[to] = keep;
  }
  const auto used = state_->links[to];
  used->start(
      [kept = state_, message](wire::Control::Client& peer) {
        auto request = peer.deliverRequest();
        auto body = request.initMessage();
        detail::write(message, body);
        detail::write(kept->clock.tick(), body.initStamp());
        kept->sent.bytes += body.totalSize().wordCount * sizeof(capnp::word);
        return request.send().ignoreResult();
      },
      control_silence, [](const peer_error&) {});
}

control_counters control_client::sent() const noexcept {
  return state_->sent;
}

}  // namespace medlarloft::peers
