#include <algorithm>
#include <tuple>

#include "medlarloft/backends.hpp"

namespace medlarloft::backends {
namespace {

bool more_urgent(const waiting_request& left, const waiting_request& right) {
  return std::tie(left.priority, left.deadline) <
         std::tie(right.priority, right.deadline);
}

}  // namespace

std::optional<std::uint64_t> wait_queue::push(const waiting_request& request) {
  if (capacity_ == 0) return request.id;
  const auto at = std::ranges::upper_bound(waiting_, request, more_urgent);
  waiting_.insert(at, request);
  if (waiting_.size() <= capacity_) return std::nullopt;
  const std::uint64_t dropped = waiting_.back().id;
  waiting_.pop_back();
  return dropped;
}

std::optional<waiting_request> wait_queue::pop() {
  if (waiting_.empty()) return std::nullopt;
  const waiting_request first = waiting_.front();
  waiting_.erase(waiting_.begin());
  return first;
}

std::vector<std::uint64_t> wait_queue::expire(time_point now) {
  std::vector<std::uint64_t> ids;
  for (const waiting_request& request : waiting_) {
    if (request.deadline <= now) ids.push_back(request.id);
  }
  std::erase_if(waiting_, [now](const waiting_request& request) {
    return request.deadline <= now;
  });
  return ids;
}

bool wait_queue::remove(std::uint64_t id) {
  return std::erase_if(waiting_, [id](const waiting_request& request) {
           return request.id == id;
         }) > 0;
}

}  // namespace medlarloft::backends
