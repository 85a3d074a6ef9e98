#include "medlarloft/routes.hpp"

#include <algorithm>
#include <functional>
#include <iterator>
#include <numeric>

namespace medlarloft::routes {
namespace {

std::string_view strip_port(std::string_view host) {
  return host.substr(0, host.find(':'));
}

std::string_view strip_query(std::string_view target) {
  return target.substr(0, target.find('?'));
}

}  // namespace

route_table::route_table(configuration config) : config_(std::move(config)) {
  for (const route& each : config_.routes)
    by_host_[each.host].push_back(&each);
  for (auto& [host, routes] : by_host_) {
    std::ranges::stable_sort(routes, std::greater<>{}, [](const route* each) {
      return each->prefix.size();
    });
  }
  merge_accounts();
  index_keys();
}

void route_table::merge_accounts() {
  std::vector<account> merged;
  for (account& each : config_.accounts) {
    const auto known = std::ranges::find(merged, each.name, &account::name);
    if (known == merged.end()) {
      merged.push_back(std::move(each));
      continue;
    }
    problems_.push_back("account \"" + each.name + "\" is named twice");
    std::ranges::move(each.keys, std::back_inserter(known->keys));
  }
  config_.accounts = std::move(merged);
}

void route_table::index_keys() {
  for (const account& each : config_.accounts) {
    for (const std::string& key : each.keys) {
      const auto [entry, added] = by_key_.try_emplace(key, &each);
      if (added || entry->second == &each) continue;
      problems_.push_back("account \"" + each.name + "\" names a key of \"" +
                          entry->second->name + "\"");
    }
  }
}

const account* route_table::find_account(std::string_view key) const {
  const auto found = by_key_.find(std::string(key));
  return found == by_key_.end() ? nullptr : found->second;
}

const route* route_table::find(std::string_view host,
                               std::string_view target) const {
  const auto host_routes = by_host_.find(std::string(strip_port(host)));
  if (host_routes == by_host_.end()) return nullptr;
  const std::string_view path = strip_query(target);
  const auto match = std::ranges::find_if(
      host_routes->second,
      [path](const route* each) { return path.starts_with(each->prefix); });
  return match == host_routes->second.end() ? nullptr : *match;
}

const service* route_table::find_service(std::string_view name) const {
  const auto found = config_.services.find(name);
  return found == config_.services.end() ? nullptr : &found->second;
}

const split_target& weighted_round_robin::next(
    const std::vector<split_target>& split) {
  const bool unchanged =
      std::ranges::equal(split, weights_, {}, &split_target::weight);
  if (!unchanged) {
    credits_.assign(split.size(), 0.0);
    weights_.clear();
    std::ranges::transform(split, std::back_inserter(weights_),
                           &split_target::weight);
  }
  const double total = std::accumulate(weights_.begin(), weights_.end(), 0.0);
  std::ranges::transform(credits_, weights_, credits_.begin(), std::plus<>{});
  const auto selected = std::ranges::max_element(credits_);
  *selected -= total;
  return split[static_cast<std::size_t>(selected - credits_.begin())];
}

}  // namespace medlarloft::routes
