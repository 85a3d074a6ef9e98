#include "record_check.hpp"

#include <cstdio>
#include <nlohmann/json.hpp>
#include <optional>

#include "medlarloft/net.hpp"

namespace medlarloft::bench {
namespace {

using nlohmann::json;

constexpr duration record_timeout = std::chrono::seconds(5);

std::optional<json> fetch_record(const endpoint& steering) {
  net::io_context loop;
  std::optional<json> record;
  net::http_fetch(loop, {.to = steering}, {.target = "/record"}, record_timeout,
                  [&record](const net::net_result<net::http_response>& got) {
                    if (!got) return;
                    json read = json::parse(got.value().body, nullptr, false);
                    if (read.is_object()) record = std::move(read);
                  });
  loop.run();
  return record;
}

void add_leaf(const json& leaf, record_figures& figures) {
  const auto number = [&leaf](const char* key) {
    return leaf.at(key).get<std::uint64_t>();
  };
  figures.leaf_requests += number("started");
  figures.cold_overloads += number("cold_overloads");
  figures.slot_overloads += number("slot_overloads");
  figures.shed += number("shed");
  if (number("most_connections") > number("connections")) {
    ++figures.over_connections;
  }
}

}  // namespace

record_figures check_record(
    const endpoint& steering,
    const std::map<std::string, front::outcome_kind>& told) {
  record_figures figures;
  const std::optional<json> record = fetch_record(steering);
  if (!record) return figures;
  figures.reached = true;
  for (const json& leaf : record->at("leafs"))
    add_leaf(leaf, figures);
  const json& runs = record->at("once_runs");
  for (const auto& [id, kind] : told) {
    const std::uint64_t ran =
        runs.contains(id) ? runs.at(id).get<std::uint64_t>() : 0;
    if (ran > 1) ++figures.doubled;
    if (kind == front::outcome_kind::not_run && ran > 0) {
      ++figures.ran_though_not_run;
    }
    if (kind == front::outcome_kind::answered && ran == 0) {
      ++figures.answered_though_never_run;
    }
  }
  return figures;
}

std::uint64_t started_in(const endpoint& steering,
                         const std::string& data_centre) {
  const std::optional<json> record = fetch_record(steering);
  if (!record) return 0;
  std::uint64_t started = 0;
  for (const json& leaf : record->at("leafs")) {
    if (leaf.at("data_centre") != data_centre) continue;
    started += leaf.at("started").get<std::uint64_t>();
  }
  return started;
}

void print(const record_figures& figures) {
  if (!figures.reached) {
    std::printf("record: the stand-ins did not answer\n");
    return;
  }
  const auto number = [](std::uint64_t value) {
    return static_cast<unsigned long long>(value);
  };
  std::printf(
      "record: leaf requests %llu, shed %llu, doubled %llu, ran though "
      "\"not run\" %llu, answered though never run %llu, cold overloads "
      "%llu, slot overloads %llu, servers over their connections %llu\n",
      number(figures.leaf_requests), number(figures.shed),
      number(figures.doubled), number(figures.ran_though_not_run),
      number(figures.answered_though_never_run), number(figures.cold_overloads),
      number(figures.slot_overloads), number(figures.over_connections));
}

}  // namespace medlarloft::bench
