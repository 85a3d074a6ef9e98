#include "connection_pool.hpp"

#include <algorithm>

namespace medlarloft::tier {
namespace {

/// Idle connections expire this long before the leaf closes them, or after half
/// of their idle limit if that is later: a request sent while the leaf closes
/// the connection may or may not have run.
constexpr duration close_margin = std::chrono::milliseconds(1500);
constexpr duration default_idle_limit = std::chrono::seconds(5);

}  // namespace

connection_pool::connection_pool(http::io_context& loop,
                                 loop::timer_queue& timers, options settings,
                                 hooks callbacks)
    : loop_(loop),
      timers_(timers),
      from_ip_(std::move(settings.from_ip)),
      response_memory_(
          std::make_shared<http::memory_budget>(settings.max_response_memory)),
      hooks_(std::move(callbacks)) {}

connection_pool::~connection_pool() {
  *alive_ = false;
  for (auto& [leaf, connections] : idle_)
    for (idle_connection& idle : connections)
      idle.open.connection->close();
}

void connection_pool::call::close() {
  if (const auto open = connection_.lock()) open->close();
}

connection_pool::call connection_pool::send(leafs::leaf_handle leaf,
                                            const endpoint& to,
                                            request outgoing,
                                            completion_handler done) {
  call new_call;
  if (const auto reused = take_idle(leaf, outgoing.carried_by)) {
    new_call.connection_ = reused->connection;
    new_call.id_ = reused->id;
    send_on(leaf, *reused, std::move(outgoing), std::move(done));
    return new_call;
  }
  const leaf_connection opening{
      .id = ++opened_,
      .connection = http::connection::make(
          loop_, timers_,
          {.to = to, .from_ip = from_ip_, .memory = response_memory_})};
  new_call.connection_ = opening.connection;
  new_call.id_ = opening.id;
  opening.connection->open(
      [this, alive = alive_, leaf, opening, outgoing = std::move(outgoing),
       done = std::move(done)](bool ok, duration connect_time) mutable {
        if (!*alive) return;
        if (!ok) {
          done({.connected = false});
          return;
        }
        hooks_.on_connected(leaf, connect_time);
        send_on(leaf, opening, std::move(outgoing), std::move(done));
      });
  return new_call;
}

std::optional<connection_pool::leaf_connection> connection_pool::take_idle(
    leafs::leaf_handle leaf, const std::vector<connection_id>& carried_by) {
  const auto found = idle_.find(leaf);
  if (found == idle_.end()) return std::nullopt;
  std::vector<idle_connection>& connections = found->second;
  const auto carried = [&carried_by](const idle_connection& each) {
    return std::ranges::find(carried_by, each.open.id) != carried_by.end();
  };
  // The newest is taken, which is the last one.
  if (!carried_by.empty()) {
    std::stable_partition(connections.begin(), connections.end(), carried);
  }
  const time_point now = steady_clock::now();
  while (!connections.empty()) {
    const idle_connection newest = std::move(connections.back());
    connections.pop_back();
    newest.open.connection->on_idle_close(nullptr);
    const bool fits = now < newest.expires_at && !carried(newest);
    if (fits && newest.open.connection->usable()) return newest.open;
    newest.open.connection->close();
    // The connection that is opened instead takes the place of this one.
    if (carried(newest)) break;
  }
  return std::nullopt;
}

void connection_pool::send_on(leafs::leaf_handle leaf,
                              const leaf_connection& to, request outgoing,
                              completion_handler done) {
  to.connection->send_request(
      outgoing.make_text(), outgoing.method, std::move(outgoing.is_response),
      [this, alive = alive_, leaf, id = to.id,
       weak = std::weak_ptr(to.connection),
       done = std::move(done)](http::response_result result) {
        if (!*alive) return;
        const auto open = weak.lock();
        if (open && result && result.value().reusable) {
          add_idle(leaf, {.id = id, .connection = open},
                   result.value().keep_alive_timeout);
        }
        done({.response = std::move(result)});
      });
}

void connection_pool::add_idle(leafs::leaf_handle leaf, leaf_connection open,
                               std::optional<duration> idle_limit) {
  const duration limit = idle_limit.value_or(default_idle_limit);
  const duration reusable_for = std::max(limit - close_margin, limit / 2);
  open.connection->on_idle_close([this, alive = alive_, leaf, id = open.id] {
    if (*alive) remove_idle(leaf, id);
  });
  idle_[leaf].push_back({std::move(open), steady_clock::now() + reusable_for});
}

void connection_pool::remove_idle(leafs::leaf_handle leaf,
                                  connection_id which) {
  std::erase_if(idle_[leaf], [which](const idle_connection& entry) {
    return entry.open.id == which;
  });
}

void connection_pool::sweep(
    time_point now, const std::function<bool(leafs::leaf_handle)>& in_use) {
  for (auto& [leaf, connections] : idle_) {
    const bool leaf_in_use = in_use(leaf);
    std::erase_if(
        connections, [now, leaf_in_use](const idle_connection& entry) {
          const bool expired = !leaf_in_use || now >= entry.expires_at;
          if (expired) entry.open.connection->close();
          return expired;
        });
  }
  std::erase_if(idle_, [](const auto& entry) { return entry.second.empty(); });
}

std::size_t connection_pool::idle() const {
  std::size_t count = 0;
  for (const auto& [leaf, connections] : idle_)
    count += connections.size();
  return count;
}

}  // namespace medlarloft::tier
