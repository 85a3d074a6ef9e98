#pragma once

/// Checks that daemons do what leafs say of themselves in their responses.
/// Leafs see requests, not daemons: which daemon sent a request is known from
/// the caller's attempt, once that has ended. The time is always passed in.

#include <map>
#include <string>
#include <vector>

#include "leaf.hpp"

namespace medlarloft::soak {

/// A daemon acts on a response this long after its leaf sent it.
inline constexpr duration statement_delay = std::chrono::milliseconds(500);
/// A limit holds from this time after the leaf first stated it.
inline constexpr duration limit_delay = std::chrono::seconds(4);
/// In any span of this length a leaf gets at most `limit_factor` times what its
/// limit allows, and `limit_slack` requests more.
inline constexpr duration limit_window = std::chrono::seconds(4);
inline constexpr double limit_factor = 1.5;
inline constexpr double limit_slack = 5;
/// Requests that a daemon may send during a pause.
inline constexpr std::size_t pause_slack = 2;

class statement_checker {
 public:
  struct violation {
    time_point timestamp;
    std::string description;
  };

  void on_arrival(time_point now, const std::string& request,
                  const standins::leaf_start& leaf);
  /// `delivered` tells whether nothing keeps the response from its daemon.
  void on_response(time_point now, const std::string& request,
                   const standins::leaf_start& leaf,
                   const standins::leaf_statement& statement, bool delivered);
  void on_attempt(const std::string& request, const std::string& daemon,
                  time_point sent_at);
  /// The daemon's process ended, was paused or went on: it need not know what
  /// it was told before.
  void on_daemon_interrupted(time_point now, const std::string& daemon);

  /// Returns what was not kept. Call after all attempts have ended.
  std::vector<violation> check(duration drain_bound) const;

 private:
  struct arrival {
    time_point arrived_at;
    std::string request;
  };
  struct response {
    time_point sent_at;
    std::string request;
    standins::leaf_statement statement;
  };
  struct history {
    std::vector<arrival> arrivals;
    std::vector<response> responses;
  };
  struct attempt {
    std::string daemon;
    time_point sent_at;
  };

  const attempt* find_attempt(const std::string& request) const;
  /// Whether the daemon that sent `later` was told by `earlier` and still
  /// knows.
  bool knows(const response& earlier, const arrival& later) const;
  void check_limit(const standins::leaf_start& leaf, const history& seen,
                   std::vector<violation>& found) const;
  void check_pauses(const standins::leaf_start& leaf, const history& seen,
                    std::vector<violation>& found) const;
  void check_leaving(const standins::leaf_start& leaf, const history& seen,
                     duration drain_bound, std::vector<violation>& found) const;

  std::map<standins::leaf_start, history> leafs_;
  std::map<std::string, attempt> attempts_;
  std::map<std::string, std::vector<time_point>> interruptions_;
};

}  // namespace medlarloft::soak
