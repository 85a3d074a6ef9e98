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

/// Event loop on simulated time, which jumps from event to event.
class event_loop {
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

/// A leaf with some slots and a queue. It sheds requests when the queue is
/// full.
class simulated_leaf {
 public:
  static constexpr std::size_t slots = 2;
  static constexpr std::size_t queue_capacity = 12;
  using callback = std::function<void(leafs::attempt_outcome)>;

  simulated_leaf(event_loop& loop, std::uint64_t seed)
      : loop_(loop), random_(seed) {}

  void run(callback done) {
    if (queue_.size() >= queue_capacity) {
      done(leafs::attempt_outcome::shed);
      return;
    }
    queue_.push_back(std::move(done));
    begin();
  }

 private:
  void begin() {
    if (running_ == slots || queue_.empty()) return;
    ++running_;
    auto done = std::move(queue_.front());
    queue_.pop_front();
    const duration work_time = milliseconds(5) + random_.below(milliseconds(6));
    loop_.at(loop_.now + work_time, [this, done = std::move(done)] {
      --running_;
      done(leafs::attempt_outcome::answered);
      begin();
    });
  }

  event_loop& loop_;
  random_generator random_;
  std::size_t running_ = 0;
  std::deque<callback> queue_;
};

struct priority_stats {
  std::size_t requests = 0;
  std::size_t in_time = 0;
  std::size_t refused = 0;
};

/// Several daemons that send requests to the same leafs.
class simulated_deployment {
 public:
  static constexpr std::size_t daemons = 6;
  static constexpr std::size_t shards = 5;
  static constexpr std::size_t replicas = 3;
  static constexpr duration objective = milliseconds(100);

  explicit simulated_deployment(std::uint64_t seed) : random_(seed) {
    for (std::size_t i = 0; i < shards * replicas; ++i)
      leafs_.push_back(std::make_unique<simulated_leaf>(loop_, seed + i));
    for (std::size_t priority = 0; priority < routes_.size(); ++priority) {
      routes::route& route = routes_[priority];
      route.name = "r" + std::to_string(priority);
      route.priority = static_cast<std::uint32_t>(priority);
      route.retry = routes::retry_policy::idempotent;
      route.max_leafs = 2;
      route.min_coverage = 0.8;
      for (std::size_t i = 0; i < shards; ++i)
        route.shards.push_back("s" + std::to_string(i));
    }
    for (std::size_t i = 0; i < daemons; ++i)
      add_daemon(seed + i);
  }

  /// Sends requests at this rate for some seconds; half of them have the higher
  /// priority.
  std::array<priority_stats, 2> run_load(double requests_per_second) {
    time_point at = start;
    while (at < start + seconds(6)) {
      at += std::chrono::duration_cast<duration>(std::chrono::duration<double>(
          2 * random_.uniform() / requests_per_second));
      const std::size_t daemon = random_.below(daemons);
      const std::size_t priority = random_.below(routes_.size());
      loop_.at(at, [this, daemon, priority] { begin(daemon, priority); });
    }
    loop_.run();
    return stats_;
  }

 private:
  struct simulated_daemon {
    leafs::leaf_set leafs;
    waiting::wait_queue queue;
    retry_budget budget{{.slack = 50, .slack_fraction = 1.0 / daemons}};
  };

  struct simulated_request {
    std::unique_ptr<waiting::leaf_picker> picker;
    std::unique_ptr<execution> executor;
    std::size_t priority = 0;
    time_point started_at;
  };
  using request_ptr = std::shared_ptr<simulated_request>;

  void add_daemon(std::uint64_t seed) {
    auto daemon = std::make_unique<simulated_daemon>(
        simulated_daemon{.leafs = {{.local_data_centre = "z"}, seed}});
    daemon->leafs.set_quota(start,
                            {.fraction = 1.0 / daemons, .daemons = daemons});
    for (std::size_t i = 0; i < leafs_.size(); ++i) {
      const std::string service = "s" + std::to_string(i / replicas);
      daemon->leafs.set_limits(start, service, {.max_connections = 24});
      daemon->leafs.put(start, {.id = std::to_string(i),
                                .service = service,
                                .address = {"10.0.0.1", 80},
                                .data_centre = "z",
                                .slots = simulated_leaf::slots});
    }
    daemons_.push_back(std::move(daemon));
  }

  void begin(std::size_t daemon_index, std::size_t priority) {
    simulated_daemon& daemon = *daemons_[daemon_index];
    ++stats_[priority].requests;
    auto request = std::make_shared<simulated_request>();
    request->priority = priority;
    request->started_at = loop_.now;
    request_plan plan{.id = std::to_string(++last_id_),
                      .route = &routes_[priority],
                      .services = routes_[priority].shards,
                      .started_at = loop_.now,
                      .deadline = loop_.now + milliseconds(800),
                      .soft_deadline = loop_.now + objective - milliseconds(10),
                      .max_wait = milliseconds(800)};
    request->picker = std::make_unique<waiting::leaf_picker>(
        daemon.leafs, daemon.queue,
        waiting::leaf_picker::options{.work_class = routes_[priority].name,
                                      .priority = routes_[priority].priority,
                                      .soft_deadline = plan.soft_deadline});
    for (const std::string& service : plan.services)
      daemon.budget.add_request(loop_.now, service);
    request->executor = std::make_unique<execution>(
        std::move(plan), make_hooks(daemon, request.get()));
    apply(daemon, request, request->executor->start(loop_.now));
  }

