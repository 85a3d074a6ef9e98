#include "check.hpp"

#include <algorithm>
#include <numeric>
#include <set>

namespace medlarloft::notes {
namespace {

// Server time may be filled up to this share before a note is refused.
constexpr double max_planned_use = 1.0;

template <class Entity>
note_result<void> check_data_centres(const fleet_model& model,
                                     const std::vector<Entity>& entities,
                                     const char* section) {
  const auto lost =
      std::ranges::find_if(entities, [&model](const Entity& entity) {
        return model.find_data_centre(entity.data_centre) == nullptr;
      });
  if (lost == entities.end()) return outcome::success();
  return note_error{note_errc::unknown_reference,
                    std::string(section) + "." + lost->id + ".data_centre",
                    "\"" + lost->data_centre + "\"", "names no data centre"};
}

std::string path_of(const service& owner, const shard& part) {
  return "services." + owner.id + ".shards." + part.id;
}

note_result<void> check_replicas(const service& owner, const shard& part) {
  if (part.leafs.empty()) {
    return note_error{note_errc::no_replica, path_of(owner, part), "[]",
                      "is left with no replica"};
  }
  const std::set<leaf_index> distinct(part.leafs.begin(), part.leafs.end());
  if (distinct.size() != part.leafs.size()) {
    return note_error{note_errc::already_exists, path_of(owner, part), "",
                      "names one backend server twice"};
  }
  return outcome::success();
}

// The shards must tile the key space: no gap, no overlap.
note_result<void> check_tiling(const service& owner, const partition_map& map) {
  std::uint64_t next = 0;
  for (const shard& part : map.shards) {
    if (part.range.from != next || part.range.to <= part.range.from) {
      return note_error{note_errc::not_a_partition, path_of(owner, part),
                        std::to_string(part.range.from),
                        "must start at key " + std::to_string(next) +
                            " and hold at least one key"};
    }
    next = part.range.to;
  }
  if (next == key_space) return outcome::success();
  return note_error{note_errc::not_a_partition, "services." + owner.id,
                    std::to_string(next), "shards leave keys uncovered"};
}

note_result<void> check_capacity(const fleet_model& model, const service& owner,
                                 const shard& part) {
  if (owner.queries_per_second <= 0 || owner.leaf_time <= duration::zero()) {
    return outcome::success();
  }
  const double slots =
      std::accumulate(part.leafs.begin(), part.leafs.end(), 0.0,
                      [&model](double sum, leaf_index i) {
                        return sum + static_cast<double>(model.leafs[i].slots);
                      });
  const double seconds = std::chrono::duration<double>(owner.leaf_time).count();
  const double bearable = slots / seconds * max_planned_use;
  if (bearable >= owner.queries_per_second) return outcome::success();
  return note_error{
      note_errc::capacity, path_of(owner, part),
      std::to_string(owner.queries_per_second) + " queries/s",
      "its replicas bear " + std::to_string(bearable) + " queries/s"};
}

note_result<void> check_map(const fleet_model& model, const service& owner,
                            const partition_map& map) {
  BOOST_OUTCOME_TRYV(check_tiling(owner, map));
  std::set<std::string_view> ids;
  for (const shard& part : map.shards) {
    if (!ids.insert(part.id).second) {
      return note_error{note_errc::already_exists, path_of(owner, part), "",
                        "stands twice in one partition map"};
    }
    BOOST_OUTCOME_TRYV(check_replicas(owner, part));
    BOOST_OUTCOME_TRYV(check_capacity(model, owner, part));
  }
  return outcome::success();
}

note_result<void> check_service(const fleet_model& model,
                                const service& owner) {
  const auto twice =
      std::ranges::adjacent_find(owner.maps, {}, &partition_map::from_snapshot);
  if (twice != owner.maps.end()) {
    return note_error{
        note_errc::already_exists, "services." + owner.id + ".partitions",
        std::to_string(twice->from_snapshot), "two maps start at one snapshot"};
  }
  for (const partition_map& map : owner.maps) {
    BOOST_OUTCOME_TRYV(check_map(model, owner, map));
  }
  return outcome::success();
}

note_result<void> check_addresses(const fleet_model& model) {
  std::set<endpoint> taken;
  const auto clash =
      std::ranges::find_if(model.leafs, [&taken](const leaf& server) {
        return !taken.insert(server.address).second;
      });
  if (clash == model.leafs.end()) return outcome::success();
  return note_error{note_errc::already_exists,
                    "backend_servers." + clash->id + ".address",
                    "\"" + format_endpoint(clash->address) + "\"",
                    "belongs to another backend server too"};
}

bool served(const fleet_model& model, const shard& part) {
  return std::ranges::any_of(part.leafs, [&model](leaf_index i) {
    const leaf& server = model.leafs[i];
    return !server.leaving && !model.is_out(server.data_centre);
  });
}

}  // namespace

namespace detail {

note_result<void> check_meaning(const fleet_model& model) {
  BOOST_OUTCOME_TRYV(check_data_centres(model, model.daemons, "daemons"));
  BOOST_OUTCOME_TRYV(check_data_centres(model, model.leafs, "backend_servers"));
  BOOST_OUTCOME_TRYV(check_addresses(model));
  for (const service& owner : model.services) {
    BOOST_OUTCOME_TRYV(check_service(model, owner));
  }
  return outcome::success();
}

}  // namespace detail

std::vector<std::string> warnings(const fleet_model& model) {
  std::vector<std::string> lines;
  for (const service& owner : model.services) {
    for (const shard& part : owner.maps.back().shards) {
      if (served(model, part)) continue;
      lines.push_back(path_of(owner, part) +
                      ": every replica is leaving or in a data centre that "
                      "is out; answers will miss its keys");
    }
  }
  return lines;
}

}  // namespace medlarloft::notes
