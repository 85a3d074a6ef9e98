#include <gtest/gtest.h>

#include "load_model_rules.hpp"

namespace medlarloft::leafs::testing {
namespace {

using std::chrono::milliseconds;

// If all daemons had the same information, as from reports of the leafs, the
// best of all would overload leafs in turns. A rule must not be built on such
// information without random choice.
TEST(load_model,
     the_best_of_all_overloads_leafs_in_turns_if_all_know_the_same) {
  const model_options options{.daemons = 100};
  const auto fresh = run_rule(rules[0], options, duration::zero());
  const auto stale = run_rule(rules[0], options, milliseconds(50));
  const auto random = run_rule(rules[6], options, milliseconds(50));
  EXPECT_LT(fresh.overloads, random.overloads);
  EXPECT_GT(stale.overloads, 1.5 * random.overloads);
  EXPECT_GT(stale.idle, 2 * random.idle);
}

// Leafs of different speeds are overloaded while others are free: with every
// daemon spreading its requests over all leafs, none of them learns in time
// which ones are slow or full.
TEST(load_model, competing_daemons_overload_leafs_less_often) {
  for (const model_options& service : {searches, lookups}) {
    const auto before = run_daemons(service, 30, false);
    const auto after = run_daemons(service, 30, true);
    EXPECT_LT(after.overloads, 0.92 * before.overloads);
    EXPECT_LT(after.mean_time, 0.92 * before.mean_time);
  }
}

TEST(load_model, competing_daemons_have_fewer_requests_shed) {
  model_options service = lookups;
  service.queue_capacity = 4;
  const auto before = run_daemons(service, 30, false);
  const auto after = run_daemons(service, 30, true);
  EXPECT_LT(after.refused, 0.7 * before.refused);
}

}  // namespace
}  // namespace medlarloft::leafs::testing
