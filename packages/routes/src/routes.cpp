#include "medlarloft/routes.hpp"

#include <algorithm>
#include <functional>
#include <numeric>

namespace medlarloft::routes {
namespace {

std::string_view without_port(std::string_view host) {
  return host.substr(0, host.find(':'));
}

std::string_view path_of(std::string_view target) {
  return target.substr(0, target.find('?'));
}

}  // namespace

route_table::route_table(configuration source) : source_(std::move(source)) {
  for (const route& each : source_.routes)
    by_host_[each.host].push_back(&each);
  for (auto& [host, found] : by_host_) {
    std::ranges::stable_sort(found, std::greater<>{}, [](const route* each) {
      return each->prefix.size();
    });
  }
}

const route* route_table::find(std::string_view host,
                               std::string_view target) const {
  const auto of_host = by_host_.find(std::string(without_port(host)));
  if (of_host == by_host_.end()) return nullptr;
  const std::string_view path = path_of(target);
  const auto match = std::ranges::find_if(
      of_host->second,
      [path](const route* each) { return path.starts_with(each->prefix); });
  return match == of_host->second.end() ? nullptr : *match;
}

const service* route_table::find_service(std::string_view name) const {
  const auto found = source_.services.find(name);
  return found == source_.services.end() ? nullptr : &found->second;
}

const split_target& weighted_round_robin::next(
    const std::vector<split_target>& split) {
  const bool same =
      std::ranges::equal(split, weights_, {}, &split_target::weight);
  if (!same) {
    owed_.assign(split.size(), 0.0);
    weights_.clear();
    std::ranges::transform(split, std::back_inserter(weights_),
                           &split_target::weight);
  }
  const double total = std::accumulate(weights_.begin(), weights_.end(), 0.0);
  std::ranges::transform(owed_, weights_, owed_.begin(), std::plus<>{});
  const auto chosen = std::ranges::max_element(owed_);
  *chosen -= total;
  return split[static_cast<std::size_t>(chosen - owed_.begin())];
}

}  // namespace medlarloft::routes
