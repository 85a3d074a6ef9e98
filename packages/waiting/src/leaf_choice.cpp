#include "medlarloft/waiting.hpp"

namespace medlarloft::waiting {

leaf_choice::~leaf_choice() {
  for (const auto& [service, place] : tickets_)
    line_.leave(service, place);
}

// Requests that may not use every leaf stand outside of the line.
result<leafs::leaf_handle, leafs::no_leaf> leaf_choice::pick(
    time_point now, const std::string& service,
    const leafs::pick_options& limits) {
  const bool any_leaf = limits.tried.empty() && limits.only.empty();
  if (any_leaf && line_.size() > 0) {
    const auto turn = line_.first(now, service);
    const auto own = tickets_.find(service);
    const bool mine = own != tickets_.end() && turn == own->second;
    if (turn && !mine) return leafs::no_leaf::all_busy;
  }
  return leafs_.pick(now, service, options_.work, limits);
}

estimate leaf_choice::expect(time_point now, const std::string& service) const {
  const auto pace = leafs_.pace(now, service, options_.work);
  if (!pace) return {};
  const auto ahead = line_.ahead(now, service, options_.rank, options_.due);
  return {.wait = pace->turn * static_cast<int>(ahead + 1),
          .work = pace->at_leaf};
}

void leaf_choice::join(const std::string& service, std::function<void()> wake) {
  leave(service);
  tickets_[service] = line_.join(
      service,
      {.rank = options_.rank, .due = options_.due, .wake = std::move(wake)});
}

void leaf_choice::leave(const std::string& service) {
  const auto place = tickets_.extract(service);
  if (!place.empty()) line_.leave(service, place.mapped());
}

void leaf_choice::freed(time_point now, const leafs::leaf_set& leafs,
                        line& waiters, const std::string& service) {
  if (waiters.size() == 0) return;
  waiters.freed(now, service, [now, &leafs, &service] {
    return !leafs.obstacle(now, service);
  });
}

}  // namespace medlarloft::waiting
