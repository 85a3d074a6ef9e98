#include <numeric>

#include "capacity.hpp"
#include "harness.hpp"
#include "medlarloft/peers.hpp"
#include "medlarloft/placement.hpp"
#include "sample_note.hpp"

namespace medlarloft::bench {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t full_daemons = 6600;
constexpr std::size_t full_centres = 13;
constexpr duration link_delay = 50ms;

const std::vector<std::size_t>& leaf_sizes() {
  static const std::vector<std::size_t> sizes{1000, 4000, 10000, 20000, 31000};
  return sizes;
}

const std::vector<std::size_t>& daemon_sizes() {
  static const std::vector<std::size_t> sizes{8, 100, 1000, 2500, 5000};
  return sizes;
}

}  // namespace

void measure_notes(std::vector<slope>& slopes) {
  for (const std::size_t leafs : leaf_sizes()) {
    const auto size = static_cast<double>(leafs);
    const std::size_t daemons = leafs * full_daemons / leaf_sizes().back();
    const notes::release_note note = sample_note(leafs, daemons, full_centres);
    const std::size_t before = allocated_bytes();
    const notes::model_ptr model =
        notes::fold(notes::fleet_model{}, note).value();
    add(slopes, "model_bytes", "bytes per leaf", size,
        static_cast<double>(allocated_bytes() - before));
    add(slopes, "whole_note_bytes", "bytes per leaf", size,
        static_cast<double>(note.text.size()));
    add(slopes, "fold_whole_ns", "ns per leaf", size, shortest_run(3, [&note] {
          (void)notes::fold(notes::fleet_model{}, note);
        }));
    const notes::release_note change = small_change(*model);
    add(slopes, "fold_change_ns", "ns per leaf", size,
        shortest_run(3, [&] { (void)notes::fold(*model, change); }));
    add(slopes, "change_note_bytes", "bytes", size,
        static_cast<double>(change.text.size()));
    add(slopes, "published_values", "values", size,
        static_cast<double>(notes::render({note}, *model).size()));
  }
}

void measure_placement(std::vector<slope>& slopes) {
  for (const std::size_t leafs : leaf_sizes()) {
    const auto size = static_cast<double>(leafs);
    const std::size_t daemons = leafs * full_daemons / leaf_sizes().back();
    const notes::model_ptr model =
        notes::fold(notes::fleet_model{},
                    sample_note(leafs, daemons, full_centres))
            .value();
    add(slopes, "homes_whole_ns", "ns per leaf", size,
        shortest_run(3, [&] { placement::home_table table(*model); }));
    const placement::home_table table(*model);
    const notes::model_ptr changed =
        notes::fold(*model, small_change(*model)).value();
    add(slopes, "homes_change_ns", "ns per leaf", size, shortest_run(3, [&] {
          placement::home_table again(*changed, *model, table);
        }));
    add(slopes, "own_leafs_ns", "ns per leaf", size,
        shortest_run(5, [&] { (void)table.leafs_of(0); }));
    const std::vector<placement::daemon_status> status(model->daemons.size());
    const placement::address_book book(*model);
    add(slopes, "addresses_ns", "ns per daemon", static_cast<double>(daemons),
        shortest_run(5, [&] {
          (void)book.addresses_for(status,
                                   {.data_centre = "c1", .caller = "caller"});
        }));
    std::size_t most = 0;
    std::vector<std::size_t> held(model->daemons.size());
    for (notes::leaf_index i = 0; i < model->leafs.size(); ++i) {
      for (const auto home : table.homes(i).daemons()) {
        most = std::max(most, ++held[home]);
      }
    }
    add(slopes, "most_leafs_of_a_daemon", "leafs", size,
        static_cast<double>(most));
  }
}

namespace {

struct spreading {
  double to_all_ms = 0;
  double messages = 0;
};

// Reads a note at one daemon and waits until all have it.
spreading spread_note(membership::simulated_network& net, std::size_t daemons,
                      notes::note_version version) {
  const time_point began = net.now();
  const std::uint64_t before = net.messages();
  net.read_note("d1", version);
  while (net.count_with(version) < daemons && net.now() - began < 60s) {
    net.run_for(10ms, 10ms);
  }
  return {std::chrono::duration<double, std::milli>(net.now() - began).count(),
          static_cast<double>(net.messages() - before)};
}

}  // namespace

namespace {

// The last data centre dies; until a sample of the others counts all of its
// daemons as failed.
double lose_centre(membership::simulated_network& net, std::size_t daemons,
                   std::size_t per_centre) {
  const std::size_t first = (daemons - 1) / per_centre * per_centre;
  for (std::size_t d = first; d < daemons; ++d) {
    net.daemon(membership::daemon_id(d)).running = false;
  }
  const time_point died = net.now();
  const std::size_t step = std::max<std::size_t>(1, first / 20);
  const auto all_know = [&] {
    for (std::size_t observer = 0; observer < first; observer += step) {
      for (std::size_t d = first; d < daemons; ++d) {
        if (net.state_at(membership::daemon_id(observer),
                         membership::daemon_id(d)) !=
            membership::member_state::failed) {
          return false;
        }
      }
    }
    return true;
  };
  while (!all_know() && net.now() - died < 600s)
    net.run_for(500ms);
  return std::chrono::duration<double, std::milli>(net.now() - died).count();
}

}  // namespace

