#pragma once

/// The rules that docs/design/leaf-choice.md compares in the model.

#include <array>
#include <string_view>

#include "load_model.hpp"
#include "medlarloft/leafs.hpp"

namespace medlarloft::leafs::testing {

inline const time_point start = time_point{} + std::chrono::hours(1);

/// A rule over what a daemon knows: the expected times of the leafs as they
/// were some time ago, and its own requests in flight.
struct candidate_rule {
  enum class kind { best, best_of_two, weighted };
  std::string_view name;
  kind choice = kind::best;
  /// Cost of an own request in flight: 2 as today, or the number of daemons.
  bool per_daemon = false;
  bool informed = true;
};

inline constexpr std::array<candidate_rule, 7> rules{{
    {"best of all", candidate_rule::kind::best},
    {"best of two", candidate_rule::kind::best_of_two},
    {"by free capacity", candidate_rule::kind::weighted},
    {"C3, best of all", candidate_rule::kind::best, true},
    {"C3, best of two", candidate_rule::kind::best_of_two, true},
    {"C3, by free capacity", candidate_rule::kind::weighted, true},
    {"random", candidate_rule::kind::weighted, false, false},
}};

inline std::size_t choose(const std::vector<double>& costs,
                          candidate_rule::kind kind, random_generator& random) {
  if (kind == candidate_rule::kind::best_of_two) {
    const std::size_t a = random.below(costs.size());
    const std::size_t b = random.below(costs.size());
    return costs[a] <= costs[b] ? a : b;
  }
  std::vector<double> keys = costs;
  if (kind == candidate_rule::kind::weighted)
    for (double& key : keys)
      key *= -std::log(1 - random.uniform());
  return static_cast<std::size_t>(std::ranges::min_element(keys) -
                                  keys.begin());
}

inline model_result run_rule(const candidate_rule& rule,
                             const model_options& options, duration age) {
  load_model model(options);
  random_generator random(options.seed);
  std::vector<std::vector<int>> own(options.daemons,
                                    std::vector<int>(options.leafs));
  const double own_cost =
      rule.per_daemon ? static_cast<double>(options.daemons) : 2.0;
  return model.run(
      {.pick =
           [&](time_point, std::size_t daemon) {
             std::vector<double> costs(options.leafs, 1.0);
             for (std::size_t i = 0; rule.informed && i < costs.size(); ++i)
               costs[i] = model.expected(age, i) *
                          (1 + own_cost * own[daemon][i] /
                                   static_cast<double>(options.slots)) *
                          (1 + 0.05 * random.uniform());
             return std::optional(choose(costs, rule.choice, random));
           },
       .on_sent = [&](time_point, std::size_t daemon, std::size_t leaf,
                      std::uint64_t) { ++own[daemon][leaf]; },
       .on_answered = [&](time_point, std::size_t daemon, std::size_t leaf,
                          std::uint64_t) { --own[daemon][leaf]; }});
}

/// The daemons that `daemon_quota` tells of, of which those of the model may be
/// a few large ones that serve all requests.
struct fleet {
  std::size_t daemons = 1;
  double fraction = 1;
};

/// Runs the daemons' `leaf_set`s, which know only their own requests.
inline model_result run_leaf_sets(const model_options& options,
                                  const fleet& known) {
  std::vector<leaf_set> daemons;
  for (std::size_t i = 0; i < options.daemons; ++i) {
    leaf_set& set = daemons.emplace_back(
        leaf_set::options{.local_data_centre = "near"}, i + 1);
    set.set_quota(start,
                  {.fraction = known.fraction, .daemons = known.daemons});
    set.set_limits(start, "s", {.max_connections = 10'000});
    for (std::size_t j = 0; j < options.leafs; ++j)
      set.put(start, {.id = std::to_string(j),
                      .service = "s",
                      .address = {"10.0.0.1", 80},
                      .data_centre = "near",
                      .slots = static_cast<std::uint32_t>(options.slots)});
  }
  const auto ended = [&daemons](attempt_outcome outcome) {
    return [&daemons, outcome](time_point now, std::size_t daemon,
                               std::size_t leaf, std::uint64_t id) {
      daemons[daemon].on_attempt_ended(now, static_cast<leaf_handle>(leaf), id,
                                       outcome);
    };
  };
  return load_model(options).run(
      {.pick = [&](time_point now,
                   std::size_t daemon) -> std::optional<std::size_t> {
         const auto picked = daemons[daemon].pick(now, "s", "w");
         if (!picked) return std::nullopt;
         return picked.value();
       },
       .on_sent =
           [&](time_point now, std::size_t daemon, std::size_t leaf,
               std::uint64_t id) {
             daemons[daemon].on_attempt_sent(
                 now, static_cast<leaf_handle>(leaf), id, "w");
           },
       .on_answered = ended(attempt_outcome::answered),
       .on_shed = ended(attempt_outcome::shed)});
}

/// The means over some seeds.
inline model_result mean_of(
    const std::function<model_result(std::uint64_t)>& run) {
  constexpr std::uint64_t seeds = 3;
  model_result sum;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    const model_result each = run(seed);
    const auto add = [](double& total, double value) {
      total += value / static_cast<double>(seeds);
    };
    add(sum.overloads, each.overloads);
    add(sum.idle, each.idle);
    add(sum.peak_ratio, each.peak_ratio);
    add(sum.mean_time, each.mean_time);
    add(sum.p99_time, each.p99_time);
    add(sum.refused, each.refused);
  }
  return sum;
}

/// Services of the users' deployments: searches, and slow lookups.
inline constexpr model_options searches{.leafs = 3, .slots = 4, .uneven = true};
inline constexpr model_options lookups{
    .leafs = 12,
    .slots = 2,
    .work_time = std::chrono::milliseconds(60),
    .uneven = true,
    .length = std::chrono::seconds(30)};

inline model_result run_fleet(model_options options, std::size_t daemons,
                              const fleet& known) {
  return mean_of([&](std::uint64_t seed) {
    options.daemons = daemons;
    options.seed = seed;
    options.length = std::chrono::seconds(30);
    return run_leaf_sets(options, known);
  });
}

/// Without `competing` the daemons choose as one does that competes with
/// nobody.
inline model_result run_daemons(const model_options& options,
                                std::size_t daemons, bool competing) {
  const double fraction = 1 / static_cast<double>(daemons);
  return run_fleet(options, daemons,
                   {.daemons = daemons, .fraction = competing ? fraction : 1});
}

}  // namespace medlarloft::leafs::testing
