#pragma once

/// A request with scripted leafs, for the tests of this package.

#include <map>
#include <set>

#include "medlarloft/fanout.hpp"

namespace medlarloft::fanout::testing {

using std::chrono::milliseconds;

inline const time_point start = time_point{} + std::chrono::hours(1);

inline leaf_answer part(std::string signature, std::string body = "") {
  return {.status = 200,
          .signature = std::move(signature),
          .body = std::move(body)};
}

/// Leaf `10 * shard + n` is replica n of a shard; "s0" is the first service.
class bench {
 public:
  explicit bench(std::size_t shards, double least_coverage = 1.0)
      : shards_(shards) {
    if (shards > 1) {
      for (std::size_t i = 0; i < shards; ++i)
        route.shards.push_back("s" + std::to_string(i));
    }
    route.repeats = routes::repeat_rule::idempotent;
    route.attempts = 2;
    route.least_coverage = least_coverage;
  }

  execution make() {
    request asked{.id = "r", .route = &route};
    for (std::size_t i = 0; i < shards_; ++i)
      asked.services.push_back("s" + std::to_string(i));
    asked.began = start;
    asked.deadline = start + deadline;
    asked.answer_by = start + answer_by;
    asked.longest_wait = longest_wait;
    return {std::move(asked), choices()};
  }

  hooks choices() {
    return {.pick = [this](const std::string& service,
                           const leafs::pick_options& limits)
                -> result<leaf_handle, no_leaf> {
              const auto shard =
                  static_cast<leaf_handle>(std::stoul(service.substr(1)));
              if (obstacles.contains(shard)) return obstacles[shard];
              for (leaf_handle n = 0; n < replicas; ++n) {
                const leaf_handle leaf = 10 * shard + n;
                const bool tried =
                    std::ranges::find(limits.tried, leaf) != limits.tried.end();
                const bool allowed =
                    limits.only.empty() ||
                    std::ranges::find(limits.only, leaf) != limits.only.end();
                if (!tried && allowed) return leaf;
              }
              return no_leaf::all_tried;
            },
            .take_extra =
                [this](const std::string&) {
                  if (budget == 0) return false;
                  --budget;
                  return true;
                },
            .expected = [](leaf_handle) { return milliseconds(10); },
            .patience = [](leaf_handle) { return milliseconds(30); },
            .new_attempt = [this] { return ++next; },
            .estimate = [this](const std::string&) { return waits; }};
  }

  routes::route route;
  duration deadline = milliseconds(800);
  duration answer_by = milliseconds(180);
  duration longest_wait = milliseconds(50);
  leaf_handle replicas = 3;
  std::size_t budget = 100;
  std::map<leaf_handle, no_leaf> obstacles;
  waiting::estimate waits;
  attempt_id next = 0;

 private:
  std::size_t shards_;
};

}  // namespace medlarloft::fanout::testing
