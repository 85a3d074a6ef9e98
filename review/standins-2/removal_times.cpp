// Case DRAIN: a heartbeat that the store carries out late brings back a leaf
// that left, since its `callSeq` is higher than that of the known entry.

#include <cstdio>

#include "fleet.hpp"

namespace {

using namespace medlarloft;
using namespace medlarloft::review;

constexpr std::size_t daemons = 6;
constexpr int rounds = 5;
/// From the lost write to the removal of the entry. Longer than `contactMs`, so
/// that the store is stable when it acknowledges the removal.
constexpr duration lost_before = milliseconds(4300);
/// The store carries a write out 1 to 6 s late.
constexpr duration lateness = milliseconds(5500);
/// Three heartbeat intervals of 1.2 s: the entry of a leaf that is silent for
/// so long is removed.
constexpr duration entry_lifetime = milliseconds(3600);
/// From the removal of the entry to the end of the leaf: "at times many
/// seconds".
constexpr duration serves_on = milliseconds(5000);
constexpr duration work = milliseconds(100);

int run(fleet& deployment) {
  const bool trouble = deployment.options().trouble;
  const nlohmann::json routes = {
      make_route("fetch", "idempotent", "vault"),
      make_route("order", "non_idempotent", "vault")};
  const nlohmann::json services = {{{"name", "vault"},
                                    {"healthPath", "/healthz"},
                                    {"maxConns", 100},
                                    {"warmupS", 3},
                                    {"warmupPerS", 0}}};
  deployment.write_configuration(routes, services);
  for (std::size_t i = 0; i < 3; ++i)
    deployment.add_leaf("vault-stays-" + std::to_string(i), "vault", i, work);
  for (std::size_t i = 0; i < daemons; ++i)
    deployment.start_daemon(i);
  if (!deployment.await_ready(seconds(10))) return could_not_run;
  std::uint64_t lost_orders = 0;
  const duration length = seconds(100);
  for (std::size_t i = 0; i < daemons; ++i) {
    deployment.add_callers({.daemon = i, .path = "/fetch/1", .rate = 30})
        .start(length);
    callers& orders = deployment.add_callers(
        {.daemon = i, .method = "POST", .path = "/order/1", .rate = 10});
    orders.on_answer = [&lost_orders](const call& answered) {
      if (answered.status == 502) ++lost_orders;
    };
    orders.start(length);
  }
  deployment.run_for(fleet::contact_time + seconds(1));
  std::size_t late_requests = 0;
  int late_rounds = 0;
  for (int round = 0; round < rounds; ++round) {
    leaf& leaver = deployment.add_leaf("vault-leaves-" + std::to_string(round),
                                       "vault", 0, work);
    deployment.run_for(seconds(2));
    // A heartbeat of which only `callSeq` has changed. The later ones, which
    // the store carries out at once, do not change the entry either.
    const nlohmann::json late_write = leaver.next_entry();
    deployment.record("write not answered by the store, to come late: " +
                      late_write.dump());
    deployment.run_for(lost_before);
    leaver.remove_entry();
    const time_point removed_at = steady_clock::now();
    deployment.record("removed " + leaver.settings().id);
    std::size_t late = 0;
    leaver.on_arrival = [&](const std::string& id) {
      const duration after = steady_clock::now() - removed_at;
      deployment.record("arrived " + id + " at " + leaver.settings().id +
                        " after ms=" + std::to_string(after / milliseconds(1)));
      if (after > fleet::drain_bound) ++late;
    };
    deployment.run_for(lateness - lost_before);
    if (trouble) {
      deployment.store().put("servers/" + leaver.settings().id, late_write);
      deployment.record("the store carried out the late write");
    }
    deployment.run_for(serves_on - (lateness - lost_before));
    leaver.end();
    late_requests += late;
    if (late > 0) ++late_rounds;
    std::printf("round %d: requests later than drainMs: %zu, cut: %llu\n",
                round, late, static_cast<unsigned long long>(leaver.cut));
    std::fflush(stdout);
    deployment.run_for(removed_at + lateness - lost_before + entry_lifetime -
                       steady_clock::now());
    if (trouble) {
      leaver.remove_entry();
      deployment.record("the entry expired");
    }
    deployment.run_for(seconds(4));
  }
  if (deployment.ended_daemons() > 0) return could_not_run;
  std::printf(
      "requests later than drainMs: %zu, in %d of %d rounds; orders "
      "answered 502: %llu\n",
      late_requests, late_rounds, rounds,
      static_cast<unsigned long long>(lost_orders));
  return late_requests > 0 ? rule_broken : rule_held;
}

}  // namespace

int main(int argc, char** argv) {
  fleet deployment(parse_options(argc, argv), daemons);
  return run(deployment);
}
