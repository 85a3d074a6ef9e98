#pragma once

/// A service of a few shards for tests; leaf r of shard s is s * replicas + r.

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include "medlarloft/query.hpp"

namespace medlarloft::query {

inline notes::service sample_service(std::size_t shards, std::size_t replicas) {
  notes::service service;
  service.id = "desk";
  service.deadline = std::chrono::milliseconds(100);
  notes::partition_map map;
  const std::uint64_t span = notes::key_space / shards;
  for (std::size_t s = 0; s < shards; ++s) {
    notes::shard part;
    part.id = "s" + std::to_string(s);
    part.range.from = span * s;
    part.range.to = s + 1 == shards ? notes::key_space : span * (s + 1);
    for (std::size_t r = 0; r < replicas; ++r) {
      part.leafs.push_back(static_cast<leaf_index>(s * replicas + r));
      part.replicas.push_back("l" + std::to_string(part.leafs.back()));
    }
    map.shards.push_back(part);
  }
  service.maps.push_back(map);
  return service;
}

/// Picks the first replica that was not tried.
inline std::optional<route> first_untried(const notes::shard& shard,
                                          const tried_routes& tried,
                                          snapshot_id /*snapshot*/) {
  for (const leaf_index leaf : shard.leafs) {
    const bool used = std::find(tried.leafs.begin(), tried.leafs.end(), leaf) !=
                      tried.leafs.end();
    const bool refused = std::find(tried.refused.begin(), tried.refused.end(),
                                   route{leaf, 0}) != tried.refused.end();
    if (!used && !refused) return route{leaf, 0};
  }
  return std::nullopt;
}

/// Hooks with unlimited extra requests and counted tags.
inline hooks plain_hooks(attempt_id& next) {
  return {.pick = first_untried,
          .take_extra = [](attempt_kind) { return true; },
          .new_attempt = [&next] { return ++next; }};
}

inline leaf_answer answer_of(const notes::shard& shard, snapshot_id snapshot) {
  const row found{"row" + std::to_string(shard.range.from), shard.range.from,
                  1.0, "snapshot " + std::to_string(snapshot)};
  return {snapshot, shard.range, {found}};
}

}  // namespace medlarloft::query
