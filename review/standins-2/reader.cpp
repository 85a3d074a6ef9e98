// Case EVAC: an operator takes a zone out right after a drill of the store.
// Daemons that knew an earlier evacuation of it as taken back hold the new one
// for an old entry.

#include <cstdio>

#include "fleet.hpp"

namespace {

using namespace medlarloft;
using namespace medlarloft::review;

constexpr std::size_t daemons = 6;
constexpr int rounds = 5;
constexpr duration evacuation_bound = milliseconds(5000);
/// How old the copy is from which the store comes back.
constexpr duration copy_age = seconds(2);
/// How long the store is away.
constexpr duration away = milliseconds(500);
/// From the return of the store to the evacuation.
constexpr duration until_evacuation = milliseconds(100);
constexpr duration observed = seconds(8);
/// Between rounds, with another phase of the readers' calls in each.
constexpr duration between_rounds = seconds(8);
constexpr duration phase_step = milliseconds(300);
const std::string key = "op/evacuate/" + fleet::zone_name(0);

int run(fleet& deployment) {
  const bool trouble = deployment.options().trouble;
  const nlohmann::json routes = {make_route("fetch", "idempotent", "vault")};
  const nlohmann::json services = {{{"name", "vault"},
                                    {"healthPath", "/healthz"},
                                    {"maxConns", 100},
                                    {"warmupS", 3},
                                    {"warmupPerS", 0}}};
  deployment.write_configuration(routes, services);
  std::vector<leaf*> leafs;
  for (std::size_t i = 0; i < 6; ++i)
    leafs.push_back(
        &deployment.add_leaf("vault-" + std::to_string(i), "vault", i));
  for (std::size_t i = 0; i < daemons; ++i)
    deployment.start_daemon(i);
  if (!deployment.await_ready(seconds(10))) return could_not_run;
  for (std::size_t i = 0; i < daemons; ++i)
    deployment.add_callers({.daemon = i, .path = "/fetch/1", .rate = 40})
        .start(seconds(105));
  deployment.run_for(fleet::contact_time + seconds(1));
  std::size_t late_requests = 0;
  int late_rounds = 0;
  // Planned work some time before: the zone is taken out and brought back.
  deployment.store().put(key, nlohmann::json::object());
  deployment.run_for(seconds(3));
  deployment.store().remove(key);
  for (int round = 0; round < rounds; ++round) {
    deployment.run_for(between_rounds + (round + 1) * phase_step);
    time_point in_touch_from = steady_clock::now();
    if (trouble) {
      deployment.record("the store is away");
      deployment.store_link().silence_open_connections();
      deployment.store_link().set_mode(soak::link_mode::silent);
      deployment.run_for(away);
      deployment.store().restore(copy_age);
      deployment.store_link().set_mode(soak::link_mode::forwarding);
      deployment.record("the store is back from a copy");
      in_touch_from = steady_clock::now() + fleet::contact_time;
    }
    deployment.run_for(until_evacuation);
    deployment.store().put(key, nlohmann::json::object());
    const time_point evacuated_at = steady_clock::now();
    deployment.record("acknowledged " + key);
    std::size_t late = 0;
    for (leaf* each : leafs) {
      if (each->settings().zone != fleet::zone_name(0)) continue;
      each->on_arrival = [&, each](const std::string& id) {
        const time_point now = steady_clock::now();
        const duration after = now - evacuated_at;
        const bool counts = after > evacuation_bound && now > in_touch_from;
        deployment.record(
            "arrived " + id + " at " + each->settings().id + " after ms=" +
            std::to_string(after / milliseconds(1)) + (counts ? " late" : ""));
        if (counts) ++late;
      };
    }
    deployment.run_for(observed);
    for (leaf* each : leafs)
      each->on_arrival = nullptr;
    deployment.store().remove(key);
    deployment.record("taken back " + key);
    late_requests += late;
    if (late > 0) ++late_rounds;
    std::printf("round %d: requests later than evacuateMs: %zu\n", round, late);
    std::fflush(stdout);
  }
  if (deployment.ended_daemons() > 0) return could_not_run;
  std::printf("requests later than evacuateMs: %zu, in %d of %d rounds\n",
              late_requests, late_rounds, rounds);
  return late_requests > 0 ? rule_broken : rule_held;
}

}  // namespace

int main(int argc, char** argv) {
  fleet deployment(parse_options(argc, argv), daemons);
  return run(deployment);
}
