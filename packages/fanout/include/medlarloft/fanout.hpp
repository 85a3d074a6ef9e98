#pragma once

/// Execution of one request of a caller on one leaf, or on one leaf of each
/// shard: attempts, hedges, partial responses and the outcome. State machines
/// without I/O: they take events and return actions.

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

/// A complete response of a leaf.
struct leaf_response {
  int status = 0;
  /// Proves that the leaf answered this request; empty if there is none.
  std::string signature;
  /// Headers that are passed on unchanged, including the signature.
  std::vector<header> headers;
  std::string body;
};

/// Returns the `limit` greatest records of all response bodies in descending
/// byte order. A body is a sequence of records of `record_size` bytes.
/// Duplicates are kept; a trailing partial record is ignored.
std::string merge_top_records(const std::vector<leaf_response>& responses,
                              std::size_t limit);
inline constexpr std::size_t record_size = 16;

/// Limits the retries and hedges that a daemon sends to a service. The limit
/// applies to all daemons together; each uses its part of it without
/// coordination.
class retry_budget {
 public:
  struct options {
    /// Retries and hedges per request in a window.
    double ratio = 0.2;
    /// Retries and hedges in addition to that in a window, for all daemons.
    double slack = 0;
    duration window = std::chrono::seconds(10);
    /// Fraction of the slack that this daemon may use.
    double slack_fraction = 1;
    /// Only this fraction of the limit is used, to allow for differences in
    /// clocks and arrival times.
    double safety_factor = 0.9;
  };

  explicit retry_budget(options settings) : options_(settings) {}

  /// Sets the fraction of the slack that this daemon may use. The fractions of
  /// all daemons must not add up to more than one.
  void set_slack_fraction(double fraction) noexcept {
    options_.slack_fraction = fraction;
  }

  /// Counts a new request, which raises the limit.
  void add_request(time_point now, const std::string& service);
  /// Consumes the budget for one retry or hedge, or returns false.
  bool try_consume(time_point now, const std::string& service);

 private:
  struct slice {
    std::int64_t number = 0;
    std::uint32_t requests = 0;
    /// Retries and hedges.
    std::uint32_t extras = 0;
  };
  std::deque<slice>& current(time_point now, const std::string& service);

  options options_;
  std::unordered_map<std::string, std::deque<slice>> slices_;
};

/// The parameters of one request.
struct request_plan {
  std::string id;
  /// Must outlive the request; the owner of the request keeps the
  /// configuration version alive.
  const routes::route* route = nullptr;
  /// The shards of a gather, or the one service chosen for a single request.
  std::vector<std::string> services;
  time_point started_at;
  time_point deadline;
  /// A response after this time is late for the caller. At this time a gather
  /// prefers a partial response over waiting for the missing shards.
  time_point soft_deadline;
  /// Limit of the wait for a free leaf.
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

/// The response to an attempt is no longer needed.
struct abandon_action {
  attempt_id attempt = 0;
  leaf_handle leaf = 0;
};

enum class request_outcome : std::uint8_t {
  answered,     // a leaf's response, or the merged parts of a gather
  not_run,      // no leaf has run the request or will run it
  failed,       // a leaf may have run the request; no answer for the caller
  out_of_time,  // the deadline passed
  caller_left,  // the caller disconnected
};
std::string_view name_of(request_outcome outcome) noexcept;

/// A shard without a response, and why it has none.
struct missing_part {
  std::size_t shard = 0;
  /// Number of attempts for this shard.
  std::uint32_t attempts_sent = 0;
  /// Leafs that had not responded when the request ended.
  std::vector<leaf_handle> unanswered_leafs;
  /// Why no further leaf was available, if one was wanted.
  std::optional<unavailable_reason> no_leaf_reason;
  bool budget_empty = false;
  /// Outcome of the last failed attempt.
  std::optional<attempt_outcome> last_outcome;
};

/// The final result of a request.
struct request_result {
  request_outcome outcome{};
  /// The response of a single request, or those of the shards that responded.
  std::vector<leaf_response> responses;
  std::uint32_t missing_count = 0;
  std::vector<missing_part> missing;
  /// What decided the outcome, for logs.
  std::string_view reason;
  /// When a refused caller should retry.
  duration retry_after{};
};

/// What the owner of a request must do after an event.
struct actions {
  std::vector<send_action> sends;
  std::vector<abandon_action> abandons;
  std::optional<request_result> result;
  /// Shards whose wait queue the request must join or leave.
  std::vector<std::size_t> join_queues;
  std::vector<std::size_t> leave_queues;
  /// When `on_timer` must be called at the latest.
  time_point wake_at = time_point::max();
};

/// Decisions and measurements that an execution takes from its owner.
struct hooks {
  std::function<result<leaf_handle, unavailable_reason>(
      const std::string& service, const leafs::leaf_filter& filter)>
      pick;
  /// Consumes the budget for one retry or hedge, or returns false.
  std::function<bool(const std::string& service)> take_retry_budget;
  std::function<duration(leaf_handle leaf)> expected_time;
  std::function<duration(leaf_handle leaf)> hedge_delay;
  std::function<attempt_id()> next_attempt_id;
  /// Estimates the wait for a leaf of the service. If not set, a request always
  /// waits.
  std::function<waiting::wait_estimate(const std::string& service)>
      estimate_wait;
};

/// Number of attempts that one request has sent.
struct attempt_counts {
  std::uint32_t sent = 0;
  std::uint32_t hedges = 0;
  std::uint32_t retries = 0;
};

/// Runs one request. Each call returns the actions to take, and exactly one
/// call also returns the result.
class execution {
 public:
  execution(request_plan plan, hooks callbacks);

