#pragma once

/// Connections to leafs, each carrying one request at a time. Idle connections
/// are kept and reused until shortly before the leaf would close them.

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "medlarloft/http.hpp"
#include "medlarloft/leafs.hpp"

namespace medlarloft::tier {

/// How one request to a leaf ended at the connection level.
struct pool_result {
  /// False if connecting failed, so that nothing was sent.
  bool connected = true;
  http::response_result response{http::response_errc::connection_lost};
};

/// Identifies a connection to a leaf; never reused within a process.
using connection_id = std::uint64_t;

class connection_pool {
 public:
  struct hooks {
    /// A connection was established; the duration is what connecting took.
    std::function<void(leafs::leaf_handle, duration)> on_connected;
  };
  using completion_handler = std::function<void(pool_result)>;

  /// A request in progress; closing it closes its connection.
  class call {
   public:
    void close();
    connection_id connection() const noexcept { return id_; }

   private:
    friend class connection_pool;
    std::weak_ptr<http::connection> connection_;
    connection_id id_ = 0;
  };

  struct options {
    /// Local address to connect from; empty: the system chooses.
    std::string from_ip;
    /// Limit on the memory of all unfinished responses together.
    std::size_t max_response_memory = std::size_t{64} << 20;
  };

  connection_pool(http::io_context& loop, loop::timer_queue& timers,
                  options settings, hooks callbacks);
  ~connection_pool();
  connection_pool(const connection_pool&) = delete;
  connection_pool& operator=(const connection_pool&) = delete;

  /// A request to a leaf.
  struct request {
    /// Serializes the request; called once its connection is established.
    std::function<std::string()> make_text;
    std::string method;
    http::connection::response_matcher is_response;
    /// Connections on which this request was sent before. A response names its
    /// request and not the send, so that a late copy of the earlier response
    /// would pass for the response to this send.
    std::vector<connection_id> carried_by;
  };

  /// Sends a request on an idle connection or a new one, but on none that
  /// carried it before. `done` is called by the event loop, never by this
  /// function.
  call send(leafs::leaf_handle leaf, const endpoint& to, request outgoing,
            completion_handler done);

  /// Closes connections that were idle for too long, and those to leafs for
  /// which `in_use` is false.
  void sweep(time_point now,
             const std::function<bool(leafs::leaf_handle)>& in_use);

  std::uint64_t opened() const noexcept { return opened_; }
  std::size_t idle() const;

 private:
  struct leaf_connection {
    connection_id id = 0;
    std::shared_ptr<http::connection> connection;
  };
  struct idle_connection {
    leaf_connection open;
    time_point expires_at;
  };

  std::optional<leaf_connection> take_idle(
      leafs::leaf_handle leaf, const std::vector<connection_id>& carried_by);
  void send_on(leafs::leaf_handle leaf, const leaf_connection& to,
               request outgoing, completion_handler done);
  void add_idle(leafs::leaf_handle leaf, leaf_connection open,
                std::optional<duration> idle_limit);
  void remove_idle(leafs::leaf_handle leaf, connection_id which);

  http::io_context& loop_;
  loop::timer_queue& timers_;
  std::string from_ip_;
  std::shared_ptr<http::memory_budget> response_memory_;
  hooks hooks_;
  std::unordered_map<leafs::leaf_handle, std::vector<idle_connection>> idle_;
  std::uint64_t opened_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace medlarloft::tier
