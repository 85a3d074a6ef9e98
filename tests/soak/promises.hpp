#pragma once

/// The promises that are checked while a deployment runs, from what callers
/// and leafs see. Pure but for the clock readings passed in.

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "callers.hpp"
#include "deployment.hpp"

namespace medlarloft::soak {

struct kind_figures {
  std::uint64_t tries = 0;
  std::uint64_t whole = 0;
  std::uint64_t partial = 0;
  std::uint64_t refused = 0;
  std::uint64_t failed = 0;
  std::uint64_t unconnected = 0;
  std::vector<duration> latencies;
};

class promises {
 public:
  /// Why a promise is broken: at which time, which one, and what was seen.
  struct finding {
    time_point at;
    std::string text;
  };

  /// A fault begins or ends that is no planned work.
  void fault(time_point now, int change);
  /// Planned work and changes, as acknowledged.
  void draining(time_point now, const std::string& leaf);
  void serves_again(const std::string& leaf);
  void out(time_point now, const std::string& data_centre);
  void back(const std::string& data_centre);
  void configured(time_point now, std::uint64_t version);

  void on_try(const standins::caller_attempt& one);
  void on_run(const std::string& request,
              const standins::execution_record& run);
  void on_end(time_point now, const daemon_process& own,
              const process_end& how);

  /// Checks what can only be told at the end.
  void finish();

  const std::vector<finding>& findings() const noexcept { return findings_; }
  const std::map<std::string, kind_figures>& figures() const noexcept {
    return figures_;
  }
  std::uint64_t leaf_requests() const noexcept { return leaf_requests_; }

 private:
  struct known_request {
    standins::caller_attempt last;
    std::vector<standins::execution_record> runs;
  };
  struct version_at {
    time_point at;
    std::uint64_t version = 0;
  };

  /// Whether nothing but planned work went on for `contact` before `now`.
  bool calm(time_point now) const;
  void report(time_point now, std::string text);
  void check_version(const known_request& one);
  void check_budget();

  int faults_ = 0;
  time_point last_fault_{};
  std::map<std::string, time_point> draining_;
  std::map<std::string, time_point> out_;
  std::vector<version_at> versions_;
  std::map<std::string, known_request> requests_;
  std::map<std::string, kind_figures> figures_;
  /// Spans during which a fault was active, `contact` after it included.
  std::vector<std::pair<time_point, time_point>> unquiet_;
  std::vector<finding> findings_;
  std::uint64_t leaf_requests_ = 0;
};

}  // namespace medlarloft::soak
