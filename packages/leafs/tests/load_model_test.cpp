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

}  // namespace
}  // namespace medlarloft::leafs::testing
