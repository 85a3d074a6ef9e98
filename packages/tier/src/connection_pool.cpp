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
      idle.connection->close();
}

void connection_pool::call::close() {
  if (const auto open = connection_.lock()) open->close();
}

connection_pool::call connection_pool::send(
    leafs::leaf_handle leaf, const endpoint& to,
    std::function<std::string()> make_text, std::string method,
    http::connection::response_matcher is_response, completion_handler done) {
  call new_call;
  if (connection_ptr reused = take_idle(leaf)) {
    new_call.connection_ = reused;
    send_on(leaf, reused, make_text, method, std::move(is_response),
            std::move(done));
    return new_call;
  }
  const connection_ptr new_connection = http::connection::make(
      loop_, timers_,
      {.to = to, .from_ip = from_ip_, .memory = response_memory_});
  new_call.connection_ = new_connection;
  ++opened_;
  new_connection->open(
      [this, alive = alive_, leaf, new_connection,
       make_text = std::move(make_text), method = std::move(method),
       is_response = std::move(is_response),
       done = std::move(done)](bool ok, duration connect_time) mutable {
        if (!*alive) return;
        if (!ok) {
          done({.connected = false});
          return;
        }
        hooks_.on_connected(leaf, connect_time);
        send_on(leaf, new_connection, make_text, method, std::move(is_response),
                std::move(done));
      });
  return new_call;
}

connection_pool::connection_ptr connection_pool::take_idle(
    leafs::leaf_handle leaf) {
  const auto found = idle_.find(leaf);
  if (found == idle_.end()) return nullptr;
  const time_point now = steady_clock::now();
  std::vector<idle_connection>& connections = found->second;
  while (!connections.empty()) {
    idle_connection newest = std::move(connections.back());
    connections.pop_back();
    newest.connection->on_idle_close(nullptr);
    if (now < newest.expires_at && newest.connection->usable()) {
      return newest.connection;
    }
    newest.connection->close();
  }
  return nullptr;
}

void connection_pool::send_on(leafs::leaf_handle leaf,
                              const connection_ptr& connection,
                              const std::function<std::string()>& make_text,
                              const std::string& method,
                              http::connection::response_matcher is_response,
                              completion_handler done) {
  connection->send_request(
      make_text(), method, std::move(is_response),
      [this, alive = alive_, leaf, weak = std::weak_ptr(connection),
       done = std::move(done)](http::response_result result) {
        if (!*alive) return;
        const connection_ptr open = weak.lock();
        if (open && result && result.value().reusable) {
          add_idle(leaf, open, result.value().keep_alive_timeout);
        }
        done({.response = std::move(result)});
      });
}

void connection_pool::add_idle(leafs::leaf_handle leaf,
                               const connection_ptr& connection,
                               std::optional<duration> idle_limit) {
  const duration limit = idle_limit.value_or(default_idle_limit);
  const duration reusable_for = std::max(limit - close_margin, limit / 2);
  connection->on_idle_close(
      [this, alive = alive_, leaf, which = connection.get()] {
        if (*alive) remove_idle(leaf, which);
      });
  idle_[leaf].push_back({connection, steady_clock::now() + reusable_for});
}

void connection_pool::remove_idle(leafs::leaf_handle leaf,
                                  const http::connection* connection) {
  std::erase_if(idle_[leaf], [connection](const idle_connection& entry) {
    return entry.connection.get() == connection;
  });
}

void connection_pool::sweep(
    time_point now, const std::function<bool(leafs::leaf_handle)>& in_use) {
  for (auto& [leaf, connections] : idle_) {
    const bool leaf_in_use = in_use(leaf);
    std::erase_if(
        connections, [now, leaf_in_use](const idle_connection& entry) {
          const bool expired = !leaf_in_use || now >= entry.expires_at;
          if (expired) entry.connection->close();
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
