#pragma once

/// Checks of the promises that a deployment makes, based on what callers and
/// leafs observe. The time is always passed in; no clock is read here.

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "callers.hpp"
#include "deployment.hpp"

namespace medlarloft::soak {

/// Counters and latencies of the requests of one kind.
struct kind_metrics {
  std::uint64_t attempts = 0;
  /// Successful, with no part missing.
  std::uint64_t complete = 0;
  std::uint64_t partial = 0;
  /// Answered with a status that says that the request was not run.
  std::uint64_t refused = 0;
  std::uint64_t failed = 0;
  std::uint64_t not_connected = 0;
  std::vector<duration> latencies;
};

/// Collects what callers and leafs observe and records broken promises.
class promise_checker {
 public:
  /// A broken promise: when, and what was observed.
  struct violation {
    time_point timestamp;
    std::string description;
  };

  /// Adds `delta` to the number of active faults. Planned work is no fault.
  void on_fault_change(time_point now, int delta);
  /// Planned work and changes, as accepted by the store.
  void on_leaf_draining(time_point now, const std::string& leaf);
  void on_leaf_serving(const std::string& leaf);
  void on_data_centre_out(time_point now, const std::string& data_centre);
  void on_data_centre_back(const std::string& data_centre);
  void on_configuration(time_point now, std::uint64_t version);

  void on_attempt(const standins::caller_attempt& attempt);
  void on_execution(const std::string& request,
                    const standins::execution_record& execution);
  void on_process_end(time_point now, const daemon_process& daemon,
                      const process_end& end);

  /// Runs the checks that need all requests of the run.
  void finish();
  void add_violation(time_point now, std::string description);

  const std::vector<violation>& violations() const noexcept {
    return violations_;
  }
  const std::map<std::string, kind_metrics>& metrics() const noexcept {
    return metrics_;
  }
  /// Most requests of the limited account that ran within `quota_window`.
  std::size_t most_in_quota_window() const noexcept {
    return most_in_quota_window_;
  }
  std::uint64_t leaf_request_count() const noexcept {
    return leaf_request_count_;
  }

 private:
  struct request_history {
    standins::caller_attempt last_attempt;
    std::vector<standins::execution_record> executions;
  };
  struct configuration_change {
    time_point published_at;
    std::uint64_t version = 0;
  };

  /// Whether no fault was active during `recovery_time` before `now`, so that
  /// the bounds apply.
  bool bounds_apply(time_point now) const;
  void check_configuration_version(const request_history& request);
  void check_retry_budget();
  void check_quota();

  int active_faults_ = 0;
  time_point last_fault_{};
  std::map<std::string, time_point> draining_since_;
  std::map<std::string, time_point> out_since_;
  std::vector<configuration_change> configurations_;
  std::map<std::string, request_history> requests_;
  std::map<std::string, kind_metrics> metrics_;
  /// Spans during which a fault was active, each extended by `recovery_time`.
  std::vector<std::pair<time_point, time_point>> fault_spans_;
  std::vector<violation> violations_;
  std::uint64_t leaf_request_count_ = 0;
  std::size_t most_in_quota_window_ = 0;
};

}  // namespace medlarloft::soak