  hooks make_hooks(simulated_daemon& daemon, simulated_request* request) {
    const std::string work_class = routes_[request->priority].name;
    return {.pick =
                [this, request](const std::string& service,
                                const leafs::leaf_filter& filter) {
                  return request->picker->pick(loop_.now, service, filter);
                },
            .take_retry_budget =
                [this, &daemon](const std::string& service) {
                  return daemon.budget.try_consume(loop_.now, service);
                },
            .expected_time =
                [this, &daemon, work_class](leafs::leaf_handle leaf) {
                  return daemon.leafs.expected_time(loop_.now, leaf,
                                                    work_class);
                },
            .hedge_delay =
                [this, &daemon, work_class](leafs::leaf_handle leaf) {
                  return daemon.leafs.hedge_delay(loop_.now, leaf, work_class);
                },
            .next_attempt_id = [this] { return ++last_attempt_; },
            .estimate_wait =
                [this, request](const std::string& service) {
                  return request->picker->estimate_wait(loop_.now, service);
                }};
  }

  void apply(simulated_daemon& daemon, const request_ptr& request,
             const actions& next_actions) {
    const std::vector<std::string>& services =
        request->executor->plan().services;
    for (const std::size_t shard : next_actions.leave_queues)
      request->picker->leave_queue(services[shard]);
    for (const std::size_t shard : next_actions.join_queues) {
      request->picker->join_queue(services[shard], [this, &daemon, request] {
        apply(daemon, request, request->executor->on_timer(loop_.now));
      });
    }
    for (const send_action& each : next_actions.sends)
      send(daemon, request, each);
    if (next_actions.result) {
      record(*request, *next_actions.result);
    } else if (!request->executor->finished()) {
      loop_.at(next_actions.wake_at, [this, &daemon, request] {
        if (request->executor->finished()) return;
        apply(daemon, request, request->executor->on_timer(loop_.now));
      });
    }
  }

  void send(simulated_daemon& daemon, const request_ptr& request,
            const send_action& action) {
    daemon.leafs.on_attempt_sent(loop_.now, action.leaf, action.attempt,
                                 routes_[request->priority].name);
    const std::string service =
        request->executor->plan().services[action.shard];
    const std::size_t leaf = std::stoul(daemon.leafs.find(action.leaf)->id);
    loop_.at(loop_.now, [this, &daemon, request, action, service, leaf] {
      leafs_[leaf]->run([this, &daemon, request, action,
                         service](leafs::attempt_outcome outcome) {
        daemon.leafs.on_attempt_ended(loop_.now, action.leaf, action.attempt,
                                      outcome);
        if (!request->executor->finished()) {
          apply(daemon, request,
                outcome == leafs::attempt_outcome::answered
                    ? request->executor->on_response(
                          loop_.now, action.attempt,
                          {.status = 200,
                           .signature = std::to_string(action.attempt)})
                    : request->executor->on_failure(loop_.now, action.attempt,
                                                    outcome));
        }
        waiting::leaf_picker::wake_waiters(loop_.now, daemon.leafs,
                                           daemon.queue, service);
      });
    });
  }

  void record(const simulated_request& request, const request_result& result) {
    priority_stats& stats = stats_[request.priority];
    const bool in_time = loop_.now <= request.started_at + objective;
    if (result.outcome == request_outcome::answered && in_time) ++stats.in_time;
    if (result.outcome == request_outcome::not_run) ++stats.refused;
  }

  event_loop loop_;
  random_generator random_;
  std::vector<std::unique_ptr<simulated_leaf>> leafs_;
  std::vector<std::unique_ptr<simulated_daemon>> daemons_;
  std::array<routes::route, 2> routes_;
  std::array<priority_stats, 2> stats_{};
  std::size_t last_id_ = 0;
  leafs::attempt_id last_attempt_ = 0;
};

/// The users accept a success rate of the higher priority that is below that of
/// the lower one by at most this.
constexpr double allowed_gap = 0.05;
/// Requests per second that the leafs of a shard can process: six slots with
/// 8 ms per request.
constexpr double capacity = 750;

std::size_t in_time(const std::array<priority_stats, 2>& all) {
  return all[0].in_time + all[1].in_time;
}

// A burst exceeds the capacity of the leafs. Without wait queues all requests
// were late at twice the capacity, and the leafs ran their parts in vain.
TEST(overload, goodput_does_not_fall_as_the_load_rises) {
  const std::size_t goodput =
      in_time(simulated_deployment(1).run_load(0.5 * capacity));
  EXPECT_GE(in_time(simulated_deployment(1).run_load(1.0 * capacity)), goodput);
  EXPECT_GE(in_time(simulated_deployment(1).run_load(2.0 * capacity)), goodput);
  EXPECT_GE(in_time(simulated_deployment(1).run_load(4.0 * capacity)), goodput);
}

TEST(overload, the_higher_priority_is_never_worse_off) {
  for (const double load : {1.0, 2.0, 4.0}) {
    const auto all = simulated_deployment(2).run_load(load * capacity);
    const auto success_rate = [](const priority_stats& each) {
      return static_cast<double>(each.in_time) /
             static_cast<double>(each.requests);
    };
    EXPECT_GE(success_rate(all[0]) + allowed_gap, success_rate(all[1]))
        << "at " << load;
  }
}

TEST(overload, refuses_nothing_at_half_of_the_capacity) {
  const auto all = simulated_deployment(3).run_load(0.5 * capacity);
  EXPECT_EQ(all[0].refused + all[1].refused, 0U);
}

}  // namespace
}  // namespace medlarloft::fanout
