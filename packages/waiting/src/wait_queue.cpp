#include <algorithm>
#include <tuple>

#include "medlarloft/waiting.hpp"

namespace medlarloft::waiting {
namespace {

/// One turn out of this many ignores the priorities of the entries.
constexpr std::uint32_t fairness_interval = 4;

}  // namespace

entry_id wait_queue::add(const std::string& service, waiter entry) {
  ++last_id_;
  ++size_;
  queues_[service].waiters.emplace(
      entry_key{.priority = entry.priority,
                .soft_deadline = entry.soft_deadline,
                .id = last_id_},
      std::move(entry.wake));
  return last_id_;
}

void wait_queue::remove(const std::string& service, entry_id id) {
  const auto found = queues_.find(service);
  if (found == queues_.end()) return;
  service_queue& queue = found->second;
  const auto removed = std::erase_if(
      queue.waiters, [id](const auto& entry) { return entry.first.id == id; });
  size_ -= removed;
  if (queue.waiters.empty()) queues_.erase(found);
}

wait_queue::entry_map::const_iterator wait_queue::next_entry(
    const service_queue& queue, time_point now) {
  const entry_map& all = queue.waiters;
  if (queue.served % fairness_interval == fairness_interval - 1) {
    return std::ranges::min_element(all, {}, [now](const auto& entry) {
      const entry_key& each = entry.first;
      return std::tuple(each.soft_deadline < now, each.soft_deadline, each.id);
    });
  }
  // The map orders entries of equal priority by soft deadline, so that late
  // ones come first. Skip these; they are used only if all entries are late.
  for (auto entry = all.begin(); entry != all.end();) {
    if (entry->first.soft_deadline >= now) return entry;
    const std::uint32_t priority = entry->first.priority;
    entry =
        all.lower_bound({.priority = priority, .soft_deadline = now, .id = 0});
    if (entry != all.end() && entry->first.priority == priority) return entry;
  }
  return all.begin();
}

std::optional<entry_id> wait_queue::next(time_point now,
                                         const std::string& service) const {
  const auto found = queues_.find(service);
  if (found == queues_.end()) return std::nullopt;
  return next_entry(found->second, now)->first.id;
}

void wait_queue::wake_waiters(time_point now, const std::string& service,
                              const std::function<bool()>& has_capacity) {
  while (const auto current = next(now, service)) {
    if (!has_capacity()) return;
    // Copy the callback, since the waiter may remove its entry when it is
    // called.
    const std::function<void()> wake =
        next_entry(queues_.at(service), now)->second;
    if (wake) wake();
    const auto found = queues_.find(service);
    if (found == queues_.end() || next(now, service) == current) return;
    ++found->second.served;
  }
}

std::size_t wait_queue::count_ahead(time_point now, const std::string& service,
                                    std::uint32_t priority,
                                    time_point soft_deadline) const {
  const auto found = queues_.find(service);
  if (found == queues_.end()) return 0;
  return static_cast<std::size_t>(std::ranges::count_if(
      found->second.waiters, [now, priority, soft_deadline](const auto& entry) {
        const entry_key& other = entry.first;
        return std::tuple(other.soft_deadline < now, other.priority,
                          other.soft_deadline) <=
               std::tuple(soft_deadline < now, priority, soft_deadline);
      }));
}

}  // namespace medlarloft::waiting
