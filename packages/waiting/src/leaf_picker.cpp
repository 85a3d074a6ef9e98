#include "medlarloft/waiting.hpp"

namespace medlarloft::waiting {

leaf_picker::~leaf_picker() {
  for (const auto& [service, id] : entries_)
    queue_.remove(service, id);
}

// A request that may use only some of the leafs bypasses the wait queue.
result<leafs::leaf_handle, leafs::unavailable_reason> leaf_picker::pick(
    time_point now, const std::string& service,
    const leafs::leaf_filter& filter) {
  const bool any_leaf = filter.excluded.empty() && filter.allowed.empty();
  if (any_leaf && queue_.size() > 0) {
    const auto next = queue_.next(now, service);
    const auto own_entry = entries_.find(service);
    const bool is_next =
        own_entry != entries_.end() && next == own_entry->second;
    if (next && !is_next) {
      return leafs_.service_unavailable_reason(now, service)
          .value_or(leafs::unavailable_reason::all_busy);
    }
  }
  return leafs_.pick(now, service, options_.work_class, filter);
}

wait_estimate leaf_picker::estimate_wait(time_point now,
                                         const std::string& service) const {
  wait_estimate estimate{.min_wait = leafs_.earliest_turn(now, service) - now};
  const auto throughput = leafs_.throughput(now, service, options_.work_class);
  if (!throughput) return estimate;
  const auto ahead = queue_.count_ahead(now, service, options_.priority,
                                        options_.soft_deadline);
  estimate.wait = throughput->completion_interval * static_cast<int>(ahead + 1);
  estimate.response_time = throughput->response_time;
  return estimate;
}

void leaf_picker::join_queue(const std::string& service,
                             std::function<void()> wake) {
  leave_queue(service);
  entries_[service] =
      queue_.add(service, {.priority = options_.priority,
                           .soft_deadline = options_.soft_deadline,
                           .wake = std::move(wake)});
}

void leaf_picker::leave_queue(const std::string& service) {
  const auto entry = entries_.extract(service);
  if (!entry.empty()) queue_.remove(service, entry.mapped());
}

void leaf_picker::wake_waiters(time_point now, const leafs::leaf_set& leafs,
                               wait_queue& queue, const std::string& service) {
  if (queue.size() == 0) return;
  queue.wake_waiters(now, service, [now, &leafs, &service] {
    return !leafs.service_unavailable_reason(now, service);
  });
}

}  // namespace medlarloft::waiting
