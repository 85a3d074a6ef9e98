#include "codec.hpp"

#include <algorithm>
#include <iterator>

namespace medlarloft::notes::detail {
namespace {

using nlohmann::json;

note_error bad_value(const json& owner, const char* key,
                     const std::string& reason) {
  return {note_errc::document, owner.value("id", "") + "." + key,
          documents::excerpt(owner.at(key)), reason};
}

note_result<void> read_duration(const json& owner, const char* key,
                                duration& into) {
  if (!owner.contains(key)) return outcome::success();
  const auto read = parse_duration(owner.at(key).get<std::string>());
  if (!read) return bad_value(owner, key, "is not a duration with a unit");
  into = read.value();
  return outcome::success();
}

note_result<void> read_endpoint(const json& owner, const char* key,
                                endpoint& into) {
  const auto read = parse_endpoint(owner.at(key).get<std::string>());
  if (!read) return bad_value(owner, key, "is not an IP address and port");
  into = read.value();
  return outcome::success();
}

// The digest covers the canonical form, so that a value and its rewritten
// copy have the same one.
template <class Entity>
void set_digest(std::string_view kind, Entity& into) {
  into.digest = hash64(dump(write(into)), hash64(kind));
}

shard read_shard(const json& value) {
  shard read;
  read.id = value.at("id").get<std::string>();
  read.range.from = value.at("from").get<std::uint64_t>();
  read.range.to = value.at("to").get<std::uint64_t>();
  read.replicas = value.at("replicas").get<std::vector<std::string>>();
  return read;
}

json write_shard(const shard& value) {
  return {{"id", value.id},
          {"from", value.range.from},
          {"to", value.range.to},
          {"replicas", value.replicas}};
}

partition_map read_partition(const json& value) {
  partition_map read;
  read.from_snapshot = value.value("from_snapshot", snapshot_id{0});
  std::ranges::transform(value.at("shards"), std::back_inserter(read.shards),
                         read_shard);
  return read;
}

json write_partition(const partition_map& value) {
  json shards = json::array();
  std::ranges::transform(value.shards, std::back_inserter(shards), write_shard);
  return {{"from_snapshot", value.from_snapshot},
          {"shards", std::move(shards)}};
}

}  // namespace

std::string dump(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

note_result<void> read(const json& value, data_centre& into) {
  into.id = value.at("id").get<std::string>();
  into.region = value.at("region").get<std::string>();
  into.out = value.value("out", false);
  set_digest("data_centre", into);
  return outcome::success();
}

note_result<void> read(const json& value, daemon_entry& into) {
  into.id = value.at("id").get<std::string>();
  into.data_centre = value.at("data_centre").get<std::string>();
  BOOST_OUTCOME_TRYV(read_endpoint(value, "callers", into.callers));
  BOOST_OUTCOME_TRYV(read_endpoint(value, "peers", into.peers));
  BOOST_OUTCOME_TRYV(read_endpoint(value, "control", into.control));
  set_digest("daemon", into);
  return outcome::success();
}

note_result<void> read(const json& value, leaf& into) {
  into.id = value.at("id").get<std::string>();
  into.data_centre = value.at("data_centre").get<std::string>();
  BOOST_OUTCOME_TRYV(read_endpoint(value, "address", into.address));
  into.slots = value.at("slots").get<std::uint32_t>();
  into.connections = value.at("connections").get<std::uint32_t>();
  BOOST_OUTCOME_TRYV(
      read_duration(value, "connection_cost", into.connection_cost));
  into.leaving = value.value("leaving", false);
  if (value.contains("cold")) {
    const json& cold = value.at("cold");
    into.cold.concurrent = cold.value("concurrent", into.cold.concurrent);
    into.cold.warm_after = cold.value("warm_after", into.cold.warm_after);
  }
  set_digest("backend_server", into);
  return outcome::success();
}

note_result<void> read(const json& value, service& into) {
  into.id = value.at("id").get<std::string>();
  into.priority = *parse_class(value.at("class").get<std::string>());
  BOOST_OUTCOME_TRYV(read_duration(value, "deadline", into.deadline));
  if (into.deadline <= duration::zero()) {
    return bad_value(value, "deadline", "must be longer than zero");
  }
  into.coverage_wanted = value.value("coverage_wanted", 1.0);
  into.idempotent = value.value("idempotent", true);
  BOOST_OUTCOME_TRYV(
      read_duration(value, "stop_early_after", into.stop_early_after));
  into.queries_per_second = value.value("queries_per_second", 0.0);
  BOOST_OUTCOME_TRYV(read_duration(value, "leaf_time", into.leaf_time));
  std::ranges::transform(value.at("partitions"), std::back_inserter(into.maps),
                         read_partition);
  std::ranges::sort(into.maps, {}, &partition_map::from_snapshot);
  for (partition_map& map : into.maps) {
    std::ranges::sort(map.shards, {}, &shard::range);
  }
  set_digest("service", into);
  return outcome::success();
}

json write(const data_centre& value) {
  json written = {{"id", value.id}, {"region", value.region}};
  if (value.out) written["out"] = true;
  return written;
}

json write(const daemon_entry& value) {
  return {{"id", value.id},
          {"data_centre", value.data_centre},
          {"callers", format_endpoint(value.callers)},
          {"peers", format_endpoint(value.peers)},
          {"control", format_endpoint(value.control)}};
}

json write(const leaf& value) {
  json written = {{"id", value.id},
                  {"data_centre", value.data_centre},
                  {"address", format_endpoint(value.address)},
                  {"slots", value.slots},
                  {"connections", value.connections},
                  {"connection_cost", format_duration(value.connection_cost)},
                  {"cold",
                   {{"concurrent", value.cold.concurrent},
                    {"warm_after", value.cold.warm_after}}}};
  if (value.leaving) written["leaving"] = true;
  return written;
}

json write(const service& value) {
  json partitions = json::array();
  std::ranges::transform(value.maps, std::back_inserter(partitions),
                         write_partition);
  return {{"id", value.id},
          {"class", name_of(value.priority)},
          {"deadline", format_duration(value.deadline)},
          {"coverage_wanted", value.coverage_wanted},
          {"idempotent", value.idempotent},
          {"stop_early_after", format_duration(value.stop_early_after)},
          {"queries_per_second", value.queries_per_second},
          {"leaf_time", format_duration(value.leaf_time)},
          {"partitions", std::move(partitions)}};
}

}  // namespace medlarloft::notes::detail
