#pragma once

/// Schedules faults and planned work at random times and for random durations,
/// as determined by a seed. Several may be active at once.

#include <functional>
#include <string>

#include "deployment.hpp"
#include "promises.hpp"

namespace medlarloft::soak {

struct plan_options {
  std::uint64_t seed = 1;
  /// Events begin between these times after the start.
  duration window_begin = std::chrono::seconds(3);
  duration window_end = std::chrono::seconds(14);
  std::size_t event_count = 12;
  /// If false, only planned work is scheduled.
  bool inject_faults = true;
};

class fault_plan {
 public:
  fault_plan(deployment& deployment, promise_checker& checker,
             loop::timer_queue& timers,
             std::function<void(const std::string&)> log, plan_options options);

  /// Sets a timer for each event.
  void start();
  /// Restarts the daemon after a short delay.
  void on_process_end(const process_end& end);

 private:
  void schedule_event();
  void schedule_planned_work(duration when);
  void schedule_fault(duration when);
  void schedule_process_fault(duration when, duration span);
  void schedule_store_fault(duration when, duration span);
  void schedule_leaf_fault(duration when, duration span);
  void schedule_peer_faults();
  /// The store is restored from older copies. These are no faults: what the
  /// deployment promises holds meanwhile.
  void schedule_restores();
  void restore_store(duration age);
  void schedule_endless_responses();
  /// Leafs that state limits, pause or leave by their own word; no faults.
  void schedule_statements();
  void schedule_pause(std::size_t leaf, duration when);
  void schedule_leaving(std::size_t leaf, duration when);
  void schedule_odd_entries(duration when);
  /// Ends the leaf and starts it again under the same id.
  void replace_leaf(std::size_t leaf);
  /// Runs `begin` at `when` and `end` after `span`; a fault counts as active
  /// meanwhile.
  void schedule_fault_span(duration when, duration span,
                           const std::string& what, std::function<void()> begin,
                           std::function<void()> end);
  void schedule(duration when, std::function<void()> action);
  /// Returns `count` random indexes below `limit`; some may be equal.
  std::vector<std::size_t> random_indexes(std::size_t count, std::size_t limit);

  deployment& deployment_;
  promise_checker& checker_;
  loop::timer_queue& timers_;
  std::function<void(const std::string&)> log_;
  plan_options options_;
  random_generator random_;
  /// Separate, so that seeds that once failed still produce the same plans.
  random_generator peer_random_;
  random_generator endless_random_;
  random_generator statement_random_;
  random_generator restore_random_;
  time_point started_at_;
  bool second_shards_ = false;
};

}  // namespace medlarloft::soak
