#include <algorithm>
#include <tuple>

#include "medlarloft/waiting.hpp"

namespace medlarloft::waiting {
namespace {

/// Every so many places one goes to whoever is due first, whatever its rank.
constexpr std::uint32_t fair_turn = 4;

}  // namespace

ticket line::join(const std::string& service, waiter who) {
  ++last_;
  ++size_;
  lines_[service].waiters.emplace(
      place{.rank = who.rank, .due = who.due, .number = last_},
      std::move(who.wake));
  return last_;
}

void line::leave(const std::string& service, ticket which) {
  const auto found = lines_.find(service);
  if (found == lines_.end()) return;
  service_line& of = found->second;
  const auto left = std::erase_if(of.waiters, [which](const auto& entry) {
    return entry.first.number == which;
  });
  size_ -= left;
  if (of.waiters.empty()) lines_.erase(found);
}

line::place_map::const_iterator line::next_of(const service_line& of,
                                              time_point now) {
  const place_map& all = of.waiters;
  if (of.turns % fair_turn == fair_turn - 1) {
    return std::ranges::min_element(all, {}, [now](const auto& entry) {
      const place& each = entry.first;
      return std::tuple(each.due < now, each.due, each.number);
    });
  }
  // Of each rank, those that are late stand before those that are not.
  for (auto at = all.begin(); at != all.end();) {
    if (at->first.due >= now) return at;
    const std::uint32_t rank = at->first.rank;
    at = all.lower_bound({.rank = rank, .due = now, .number = 0});
    if (at != all.end() && at->first.rank == rank) return at;
  }
  return all.begin();
}

std::optional<ticket> line::first(time_point now,
                                  const std::string& service) const {
  const auto found = lines_.find(service);
  if (found == lines_.end()) return std::nullopt;
  return next_of(found->second, now)->first.number;
}

void line::freed(time_point now, const std::string& service,
                 const std::function<bool()>& has_room) {
  while (const auto turn = first(now, service)) {
    if (!has_room()) return;
    // It may leave the line, which ends its place there.
    const std::function<void()> wake = next_of(lines_.at(service), now)->second;
    if (wake) wake();
    const auto left = lines_.find(service);
    if (left == lines_.end() || first(now, service) == turn) return;
    ++left->second.turns;
  }
}

std::size_t line::ahead(time_point now, const std::string& service,
                        std::uint32_t rank, time_point due) const {
  const auto found = lines_.find(service);
  if (found == lines_.end()) return 0;
  return static_cast<std::size_t>(std::ranges::count_if(
      found->second.waiters, [now, rank, due](const auto& entry) {
        const place& other = entry.first;
        return std::tuple(other.due < now, other.rank, other.due) <=
               std::tuple(due < now, rank, due);
      }));
}

}  // namespace medlarloft::waiting
