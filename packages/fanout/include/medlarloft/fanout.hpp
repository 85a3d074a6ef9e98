#pragma once

/// One request of a caller on its way to one leaf, or to one leaf of each
/// shard: attempts, hedges, partial answers, and what may be said of it at
/// its end. Pure state machines: they are fed events and return actions.

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "medlarloft/base.hpp"
#include "medlarloft/leafs.hpp"
#include "medlarloft/routes.hpp"
#include "medlarloft/waiting.hpp"

namespace medlarloft::fanout {

using leafs::attempt_id;
using leafs::attempt_outcome;
using leafs::leaf_handle;
using leafs::unavailable_reason;

/// A leaf's complete answer.
struct leaf_response {
  int status = 0;
  /// The leaf's proof that it answered this request; empty: none.
  std::string signature;
  /// Everything that is passed on unchanged, the signature included.
  std::vector<header> headers;
  std::string body;
};

/// Returns the greatest records of all parts, greatest first, compared byte by
/// byte; equal ones all count. A remainder shorter than a record is ignored.
std::string merge_top_records(const std::vector<leaf_response>& parts,
                              std::size_t limit);
inline constexpr std::size_t record_size = 16;

/// What a daemon may send to a service beyond the first arrival of each
/// request. All daemons share the limit; each has its part without talking.
class retry_budget {
 public:
  struct options {
    /// Extra arrivals for each request in a window.
    double ratio = 0.2;
    /// Extra arrivals beyond that in a window, over all daemons.
    double slack = 0;
    duration window = std::chrono::seconds(10);
    /// This daemon's part of the slack.
    double slack_fraction = 1;
    /// Part of the limit that is used, since clocks and arrival times differ.
    double safety_factor = 0.9;
  };

  explicit retry_budget(options settings) : options_(settings) {}

  /// Takes this daemon's part of the slack; the parts of all daemons add up
  /// to one at most.
  void set_slack_fraction(double fraction) noexcept {
    options_.slack_fraction = fraction;
  }

  /// Counts the first arrival of a request.
  void add_request(time_point now, const std::string& service);
  /// Takes one extra arrival, or returns false.
  bool try_consume(time_point now, const std::string& service);

 private:
  struct slice {
    std::int64_t number = 0;
    std::uint32_t requests = 0;
    std::uint32_t extras = 0;
  };
  std::deque<slice>& current(time_point now, const std::string& service);

  options options_;
  std::unordered_map<std::string, std::deque<slice>> slices_;
};

/// What one request needs to know of itself.
struct request_plan {
  std::string id;
  /// Lives as long as the request: the version is pinned by its owner.
  const routes::route* route = nullptr;
  /// The shards, or the one service that was chosen for this request.
  std::vector<std::string> services;
  time_point started_at;
  time_point deadline;
  /// After this an answer is late for the caller; a partial one is better.
  time_point soft_deadline;
  /// How long a request may wait for a leaf that is free.
  duration max_wait = std::chrono::milliseconds(50);

