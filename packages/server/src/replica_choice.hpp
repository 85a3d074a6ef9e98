#pragma once

/// Chooses the replica and the relay of each leaf request from what this
/// traffic thread has seen itself.

#include <string>
#include <unordered_map>
#include <vector>

#include "medlarloft/base.hpp"
#include "medlarloft/query.hpp"
#include "view.hpp"

namespace medlarloft::server {

/// Own experience with one way to a leaf: through one relay.
class replica_choice {
 public:
  struct options {
    /// How long a way that refused, or lost a request, is avoided.
    duration avoid_refused = std::chrono::milliseconds(100);
    duration avoid_lost = std::chrono::milliseconds(500);
    /// Assumed latency of a way never used, by distance.
    duration unknown_near = std::chrono::milliseconds(2);
    duration unknown_far = std::chrono::milliseconds(12);
  };

  replica_choice(options settings, std::uint64_t seed)
      : options_(settings), random_(seed) {}

  /// Draws two of the near ways at random and takes the cheaper: the one
  /// with the lower product of latency and requests in flight. A far way is
  /// taken when the near one costs clearly more.
  std::optional<query::route> pick(time_point now, const view& current,
                                   const notes::shard& shard,
                                   const query::tried_routes& tried);

  void sent(const view& current, const query::route& route);
  void ended(time_point now, const view& current, const query::route& route,
             std::optional<query::failure> failed, duration latency);

 private:
  struct way {
    duration latency{};
    std::uint32_t in_flight = 0;
    time_point avoid_until{};
  };
  struct candidate {
    query::route route;
    double cost = 0;
    bool avoided = false;
    bool near = false;
  };

  way& way_of(const view& current, const query::route& route);
  void add_candidates(time_point now, const view& current,
                      notes::leaf_index leaf, const query::tried_routes& tried,
                      std::vector<candidate>& candidates);
  std::optional<candidate> cheaper_of_two(
      const std::vector<candidate>& candidates, bool near);

  options options_;
  random_generator random_;
  std::unordered_map<std::uint64_t, way> ways_;
};

}  // namespace medlarloft::server
