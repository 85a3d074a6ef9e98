#pragma once

/// A deployment with callers and checks on one event loop, for programs that
/// inject faults into it.

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "callers.hpp"
#include "deployment.hpp"
#include "promises.hpp"
#include "statements.hpp"

namespace medlarloft::soak {

class session {
 public:
  explicit session(deployment_options options);

  /// Publishes the first configuration, starts all daemons and waits until they
  /// have discovered each other. Times in the output count from then on.
  void start();
  /// Starts callers in each data centre, which send requests for this long.
  /// `on_attempt` is called for each attempt that ended.
  void start_callers(
      duration length, double rate_per_data_centre,
      const std::function<void(const standins::caller_attempt&)>& on_attempt);
  /// Runs the event loop for this long.
  void run_for(duration length);
  /// Runs the checks that need all requests of the run.
  void finish_checks();
  /// Prints one line with the time.
  void log(const std::string& text) const;
  void print_results();

  loop::timer_queue& timers() { return timers_; }
  soak::deployment& deployment() { return deployment_; }
  promise_checker& checker() { return checker_; }
  time_point started_at() const noexcept { return started_at_; }
  /// Called when the process of a daemon has ended.
  std::function<void(const process_end&)> on_process_end;
  /// Called when a leaf starts to execute a request.
  std::function<void(const standins::execution_record&)> on_execution;

 private:
  void add_callers(
      std::size_t index, double rate,
      std::function<void(const standins::caller_attempt&)> on_attempt);
  void reap();
  void watch_statements();

  loop::io_context loop_;
  loop::timer_queue timers_{loop_};
  std::uint64_t seed_;
  soak::deployment deployment_;
  promise_checker checker_;
  statement_checker statements_;
  std::vector<std::unique_ptr<standins::callers>> callers_;
  time_point started_at_;
};

}  // namespace medlarloft::soak
