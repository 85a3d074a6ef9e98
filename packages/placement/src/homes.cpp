#include <algorithm>
#include <bit>
#include <map>
#include <numeric>
#include <unordered_map>

#include "medlarloft/placement.hpp"

namespace medlarloft::placement {
namespace {

using notes::fleet_model;

constexpr std::uint64_t no_group = 0;

std::size_t bucket_of(const notes::shard& part, std::size_t shards) {
  const std::size_t wanted = (shards + shards_per_group - 1) / shards_per_group;
  const std::size_t buckets = std::bit_ceil(wanted);
  return static_cast<std::size_t>(part.range.from /
                                  (notes::key_space / buckets));
}

// The group of a leaf follows from the first service, newest map first, that
// names it, and from where its shard's keys begin. Splitting a shard moves a
// leaf to another group only when the number of groups doubles.
std::vector<std::uint64_t> group_leafs(const fleet_model& model) {
  std::vector<std::uint64_t> groups(model.leafs.size(), no_group);
  for (const notes::service& owner : model.services) {
    const std::uint64_t seed = hash64(owner.id);
    const notes::partition_map& map = owner.maps.back();
    for (const notes::shard& part : map.shards) {
      const std::size_t bucket = bucket_of(part, map.shards.size());
      for (const leaf_index leaf : part.leafs) {
        if (groups[leaf] == no_group) groups[leaf] = hash_combine(seed, bucket);
      }
    }
  }
  for (leaf_index leaf = 0; leaf < model.leafs.size(); ++leaf) {
    if (groups[leaf] == no_group) groups[leaf] = hash64(model.leafs[leaf].id);
  }
  return groups;
}

using daemons_by_centre =
    std::unordered_map<std::string_view, std::vector<daemon_index>>;

daemons_by_centre split_by_centre(const fleet_model& model) {
  daemons_by_centre centres;
  for (daemon_index i = 0; i < model.daemons.size(); ++i) {
    centres[model.daemons[i].data_centre].push_back(i);
  }
  return centres;
}

struct scored {
  std::uint64_t score;
  daemon_index daemon;
};

// Ranks candidates for groups and remembers the result of each group.
class ranker {
 public:
  explicit ranker(const fleet_model& model) : centres_(split_by_centre(model)) {
    everyone_.resize(model.daemons.size());
    std::iota(everyone_.begin(), everyone_.end(), daemon_index{0});
    hashes_.reserve(model.daemons.size());
    for (const notes::daemon_entry& daemon : model.daemons) {
      hashes_.push_back(hash64(daemon.id));
    }
  }

  home_set rank(const notes::leaf& server, std::uint64_t group) {
    const std::size_t holders =
        std::min({max_homes, static_cast<std::size_t>(server.slots),
                  static_cast<std::size_t>(server.connections)});
    const std::uint64_t key = hash_combine(group, hash64(server.data_centre));
    const auto known = ranked_.find(key);
    home_set best = known != ranked_.end()
                        ? known->second
                        : (ranked_[key] = best_of(server.data_centre, key));
    best.count =
        static_cast<std::uint8_t>(std::min<std::size_t>(best.count, holders));
    return best;
  }

 private:
  home_set best_of(const std::string& centre, std::uint64_t key) const {
    const auto local = centres_.find(centre);
    const std::vector<daemon_index>& candidates =
        local != centres_.end() ? local->second : everyone_;
    std::array<scored, max_homes> best{};
    home_set homes;
    for (const daemon_index candidate : candidates) {
      const std::uint64_t score = hash_combine(key, hashes_[candidate]);
      std::size_t at = homes.count;
      while (at > 0 && best[at - 1].score < score)
        --at;
      if (at >= max_homes) continue;
      const std::size_t last =
          std::min<std::size_t>(homes.count, max_homes - 1);
      for (std::size_t i = last; i > at; --i)
        best[i] = best[i - 1];
      best[at] = {score, candidate};
      if (homes.count < max_homes) ++homes.count;
    }
    for (std::size_t i = 0; i < homes.count; ++i) {
      homes.ranked[i] = best[i].daemon;
    }
    return homes;
  }

  daemons_by_centre centres_;
  std::vector<daemon_index> everyone_;
  std::vector<std::uint64_t> hashes_;
  std::unordered_map<std::uint64_t, home_set> ranked_;
};

bool same_fleet(const fleet_model& left, const fleet_model& right) {
  return std::ranges::equal(
      left.daemons, right.daemons, [](const auto& a, const auto& b) {
        return a.id == b.id && a.data_centre == b.data_centre;
      });
}

}  // namespace

std::optional<std::size_t> home_set::rank_of(
    daemon_index daemon) const noexcept {
  const auto all = daemons();
  const auto found = std::ranges::find(all, daemon);
  if (found == all.end()) return std::nullopt;
  return static_cast<std::size_t>(found - all.begin());
}

home_table::home_table(const fleet_model& model) : groups_(group_leafs(model)) {
  ranker ranking(model);
  homes_.reserve(model.leafs.size());
  for (leaf_index i = 0; i < model.leafs.size(); ++i) {
    homes_.push_back(ranking.rank(model.leafs[i], groups_[i]));
  }
}

home_table::home_table(const fleet_model& model,
                       const fleet_model& model_before,
                       const home_table& before) {
  if (!same_fleet(model, model_before)) {
    *this = home_table(model);
    return;
  }
  groups_ = group_leafs(model);
  ranker ranking(model);
  homes_.reserve(model.leafs.size());
  leaf_index old = 0;
  for (leaf_index i = 0; i < model.leafs.size(); ++i) {
    const notes::leaf& server = model.leafs[i];
    while (old < model_before.leafs.size() &&
           model_before.leafs[old].id < server.id) {
      ++old;
    }
    const bool unchanged = old < model_before.leafs.size() &&
                           model_before.leafs[old].digest == server.digest &&
                           before.groups_[old] == groups_[i];
    homes_.push_back(unchanged ? before.homes_[old]
                               : ranking.rank(server, groups_[i]));
  }
}

std::vector<leaf_index> home_table::leafs_of(daemon_index daemon) const {
  std::vector<leaf_index> found;
  for (leaf_index i = 0; i < homes_.size(); ++i) {
    if (homes_[i].rank_of(daemon)) found.push_back(i);
  }
  return found;
}

}  // namespace medlarloft::placement
