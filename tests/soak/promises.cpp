#include "promises.hpp"

#include <algorithm>

namespace medlarloft::soak {
namespace {

constexpr int status_ok = 200;
constexpr int status_first_redirect = 300;
/// How long a request may be in transit to a leaf.
constexpr duration max_transit_time = std::chrono::milliseconds(200);
/// A connection loss this close to the deadline may be the caller's own
/// timeout.
constexpr duration cancellation_margin = std::chrono::milliseconds(50);

bool means_not_run(int status) {
  return status == 429 || status == 503 || status == 408 || status == 421;
}

bool is_success(int status) {
  return status >= status_ok && status < status_first_redirect;
}

}  // namespace

void promise_checker::add_violation(time_point now, std::string description) {
  violations_.push_back({now, std::move(description)});
}

void promise_checker::on_fault_change(time_point now, int delta) {
  if (active_faults_ == 0) fault_spans_.emplace_back(now, time_point::max());
  active_faults_ += delta;
  last_fault_ = now;
  if (active_faults_ == 0) fault_spans_.back().second = now + recovery_time;
}

bool promise_checker::bounds_apply(time_point now) const {
  return active_faults_ == 0 &&
         (fault_spans_.empty() || now >= fault_spans_.back().second);
}

void promise_checker::on_leaf_draining(time_point now,
                                       const std::string& leaf) {
  draining_since_.try_emplace(leaf, now);
}

void promise_checker::on_leaf_serving(const std::string& leaf) {
  draining_since_.erase(leaf);
}

void promise_checker::on_data_centre_out(time_point now,
                                         const std::string& data_centre) {
  out_since_[data_centre] = now;
}

void promise_checker::on_data_centre_back(const std::string& data_centre) {
  out_since_.erase(data_centre);
}

void promise_checker::on_configuration(time_point now, std::uint64_t version) {
  configurations_.push_back({now, version});
}

void promise_checker::on_execution(
    const std::string& request, const standins::execution_record& execution) {
  ++leaf_request_count_;
  request_history& history = requests_[request];
  history.executions.push_back(execution);
  const time_point now = execution.started_at;
  const auto draining = draining_since_.find(execution.leaf);
  if (draining != draining_since_.end() && bounds_apply(now) &&
      now > draining->second + drain_bound + max_transit_time) {
    add_violation(now, "leaf " + execution.leaf + " got request " + request +
                           " after it was draining for " +
                           format_duration(now - draining->second));
  }
  const auto out = out_since_.find(execution.data_centre);
  if (out != out_since_.end() && bounds_apply(now) &&
      now > out->second + evacuation_bound + max_transit_time) {
    add_violation(now, "data centre " + execution.data_centre +
                           " got request " + request +
                           " after it was out for " +
                           format_duration(now - out->second));
  }
}

void promise_checker::on_attempt(const standins::caller_attempt& attempt) {
  request_history& history = requests_[attempt.request_id];
  history.last_attempt = attempt;
  kind_metrics& metrics = metrics_[attempt.kind->name];
  ++metrics.attempts;
  if (!attempt.violation.empty()) {
    add_violation(attempt.ended_at, "wrong answer to " + attempt.request_id +
                                        ": " + attempt.violation);
  }
  if (is_success(attempt.status)) {
    ++(attempt.missing_parts == 0 ? metrics.complete : metrics.partial);
    metrics.latencies.push_back(attempt.ended_at - attempt.sent_at);
  } else if (means_not_run(attempt.status)) {
    ++metrics.refused;
  } else if (!attempt.connected) {
    ++metrics.not_connected;
  } else {
    ++metrics.failed;
  }
  const bool connection_lost = attempt.connected && attempt.status == 0 &&
                               !history.executions.empty() &&
                               attempt.ended_at + cancellation_margin <
                                   attempt.sent_at + attempt.kind->timeout;
  if (connection_lost && bounds_apply(attempt.ended_at)) {
    add_violation(attempt.ended_at, "request " + attempt.request_id +
                                        " lost its connection to daemon " +
                                        attempt.daemon + " without a fault");
  }
  if (attempt.status == 400 || attempt.status == 404) {
    add_violation(attempt.ended_at, "status " + std::to_string(attempt.status) +
                                        " to " + attempt.request_id +
                                        ", which every version allows");
  }
}

void promise_checker::on_process_end(time_point now,
                                     const daemon_process& daemon,
                                     const process_end& end) {
  if (daemon.killed) return;
  if (!daemon.stop_requested_at) {
    add_violation(now, "daemon " + daemon.id +
                           " ended without a stop signal, code " +
                           std::to_string(end.code));
    return;
  }
  if (!end.exited || end.code != 0) {
    add_violation(now, "daemon " + daemon.id +
                           " ended a planned stop with code " +
                           std::to_string(end.code));
  }
  const bool bound_applies =
      std::ranges::none_of(fault_spans_, [&daemon](const auto& span) {
        return span.second >= *daemon.stop_requested_at;
      });
  if (bound_applies && now - *daemon.stop_requested_at > stop_within) {
    add_violation(now, "daemon " + daemon.id + " stopped after " +
                           format_duration(now - *daemon.stop_requested_at));
  }
}

// A request that is sent more than `configuration_bound` after a version was
// published must not be run by a service that only older versions name.
void promise_checker::check_configuration_version(
    const request_history& request) {
  const time_point sent = request.last_attempt.sent_at;
  const bool fault_active =
      std::ranges::any_of(fault_spans_, [&](const auto& span) {
        return sent >= span.first && sent <= span.second;
      });
  if (fault_active) return;
  std::set<std::string> allowed;
  for (std::size_t i = 0; i < configurations_.size(); ++i) {
    const bool replaced =
        i + 1 < configurations_.size() &&
        configurations_[i + 1].published_at + configuration_bound < sent;
    if (!replaced) allowed.insert(changing_service(configurations_[i].version));
  }
  for (const standins::execution_record& execution : request.executions) {
    if (allowed.contains(execution.service)) continue;
    add_violation(sent, "request " + request.last_attempt.request_id +
                            " ran at service " + execution.service +
                            ", which only an older version allows");
  }
}

// Checks the repeated executions of requests at each service against the retry
// budget, in every window of time.
void promise_checker::check_retry_budget() {
  struct arrival {
    time_point arrived_at;
    bool repeated = false;
  };
  std::map<std::string, std::vector<arrival>> services;
  for (const auto& [id, request] : requests_) {
    std::set<std::string> seen;
    for (const standins::execution_record& execution : request.executions)
      services[execution.service].push_back(
          {execution.started_at, !seen.insert(execution.service).second});
  }
  for (auto& [service, arrivals] : services) {
    std::ranges::sort(arrivals, {}, &arrival::arrived_at);
    std::deque<arrival> window;
    double repeated_count = 0;
    for (const arrival& current : arrivals) {
      window.push_back(current);
      repeated_count += current.repeated ? 1 : 0;
      while (window.front().arrived_at < current.arrived_at - retry_window) {
        repeated_count -= window.front().repeated ? 1 : 0;
        window.pop_front();
      }
      const double first_count =
          static_cast<double>(window.size()) - repeated_count;
      if (repeated_count <= retry_ratio * first_count + retry_slack) continue;
      add_violation(current.arrived_at,
                    "service " + service + " got " +
                        std::to_string(static_cast<int>(repeated_count)) +
                        " repeats for " +
                        std::to_string(static_cast<int>(first_count)) +
                        " requests in a window");
      break;
    }
  }
}

// Checks the requests of the limited account that leafs ran, each counted once,
// against its quota in every window. Faults are no excuse.
void promise_checker::check_quota() {
  std::vector<time_point> runs;
  for (const auto& [id, request] : requests_) {
    const standins::request_kind* kind = request.last_attempt.kind;
    if (kind == nullptr || !kind->over_quota || request.executions.empty())
      continue;
    runs.push_back(std::ranges::min(request.executions, {},
                                    &standins::execution_record::started_at)
                       .started_at);
  }
  std::ranges::sort(runs);
  const double quota =
      account_rate * std::chrono::duration<double>(quota_window).count() +
      account_burst;
  const double bound = quota * (1 + quota_excess) + quota_slack;
  auto first = runs.begin();
  for (auto last = runs.begin(); last != runs.end(); ++last) {
    while (*last - *first >= quota_window)
      ++first;
    const auto count = last - first + 1;
    most_in_quota_window_ =
        std::max(most_in_quota_window_, static_cast<std::size_t>(count));
    if (static_cast<double>(count) <= bound) continue;
    add_violation(*last, "the limited account ran " + std::to_string(count) +
                             " requests in a window");
    break;
  }
}

void promise_checker::finish() {
  for (const auto& [id, request] : requests_) {
    const standins::request_kind* kind = request.last_attempt.kind;
    if (kind == nullptr) {
      add_violation(request.executions.front().started_at,
                    "a leaf ran " + id + ", which no caller sent");
      continue;
    }
    if (!kind->idempotent && request.executions.size() > 1) {
      add_violation(request.last_attempt.sent_at,
                    "request " + id + " ran " +
                        std::to_string(request.executions.size()) + " times");
    }
    if (!kind->idempotent && means_not_run(request.last_attempt.status) &&
        !request.executions.empty()) {
      add_violation(request.last_attempt.sent_at,
                    "request " + id + " ran, and was answered " +
                        std::to_string(request.last_attempt.status));
    }
    if (kind->name == "changing") check_configuration_version(request);
  }
  check_retry_budget();
  check_quota();
}

}  // namespace medlarloft::soak
