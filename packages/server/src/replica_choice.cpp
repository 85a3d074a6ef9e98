#include "replica_choice.hpp"

#include <algorithm>

namespace medlarloft::server {
namespace {

// Weight of the newest sample in a way's latency.
constexpr int latency_weight = 8;
// A near way must cost this many times a far one before the far is taken.
constexpr double far_margin = 1.5;

double seconds(duration value) {
  return std::chrono::duration<double>(value).count();
}

}  // namespace

replica_choice::way& replica_choice::way_of(const view& current,
                                            const query::route& route) {
  const notes::fleet_model& model = *current.model;
  return ways_[hash_combine(hash64(model.leafs[route.leaf].id),
                            hash64(model.daemons[route.relay].id))];
}

void replica_choice::add_candidates(time_point now, const view& current,
                                    notes::leaf_index leaf,
                                    const query::tried_routes& tried,
                                    std::vector<candidate>& candidates) {
  const notes::fleet_model& model = *current.model;
  const notes::leaf& server = model.leafs[leaf];
  if (server.leaving || model.is_out(server.data_centre)) return;
  if (std::ranges::binary_search(current.leaving_hosts, server.id)) return;
  const bool near = current.self && model.daemons[*current.self].data_centre ==
                                        server.data_centre;
  for (const notes::daemon_index relay : current.homes->homes(leaf).daemons()) {
    const placement::daemon_status& status = current.status[relay];
    if (!status.alive && relay != current.self) continue;
    const query::route route{leaf, relay};
    const bool refused =
        std::ranges::find(tried.refused, route) != tried.refused.end();
    if (refused) continue;
    const way& known = way_of(current, route);
    duration expected = known.latency;
    if (expected == duration::zero()) {
      expected = near ? options_.unknown_near : options_.unknown_far;
    }
    candidates.push_back({route, seconds(expected) * (known.in_flight + 1.0),
                          known.avoid_until > now, near});
  }
}

std::optional<replica_choice::candidate> replica_choice::cheaper_of_two(
    const std::vector<candidate>& candidates, bool near) {
  std::vector<const candidate*> fit;
  for (const candidate& one : candidates) {
    if (one.near == near) fit.push_back(&one);
  }
  if (fit.empty()) return std::nullopt;
  const std::size_t first = random_.below(fit.size());
  if (fit.size() == 1) return *fit[first];
  const std::size_t step = 1 + random_.below(fit.size() - 1);
  const std::size_t second = (first + step) % fit.size();
  return fit[second]->cost < fit[first]->cost ? *fit[second] : *fit[first];
}

std::optional<query::route> replica_choice::pick(
    time_point now, const view& current, const notes::shard& shard,
    const query::tried_routes& tried) {
  std::vector<candidate> candidates;
  for (const notes::leaf_index leaf : shard.leafs) {
    const bool asked =
        std::ranges::find(tried.leafs, leaf) != tried.leafs.end();
    if (!asked) add_candidates(now, current, leaf, tried, candidates);
  }
  if (candidates.empty()) return std::nullopt;
  const bool some_usable = std::ranges::any_of(
      candidates, [](const candidate& c) { return !c.avoided; });
  if (some_usable) {
    std::erase_if(candidates, [](const candidate& c) { return c.avoided; });
  }
  // Of two drawn at random the cheaper: no way draws every query at once
  // because it was fast a moment ago.
  const auto near = cheaper_of_two(candidates, true);
  const auto far = cheaper_of_two(candidates, false);
  if (!near) return far->route;
  if (!far || near->cost <= far->cost * far_margin) return near->route;
  return far->route;
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
  if (failed == query::failure::not_run || failed == query::failure::not_sent) {
    known.avoid_until = now + options_.avoid_refused;
  } else if (failed == query::failure::lost) {
    known.avoid_until = now + options_.avoid_lost;
  } else if (!failed) {
    known.avoid_until = {};
    known.latency =
        known.latency == duration::zero()
            ? latency
            : known.latency + (latency - known.latency) / latency_weight;
  }
}

}  // namespace medlarloft::server
