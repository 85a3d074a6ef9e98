#pragma once

/// Simulates the daemons of a fleet, their messages and their callers, with a
/// simulated clock and network.

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "medlarloft/quota.hpp"

namespace medlarloft::quota::testing {

using std::chrono::milliseconds;
using std::chrono::seconds;

class simulated_fleet {
 public:
  struct options {
    std::size_t daemons = 8;
    std::uint64_t seed = 1;
    tolerance allowed{.excess = 0.25, .slack = 20};
    account_limits limits;
    /// Fractions of the messages that are lost and that arrive twice.
    double loss = 0;
    double copies = 0;
    duration max_latency = milliseconds(5);
  };

  explicit simulated_fleet(options settings)
      : options_(std::move(settings)), random_(options_.seed) {
    for (std::size_t i = 0; i < options_.daemons; ++i) {
      daemons_.emplace_back();
      capacities_[name(i)] = i < 3 ? 500 : 84;
      total_ += capacities_[name(i)];
    }
    for (std::size_t i = 0; i < options_.daemons; ++i)
      start(i);
  }

  /// Callers send `rate` requests per second for the account to daemons that
  /// `pick` chooses.
  void run(duration length, const std::string& account, double rate,
           const std::function<std::size_t()>& pick) {
    const time_point end = now_ + length;
    time_point arrival = now_ + random_interval(rate);
    for (; arrival < end; arrival += random_interval(rate))
      at(arrival, [this, account, to = pick()] { ask(to, account, now_); });
    at(end, [] {});
    while (now_ < end) {
      const auto next = events_.begin();
      now_ = std::max(now_, next->first);
      const auto action = std::move(next->second);
      events_.erase(next);
      action();
    }
  }

  /// A daemon that is not running is not reached, and drops nothing: its
  /// messages wait until it goes on.
  void freeze(std::size_t daemon, duration length) {
    daemons_[daemon].frozen_until = now_ + length;
  }
  void restart(std::size_t daemon) { start(daemon); }
  /// Daemons reach those of the same side only.
  void set_side(std::size_t daemon, int side) { daemons_[daemon].side = side; }
  void set_limits(const account_limits& limits) {
    options_.limits = limits;
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
      const time_point when = now_ + random_.below(duration(seconds(1)));
      at(when, [this, i, limits] {
        with(i, [limits](node& state) { state.set_limits(limits); });
        arm(i);
      });
    }
  }

  time_point now() const { return now_; }
  random_generator& random() { return random_; }
  std::size_t messages() const { return messages_; }
  std::size_t refused(time_point since) const { return count(refused_, since); }
  std::size_t admitted(time_point since) const {
    return count(admitted_, since);
  }
  /// Most admitted requests in a window that begins at `since` or later.
  std::size_t most_in_window(time_point since) const {
    std::size_t most = 0;
    auto first = std::ranges::lower_bound(admitted_, since);
    for (auto last = first; last != admitted_.end(); ++last) {
      while (*last - *first >= options_.allowed.window)
        ++first;
      most = std::max(most, static_cast<std::size_t>(last - first) + 1);
    }
    return most;
  }
  std::string coordinator_of(std::size_t daemon) const {
    return daemons_[daemon].state->coordinator_at(now_);
  }
  static std::string name(std::size_t daemon) {
    return "d" + std::to_string(daemon);
  }

 private:
  struct daemon {
    std::unique_ptr<node> state;
    std::uint64_t generation = 0;
    time_point frozen_until{};
    int side = 0;
    time_point armed_for = time_point::max();
  };

  static std::size_t count(const std::vector<time_point>& times,
                           time_point since) {
    return static_cast<std::size_t>(
        std::ranges::count_if(times, [&](auto at) { return at >= since; }));
  }
  duration random_interval(double rate) {
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(-std::log(1 - random_.uniform()) / rate));
  }
  void at(time_point when, std::function<void()> action) {
    events_.emplace(when, std::move(action));
  }
  std::size_t index_of(const std::string& id) const {
    return static_cast<std::size_t>(std::stoul(id.substr(1)));
  }

  void start(std::size_t index) {
    daemon& self = daemons_[index];
    ++self.generation;
    self.armed_for = time_point::max();
    self.state =
        std::make_unique<node>(node::options{.id = name(index),
                                             .process = random_() | 1,
                                             .allowed = options_.allowed,
                                             .started_at = now_});
    self.state->set_limits(options_.limits);
    self.state->set_coordinators(choose_coordinators(capacities_));
    self.state->set_fraction(now_, capacities_[name(index)] / total_);
    tick(index, self.generation);
  }

  /// Runs `action` once the daemon is not frozen.
  void with(std::size_t index, const std::function<void(node&)>& action) {
    daemon& self = daemons_[index];
    if (now_ < self.frozen_until) {
      at(self.frozen_until, [this, index, action] { with(index, action); });
      return;
    }
    action(*self.state);
  }

  void tick(std::size_t index, std::uint64_t generation) {
    with(index, [this, index, generation](node& state) {
      if (daemons_[index].generation != generation) return;
      for (const envelope& sent : state.tick(now_))
        send(index, sent);
      arm(index);
    });
  }

  /// Ticks the daemon when it asks for that, half a millisecond late.
  void arm(std::size_t index) {
    daemon& self = daemons_[index];
    const time_point next = self.state->next_tick();
    if (next == time_point::max() || next >= self.armed_for) return;
    self.armed_for = next;
    at(std::max(next, now_) + std::chrono::microseconds(500),
       [this, index, generation = self.generation] {
         daemons_[index].armed_for = time_point::max();
         tick(index, generation);
       });
  }

  void send(std::size_t from, const envelope& sent) {
    ++messages_;
    if (random_.uniform() < options_.loss) return;
    deliver(from, sent);
    if (random_.uniform() < options_.copies) deliver(from, sent);
  }

  void deliver(std::size_t from, const envelope& sent) {
    const duration latency = random_.below(options_.max_latency);
    const std::size_t to = index_of(sent.to);
    at(now_ + latency, [this, from, to, message = sent.message] {
      if (daemons_[from].side != daemons_[to].side) return;
      with(to, [this, to, message](node& state) {
        const auto answer = state.receive(now_, message);
        if (answer) send(to, *answer);
        arm(to);
      });
    });
  }

  void ask(std::size_t index, const std::string& account, time_point since) {
    with(index, [this, index, account, since](node& state) {
      const decision decided = state.admit(now_, account, now_ - since);
      arm(index);
      if (decided.outcome == admission::wait) {
        at(now_ + milliseconds(3),
           [this, index, account, since] { ask(index, account, since); });
        return;
      }
      (decided.outcome == admission::admitted ? admitted_ : refused_)
          .push_back(now_);
    });
  }

  options options_;
  random_generator random_;
  time_point now_ = time_point{} + std::chrono::hours(1);
  std::vector<daemon> daemons_;
  std::map<std::string, std::uint32_t> capacities_;
  double total_ = 0;
  std::multimap<time_point, std::function<void()>> events_;
  std::vector<time_point> admitted_;
  std::vector<time_point> refused_;
  std::size_t messages_ = 0;
};

inline double bound(const quota_limit& limit, const tolerance& allowed) {
  const double window = std::chrono::duration<double>(allowed.window).count();
  return (limit.rate_per_second * window + limit.burst) * (1 + allowed.excess) +
         allowed.slack;
}

}  // namespace medlarloft::quota::testing
