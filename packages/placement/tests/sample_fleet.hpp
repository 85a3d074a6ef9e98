#pragma once

/// A fleet of daemons and leafs over data centres, for tests.

#include <memory>
#include <string>

#include "medlarloft/notes.hpp"

namespace medlarloft::placement {

struct fleet_shape {
  std::size_t data_centres = 3;
  std::size_t daemons_per_centre = 3;
  std::size_t shards = 24;
  std::uint32_t slots = 4;
  std::uint32_t connections = 25;
};

inline std::string numbered(const char* prefix, std::size_t number) {
  std::string digits = std::to_string(number);
  digits.insert(0, 6 - digits.size(), '0');
  return prefix + digits;
}

/// One service whose shards have one replica in each data centre.
inline std::shared_ptr<notes::fleet_model> sample_fleet(
    const fleet_shape& shape) {
  auto model = std::make_shared<notes::fleet_model>();
  model->version = 1;
  for (std::size_t c = 0; c < shape.data_centres; ++c) {
    model->data_centres.push_back(
        {.id = numbered("dc", c), .region = numbered("r", c / 2)});
  }
  for (std::size_t d = 0; d < shape.data_centres * shape.daemons_per_centre;
       ++d) {
    const auto port = static_cast<std::uint16_t>(d + 1);
    model->daemons.push_back(
        {.id = numbered("d", d),
         .data_centre = numbered("dc", d / shape.daemons_per_centre),
         .callers = {"127.0.0.1", port}});
  }
  notes::service service{.id = "desk"};
  service.maps.emplace_back();
  const std::uint64_t span = notes::key_space / shape.shards;
  for (std::size_t s = 0; s < shape.shards; ++s) {
    notes::shard part{.id = numbered("s", s)};
    part.range = {span * s,
                  s + 1 == shape.shards ? notes::key_space : span * (s + 1)};
    for (std::size_t c = 0; c < shape.data_centres; ++c) {
      const std::size_t index = s * shape.data_centres + c;
      part.leafs.push_back(static_cast<notes::leaf_index>(index));
      part.replicas.push_back(numbered("l", index));
      model->leafs.push_back({.id = numbered("l", index),
                              .data_centre = numbered("dc", c),
                              .slots = shape.slots,
                              .connections = shape.connections,
                              .digest = index + 1});
    }
    service.maps.front().shards.push_back(part);
  }
  model->services.push_back(service);
  return model;
}

}  // namespace medlarloft::placement