// One daemon's view of the full fleet: memory, and the time of one second of
// probes and answers.
void measure_view(std::vector<slope>& slopes) {
  for (const std::size_t members :
       {std::size_t{100}, std::size_t{1000}, std::size_t{3000}, full_daemons}) {
    const auto size = static_cast<double>(members);
    membership::simulated_network names(members, members / full_centres + 1,
                                        link_delay);
    const std::size_t before = allocated_bytes();
    names.start("d0", true);
    add(slopes, "view_bytes", "bytes per member", size,
        static_cast<double>(allocated_bytes() - before));
    add(slopes, "ranked_ns", "ns per member", size, shortest_run(5, [&names] {
          (void)names.daemon("d0").members->rendezvous_order("c1", "watch");
        }));
  }
}

void measure_membership(const capacity_options& options,
                        std::vector<slope>& slopes) {
  measure_view(slopes);
  for (const std::size_t daemons : daemon_sizes()) {
    if (daemons > options.most_daemons) continue;
    const auto size = static_cast<double>(daemons);
    const std::size_t per_centre =
        std::max<std::size_t>(3, daemons / full_centres + 1);
    const std::size_t before = allocated_bytes();
    membership::simulated_network net(daemons, per_centre, link_delay);
    net.start_all();
    add(slopes, "membership_bytes", "bytes per member", size,
        static_cast<double>(allocated_bytes() - before) / size);
    // Steady state, without news.
    net.run_for(2s);
    std::uint64_t bytes = 0;
    std::uint64_t counted = 0;
    constexpr std::uint64_t sample_every = 64;
    net.on_send = [&](const membership::message& sent) {
      if (++counted % sample_every != 0) return;
      bytes += peers::encode(sent).size() * sample_every;
    };
    const std::uint64_t messages = net.messages();
    const time_point began = steady_clock::now();
    constexpr double steady_seconds = 5;
    net.run_for(std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(steady_seconds)));
    const double work =
        std::chrono::duration<double, std::nano>(steady_clock::now() - began)
            .count();
    add(slopes, "steady_messages", "messages per daemon and second", size,
        static_cast<double>(net.messages() - messages) / size / steady_seconds);
    add(slopes, "steady_bytes", "bytes per daemon and second", size,
        static_cast<double>(bytes) / size / steady_seconds);
    add(slopes, "steady_ns", "ns per daemon and second", size,
        work / size / steady_seconds);
    const spreading note = spread_note(net, daemons, 2);
    add(slopes, "note_to_all_ms", "ms", size, note.to_all_ms);
    add(slopes, "note_messages", "messages per daemon", size,
        note.messages / size);
    // A daemon leaves: until every other one knows.
    const time_point leaving = net.now();
    net.apply_outputs("d2", net.daemon("d2").members->leave(
                                net.now(), membership::member_state::leaving));
    const auto knows = [&net](std::size_t observer) {
      return net.state_at(membership::daemon_id(observer), "d2") ==
             membership::member_state::leaving;
    };
    const auto all_know = [&] {
      for (std::size_t d = 0; d < daemons; ++d) {
        if (d != 2 && !knows(d)) return false;
      }
      return true;
    };
    while (!all_know() && net.now() - leaving < 120s)
      net.run_for(100ms);
    add(slopes, "leave_to_all_ms", "ms", size,
        std::chrono::duration<double, std::milli>(net.now() - leaving).count());
    // A daemon dies: until half of the others count it as failed.
    net.daemon("d3").running = false;
    const time_point died = net.now();
    const auto knowing = [&] {
      std::size_t count = 0;
      for (std::size_t d = 0; d < daemons;
           d += std::max<std::size_t>(1, daemons / 100)) {
        if (net.state_at(membership::daemon_id(d), "d3") ==
            membership::member_state::failed) {
          ++count;
        }
      }
      return count;
    };
    while (knowing() < 3 && net.now() - died < 120s)
      net.run_for(200ms);
    add(slopes, "failure_known_ms", "ms", size,
        std::chrono::duration<double, std::milli>(net.now() - died).count());
  }
  for (const std::size_t daemons : daemon_sizes()) {
    constexpr std::size_t most_for_loss = 1000;
    if (daemons > std::min(options.most_daemons, most_for_loss)) continue;
    const auto size = static_cast<double>(daemons);
    const std::size_t per_centre =
        std::max<std::size_t>(3, daemons / full_centres + 1);
    membership::simulated_network net(daemons, per_centre, link_delay);
    net.start_all();
    net.run_for(2s);
    std::uint64_t bytes = 0;
    net.on_send = [&bytes](const membership::message& sent) {
      bytes += peers::encode(sent).size();
    };
    const double took = lose_centre(net, daemons, per_centre);
    add(slopes, "centre_lost_known_ms", "ms", size, took);
    add(slopes, "centre_lost_bytes", "bytes per daemon and second", size,
        static_cast<double>(bytes) / size / (took / 1000.0));
  }
  // Baselines: anti-entropy alone, and heartbeats from each to each.
  for (const std::size_t daemons : daemon_sizes()) {
    constexpr std::size_t most_for_baseline = 1000;
    const auto size = static_cast<double>(daemons);
    add(slopes, "mesh_messages", "messages per daemon and second", size,
        size - 1);
    if (daemons > std::min(options.most_daemons, most_for_baseline)) continue;
    membership::simulated_network net(
        daemons, std::max<std::size_t>(3, daemons / full_centres + 1),
        link_delay);
    net.set_tree_fanout(0);
    net.start_all();
    add(slopes, "note_to_all_without_tree_ms", "ms", size,
        spread_note(net, daemons, 2).to_all_ms);
  }
}

}  // namespace medlarloft::bench
