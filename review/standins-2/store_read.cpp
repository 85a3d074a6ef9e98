// Case FAILBACK: leafs of a zone become cold, one after the other, and daemons
// go on sending to the second one at full rate.

#include <cstdio>

#include "fleet.hpp"

namespace {

using namespace medlarloft;
using namespace medlarloft::review;

constexpr std::size_t daemons = 3;
constexpr int rounds = 5;
constexpr int warmup_per_s = 20;
constexpr double warmup_factor = 1.5;
constexpr int warmup_slack = 5;
constexpr double bound = warmup_per_s * warmup_factor + warmup_slack;
constexpr duration cold_time = seconds(4);
constexpr duration between_leafs = milliseconds(100);

int run(fleet& deployment) {
  const nlohmann::json routes = {make_route("fetch", "idempotent", "vault"),
                                 make_route("order", "non_idempotent", "vault"),
                                 make_route("other", "idempotent", "billing")};
  nlohmann::json services = nlohmann::json::array();
  for (const char* name : {"vault", "billing"})
    services.push_back({{"name", name},
                        {"healthPath", "/healthz"},
                        {"maxConns", 100},
                        {"warmupS", 4},
                        {"warmupPerS", warmup_per_s}});
  deployment.write_configuration(routes, services);
  leaf& neighbour = deployment.add_leaf("billing-0", "billing", 0);
  std::vector<leaf*> vault;
  for (std::size_t i = 0; i < 3; ++i)
    vault.push_back(
        &deployment.add_leaf("vault-" + std::to_string(i), "vault", i));
  for (std::size_t i = 0; i < daemons; ++i)
    deployment.start_daemon(i);
  if (!deployment.await_ready(seconds(10))) return could_not_run;
  std::uint64_t lost_orders = 0;
  for (std::size_t i = 0; i < daemons; ++i) {
    deployment.add_callers({.daemon = i, .path = "/fetch/1", .rate = 120})
        .start(seconds(90));
    callers& orders = deployment.add_callers(
        {.daemon = i, .method = "POST", .path = "/order/1", .rate = 60});
    orders.on_answer = [&lost_orders](const call& answered) {
      if (answered.status == 502) ++lost_orders;
    };
    orders.start(seconds(90));
  }
  deployment.run_for(fleet::contact_time + seconds(1));
  std::size_t broken_rounds = 0;
  for (int round = 0; round < rounds; ++round) {
    leaf& cold = *vault[0];
    std::vector<time_point> arrivals;
    if (deployment.options().trouble) {
      neighbour.cold_for = cold_time;
      neighbour.write_entry();
      deployment.record("cold " + neighbour.settings().id);
    }
    deployment.run_for(between_leafs);
    if (deployment.options().trouble) {
      cold.cold_for = cold_time;
      cold.write_entry();
      deployment.record("cold " + cold.settings().id);
    }
    cold.on_arrival = [&](const std::string& id) {
      arrivals.push_back(steady_clock::now());
      deployment.record("arrived " + id + " at " + cold.settings().id);
    };
    deployment.run_for(cold_time);
    cold.on_arrival = nullptr;
    const std::size_t most = most_in_span(arrivals, seconds(1));
    const bool broken =
        deployment.options().trouble && static_cast<double>(most) > bound;
    if (broken) ++broken_rounds;
    std::printf("round %d: most requests in a second: %zu, bound %.0f\n", round,
                most, bound);
    std::fflush(stdout);
    for (leaf* each : {&cold, &neighbour}) {
      each->cold_for = duration::zero();
      each->write_entry();
    }
    deployment.run_for(seconds(6));
  }
  if (deployment.ended_daemons() > 0) return could_not_run;
  std::printf("broken in %zu of %d rounds\n", broken_rounds, rounds);
  return broken_rounds > 0 ? rule_broken : rule_held;
}

}  // namespace

int main(int argc, char** argv) {
  fleet deployment(parse_options(argc, argv), daemons);
  return run(deployment);
}
