#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "medlarloft/fanout.hpp"

namespace medlarloft::fanout {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const time_point start = time_point{} + std::chrono::hours(1);

/// Time that jumps from event to event.
class simulation {
 public:
  void at(time_point when, std::function<void()> action) {
    events_.emplace(std::max(when, now), std::move(action));
  }
  void run() {
    while (!events_.empty()) {
      auto next = events_.extract(events_.begin());
      now = next.key();
      next.mapped()();
    }
  }

  time_point now = start;

 private:
  std::multimap<time_point, std::function<void()>> events_;
};

/// A leaf with some slots and a queue; what does not fit it sheds.
class leaf_model {
 public:
  static constexpr std::size_t slots = 2;
  static constexpr std::size_t queue = 12;
  using finished = std::function<void(leafs::attempt_outcome)>;

  leaf_model(simulation& time, std::uint64_t seed)
      : time_(time), random_(seed) {}

  void run(finished done) {
    if (waiting_.size() >= queue) {
      done(leafs::attempt_outcome::shed);
      return;
    }
    waiting_.push_back(std::move(done));
    begin();
  }

 private:
  void begin() {
    if (busy_ == slots || waiting_.empty()) return;
    ++busy_;
    auto done = std::move(waiting_.front());
    waiting_.pop_front();
    const duration work = milliseconds(5) + random_.below(milliseconds(6));
    time_.at(time_.now + work, [this, done = std::move(done)] {
      --busy_;
      done(leafs::attempt_outcome::answered);
      begin();
    });
  }

  simulation& time_;
  random_stream random_;
  std::size_t busy_ = 0;
  std::deque<finished> waiting_;
};

struct tally_of_rank {
  std::size_t asked = 0;
  std::size_t in_time = 0;
  std::size_t refused = 0;
};

/// Daemons that share the leafs of some shards, as the real ones do.
class deployment {
 public:
  static constexpr std::size_t daemons = 6;
  static constexpr std::size_t shards = 5;
  static constexpr std::size_t replicas = 3;
  static constexpr duration objective = milliseconds(100);

  explicit deployment(std::uint64_t seed) : random_(seed) {
    for (std::size_t i = 0; i < shards * replicas; ++i)
      leafs_.push_back(std::make_unique<leaf_model>(time_, seed + i));
    for (std::size_t rank = 0; rank < routes_.size(); ++rank) {
      routes::route& route = routes_[rank];
      route.name = "r" + std::to_string(rank);
      route.priority = static_cast<std::uint32_t>(rank);
      route.retry = routes::retry_policy::idempotent;
      route.max_leafs = 2;
      route.min_coverage = 0.8;
      for (std::size_t i = 0; i < shards; ++i)
        route.shards.push_back("s" + std::to_string(i));
    }
    for (std::size_t i = 0; i < daemons; ++i)
      add_daemon(seed + i);
  }

  /// Plays requests at this rate for some seconds; half of them urgent.
  std::array<tally_of_rank, 2> play(double per_second) {
    time_point at = start;
    while (at < start + seconds(6)) {
      at += std::chrono::duration_cast<duration>(
          std::chrono::duration<double>(2 * random_.unit() / per_second));
      const std::size_t daemon = random_.below(daemons);
      const std::size_t rank = random_.below(routes_.size());
      time_.at(at, [this, daemon, rank] { begin(daemon, rank); });
    }
    time_.run();
    return tallies_;
  }

 private:
  struct daemon_model {
    leafs::leaf_set leafs;
    waiting::wait_queue queue;
    retry_budget budget{{.slack = 50, .slack_fraction = 1.0 / daemons}};
  };

  struct run_model {
    std::unique_ptr<waiting::leaf_picker> choice;
    std::unique_ptr<execution> decisions;
    std::size_t rank = 0;
    time_point started_at;
  };
  using run_ptr = std::shared_ptr<run_model>;

  void add_daemon(std::uint64_t seed) {
    auto made = std::make_unique<daemon_model>(
        daemon_model{.leafs = {{.local_data_centre = "z"}, seed}});
    made->leafs.set_quota({.fraction = 1.0 / daemons, .daemons = daemons});
    for (std::size_t i = 0; i < leafs_.size(); ++i) {
      const std::string service = "s" + std::to_string(i / replicas);
      made->leafs.set_limits(service, {.max_connections = 24});
      made->leafs.put(start, {.id = std::to_string(i),
                              .service = service,
                              .address = {"10.0.0.1", 80},
                              .data_centre = "z",
                              .slots = leaf_model::slots});
    }
    daemons_.push_back(std::move(made));
  }

  void begin(std::size_t daemon, std::size_t rank) {
    daemon_model& of = *daemons_[daemon];
    ++tallies_[rank].asked;
    auto run = std::make_shared<run_model>();
    run->rank = rank;
    run->started_at = time_.now;
    request_plan plan{.id = std::to_string(++last_id_),
                      .route = &routes_[rank],
                      .services = routes_[rank].shards,
                      .started_at = time_.now,
                      .deadline = time_.now + milliseconds(800),
                      .soft_deadline = time_.now + objective - milliseconds(10),
                      .max_wait = milliseconds(800)};
    run->choice = std::make_unique<waiting::leaf_picker>(
        of.leafs, of.queue,
        waiting::leaf_picker::options{.work_class = routes_[rank].name,
                                      .priority = routes_[rank].priority,
                                      .soft_deadline = plan.soft_deadline});
    for (const std::string& service : plan.services)
      of.budget.add_request(time_.now, service);
    run->decisions =
        std::make_unique<execution>(std::move(plan), hooks_of(of, run.get()));
    carry_out(of, run, run->decisions->start(time_.now));
  }

