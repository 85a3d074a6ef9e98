#pragma once

/// Test fixture: a request whose leafs, budget and wait estimates are scripted.

#include <map>
#include <set>

#include "medlarloft/fanout.hpp"

namespace medlarloft::fanout::testing {

using std::chrono::milliseconds;

inline const time_point start = time_point{} + std::chrono::hours(1);

inline leaf_response make_response(std::string signature,
                                   std::string body = "") {
  return {.status = 200,
          .signature = std::move(signature),
          .body = std::move(body)};
}

/// Shard i is the service "s<i>"; leaf `10 * i + n` is its replica n.
class scenario {
 public:
  explicit scenario(std::size_t shards, double min_coverage = 1.0)
      : shards_(shards) {
    if (shards > 1) {
      for (std::size_t i = 0; i < shards; ++i)
        route.shards.push_back("s" + std::to_string(i));
    }
    route.retry = routes::retry_policy::idempotent;
    route.max_leafs = 2;
    route.min_coverage = min_coverage;
  }

  execution make_execution() {
    request_plan plan{.id = "r", .route = &route};
    for (std::size_t i = 0; i < shards_; ++i)
      plan.services.push_back("s" + std::to_string(i));
    plan.started_at = start;
    plan.deadline = start + deadline;
    plan.soft_deadline = start + soft_deadline;
    plan.max_wait = max_wait;
    return {std::move(plan), make_hooks()};
  }

  hooks make_hooks() {
    return {.pick = [this](const std::string& service,
                           const leafs::leaf_filter& filter)
                -> result<leaf_handle, unavailable_reason> {
              const auto shard =
                  static_cast<leaf_handle>(std::stoul(service.substr(1)));
              if (unavailable.contains(shard)) return unavailable[shard];
              for (leaf_handle n = 0; n < replicas; ++n) {
                const leaf_handle leaf = 10 * shard + n;
                const bool excluded =
                    std::ranges::find(filter.excluded, leaf) !=
                    filter.excluded.end();
                const bool allowed = filter.allowed.empty() ||
                                     std::ranges::find(filter.allowed, leaf) !=
                                         filter.allowed.end();
                if (!excluded && allowed) return leaf;
              }
              return unavailable_reason::all_tried;
            },
            .take_retry_budget =
                [this](const std::string&) {
                  if (budget == 0) return false;
                  --budget;
                  return true;
                },
            .expected_time = [](leaf_handle) { return milliseconds(10); },
            .hedge_delay = [](leaf_handle) { return milliseconds(30); },
            .next_attempt_id = [this] { return ++last_attempt; },
            .estimate_wait = [this](const std::string&) { return estimate; }};
  }

  routes::route route;
  duration deadline = milliseconds(800);
  duration soft_deadline = milliseconds(180);
  duration max_wait = milliseconds(50);
  leaf_handle replicas = 3;
  std::size_t budget = 100;
  /// Shards none of whose leafs can be picked.
  std::map<leaf_handle, unavailable_reason> unavailable;
  waiting::wait_estimate estimate;
  attempt_id last_attempt = 0;

 private:
  std::size_t shards_;
};

}  // namespace medlarloft::fanout::testing
