#include "replica_choice.hpp"

#include <algorithm>

namespace medlarloft::server {
namespace {

// Weight of the newest sample in a way's latency.
constexpr int latency_weight = 8;
// A near replica must be this much slower before a far one is tried.
constexpr std::size_t compared = 2;

double seconds(duration value) {
  return std::chrono::duration<double>(value).count();
}

}  // namespace

replica_choice::way& replica_choice::way_of(const view& current,
                                            const query::route& route) {
  const notes::fleet_model& model = *current.model;
  return ways_[mix64(hash64(model.leafs[route.leaf].id),
                     hash64(model.daemons[route.relay].id))];
}

void replica_choice::add_candidates(time_point now, const view& current,
                                    notes::leaf_index leaf,
                                    std::vector<candidate>& candidates) {
  const notes::fleet_model& model = *current.model;
  const notes::leaf& server = model.leafs[leaf];
  if (server.leaving || model.is_out(server.data_centre)) return;
  if (std::ranges::binary_search(current.leaving_hosts, server.id)) return;
  const bool near = current.self &&
                    model.daemons[*current.self].data_centre ==
                        server.data_centre;
  for (const notes::daemon_index relay :
       current.homes->homes(leaf).daemons()) {
    const placement::daemon_status& status = current.status[relay];
    if (!status.alive && relay != current.self) continue;
    const query::route route{leaf, relay};
    const way& known = way_of(current, route);
    duration expected = known.latency;
    if (expected == duration::zero()) {
      expected = near ? options_.unknown_near : options_.unknown_far;
    }
    candidates.push_back({route, seconds(expected) * (known.in_flight + 1.0),
                          known.avoid_until > now});
  }
}

std::optional<query::route> replica_choice::pick(
    time_point now, const view& current, const notes::shard& shard,
    const std::vector<notes::leaf_index>& tried) {
  std::vector<candidate> candidates;
  for (const notes::leaf_index leaf : shard.leafs) {
    if (std::ranges::find(tried, leaf) != tried.end()) continue;
    add_candidates(now, current, leaf, candidates);
  }
  if (candidates.empty()) return std::nullopt;
  const bool some_usable = std::ranges::any_of(
      candidates, [](const candidate& c) { return !c.avoided; });
  if (some_usable) {
    std::erase_if(candidates, [](const candidate& c) { return c.avoided; });
  }
  // Of two drawn at random the cheaper: no way draws every query at once
  // because it was fast a moment ago.
  std::ranges::shuffle(candidates, random_);
  const auto end = candidates.begin() +
                   static_cast<std::ptrdiff_t>(
                       std::min(compared, candidates.size()));
  const auto best = std::min_element(
      candidates.begin(), end,
      [](const candidate& a, const candidate& b) { return a.cost < b.cost; });
  return best->route;
}

void replica_choice::sent(const view& current, const query::route& route) {
  ++way_of(current, route).in_flight;
}

void replica_choice::ended(time_point now, const view& current,
                           const query::route& route,
                           std::optional<query::failure> failed,
                           duration latency) {
  way& known = way_of(current, route);
  if (known.in_flight > 0) --known.in_flight;
  if (failed == query::failure::not_run) {
    known.avoid_until = now + options_.avoid_refused;
  } else if (failed == query::failure::lost) {
    known.avoid_until = now + options_.avoid_lost;
  } else if (!failed) {
    known.avoid_until = {};
    known.latency = known.latency == duration::zero()
                        ? latency
                        : known.latency +
                              (latency - known.latency) / latency_weight;
  }
}

}  // namespace medlarloft::server
