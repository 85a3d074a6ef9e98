// Case DRAIN: the store comes back from a copy that names leafs which left a
// moment before. Daemons use them again.

#include <cstdio>

#include "fleet.hpp"

namespace {

using namespace medlarloft;
using namespace medlarloft::review;

constexpr std::size_t daemons = 6;
constexpr std::size_t zones = 3;
constexpr int rounds = 5;
/// Three heartbeat intervals of 1.2 s: the entry of a leaf that is silent for
/// so long is removed.
constexpr duration entry_lifetime = milliseconds(3600);
/// From the removal of an entry to the drill.
constexpr duration left_before = seconds(2);
/// How old the copy is from which the store comes back.
constexpr duration copy_age = seconds(5);
/// How long the store is away.
constexpr duration away = milliseconds(300);
/// Entries were written, and so expire, one after the other.
constexpr duration between_entries = milliseconds(100);
/// A leaf that left serves on "at times many seconds".
constexpr duration serves_on = milliseconds(5200);
constexpr duration work = milliseconds(100);

struct leaver {
  leaf* instance = nullptr;
  time_point removed_at;
  std::size_t late = 0;
};

int run(fleet& deployment) {
  const bool trouble = deployment.options().trouble;
  const nlohmann::json routes = {make_route("fetch", "idempotent", "vault"),
                                 make_route("order", "non_idempotent", "vault"),
                                 make_route("other", "idempotent", "billing")};
  nlohmann::json services = nlohmann::json::array();
  for (const char* name : {"vault", "billing"})
    services.push_back({{"name", name},
                        {"healthPath", "/healthz"},
                        {"maxConns", 100},
                        {"warmupS", 3},
                        {"warmupPerS", 0}});
  deployment.write_configuration(routes, services);
  for (std::size_t i = 0; i < zones; ++i) {
    deployment.add_leaf("vault-stays-" + std::to_string(i), "vault", i, work);
    deployment.add_leaf("billing-stays-" + std::to_string(i), "billing", i);
  }
  for (std::size_t i = 0; i < daemons; ++i)
    deployment.start_daemon(i);
  if (!deployment.await_ready(seconds(10))) return could_not_run;
  std::uint64_t lost_orders = 0;
  const duration length = seconds(90);
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
  std::size_t late_requests = 0;
  std::size_t late_rounds = 0;
  for (int round = 0; round < rounds; ++round) {
    const std::string suffix = "-" + std::to_string(round);
    leaf& first = deployment.add_leaf("billing-leaves" + suffix, "billing", 0);
    std::vector<leaver> leavers;
    for (std::size_t i = 0; i < zones; ++i) {
      leavers.push_back(
          {.instance = &deployment.add_leaf(
               "vault-leaves" + std::to_string(i) + suffix, "vault", i, work)});
    }
    // Longer than the copy's age, and until the daemons are in touch.
    deployment.run_for(seconds(8));
    first.remove_entry();
    for (leaver& each : leavers) {
      each.instance->remove_entry();
      each.removed_at = steady_clock::now();
      deployment.record("removed " + each.instance->settings().id);
    }
    deployment.run_for(left_before);
    if (trouble) {
      deployment.store().set_mode(standins::store_mode::busy);
      deployment.record("the store is away");
      deployment.run_for(away);
      deployment.store().restore(copy_age);
      deployment.store().set_mode(standins::store_mode::normal);
      deployment.record("the store is back from a copy");
    } else {
      deployment.run_for(away);
    }
    const time_point in_touch_from =
        steady_clock::now() +
        (trouble ? fleet::contact_time : duration::zero());
    for (leaver& each : leavers) {
      each.instance->on_arrival = [&deployment, &each,
                                   in_touch_from](const std::string& id) {
        const time_point now = steady_clock::now();
        const duration after = now - each.removed_at;
        const bool late = now > in_touch_from && after > fleet::drain_bound;
        deployment.record(
            "arrived " + id + " at " + each.instance->settings().id +
            " after ms=" + std::to_string(after / milliseconds(1)) +
            (late ? " late" : ""));
        if (late) ++each.late;
      };
    }
    deployment.run_for(entry_lifetime);
    if (trouble) {
      first.remove_entry();
      deployment.run_for(between_entries);
      for (leaver& each : leavers)
        each.instance->remove_entry();
      deployment.record("the entries expired");
    }
    deployment.run_for(serves_on - entry_lifetime);
    std::size_t late = 0;
    std::uint64_t cut = 0;
    for (leaver& each : leavers) {
      each.instance->end();
      late += each.late;
      cut += each.instance->cut;
    }
    first.end();
    late_requests += late;
    if (late > 0) ++late_rounds;
    std::printf("round %d: requests later than drainMs: %zu, cut: %llu\n",
                round, late, static_cast<unsigned long long>(cut));
    std::fflush(stdout);
    deployment.run_for(milliseconds(1130));
  }
  if (deployment.ended_daemons() > 0) return could_not_run;
  std::printf(
      "requests later than drainMs: %zu, in %zu of %d rounds; orders "
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
