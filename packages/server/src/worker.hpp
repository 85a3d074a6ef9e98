#pragma once

/// One traffic thread: its loop, leaf pools, relay and entry.

#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "context.hpp"
#include "entry.hpp"
#include "medlarloft/metrics.hpp"
#include "medlarloft/peers.hpp"
#include "relay.hpp"

namespace medlarloft::server {

class worker {
 public:
  worker(daemon_context& context, std::size_t index, std::size_t workers,
         std::vector<worker_port>& ports);

  /// Runs the thread until `stop`. `finished` runs on it at the end.
  void start(std::function<void()> finished);
  void stop();
  void join();

  peers::event_loop& loop() noexcept { return loop_; }
  metrics::recorder& figures() noexcept { return figures_; }
  entry& queries() noexcept { return *entry_; }
  leaf_pools& pools() noexcept { return *pools_; }
  server::relay& parts() noexcept { return *relay_; }

  /// Posts to the thread: follow the view now in force.
  void follow(view_ptr current);

 private:
  void arm_tick();

  daemon_context& context_;
  std::size_t index_;
  std::size_t workers_;
  std::vector<worker_port>& ports_;
  peers::event_loop loop_;
  metrics::recorder figures_;
  std::unique_ptr<leaf_pools> pools_;
  std::unique_ptr<server::relay> relay_;
  std::unique_ptr<entry> entry_;
  std::unique_ptr<boost::asio::steady_timer> tick_;
  std::thread thread_;
};

}  // namespace medlarloft::server
