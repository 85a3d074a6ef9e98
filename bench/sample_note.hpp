#pragma once

/// A release note of any size, shaped like the users' largest plan.

#include <nlohmann/json.hpp>
#include <string>

#include "medlarloft/notes.hpp"

namespace medlarloft::bench {

/// Leafs of one service, and replicas of one shard.
inline constexpr std::size_t shards_per_service = 530;
inline constexpr std::size_t replicas_per_shard = 3;

inline std::string name_of(const char* prefix, std::size_t number) {
  return prefix + std::to_string(number);
}

inline std::string address_of(std::size_t number, int port) {
  return "10." + std::to_string(number / 65536 % 256) + "." +
         std::to_string(number / 256 % 256) + "." +
         std::to_string(number % 256) + ":" + std::to_string(port);
}

/// Services of 530 shards with replicas in three data centres each.
inline notes::release_note sample_note(std::size_t leafs, std::size_t daemons,
                                       std::size_t data_centres) {
  using nlohmann::json;
  json centres = json::array();
  for (std::size_t c = 0; c < data_centres; ++c) {
    centres.push_back(
        {{"id", name_of("c", c)}, {"region", name_of("r", c / 2)}});
  }
  json hosts = json::array();
  for (std::size_t d = 0; d < daemons; ++d) {
    hosts.push_back({{"id", name_of("d", d)},
                     {"data_centre", name_of("c", d % data_centres)},
                     {"callers", address_of(d, 7000)},
                     {"peers", address_of(d, 7001)},
                     {"control", address_of(d, 7002)}});
  }
  json servers = json::array();
  json services = json::array();
  std::size_t next = 0;
  for (std::size_t s = 0; next < leafs; ++s) {
    const std::size_t left = (leafs - next) / replicas_per_shard;
    const std::size_t count =
        std::max<std::size_t>(1, std::min(shards_per_service, left));
    json shards = json::array();
    const std::uint64_t span = notes::key_space / count;
    for (std::size_t i = 0; i < count; ++i) {
      json replicas = json::array();
      for (std::size_t r = 0; r < replicas_per_shard && next < leafs; ++r) {
        const std::size_t centre = (s + r) % data_centres;
        servers.push_back({{"id", name_of("leaf-", next)},
                           {"data_centre", name_of("c", centre)},
                           {"address", address_of(next, 8000)},
                           {"slots", 4},
                           {"connections", 36},
                           {"connection_cost", "6ms"}});
        replicas.push_back(name_of("leaf-", next++));
      }
      shards.push_back(
          {{"id", name_of("s", i)},
           {"from", span * i},
           {"to", i + 1 == count ? notes::key_space : span * (i + 1)},
           {"replicas", replicas}});
    }
    services.push_back({{"id", name_of("service-", s)},
                        {"class", "critical"},
                        {"deadline", "110ms"},
                        {"partitions", {{{"shards", shards}}}}});
  }
  const json document = {{"version", 1},
                         {"base", 0},
                         {"data_centres", {{"add", centres}}},
                         {"daemons", {{"add", hosts}}},
                         {"backend_servers", {{"add", servers}}},
                         {"services", {{"add", services}}}};
  return notes::read_note(document.dump()).value();
}

/// A note that takes one data centre out.
inline notes::release_note small_change(const notes::fleet_model& model) {
  const nlohmann::json document = {
      {"version", model.version + 1},
      {"base", model.version},
      {"data_centres",
       {{"change",
         {{{"id", model.data_centres[0].id},
           {"region", model.data_centres[0].region},
           {"out", !model.data_centres[0].out}}}}}}};
  return notes::read_note(document.dump()).value();
}

}  // namespace medlarloft::bench
