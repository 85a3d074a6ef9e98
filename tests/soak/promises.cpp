#include "promises.hpp"

#include <algorithm>

namespace medlarloft::soak {
namespace {

constexpr int status_ok = 200;
constexpr int status_first_error = 300;
/// A request is on its way to a leaf for at most so long.
constexpr duration travel = std::chrono::milliseconds(200);
/// Answers later than this before the caller's deadline cross its leaving.
constexpr duration deadline_margin = std::chrono::milliseconds(50);

bool promises_not_run(int status) {
  return status == 429 || status == 503 || status == 408 || status == 421;
}

bool answered(int status) {
  return status >= status_ok && status < status_first_error;
}

}  // namespace

void promises::report(time_point now, std::string text) {
  findings_.push_back({now, std::move(text)});
}

void promises::fault(time_point now, int change) {
  if (faults_ == 0) unquiet_.emplace_back(now, time_point::max());
  faults_ += change;
  last_fault_ = now;
  if (faults_ == 0) unquiet_.back().second = now + contact;
}

bool promises::calm(time_point now) const {
  return faults_ == 0 && (unquiet_.empty() || now >= unquiet_.back().second);
}

void promises::draining(time_point now, const std::string& leaf) {
  draining_.try_emplace(leaf, now);
}

void promises::serves_again(const std::string& leaf) {
  draining_.erase(leaf);
}

void promises::out(time_point now, const std::string& data_centre) {
  out_[data_centre] = now;
}

void promises::back(const std::string& data_centre) {
  out_.erase(data_centre);
}

void promises::configured(time_point now, std::uint64_t version) {
  versions_.push_back({now, version});
}

void promises::on_run(const std::string& request,
                      const standins::execution_record& run) {
  ++leaf_requests_;
  known_request& one = requests_[request];
  one.runs.push_back(run);
  const time_point now = run.started_at;
  const auto draining = draining_.find(run.leaf);
  if (draining != draining_.end() && calm(now) &&
      now > draining->second + drain_bound + travel) {
    report(now, "leaf " + run.leaf + " got request " + request +
                    " after it was draining for " +
                    format_duration(now - draining->second));
  }
  const auto out = out_.find(run.data_centre);
  if (out != out_.end() && calm(now) &&
      now > out->second + evacuation_bound + travel) {
    report(now, "data centre " + run.data_centre + " got request " + request +
                    " after it was out for " +
                    format_duration(now - out->second));
  }
}

void promises::on_try(const standins::caller_attempt& one) {
  known_request& known = requests_[one.request_id];
  known.last = one;
  kind_figures& seen = figures_[one.kind->name];
  ++seen.tries;
  if (!one.violation.empty()) {
    report(one.ended_at,
           "wrong answer to " + one.request_id + ": " + one.violation);
  }
  if (answered(one.status)) {
    ++(one.missing_parts == 0 ? seen.whole : seen.partial);
    seen.latencies.push_back(one.ended_at - one.sent_at);
  } else if (promises_not_run(one.status)) {
    ++seen.refused;
  } else if (!one.connected) {
    ++seen.unconnected;
  } else {
    ++seen.failed;
  }
  const bool cut =
      one.connected && one.status == 0 && !known.runs.empty() &&
      one.ended_at + deadline_margin < one.sent_at + one.kind->timeout;
  if (cut && calm(one.ended_at)) {
    report(one.ended_at, "request " + one.request_id + " was cut at daemon " +
                             one.daemon + " without a fault");
  }
  if (one.status == 400 || one.status == 404) {
    report(one.ended_at, "status " + std::to_string(one.status) + " to " +
                             one.request_id + ", which every version allows");
  }
}

void promises::on_end(time_point now, const daemon_process& own,
                      const process_end& how) {
  if (own.killed) return;
  if (!own.stop_asked) {
    report(now, "daemon " + own.id + " ended by itself, code " +
                    std::to_string(how.code));
    return;
  }
  if (!how.exited || how.code != 0) {
    report(now, "daemon " + own.id + " ended a planned stop with code " +
                    std::to_string(how.code));
  }
  const bool calm_all_along = std::ranges::none_of(
      unquiet_,
      [&own](const auto& span) { return span.second >= *own.stop_asked; });
  if (calm_all_along && now - *own.stop_asked > stop_within) {
    report(now, "daemon " + own.id + " stopped after " +
                    format_duration(now - *own.stop_asked));
  }
}

// A request that is sent later than the bound after a version must not be run
// by the service of an older one only.
void promises::check_version(const known_request& one) {
  const time_point sent = one.last.sent_at;
  const bool unquiet = std::ranges::any_of(unquiet_, [&](const auto& span) {
    return sent >= span.first && sent <= span.second;
  });
  if (unquiet) return;
  std::set<std::string> allowed;
  for (std::size_t i = 0; i < versions_.size(); ++i) {
    const bool replaced = i + 1 < versions_.size() &&
                          versions_[i + 1].at + configuration_bound < sent;
    if (!replaced) allowed.insert(changing_service(versions_[i].version));
  }
  for (const standins::execution_record& run : one.runs) {
    if (allowed.contains(run.service)) continue;
    report(sent, "request " + one.last.request_id + " ran at service " +
                     run.service + ", as only an older version allows");
  }
}

// Arrivals beyond the first of each request, in any window of each service.
void promises::check_budget() {
  struct arrival {
    time_point at;
    bool extra = false;
  };
  std::map<std::string, std::vector<arrival>> services;
  for (const auto& [id, one] : requests_) {
    std::set<std::string> seen;
    for (const standins::execution_record& run : one.runs)
      services[run.service].push_back(
          {run.started_at, !seen.insert(run.service).second});
  }
  for (auto& [service, arrivals] : services) {
    std::ranges::sort(arrivals, {}, &arrival::at);
    std::deque<arrival> window;
    double extra = 0;
    for (const arrival& each : arrivals) {
      window.push_back(each);
      extra += each.extra ? 1 : 0;
      while (window.front().at < each.at - retry_window) {
        extra -= window.front().extra ? 1 : 0;
        window.pop_front();
      }
      const double first = static_cast<double>(window.size()) - extra;
      if (extra <= retry_ratio * first + retry_slack) continue;
      report(each.at, "service " + service + " got " +
                          std::to_string(static_cast<int>(extra)) +
                          " repeats for " +
                          std::to_string(static_cast<int>(first)) +
                          " requests in a window");
      break;
    }
  }
}

void promises::finish() {
  for (const auto& [id, one] : requests_) {
    const standins::request_kind* kind = one.last.kind;
    if (kind == nullptr) {
      report(one.runs.front().started_at, "a leaf ran " + id + ", never asked");
      continue;
    }
    if (!kind->idempotent && one.runs.size() > 1) {
      report(one.last.sent_at, "request " + id + " ran " +
                                   std::to_string(one.runs.size()) + " times");
    }
    if (!kind->idempotent && promises_not_run(one.last.status) &&
        !one.runs.empty()) {
      report(one.last.sent_at, "request " + id + " ran, and was answered " +
                                   std::to_string(one.last.status));
    }
    if (kind->name == "changing") check_version(one);
  }
  check_budget();
}

}  // namespace medlarloft::soak
