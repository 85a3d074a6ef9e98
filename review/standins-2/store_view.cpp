// Case FAILBACK: a leaf crashed and started again under its id. A write of its
// former start, which the store carries out late, makes daemons forget that it
// is cold.

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
constexpr duration cold_time = seconds(6);
constexpr duration beat = milliseconds(1200);
constexpr duration crash_after_write = milliseconds(100);
constexpr duration down_time = seconds(1);
/// The store carries a write out 1 to 6 s late.
constexpr duration lateness = milliseconds(2500);

int run(fleet& deployment) {
  const bool trouble = deployment.options().trouble;
  const nlohmann::json routes = {
      make_route("fetch", "idempotent", "vault"),
      make_route("order", "non_idempotent", "vault")};
  const nlohmann::json services = {{{"name", "vault"},
                                    {"healthPath", "/healthz"},
                                    {"maxConns", 100},
                                    {"warmupS", 6},
                                    {"warmupPerS", warmup_per_s}}};
  deployment.write_configuration(routes, services);
  std::vector<leaf*> vault;
  for (std::size_t i = 0; i < 3; ++i)
    vault.push_back(
        &deployment.add_leaf("vault-" + std::to_string(i), "vault", i));
  for (std::size_t i = 0; i < daemons; ++i)
    deployment.start_daemon(i);
  if (!deployment.await_ready(seconds(10))) return could_not_run;
  for (std::size_t i = 0; i < daemons; ++i) {
    deployment.add_callers({.daemon = i, .path = "/fetch/1", .rate = 120})
        .start(seconds(100));
    deployment
        .add_callers(
            {.daemon = i, .method = "POST", .path = "/order/1", .rate = 60})
        .start(seconds(100));
  }
  deployment.run_for(fleet::contact_time + seconds(1));
  leaf& restarted = *vault[0];
  int broken_rounds = 0;
  for (int round = 0; round < rounds; ++round) {
    restarted.cold_for = duration::zero();
    const nlohmann::json late_write = restarted.next_entry();
    deployment.run_for(crash_after_write);
    restarted.end();
    deployment.record("crashed " + restarted.settings().id);
    deployment.run_for(down_time);
    std::vector<arrival> arrivals;
    restarted.on_arrival = [&](const std::string& id) {
      arrivals.push_back({deployment.sent_at(id), steady_clock::now()});
      deployment.record("arrived " + id + " at " + restarted.settings().id);
    };
    restarted.cold_for = cold_time;
    restarted.start_again(round + 2);
    const time_point started_at = steady_clock::now();
    restarted.write_entry();
    deployment.record("started again, cold: " + restarted.settings().id);
    deployment.run_for(lateness - crash_after_write - down_time);
    if (trouble) {
      deployment.store().put("servers/" + restarted.settings().id, late_write);
      deployment.record("late write of the former start");
    }
    // The next two heartbeats; the entry is written if it has changed.
    duration next_beat = beat;
    while (steady_clock::now() > started_at + next_beat)
      next_beat += beat;
    deployment.run_for(started_at + next_beat - steady_clock::now());
    if (trouble) {
      restarted.cold_for = cold_time - next_beat;
      restarted.write_entry();
      deployment.record("written again by " + restarted.settings().id);
    }
    deployment.run_for(started_at + cold_time - steady_clock::now());
    restarted.on_arrival = nullptr;
    const std::size_t most = most_in_span(arrivals, seconds(1));
    if (static_cast<double>(most) > bound) ++broken_rounds;
    std::printf(
        "round %d: most requests in a second while cold: %zu, bound "
        "%.0f\n",
        round, most, bound);
    std::fflush(stdout);
    restarted.cold_for = duration::zero();
    restarted.write_entry();
    deployment.run_for(seconds(7));
  }
  if (deployment.ended_daemons() > 0) return could_not_run;
  std::printf("broken in %d of %d rounds\n", broken_rounds, rounds);
  return broken_rounds > 0 ? rule_broken : rule_held;
}

}  // namespace

int main(int argc, char** argv) {
  fleet deployment(parse_options(argc, argv), daemons);
  return run(deployment);
}
