#pragma once

/// A small valid fleet for tests: two data centres, one service.

#include <nlohmann/json.hpp>
#include <string>

#include "medlarloft/notes.hpp"

namespace medlarloft::notes {

inline nlohmann::json sample_document() {
  using nlohmann::json;
  const auto leaf = [](const char* id, const char* centre, int port) {
    return json{{"id", id},
                {"data_centre", centre},
                {"address", "127.0.0.1:" + std::to_string(port)},
                {"slots", 2},
                {"connections", 25}};
  };
  const auto daemon = [](const char* id, const char* centre, int port) {
    return json{{"id", id},
                {"data_centre", centre},
                {"callers", "127.0.0.1:" + std::to_string(port)},
                {"peers", "127.0.0.1:" + std::to_string(port + 1)},
                {"control", "127.0.0.1:" + std::to_string(port + 2)}};
  };
  const json shards = json::array({{{"id", "s1"},
                                    {"from", 0},
                                    {"to", 2147483648},
                                    {"replicas", {"l1", "l2"}}},
                                   {{"id", "s2"},
                                    {"from", 2147483648},
                                    {"to", 4294967296},
                                    {"replicas", {"l3", "l4"}}}});
  return {
      {"version", 1},
      {"base", 0},
      {"data_centres",
       {{"add",
         {{{"id", "a"}, {"region", "r"}}, {{"id", "b"}, {"region", "r"}}}}}},
      {"daemons", {{"add", {daemon("d1", "a", 100), daemon("d2", "b", 200)}}}},
      {"backend_servers",
       {{"add",
         {leaf("l1", "a", 1), leaf("l2", "b", 2), leaf("l3", "a", 3),
          leaf("l4", "b", 4)}}}},
      {"services",
       {{"add",
         {{{"id", "desk"},
           {"class", "critical"},
           {"deadline", "100ms"},
           {"partitions", {{{"shards", shards}}}}}}}}}};
}

inline release_note note_of(const nlohmann::json& document) {
  return read_note(document.dump()).value();
}

/// A note that only changes the deadline of the sample's service.
inline release_note increment(note_version base, int deadline) {
  nlohmann::json service = sample_document()["services"]["add"][0];
  service["deadline"] = std::to_string(deadline) + "ms";
  return note_of({{"version", base + 1},
                  {"base", base},
                  {"services", {{"change", {service}}}}});
}

}  // namespace medlarloft::notes