  hooks hooks_of(daemon_model& of, run_model* run) {
    const std::string work = routes_[run->rank].name;
    return {.pick =
                [this, run](const std::string& service,
                            const leafs::pick_options& limits) {
                  return run->choice->pick(time_.now, service, limits);
                },
            .take_retry_budget =
                [this, &of](const std::string& service) {
                  return of.budget.try_consume(time_.now, service);
                },
            .expected_time =
                [this, &of, work](leafs::leaf_handle leaf) {
                  return of.leafs.expected_time(time_.now, leaf, work);
                },
            .hedge_delay =
                [this, &of, work](leafs::leaf_handle leaf) {
                  return of.leafs.hedge_delay(time_.now, leaf, work);
                },
            .next_attempt_id = [this] { return ++last_attempt_; },
            .estimate_wait =
                [this, run](const std::string& service) {
                  return run->choice->estimate_wait(time_.now, service);
                }};
  }

  void carry_out(daemon_model& of, const run_ptr& run, const actions& wanted) {
    const std::vector<std::string>& services = run->decisions->plan().services;
    for (const std::size_t shard : wanted.leave_queues)
      run->choice->leave_queue(services[shard]);
    for (const std::size_t shard : wanted.join_queues) {
      run->choice->join_queue(services[shard], [this, &of, run] {
        carry_out(of, run, run->decisions->on_timer(time_.now));
      });
    }
    for (const send_action& each : wanted.sends)
      send(of, run, each);
    if (wanted.result) {
      count(*run, *wanted.result);
    } else if (!run->decisions->finished()) {
      time_.at(wanted.wake_at, [this, &of, run] {
        if (run->decisions->finished()) return;
        carry_out(of, run, run->decisions->on_timer(time_.now));
      });
    }
  }

  void send(daemon_model& of, const run_ptr& run, const send_action& each) {
    of.leafs.on_attempt_sent(time_.now, each.leaf, each.attempt,
                             routes_[run->rank].name);
    const std::string service = run->decisions->plan().services[each.shard];
    const std::size_t leaf = std::stoul(of.leafs.find(each.leaf)->id);
    time_.at(time_.now, [this, &of, run, each, service, leaf] {
      leafs_[leaf]->run([this, &of, run, each,
                         service](leafs::attempt_outcome how) {
        of.leafs.on_attempt_ended(time_.now, each.leaf, each.attempt, how);
        if (!run->decisions->finished()) {
          carry_out(
              of, run,
              how == leafs::attempt_outcome::answered
                  ? run->decisions->on_response(
                        time_.now, each.attempt,
                        {.status = 200,
                         .signature = std::to_string(each.attempt)})
                  : run->decisions->on_failure(time_.now, each.attempt, how));
        }
        waiting::leaf_picker::wake_waiters(time_.now, of.leafs, of.queue,
                                           service);
      });
    });
  }

  void count(const run_model& run, const request_result& done) {
    tally_of_rank& all = tallies_[run.rank];
    const bool in_time = time_.now <= run.started_at + objective;
    if (done.outcome == request_outcome::answered && in_time) ++all.in_time;
    if (done.outcome == request_outcome::not_run) ++all.refused;
  }

  simulation time_;
  random_stream random_;
  std::vector<std::unique_ptr<leaf_model>> leafs_;
  std::vector<std::unique_ptr<daemon_model>> daemons_;
  std::array<routes::route, 2> routes_;
  std::array<tally_of_rank, 2> tallies_{};
  std::size_t last_id_ = 0;
  leafs::attempt_id last_attempt_ = 0;
};

/// By so much the users let an urgent kind of request be worse off.
constexpr double allowed_gap = 0.05;
/// Requests a second that the leafs of a shard can do: six slots, 8 ms each.
constexpr double capacity = 750;

std::size_t in_time(const std::array<tally_of_rank, 2>& all) {
  return all[0].in_time + all[1].in_time;
}

// Pattern: a burst beyond what the leafs can do. Before requests waited in line
// they were all late at twice the load, and their parts in vain.
TEST(overload, goodput_does_not_fall_as_the_load_rises) {
  const std::size_t usual = in_time(deployment(1).play(0.5 * capacity));
  EXPECT_GE(in_time(deployment(1).play(1.0 * capacity)), usual);
  EXPECT_GE(in_time(deployment(1).play(2.0 * capacity)), usual);
  EXPECT_GE(in_time(deployment(1).play(4.0 * capacity)), usual);
}

TEST(overload, the_urgent_rank_is_never_worse_off) {
  for (const double load : {1.0, 2.0, 4.0}) {
    const auto all = deployment(2).play(load * capacity);
    const auto share = [](const tally_of_rank& each) {
      return static_cast<double>(each.in_time) /
             static_cast<double>(each.asked);
    };
    EXPECT_GE(share(all[0]) + allowed_gap, share(all[1])) << "at " << load;
  }
}

TEST(overload, nobody_is_refused_at_the_usual_load) {
  const auto all = deployment(3).play(0.5 * capacity);
  EXPECT_EQ(all[0].refused + all[1].refused, 0U);
}

}  // namespace
}  // namespace medlarloft::fanout
