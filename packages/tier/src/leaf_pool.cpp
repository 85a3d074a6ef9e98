#include "leaf_pool.hpp"

#include <algorithm>

namespace medlarloft::tier {
namespace {

/// A connection is not used so shortly before the leaf closes it: a request
/// that crosses the close may or may not have run.
constexpr duration close_margin = std::chrono::milliseconds(1500);
constexpr duration usual_idle_limit = std::chrono::seconds(5);

}  // namespace

leaf_pool::leaf_pool(http::io_context& loop, loop::timer_queue& timers,
                     std::string from_ip, hooks told)
    : loop_(loop),
      timers_(timers),
      from_ip_(std::move(from_ip)),
      hooks_(std::move(told)) {}

leaf_pool::~leaf_pool() {
  *alive_ = false;
  for (auto& [leaf, kept] : idle_)
    for (idle_connection& each : kept)
      each.connection->close();
}

void leaf_pool::call::close() {
  if (const auto open = connection_.lock()) open->close();
}

leaf_pool::call leaf_pool::send(leafs::leaf_handle leaf, const endpoint& to,
                                std::function<std::string()> text,
                                std::string method,
                                http::connection::response_matcher mine,
                                finished done) {
  call made;
  if (connection_ptr kept = take_idle(leaf)) {
    made.connection_ = kept;
    run(leaf, kept, text, method, std::move(mine), std::move(done));
    return made;
  }
  const connection_ptr fresh =
      http::connection::make(loop_, timers_, {.to = to, .from_ip = from_ip_});
  made.connection_ = fresh;
  ++opened_;
  fresh->open([this, alive = alive_, leaf, fresh, text = std::move(text),
               method = std::move(method), mine = std::move(mine),
               done = std::move(done)](bool ok, duration took) mutable {
    if (!*alive) return;
    if (!ok) {
      done({.connected = false});
      return;
    }
    hooks_.connected(leaf, took);
    run(leaf, fresh, text, method, std::move(mine), std::move(done));
  });
  return made;
}

leaf_pool::connection_ptr leaf_pool::take_idle(leafs::leaf_handle leaf) {
  const auto found = idle_.find(leaf);
  if (found == idle_.end()) return nullptr;
  const time_point now = steady_clock::now();
  std::vector<idle_connection>& kept = found->second;
  while (!kept.empty()) {
    idle_connection newest = std::move(kept.back());
    kept.pop_back();
    newest.connection->on_idle_close(nullptr);
    if (now < newest.until && newest.connection->usable()) {
      return newest.connection;
    }
    newest.connection->close();
  }
  return nullptr;
}

void leaf_pool::run(leafs::leaf_handle leaf, const connection_ptr& connection,
                    const std::function<std::string()>& text,
                    const std::string& method,
                    http::connection::response_matcher mine, finished done) {
  connection->send_request(
      text(), method, std::move(mine),
      [this, alive = alive_, leaf, weak = std::weak_ptr(connection),
       done = std::move(done)](http::exchange_result got) {
        if (!*alive) return;
        const connection_ptr open = weak.lock();
        if (open && got && got.value().reusable) {
          keep(leaf, open, got.value().keep_alive_timeout);
        }
        done({.got = std::move(got)});
      });
}

void leaf_pool::keep(leafs::leaf_handle leaf, const connection_ptr& connection,
                     std::optional<duration> idle_limit) {
  const duration limit = idle_limit.value_or(usual_idle_limit);
  const duration usable = std::max(limit - close_margin, limit / 2);
  connection->on_idle_close(
      [this, alive = alive_, leaf, which = connection.get()] {
        if (*alive) forget(leaf, which);
      });
  idle_[leaf].push_back({connection, steady_clock::now() + usable});
}

void leaf_pool::forget(leafs::leaf_handle leaf,
                       const http::connection* connection) {
  std::erase_if(idle_[leaf], [connection](const idle_connection& each) {
    return each.connection.get() == connection;
  });
}

void leaf_pool::sweep(time_point now,
                      const std::function<bool(leafs::leaf_handle)>& used) {
  for (auto& [leaf, kept] : idle_) {
    const bool wanted = used(leaf);
    std::erase_if(kept, [now, wanted](const idle_connection& each) {
      const bool over = !wanted || now >= each.until;
      if (over) each.connection->close();
      return over;
    });
  }
  std::erase_if(idle_, [](const auto& entry) { return entry.second.empty(); });
}

std::size_t leaf_pool::idle() const {
  std::size_t count = 0;
  for (const auto& [leaf, kept] : idle_)
    count += kept.size();
  return count;
}

}  // namespace medlarloft::tier
