#include "statements.hpp"

#include <algorithm>

namespace medlarloft::soak {

using standins::leaf_start;
using standins::leaf_statement;

void statement_checker::on_arrival(time_point now, const std::string& request,
                                   const leaf_start& leaf) {
  leafs_[leaf].arrivals.push_back({now, request});
}

void statement_checker::on_response(time_point now, const std::string& request,
                                    const leaf_start& leaf,
                                    const leaf_statement& statement,
                                    bool delivered) {
  const bool says_something =
      statement.rate_limit || statement.pause || statement.leaving;
  if (!delivered || !says_something) return;
  leafs_[leaf].responses.push_back({now, request, statement});
}

void statement_checker::on_attempt(const std::string& request,
                                   const std::string& daemon,
                                   time_point sent_at) {
  attempts_[request] = {daemon, sent_at};
}

void statement_checker::on_daemon_interrupted(time_point now,
                                              const std::string& daemon) {
  interruptions_[daemon].push_back(now);
}

const statement_checker::attempt* statement_checker::find_attempt(
    const std::string& request) const {
  const auto found = attempts_.find(request);
  return found == attempts_.end() ? nullptr : &found->second;
}

bool statement_checker::knows(const response& earlier,
                              const arrival& later) const {
  if (later.arrived_at < earlier.sent_at + statement_delay) return false;
  const attempt* told = find_attempt(earlier.request);
  const attempt* sender = find_attempt(later.request);
  if (told == nullptr || sender == nullptr || told->daemon != sender->daemon)
    return false;
  const auto interrupted = interruptions_.find(told->daemon);
  return interrupted == interruptions_.end() ||
         std::ranges::none_of(interrupted->second, [&](time_point each) {
           return each >= earlier.sent_at && each <= later.arrived_at;
         });
}

void statement_checker::check_limit(const leaf_start& leaf, const history& seen,
                                    std::vector<violation>& found) const {
  const auto first =
      std::ranges::find_if(seen.responses, [](const response& each) {
        return each.statement.rate_limit.has_value();
      });
  if (first == seen.responses.end()) return;
  std::vector<time_point> counted;
  for (const arrival& each : seen.arrivals) {
    if (each.arrived_at < first->sent_at + limit_delay) continue;
    const bool known =
        std::any_of(first, seen.responses.end(), [&](const response& earlier) {
          return earlier.statement.rate_limit && knows(earlier, each);
        });
    if (known) counted.push_back(each.arrived_at);
  }
  const double limit = *first->statement.rate_limit;
  const double allowed =
      limit_factor * limit *
          std::chrono::duration<double>(limit_window).count() +
      limit_slack;
  auto begin = counted.begin();
  for (auto end = counted.begin(); end != counted.end(); ++end) {
    while (*end - *begin >= limit_window)
      ++begin;
    const auto count = end - begin + 1;
    if (static_cast<double>(count) <= allowed) continue;
    found.push_back({*end, "leaf " + leaf.leaf + " that stated a limit of " +
                               std::to_string(limit) + " a second got " +
                               std::to_string(count) +
                               " requests in a window"});
    return;
  }
}

void statement_checker::check_pauses(const leaf_start& leaf,
                                     const history& seen,
                                     std::vector<violation>& found) const {
  for (const response& each : seen.responses) {
    if (!each.statement.pause) continue;
    const time_point end = each.sent_at + *each.statement.pause;
    const auto count =
        std::ranges::count_if(seen.arrivals, [&](const arrival& later) {
          return later.arrived_at < end && knows(each, later);
        });
    if (static_cast<std::size_t>(count) <= pause_slack) continue;
    found.push_back({each.sent_at, "leaf " + leaf.leaf +
                                       " that asked for a pause got " +
                                       std::to_string(count) + " requests"});
    return;
  }
}

void statement_checker::check_leaving(const leaf_start& leaf,
                                      const history& seen, duration drain_bound,
                                      std::vector<violation>& found) const {
  for (const arrival& each : seen.arrivals) {
    const attempt* sender = find_attempt(each.request);
    if (sender == nullptr) continue;
    const bool known =
        std::ranges::any_of(seen.responses, [&](const response& earlier) {
          return earlier.statement.leaving && knows(earlier, each) &&
                 sender->sent_at > earlier.sent_at + drain_bound;
        });
    if (!known) continue;
    found.push_back({each.arrived_at, "leaf " + leaf.leaf +
                                          " that said it leaves got request " +
                                          each.request});
    return;
  }
}

std::vector<statement_checker::violation> statement_checker::check(
    duration drain_bound) const {
  std::vector<violation> found;
  for (const auto& [leaf, seen] : leafs_) {
    check_limit(leaf, seen, found);
    check_pauses(leaf, seen, found);
    check_leaving(leaf, seen, drain_bound, found);
  }
  return found;
}

}  // namespace medlarloft::soak
