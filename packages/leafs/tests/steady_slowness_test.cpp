#include "steady_slowness.hpp"

#include <gtest/gtest.h>

namespace medlarloft::leafs {
namespace {

using std::chrono::seconds;

const time_point start = time_point{} + std::chrono::hours(1);

/// Adds one response a second, whose times vary as much as their mean.
steady_slowness learn(double speed, int responses) {
  steady_slowness learned;
  random_generator random(5);
  for (int i = 0; i < responses; ++i) {
    learned.add(start + seconds(i), speed * 2 * random.uniform());
  }
  return learned;
}

// A leaf that is 0.8 or 1.3 times as slow as the others is not told from noise
// by an average over the last two or three responses.
TEST(steady_slowness, tells_lasting_speeds_from_noise) {
  const time_point now = start + seconds(60);
  EXPECT_NEAR(learn(0.8, 60).value(now), 0.8, 0.15);
  EXPECT_NEAR(learn(1.3, 60).value(now), 1.3, 0.15);
}

TEST(steady_slowness, one_response_changes_little) {
  steady_slowness learned;
  learned.add(start, 2.5);
  EXPECT_LT(learned.value(start), 1.2);
}

// A leaf that gets no requests because it was slow would otherwise never get
// any again.
TEST(steady_slowness, approaches_the_usual_time_without_responses) {
  const steady_slowness learned = learn(3, 60);
  EXPECT_GT(learned.value(start + seconds(60)), 2);
  EXPECT_LT(learned.value(start + seconds(240)), 1.1);
}

}  // namespace
}  // namespace medlarloft::leafs
