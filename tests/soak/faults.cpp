#include "faults.hpp"

#include <algorithm>
#include <csignal>

namespace medlarloft::soak {
namespace {

using standins::store_mode;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Delay after which the platform restarts a process.
constexpr duration restart_delay = milliseconds(300);
constexpr duration min_fault_duration = milliseconds(300);
constexpr duration max_fault_duration = milliseconds(4000);
/// A draining leaf stops some time after the bound for draining.
constexpr duration leaf_stop_delay = drain_bound + milliseconds(1500);
/// Time between planned restarts of two daemons.
constexpr duration restart_gap = milliseconds(900);
constexpr double leaf_slowdown = 8.0;
/// Number of events of ten that are planned work.
constexpr std::uint64_t planned_events_of_ten = 4;

/// Distinguish the generators of faults that were added later.
constexpr std::uint64_t peer_random_id = 2;
constexpr std::uint64_t endless_random_id = 3;
constexpr std::uint64_t statement_random_id = 4;
constexpr std::uint64_t restore_random_id = 5;
/// Restores of the store in a run, at most, and the age of the copies.
constexpr std::uint64_t max_restores = 2;
constexpr std::uint64_t max_copy_age_ms = 5000;
/// Leafs write their records at this interval; operators write what was lost
/// within it.
constexpr duration write_interval = milliseconds(1200);
/// One fault between daemons is added per this many events.
constexpr std::size_t events_per_peer_fault = 4;

}  // namespace

fault_plan::fault_plan(deployment& deployment, promise_checker& checker,
                       loop::timer_queue& timers,
                       std::function<void(const std::string&)> log,
                       plan_options options)
    : deployment_(deployment),
      checker_(checker),
      timers_(timers),
      log_(std::move(log)),
      options_(options),
      random_(options.seed),
      peer_random_(hash_combine(options.seed, peer_random_id)),
      endless_random_(hash_combine(options.seed, endless_random_id)),
      statement_random_(hash_combine(options.seed, statement_random_id)),
      restore_random_(hash_combine(options.seed, restore_random_id)) {}

void fault_plan::start() {
  started_at_ = steady_clock::now();
  for (std::size_t i = 0; i < options_.event_count; ++i)
    schedule_event();
  if (!options_.inject_faults) return;
  schedule_peer_faults();
  schedule_endless_responses();
  schedule_statements();
  schedule_restores();
}

void fault_plan::schedule(duration when, std::function<void()> action) {
  timers_.at(started_at_ + when, std::move(action));
}

void fault_plan::schedule_event() {
  const duration when =
      options_.window_begin +
      random_.below(options_.window_end - options_.window_begin);
  if (!options_.inject_faults || random_.below(10) < planned_events_of_ten) {
    schedule_planned_work(when);
  } else {
    schedule_fault(when);
  }
}

std::vector<std::size_t> fault_plan::random_indexes(std::size_t count,
                                                    std::size_t limit) {
  std::vector<std::size_t> chosen;
  for (std::size_t i = 0; i < count; ++i)
    chosen.push_back(random_.below(limit));
  return chosen;
}

void fault_plan::schedule_planned_work(duration when) {
  switch (random_.below(5)) {
    case 0:
      schedule(when, [this] {
        const std::uint64_t version =
            deployment_.publish_configuration(second_shards_);
        checker_.on_configuration(steady_clock::now(), version);
        log_("configuration version=" + std::to_string(version));
      });
      break;
    case 1:
      schedule(when, [this] {
        second_shards_ = !second_shards_;
        const std::uint64_t version =
            deployment_.publish_configuration(second_shards_);
        checker_.on_configuration(steady_clock::now(), version);
        log_("shards changed version=" + std::to_string(version));
      });
      break;
    case 2: {
      // Two daemons in turn, or the same one twice.
      const auto chosen = random_indexes(2, deployment_.daemons().size());
      for (std::size_t i = 0; i < chosen.size(); ++i) {
        schedule(when + restart_gap * static_cast<int>(i),
                 [this, index = chosen[i]] {
                   log_("SIGTERM " + deployment_.daemons()[index].id);
                   deployment_.send_signal(index, SIGTERM);
                 });
      }
      break;
    }
    case 3: {
      const std::size_t index = random_.below(deployment_.leafs().size());
      schedule(when, [this, index] {
        standins::leaf& leaf = *deployment_.leafs()[index];
        if (!leaf.running()) return;
        log_("draining " + leaf.settings().id);
        leaf.set_draining(true);
        deployment_.register_leaf(leaf);
        checker_.on_leaf_draining(steady_clock::now(), leaf.settings().id);
        timers_.after(leaf_stop_delay, [this, index] { replace_leaf(index); });
      });
      break;
    }
    default: {
      const std::string data_centre(1,
                                    static_cast<char>('a' + random_.below(3)));
      schedule(when, [this, data_centre] {
        log_("out " + data_centre);
        deployment_.set_data_centre_out(data_centre, true);
        checker_.on_data_centre_out(steady_clock::now(), data_centre);
        timers_.after(evacuation_bound + seconds(1), [this, data_centre] {
          checker_.on_data_centre_back(data_centre);
          deployment_.set_data_centre_out(data_centre, false);
        });
      });
    }
  }
}

void fault_plan::schedule_fault_span(duration when, duration span,
                                     const std::string& what,
                                     std::function<void()> begin,
                                     std::function<void()> end) {
  schedule(when, [this, what, begin = std::move(begin)] {
    log_("begins: " + what);
    checker_.on_fault_change(steady_clock::now(), 1);
    begin();
  });
  schedule(when + span, [this, what, end = std::move(end)] {
    log_("ends: " + what);
    end();
    checker_.on_fault_change(steady_clock::now(), -1);
  });
}

void fault_plan::schedule_fault(duration when) {
  const duration span = min_fault_duration +
                        random_.below(max_fault_duration - min_fault_duration);
  switch (random_.below(3)) {
    case 0:
      return schedule_process_fault(when, span);
    case 1:
      return schedule_store_fault(when, span);
    default:
      return schedule_leaf_fault(when, span);
  }
}

void fault_plan::schedule_process_fault(duration when, duration span) {
  const std::size_t count = deployment_.daemons().size();
  const auto no_action = [] {};
  switch (random_.below(5)) {
    case 0: {
      const std::size_t daemon = random_.below(count);
      schedule_fault_span(
          when, span, "kill of one daemon",
          [this, daemon] { deployment_.send_signal(daemon, SIGKILL); },
          no_action);
      break;
    }
    case 1: {
      const auto chosen = random_indexes(count / 2 + 1, count);
      schedule_fault_span(
          when, span, "kill of many daemons",
          [this, chosen] {
            for (const std::size_t index : chosen)
              deployment_.send_signal(index, SIGKILL);
          },
          no_action);
      break;
    }
    case 2:
      schedule_fault_span(
          when, span, "kill of all daemons",
          [this, count] {
            for (std::size_t i = 0; i < count; ++i)
              deployment_.send_signal(i, SIGKILL);
          },
          no_action);
      break;
    case 3: {
      const auto chosen = random_indexes(2, count);
      schedule_fault_span(
          when, span, "pause of daemons",
          [this, chosen] {
            for (const std::size_t index : chosen)
              deployment_.send_signal(index, SIGSTOP);
          },
          [this, chosen] {
            for (const std::size_t index : chosen)
              deployment_.send_signal(index, SIGCONT);
          });
      break;
    }
    default: {
      // The kill comes before the graceful stop has ended.
      const std::size_t daemon = random_.below(count);
      schedule_fault_span(
          when, span, "stop, then kill",
          [this, daemon] { deployment_.send_signal(daemon, SIGTERM); },
          [this, daemon] { deployment_.send_signal(daemon, SIGKILL); });
    }
  }
}

void fault_plan::schedule_store_fault(duration when, duration span) {
  const auto mode = [this](store_mode value) {
    return [this, value] { deployment_.store().set_mode(value); };
  };
  const auto links = [this](link_mode value, std::vector<std::size_t> chosen) {
    return [this, value, chosen = std::move(chosen)] {
      for (const std::size_t index : chosen)
        deployment_.store_link(index).set_mode(value);
    };
  };
  const std::size_t count = deployment_.daemons().size();
  const auto restore = mode(store_mode::normal);
  switch (random_.below(6)) {
    case 0:
      schedule_fault_span(when, span, "store silent", mode(store_mode::silent),
                          restore);
      break;
    case 1:
      schedule_fault_span(when, span, "store busy", mode(store_mode::busy),
                          restore);
      break;
    case 2:
      schedule_fault_span(when, span, "store slow", mode(store_mode::slow),
                          restore);
      break;
    case 3:
      schedule_fault_span(
          when, min_fault_duration, "store compacts its history",
          [this] { deployment_.store().compact(); }, [] {});
      break;
    case 4: {
      const auto chosen = random_indexes(count / 2, count);
      schedule_fault_span(when, span, "store silent for some daemons",
                          links(link_mode::silent, chosen),
                          links(link_mode::forwarding, chosen));
      break;
    }
    default: {
      const auto chosen = random_indexes(count / 2, count);
      schedule_fault_span(when, span, "store responses lost for some daemons",
                          links(link_mode::no_response, chosen),
                          links(link_mode::forwarding, chosen));
    }
  }
}

// Messages from others to some daemons are lost or delayed; messages that these
// daemons send arrive.
void fault_plan::schedule_peer_faults() {
  const std::size_t count = deployment_.daemons().size();
  for (std::size_t i = 0; i < options_.event_count / events_per_peer_fault;
       ++i) {
    const duration when =
        options_.window_begin +
        peer_random_.below(options_.window_end - options_.window_begin);
    const duration span =
        min_fault_duration +
        peer_random_.below(max_fault_duration - min_fault_duration);
    const bool silent = peer_random_.below(2) == 0;
    const std::size_t first_daemon = peer_random_.below(count);
    const std::size_t affected =
        1 + peer_random_.below(std::max(count / 3, 1UL));
    const auto set_mode = [this, first_daemon, affected,
                           count](link_mode mode) {
      for (std::size_t j = 0; j < affected; ++j)
        deployment_.set_peer_link_mode((first_daemon + j) % count, mode);
    };
    schedule_fault_span(
        when, span,
        silent ? "messages to some daemons lost"
               : "messages to some daemons delayed",
        [set_mode, silent] {
          set_mode(silent ? link_mode::silent : link_mode::delayed);
        },
        [set_mode] { set_mode(link_mode::forwarding); });
  }
}

void fault_plan::schedule_restores() {
  const std::uint64_t restores = 1 + restore_random_.below(max_restores);
  for (std::uint64_t i = 0; i < restores; ++i) {
    const duration when =
        options_.window_begin +
        restore_random_.below(options_.window_end - options_.window_begin);
    const milliseconds age(restore_random_.below(max_copy_age_ms));
    schedule(when, [this, age] { restore_store(age); });
  }
}

void fault_plan::restore_store(duration age) {
  log_("store restored from a copy of age " + format_duration(age));
  deployment_.store().restore(age);
  for (const std::string& key : deployment_.written_keys()) {
    timers_.after(restore_random_.below(write_interval),
                  [this, key] { deployment_.write_again(key); });
  }
}

// One leaf of seven sends bytes that are no response until daemons close.
void fault_plan::schedule_endless_responses() {
  const std::size_t count = deployment_.leafs().size();
  const duration when =
      options_.window_begin +
      endless_random_.below(options_.window_end - options_.window_begin);
  const duration span =
      min_fault_duration +
      endless_random_.below(max_fault_duration - min_fault_duration);
  std::vector<std::size_t> chosen;
  for (std::size_t i = 0; i < count / 7; ++i)
    chosen.push_back(endless_random_.below(count));
  const auto set_mode = [this, chosen](link_mode mode) {
    for (const std::size_t index : chosen)
      deployment_.leaf_link(index).set_mode(mode);
  };
  schedule_fault_span(
      when, span, "leafs' responses without end",
      [set_mode] { set_mode(link_mode::endless); },
      [set_mode] { set_mode(link_mode::forwarding); });
}

void fault_plan::schedule_leaf_fault(duration when, duration span) {
  const std::size_t count = deployment_.leafs().size();
  const auto links = [this](link_mode value, std::vector<std::size_t> chosen) {
    return [this, value, chosen = std::move(chosen)] {
      for (const std::size_t index : chosen)
        deployment_.leaf_link(index).set_mode(value);
    };
  };
  const auto for_each_leaf = [](std::vector<std::size_t> chosen,
                                std::function<void(std::size_t)> action) {
    return [chosen = std::move(chosen), action = std::move(action)] {
      for (const std::size_t index : chosen)
        action(index);
    };
  };
  const auto no_action = [] {};
  const auto chosen = random_indexes(count / 7, count);
  switch (random_.below(7)) {
    case 0:
      schedule_fault_span(when, span, "leafs delayed",
                          links(link_mode::delayed, chosen),
                          links(link_mode::forwarding, chosen));
      break;
    case 1:
      schedule_fault_span(when, span, "leafs silent",
                          links(link_mode::silent, chosen),
                          links(link_mode::forwarding, chosen));
      break;
    case 2:
      schedule_fault_span(when, span, "leafs' responses lost",
                          links(link_mode::no_response, chosen),
                          links(link_mode::forwarding, chosen));
      break;
    case 3:
      schedule_fault_span(
          when, min_fault_duration, "leafs' connections reset",
          for_each_leaf(chosen,
                        [this](std::size_t i) {
                          deployment_.leaf_link(i).reset_connections();
                        }),
          no_action);
      break;
    case 4:
      schedule_fault_span(
          when, min_fault_duration, "leafs' open connections silent",
          for_each_leaf(chosen,
                        [this](std::size_t i) {
                          deployment_.leaf_link(i).silence_open_connections();
                        }),
          no_action);
      break;
    case 5:
      schedule_fault_span(
          when, span, "leafs slow",
          for_each_leaf(chosen,
                        [this](std::size_t i) {
                          deployment_.leafs()[i]->set_slowdown(leaf_slowdown);
                        }),
          for_each_leaf(chosen, [this](std::size_t i) {
            deployment_.leafs()[i]->set_slowdown(1);
          }));
      break;
    default:
      // The store learns of the crash only when the leaf registers again.
      schedule_fault_span(when, span, "leafs crash",
                          for_each_leaf(chosen,
                                        [this](std::size_t i) {
                                          if (deployment_.leafs()[i]->running())
                                            deployment_.leafs()[i]->crash();
                                        }),
                          for_each_leaf(chosen, [this](std::size_t i) {
                            standins::leaf& leaf = *deployment_.leafs()[i];
                            if (leaf.running()) return;
                            leaf.restart(leaf.settings().start_id + 1);
                            checker_.on_leaf_serving(leaf.settings().id);
                            deployment_.register_leaf(leaf);
                          }));
  }
}

void fault_plan::on_process_end(const process_end& end) {
  timers_.after(restart_delay, [this, index = end.daemon] {
    deployment_.start_daemon(index);
  });
}

}  // namespace medlarloft::soak
