// Case DRAIN: one lost datagram between daemons, and a leaf that leaves without
// a word gets requests for longer than the bound.

#include <algorithm>
#include <cstdio>

#include "fleet.hpp"

namespace {

using namespace medlarloft;
using namespace medlarloft::review;

constexpr std::size_t daemons = 9;
constexpr int rounds = 8;
/// Two leafs leave one after the other, as in a scale-in.
constexpr duration between_leavers = milliseconds(30);
/// A leaf that left serves for the bound and a little longer, then exits.
constexpr duration serves_for = fleet::drain_bound + milliseconds(150);
constexpr duration work = milliseconds(100);
constexpr duration round_time = milliseconds(10130);

int run(fleet& deployment) {
  nlohmann::json routes = {make_route("fetch", "idempotent", "vault"),
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
  for (std::size_t i = 0; i < 3; ++i) {
    deployment.add_leaf("vault-stays-" + std::to_string(i), "vault", i, work);
    deployment.add_leaf("billing-stays-" + std::to_string(i), "billing", i);
  }
  for (std::size_t i = 0; i < daemons; ++i)
    deployment.start_daemon(i);
  if (!deployment.await_ready(seconds(10))) return could_not_run;
  std::uint64_t lost_orders = 0;
  for (std::size_t i = 0; i < daemons; ++i) {
    deployment.add_callers({.daemon = i, .path = "/fetch/1", .rate = 30})
        .start(rounds * round_time + seconds(6));
    callers& orders = deployment.add_callers(
        {.daemon = i, .method = "POST", .path = "/order/1", .rate = 30});
    orders.on_answer = [&lost_orders](const call& answered) {
      if (answered.status == 502) ++lost_orders;
    };
    orders.start(rounds * round_time + seconds(6));
  }
  // The daemons are in touch once they have run for `contactMs`.
  deployment.run_for(fleet::contact_time + seconds(1));
  std::size_t late_requests = 0;
  std::size_t late_rounds = 0;
  std::vector<int> copies(daemons, 0);
  for (int round = 0; round < rounds; ++round) {
    const std::string suffix = std::to_string(round);
    // A daemon that gets each change in one datagram only, so that this one
    // loss matters: it neither reads the store nor is sent copies.
    std::size_t victim = daemons;
    for (std::size_t i = 0; i < daemons; ++i)
      if (copies[i] == 1 && !deployment.reads_store(i)) victim = i;
    leaf& first = deployment.add_leaf("billing-leaves-" + suffix, "billing", 0);
    leaf& second = deployment.add_leaf("vault-leaves-" + suffix, "vault",
                                       victim % 3, work);
    deployment.run_for(seconds(3));
    const std::string key = "servers/" + second.settings().id;
    bool lost = false;
    copies.assign(daemons, 0);
    for (std::size_t i = 0; i < daemons; ++i) {
      const bool loses = deployment.options().trouble && i == victim;
      deployment.datagrams_to(i).drops = [&deployment, &lost, &copies, key,
                                          loses, i](std::string_view bytes) {
        if (bytes.find(key) == std::string_view::npos) return false;
        ++copies[i];
        deployment.record("datagram with the change to edge-" +
                          std::to_string(i));
        if (!loses || lost) return false;
        lost = true;
        deployment.record("lost one datagram of " +
                          std::to_string(bytes.size()) + " bytes");
        return true;
      };
    }
    first.remove_entry();
    deployment.record("removed " + first.settings().id);
    deployment.run_for(between_leavers);
    second.remove_entry();
    const time_point removed_at = steady_clock::now();
    deployment.record("removed " + second.settings().id);
    std::size_t late = 0;
    second.on_arrival = [&](const std::string& id) {
      const duration after = steady_clock::now() - removed_at;
      deployment.record("arrived " + id + " at " + second.settings().id +
                        " after ms=" + std::to_string(after / milliseconds(1)));
      if (after > fleet::drain_bound) ++late;
    };
    deployment.run_for(serves_for);
    first.end();
    second.end();
    deployment.record("ended " + second.settings().id +
                      " cut=" + std::to_string(second.cut));
    for (std::size_t i = 0; i < daemons; ++i)
      deployment.datagrams_to(i).drops = nullptr;
    late_requests += late;
    if (late > 0) ++late_rounds;
    std::printf(
        "round %d: datagram lost: %d, requests after the bound: %zu, "
        "cut when the leaf ended: %llu\n",
        round, lost ? 1 : 0, late, static_cast<unsigned long long>(second.cut));
    std::fflush(stdout);
    deployment.run_for(round_time - seconds(3) - serves_for - between_leavers);
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