  bool idempotent() const noexcept {
    return route->retry == routes::retry_policy::idempotent;
  }
};

enum class attempt_kind : std::uint8_t { first, retry, hedge };
std::string_view name_of(attempt_kind kind) noexcept;

struct send_action {
  attempt_id attempt = 0;
  std::size_t shard = 0;
  leaf_handle leaf = 0;
  attempt_kind kind{};
};

/// The answer is not needed any more.
struct abandon_action {
  attempt_id attempt = 0;
  leaf_handle leaf = 0;
};

enum class request_outcome : std::uint8_t {
  answered,     // a leaf's answer, or the parts of a gather
  not_run,      // surely nothing ran, nor will
  failed,       // something may have run; no answer to give
  out_of_time,  // the deadline passed
  caller_left,
};
std::string_view name_of(request_outcome outcome) noexcept;

/// Why a part is not in the answer.
struct missing_part {
  std::size_t shard = 0;
  /// Requests that were sent for it.
  std::uint32_t sends = 0;
  /// Of these, the leafs that had not answered.
  std::vector<leaf_handle> unanswered;
  /// Why no other leaf was asked.
  std::optional<unavailable_reason> unavailable;
  bool budget_empty = false;
  /// How the last request that ended had ended.
  std::optional<attempt_outcome> last_outcome;
};

struct request_result {
  request_outcome outcome{};
  /// One answer, or one for each part that is included.
  std::vector<leaf_response> responses;
  std::uint32_t missing_count = 0;
  std::vector<missing_part> missing;
  /// What decided the outcome, for logs.
  std::string_view reason;
  /// When a refused caller should come back.
  duration retry_after{};
};

struct actions {
  std::vector<send_action> sends;
  std::vector<abandon_action> abandons;
  std::optional<request_result> result;
  /// Shards for which the request began to wait for any leaf that is free,
  /// and those for which it does so no more.
  std::vector<std::size_t> join_queues;
  std::vector<std::size_t> leave_queues;
  /// When `on_timer` must be called at the latest.
  time_point wake_at = time_point::max();
};

/// Choices made outside of the request.
struct hooks {
  std::function<result<leaf_handle, unavailable_reason>(
      const std::string& service, const leafs::pick_options& limits)>
      pick;
  /// Takes one arrival beyond the first at the service; false: go without.
  std::function<bool(const std::string& service)> take_retry_budget;
  std::function<duration(leaf_handle leaf)> expected_time;
  std::function<duration(leaf_handle leaf)> hedge_delay;
  std::function<attempt_id()> next_attempt_id;
  /// What to expect of waiting for a leaf of the service; not set: it is
  /// always tried.
  std::function<waiting::wait_estimate(const std::string& service)>
      estimate_wait;
};

struct attempt_counts {
  std::uint32_t sent = 0;
  std::uint32_t hedges = 0;
  std::uint32_t retries = 0;
};

/// One request from its start to its one final outcome.
class execution {
 public:
  execution(request_plan plan, hooks choices);

  actions start(time_point now);
  actions on_response(time_point now, attempt_id attempt, leaf_response answer);
  /// `answer` is the leaf's own failure, if it gave one.
  actions on_failure(time_point now, attempt_id attempt, attempt_outcome how,
                     std::optional<leaf_response> answer = std::nullopt);
  actions on_timer(time_point now);
  /// The caller went away.
  actions on_caller_left(time_point now);

  bool finished() const noexcept { return finished_; }
  const request_plan& plan() const noexcept { return plan_; }
  const fanout::attempt_counts& counts() const noexcept { return counts_; }

 private:
  struct attempt {
    attempt_id id = 0;
    leaf_handle leaf = 0;
    time_point hedge_at;
  };
  struct shard_state {
    std::vector<attempt> open;
    /// Leafs that something was sent to.
    std::vector<leaf_handle> asked;
    /// Leafs that could not be reached.
    std::vector<leaf_handle> unreachable;
    std::uint32_t sends = 0;
    std::optional<leaf_response> answer;
    /// The last failure that the leaf itself reported.
    std::optional<leaf_response> failure;
    /// Waits for a leaf that is free since then.
    std::optional<time_point> waiting_since;
    attempt_kind waiting_kind{};
    /// It waits for any leaf of the service, in line with other requests.
    bool in_line = false;
    bool may_have_run = false;
    bool given_up = false;
    std::optional<unavailable_reason> unavailable;
    bool budget_empty = false;
    std::optional<attempt_outcome> last_outcome;
  };

  bool try_send(time_point now, std::size_t index, attempt_kind kind);
  bool must_wait(const shard_state& shard, unavailable_reason why) const;
  void begin_wait(time_point now, std::size_t index, attempt_kind kind);
  void end_wait(std::size_t index);
  duration overdue_by(time_point now, std::size_t index) const;
  void refuse(std::string_view reason, duration retry_after);
  void send(time_point now, std::size_t index, leaf_handle leaf,
            attempt_kind kind);
  void after_failure(time_point now, std::size_t index, attempt_outcome how);
  void give_up(std::size_t index) { shards_[index].given_up = true; }
  time_point hedge_time(time_point now, leaf_handle leaf) const;
  void run_hedges(time_point now);
  void run_waiting(time_point now);
  void check_done(time_point now);
  void finish(request_outcome outcome, std::string_view reason);
  request_outcome failure_verdict() const;
  bool covered_enough(std::size_t parts) const;
  bool may_repeat(const shard_state& shard) const;
  time_point next_wake(time_point now) const;
  actions take(time_point now);

  request_plan plan_;
  hooks hooks_;
  std::vector<shard_state> shards_;
  bool finished_ = false;
  attempt_counts counts_;
  actions pending_;
};

}  // namespace medlarloft::fanout
