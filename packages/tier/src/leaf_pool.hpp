#pragma once

/// Connections to leafs. One request at a time on each; connections are kept
/// and used again while the leaf keeps them.

#include <deque>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

#include "medlarloft/http.hpp"
#include "medlarloft/leafs.hpp"

namespace medlarloft::tier {

/// How one request to a leaf ended for the connection.
struct leaf_result {
  /// Nothing was sent.
  bool connected = true;
  http::exchange_result got{http::exchange_errc::connection_lost};
};

class leaf_pool {
 public:
  struct hooks {
    std::function<void(leafs::leaf_handle, duration)> connected;
  };
  using finished = std::function<void(leaf_result)>;

  /// One request on its way; closing it gives up its connection.
  class call {
   public:
    void close();

   private:
    friend class leaf_pool;
    std::weak_ptr<http::connection> connection_;
  };

  leaf_pool(http::io_context& loop, loop::timer_queue& timers,
            std::string from_ip, hooks told);
  ~leaf_pool();
  leaf_pool(const leaf_pool&) = delete;
  leaf_pool& operator=(const leaf_pool&) = delete;

  /// Sends a request on a kept connection or a new one. `text` is called when
  /// the connection is there.
  call send(leafs::leaf_handle leaf, const endpoint& to,
            std::function<std::string()> text, std::string method,
            http::connection::response_matcher mine, finished done);

  /// Closes connections that were idle for too long, and those to leafs that
  /// are not used any more.
  void sweep(time_point now,
             const std::function<bool(leafs::leaf_handle)>& used);

  std::uint64_t opened() const noexcept { return opened_; }
  std::size_t idle() const;

 private:
  using connection_ptr = std::shared_ptr<http::connection>;
  struct idle_connection {
    connection_ptr connection;
    time_point until;
  };

  connection_ptr take_idle(leafs::leaf_handle leaf);
  void run(leafs::leaf_handle leaf, const connection_ptr& connection,
           const std::function<std::string()>& text, const std::string& method,
           http::connection::response_matcher mine, finished done);
  void keep(leafs::leaf_handle leaf, const connection_ptr& connection,
            std::optional<duration> idle_limit);
  void forget(leafs::leaf_handle leaf, const http::connection* connection);

  http::io_context& loop_;
  loop::timer_queue& timers_;
  std::string from_ip_;
  hooks hooks_;
  std::unordered_map<leafs::leaf_handle, std::vector<idle_connection>> idle_;
  std::uint64_t opened_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace medlarloft::tier