  actions start(time_point now);
  actions on_response(time_point now, attempt_id attempt,
                      leaf_response response);
  /// `response` is the leaf's error response, if it sent one.
  actions on_failure(time_point now, attempt_id attempt,
                     attempt_outcome outcome,
                     std::optional<leaf_response> response = std::nullopt);
  actions on_timer(time_point now);
  /// The caller disconnected.
  actions on_caller_left(time_point now);
  /// The request must have its result by then, if not earlier.
  actions limit_deadline(time_point now, time_point deadline);

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
    std::vector<attempt> open_attempts;
    /// Leafs to which the request was sent.
    std::vector<leaf_handle> contacted_leafs;
    /// Leafs to which no connection could be opened.
    std::vector<leaf_handle> unreachable_leafs;
    std::uint32_t attempts_sent = 0;
    std::optional<leaf_response> response;
    /// The last error response of a leaf.
    std::optional<leaf_response> error_response;
    /// Set while the shard waits for a free leaf.
    std::optional<time_point> waiting_since;
    attempt_kind waiting_kind{};
    /// The shard waits for any leaf of the service, in the wait queue. A shard
    /// that may not use every leaf waits outside of the queue.
    bool queued = false;
    bool may_have_run = false;
    bool given_up = false;
    std::optional<unavailable_reason> no_leaf_reason;
    bool budget_empty = false;
    std::optional<attempt_outcome> last_outcome;
  };

  bool try_send(time_point now, std::size_t index, attempt_kind kind);
  bool should_wait(time_point now, std::size_t index,
                   unavailable_reason reason) const;
  void begin_wait(time_point now, std::size_t index, attempt_kind kind);
  void end_wait(std::size_t index);
  duration expected_lateness(time_point now, std::size_t index) const;
  void refuse(std::string_view reason, duration retry_after);
  duration spread(duration retry_after) const;
  duration time_until_turns() const;
  void send(time_point now, std::size_t index, leaf_handle leaf,
            attempt_kind kind);
  void after_failure(time_point now, std::size_t index,
                     attempt_outcome outcome);
  void give_up(std::size_t index) { shards_[index].given_up = true; }
  time_point hedge_time(time_point now, leaf_handle leaf) const;
  void run_hedges(time_point now);
  void run_waiting(time_point now);
  void finish_if_decided(time_point now);
  void finish(request_outcome outcome, std::string_view reason);
  request_outcome failure_outcome() const;
  bool coverage_suffices(std::size_t parts) const;
  bool may_hedge(const shard_state& shard) const;
  time_point next_wake(time_point now) const;
  actions take_actions(time_point now);

  request_plan plan_;
  hooks hooks_;
  std::vector<shard_state> shards_;
  bool finished_ = false;
  attempt_counts counts_;
  actions pending_;
};

}  // namespace medlarloft::fanout
