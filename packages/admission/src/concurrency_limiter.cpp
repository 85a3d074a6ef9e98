#include <algorithm>
#include <tuple>

#include "medlarloft/admission.hpp"

namespace medlarloft::admission {
namespace {

constexpr std::array<std::string_view, 5> refusal_names{
    "none", "queue_full", "would_be_late", "throttled", "deadline_passed"};

// Each new sample weighs one part in this many in the average run time.
constexpr int averaging_weight = 16;

std::size_t index_of(service_class priority) {
  return static_cast<std::size_t>(priority);
}

}  // namespace

std::string_view name_of(refusal reason) noexcept {
  return refusal_names[static_cast<std::size_t>(reason)];
}

bool concurrency_limiter::has_capacity(service_class priority) const noexcept {
  const double limit = options_.running_fraction[index_of(priority)] *
                       static_cast<double>(options_.max_running);
  return static_cast<double>(running_) < std::max(1.0, limit);
}

duration concurrency_limiter::expected_wait(
    service_class priority) const noexcept {
  const auto ahead = std::ranges::count_if(
      waiting_, [priority](const waiter& w) { return w.priority <= priority; });
  return average_run_time_ * (ahead + 1) /
         std::max<std::uint32_t>(1, options_.max_running);
}

decision concurrency_limiter::submit(time_point now, std::uint64_t id,
                                     service_class priority,
                                     time_point deadline) {
  if (deadline <= now) {
    return {.action = verdict::refuse, .reason = refusal::deadline_passed};
  }
  if (waiting_.empty() && has_capacity(priority)) {
    ++running_;
    return {.action = verdict::run};
  }
  const duration wait = expected_wait(priority);
  const duration retry_after =
      std::max<duration>(wait, std::chrono::milliseconds(10));
  if (now + wait + average_run_time_ > deadline) {
    return {.action = verdict::refuse,
            .reason = refusal::would_be_late,
            .retry_after = retry_after};
  }
  const auto same_or_lower = std::ranges::count_if(
      waiting_, [priority](const waiter& w) { return w.priority >= priority; });
  const double allowed = options_.queue_fraction[index_of(priority)] *
                         static_cast<double>(options_.max_queued);
  decision result{.action = verdict::wait};
  const bool full = waiting_.size() >= options_.max_queued;
  const bool evict = full && waiting_.back().priority > priority;
  const bool over_fraction = static_cast<double>(same_or_lower) >= allowed;
  if (!evict && (full || over_fraction)) {
    return {.action = verdict::refuse,
            .reason = refusal::queue_full,
            .retry_after = retry_after};
  }
  if (evict) {
    result.evicted = waiting_.back().id;
    waiting_.pop_back();
  }
  const waiter entry{id, priority, deadline};
  const auto position = std::ranges::upper_bound(
      waiting_, entry, [](const waiter& a, const waiter& b) {
        return std::tie(a.priority, a.deadline) <
               std::tie(b.priority, b.deadline);
      });
  waiting_.insert(position, entry);
  return result;
}

concurrency_limiter::released concurrency_limiter::finish(time_point now,
                                                          duration run_time) {
  if (running_ > 0) --running_;
  average_run_time_ = average_run_time_ == duration::zero()
                          ? run_time
                          : average_run_time_ + (run_time - average_run_time_) /
                                                    averaging_weight;
  released out;
  while (!waiting_.empty()) {
    const waiter next = waiting_.front();
    if (next.deadline <= now) {
      out.refused.push_back(next.id);
      waiting_.erase(waiting_.begin());
      continue;
    }
    if (!has_capacity(next.priority)) break;
    waiting_.erase(waiting_.begin());
    ++running_;
    out.run.push_back(next.id);
  }
  return out;
}

void concurrency_limiter::remove_waiting(std::uint64_t id) {
  std::erase_if(waiting_, [id](const waiter& w) { return w.id == id; });
}

}  // namespace medlarloft::admission
