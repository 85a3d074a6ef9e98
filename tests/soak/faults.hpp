#pragma once

/// Faults and planned work, drawn from a seed: what happens, when, and for how
/// long. Several go on at once.

#include <functional>
#include <string>

#include "deployment.hpp"
#include "promises.hpp"

namespace medlarloft::soak {

struct plan_options {
  std::uint64_t seed = 1;
  /// Faults are drawn for this span; each ends within it.
  duration begins = std::chrono::seconds(3);
  duration ends = std::chrono::seconds(14);
  std::size_t events = 12;
  /// Without faults only planned work is drawn.
  bool faults = true;
};

class fault_plan {
 public:
  fault_plan(deployment& all, promises& checks, loop::timer_queue& timers,
             std::function<void(const std::string&)> told, plan_options values);

  /// Sets a timer for each event.
  void start();
  /// A process ended; it is started again after a short while.
  void ended(const process_end& how);

 private:
  void draw();
  void planned(duration at);
  void fault(duration at);
  void hurt_processes(duration at, duration length);
  void hurt_store(duration at, duration length);
  void hurt_leafs(duration at, duration length);
  void hurt_peers();
  /// Runs `begin` at the time and `end` after the length; meanwhile nothing
  /// is calm.
  void during(duration at, duration length, const std::string& what,
              std::function<void()> begin, std::function<void()> end);
  void at(duration when, std::function<void()> action);
  std::vector<std::size_t> some(std::size_t count, std::size_t of);

  deployment& all_;
  promises& checks_;
  loop::timer_queue& timers_;
  std::function<void(const std::string&)> told_;
  plan_options options_;
  random_generator random_;
  /// Apart, so that the plans of seeds that once failed stay as they were.
  random_generator peers_random_;
  time_point began_;
  bool second_shards_ = false;
};

}  // namespace medlarloft::soak
