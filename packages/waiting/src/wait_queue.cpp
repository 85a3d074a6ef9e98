#include <algorithm>
#include <tuple>

#include "medlarloft/waiting.hpp"

namespace medlarloft::waiting {
namespace {

/// Every so many places one goes to whoever is due first, whatever its rank.
constexpr std::uint32_t fair_turn = 4;

}  // namespace

entry_id wait_queue::add(const std::string& service, waiter who) {
  ++last_;
  ++size_;
  lines_[service].waiters.emplace(place{.priority = who.priority,
                                        .soft_deadline = who.soft_deadline,
                                        .number = last_},
                                  std::move(who.wake));
  return last_;
}

void wait_queue::remove(const std::string& service, entry_id which) {
  const auto found = lines_.find(service);
  if (found == lines_.end()) return;
  service_line& of = found->second;
  const auto left = std::erase_if(of.waiters, [which](const auto& entry) {
    return entry.first.number == which;
  });
  size_ -= left;
  if (of.waiters.empty()) lines_.erase(found);
}

wait_queue::place_map::const_iterator wait_queue::next_of(
    const service_line& of, time_point now) {
  const place_map& all = of.waiters;
  if (of.turns % fair_turn == fair_turn - 1) {
    return std::ranges::min_element(all, {}, [now](const auto& entry) {
      const place& each = entry.first;
      return std::tuple(each.soft_deadline < now, each.soft_deadline,
                        each.number);
    });
  }
  // Of each rank, those that are late stand before those that are not.
  for (auto at = all.begin(); at != all.end();) {
    if (at->first.soft_deadline >= now) return at;
    const std::uint32_t priority = at->first.priority;
    at = all.lower_bound(
        {.priority = priority, .soft_deadline = now, .number = 0});
    if (at != all.end() && at->first.priority == priority) return at;
  }
  return all.begin();
}

std::optional<entry_id> wait_queue::next(time_point now,
                                         const std::string& service) const {
  const auto found = lines_.find(service);
  if (found == lines_.end()) return std::nullopt;
  return next_of(found->second, now)->first.number;
}

void wait_queue::wake_waiters(time_point now, const std::string& service,
                              const std::function<bool()>& has_room) {
  while (const auto turn = next(now, service)) {
    if (!has_room()) return;
    // It may leave the line, which ends its place there.
    const std::function<void()> wake = next_of(lines_.at(service), now)->second;
    if (wake) wake();
    const auto left = lines_.find(service);
    if (left == lines_.end() || next(now, service) == turn) return;
    ++left->second.turns;
  }
}

std::size_t wait_queue::count_ahead(time_point now, const std::string& service,
                                    std::uint32_t priority,
                                    time_point soft_deadline) const {
  const auto found = lines_.find(service);
  if (found == lines_.end()) return 0;
  return static_cast<std::size_t>(std::ranges::count_if(
      found->second.waiters, [now, priority, soft_deadline](const auto& entry) {
        const place& other = entry.first;
        return std::tuple(other.soft_deadline < now, other.priority,
                          other.soft_deadline) <=
               std::tuple(soft_deadline < now, priority, soft_deadline);
      }));
}

}  // namespace medlarloft::waiting
