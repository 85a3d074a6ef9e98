#include "faults.hpp"

#include <algorithm>
#include <csignal>

namespace medlarloft::soak {
namespace {

using standins::store_mode;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// The platform starts a process again after about this.
constexpr duration restart_delay = milliseconds(300);
constexpr duration shortest = milliseconds(300);
constexpr duration longest = milliseconds(4000);
/// A leaf that drains serves on for longer than it must.
constexpr duration drain_time = drain_bound + milliseconds(1500);
constexpr duration roll_gap = milliseconds(900);
constexpr double slow_factor = 8.0;
/// Of ten events this many are planned work.
constexpr std::uint64_t planned_of_ten = 4;

/// Names the stream of faults between daemons.
constexpr std::uint64_t peers_stream = 2;
/// Of the events, one in so many is added between daemons.
constexpr std::size_t events_per_peer_fault = 4;

}  // namespace

fault_plan::fault_plan(deployment& all, promises& checks,
                       loop::timer_queue& timers,
                       std::function<void(const std::string&)> told,
                       plan_options values)
    : all_(all),
      checks_(checks),
      timers_(timers),
      told_(std::move(told)),
      options_(values),
      random_(values.seed),
      peers_random_(hash_combine(values.seed, peers_stream)) {}

void fault_plan::start() {
  began_ = steady_clock::now();
  for (std::size_t i = 0; i < options_.events; ++i)
    draw();
  if (options_.faults) hurt_peers();
}

void fault_plan::at(duration when, std::function<void()> action) {
  timers_.at(began_ + when, std::move(action));
}

void fault_plan::draw() {
  const duration when =
      options_.begins + random_.below(options_.ends - options_.begins);
  if (!options_.faults || random_.below(10) < planned_of_ten) {
    planned(when);
  } else {
    fault(when);
  }
}

std::vector<std::size_t> fault_plan::some(std::size_t count, std::size_t of) {
  std::vector<std::size_t> chosen;
  for (std::size_t i = 0; i < count; ++i)
    chosen.push_back(random_.below(of));
  return chosen;
}

void fault_plan::planned(duration when) {
  switch (random_.below(5)) {
    case 0:
      at(when, [this] {
        const std::uint64_t version = all_.configure(second_shards_);
        checks_.configured(steady_clock::now(), version);
        told_("configuration version=" + std::to_string(version));
      });
      break;
    case 1:
      at(when, [this] {
        second_shards_ = !second_shards_;
        const std::uint64_t version = all_.configure(second_shards_);
        checks_.configured(steady_clock::now(), version);
        told_("shards changed version=" + std::to_string(version));
      });
      break;
    case 2: {
      // Several daemons in turn, or one twice.
      const auto chosen = some(2, all_.daemons().size());
      for (std::size_t i = 0; i < chosen.size(); ++i) {
        at(when + roll_gap * static_cast<int>(i), [this, index = chosen[i]] {
          told_("SIGTERM " + all_.daemons()[index].id);
          all_.signal(index, SIGTERM);
        });
      }
      break;
    }
    case 3: {
      const std::size_t index = random_.below(all_.leafs().size());
      at(when, [this, index] {
        standins::leaf& one = *all_.leafs()[index];
        if (!one.running()) return;
        told_("draining " + one.settings().id);
        one.set_draining(true);
        all_.announce(one);
        checks_.draining(steady_clock::now(), one.settings().id);
        timers_.after(drain_time, [this, index] {
          standins::leaf& gone = *all_.leafs()[index];
          if (!gone.running()) return;
          gone.crash();
          all_.withdraw(gone);
          gone.restart(gone.settings().started_at + 1);
          checks_.serves_again(gone.settings().id);
          all_.announce(gone);
        });
      });
      break;
    }
    default: {
      const std::string where(1, static_cast<char>('a' + random_.below(3)));
      at(when, [this, where] {
        told_("out " + where);
        all_.set_out(where, true);
        checks_.out(steady_clock::now(), where);
        timers_.after(evacuation_bound + seconds(1), [this, where] {
          checks_.back(where);
          all_.set_out(where, false);
        });
      });
    }
  }
}

void fault_plan::during(duration when, duration length, const std::string& what,
                        std::function<void()> begin,
                        std::function<void()> end) {
  at(when, [this, what, begin = std::move(begin)] {
    told_("begins: " + what);
    checks_.fault(steady_clock::now(), 1);
    begin();
  });
  at(when + length, [this, what, end = std::move(end)] {
    told_("ends: " + what);
    end();
    checks_.fault(steady_clock::now(), -1);
  });
}

void fault_plan::fault(duration when) {
  const duration length = shortest + random_.below(longest - shortest);
  switch (random_.below(3)) {
    case 0:
      return hurt_processes(when, length);
    case 1:
      return hurt_store(when, length);
    default:
      return hurt_leafs(when, length);
  }
}

void fault_plan::hurt_processes(duration when, duration length) {
  const std::size_t count = all_.daemons().size();
  const auto nothing = [] {};
  switch (random_.below(5)) {
    case 0: {
      const std::size_t one = random_.below(count);
      during(
          when, length, "kill of one daemon",
          [this, one] { all_.signal(one, SIGKILL); }, nothing);
      break;
    }
    case 1: {
      const auto chosen = some(count / 2 + 1, count);
      during(
          when, length, "kill of many daemons",
          [this, chosen] {
            for (const std::size_t each : chosen)
              all_.signal(each, SIGKILL);
          },
          nothing);
      break;
    }
    case 2:
      during(
          when, length, "kill of all daemons",
          [this, count] {
            for (std::size_t i = 0; i < count; ++i)
              all_.signal(i, SIGKILL);
          },
          nothing);
      break;
    case 3: {
      const auto chosen = some(2, count);
      during(
          when, length, "pause of daemons",
          [this, chosen] {
            for (const std::size_t each : chosen)
              all_.signal(each, SIGSTOP);
          },
          [this, chosen] {
            for (const std::size_t each : chosen)
              all_.signal(each, SIGCONT);
          });
      break;
    }
    default: {
      // A stop that a kill overtakes.
      const std::size_t one = random_.below(count);
      during(
          when, length, "stop, then kill",
          [this, one] { all_.signal(one, SIGTERM); },
          [this, one] { all_.signal(one, SIGKILL); });
    }
  }
}

void fault_plan::hurt_store(duration when, duration length) {
  const auto mode = [this](store_mode value) {
    return [this, value] { all_.store().set_mode(value); };
  };
  const auto links = [this](link_mode value, std::vector<std::size_t> chosen) {
    return [this, value, chosen = std::move(chosen)] {
      for (const std::size_t each : chosen)
        all_.store_link(each).set_mode(value);
    };
  };
  const std::size_t count = all_.daemons().size();
  const auto restore = mode(store_mode::normal);
  switch (random_.below(6)) {
    case 0:
      during(when, length, "store silent", mode(store_mode::silent), restore);
      break;
    case 1:
      during(when, length, "store busy", mode(store_mode::busy), restore);
      break;
    case 2:
      during(when, length, "store slow", mode(store_mode::slow), restore);
      break;
    case 3:
      during(
          when, shortest, "store forgets its history",
          [this] { all_.store().compact(); }, [] {});
      break;
    case 4: {
      const auto chosen = some(count / 2, count);
      during(when, length, "store silent for some daemons",
             links(link_mode::silent, chosen),
             links(link_mode::passes, chosen));
      break;
    }
    default: {
      const auto chosen = some(count / 2, count);
      during(when, length, "store answers lost for some daemons",
             links(link_mode::no_answer, chosen),
             links(link_mode::passes, chosen));
    }
  }
}

// Some daemons get nothing, or late, of what the others send; what they send
// themselves arrives.
void fault_plan::hurt_peers() {
  const std::size_t count = all_.daemons().size();
  for (std::size_t i = 0; i < options_.events / events_per_peer_fault; ++i) {
    const duration when =
        options_.begins + peers_random_.below(options_.ends - options_.begins);
    const duration length = shortest + peers_random_.below(longest - shortest);
    const bool silent = peers_random_.below(2) == 0;
    const std::size_t first = peers_random_.below(count);
    const std::size_t many = 1 + peers_random_.below(std::max(count / 3, 1UL));
    const auto set = [this, first, many, count](link_mode mode) {
      for (std::size_t j = 0; j < many; ++j)
        all_.set_peers_link((first + j) % count, mode);
    };
    during(
        when, length,
        silent ? "daemons hear nothing of others" : "daemons hear others late",
        [set, silent] { set(silent ? link_mode::silent : link_mode::delays); },
        [set] { set(link_mode::passes); });
  }
}

void fault_plan::hurt_leafs(duration when, duration length) {
  const std::size_t count = all_.leafs().size();
  const auto links = [this](link_mode value, std::vector<std::size_t> chosen) {
    return [this, value, chosen = std::move(chosen)] {
      for (const std::size_t each : chosen)
        all_.leaf_link(each).set_mode(value);
    };
  };
  const auto each_leaf = [](std::vector<std::size_t> chosen,
                            std::function<void(std::size_t)> action) {
    return [chosen = std::move(chosen), action = std::move(action)] {
      for (const std::size_t each : chosen)
        action(each);
    };
  };
  const auto nothing = [] {};
  const auto chosen = some(count / 7, count);
  switch (random_.below(7)) {
    case 0:
      during(when, length, "leafs delayed", links(link_mode::delays, chosen),
             links(link_mode::passes, chosen));
      break;
    case 1:
      during(when, length, "leafs silent", links(link_mode::silent, chosen),
             links(link_mode::passes, chosen));
      break;
    case 2:
      during(when, length, "leafs' answers lost",
             links(link_mode::no_answer, chosen),
             links(link_mode::passes, chosen));
      break;
    case 3:
      during(
          when, shortest, "leafs' connections reset",
          each_leaf(chosen,
                    [this](std::size_t i) { all_.leaf_link(i).reset_all(); }),
          nothing);
      break;
    case 4:
      during(when, shortest, "leafs' open connections silent",
             each_leaf(
                 chosen,
                 [this](std::size_t i) { all_.leaf_link(i).silence_open(); }),
             nothing);
      break;
    case 5:
      during(when, length, "leafs slow",
             each_leaf(chosen,
                       [this](std::size_t i) {
                         all_.leafs()[i]->set_slowdown(slow_factor);
                       }),
             each_leaf(chosen, [this](std::size_t i) {
               all_.leafs()[i]->set_slowdown(1);
             }));
      break;
    default:
      // The store hears of the end only when the leaf is back.
      during(when, length, "leafs crash",
             each_leaf(chosen,
                       [this](std::size_t i) {
                         if (all_.leafs()[i]->running())
                           all_.leafs()[i]->crash();
                       }),
             each_leaf(chosen, [this](std::size_t i) {
               standins::leaf& one = *all_.leafs()[i];
               if (one.running()) return;
               one.restart(one.settings().started_at + 1);
               checks_.serves_again(one.settings().id);
               all_.announce(one);
             }));
  }
}

void fault_plan::ended(const process_end& how) {
  timers_.after(restart_delay,
                [this, index = how.daemon] { all_.start_daemon(index); });
}

}  // namespace medlarloft::soak
