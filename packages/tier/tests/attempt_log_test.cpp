#include "attempt_log.hpp"

#include <gtest/gtest.h>

namespace medlarloft::tier {
namespace {

const time_point start = time_point{} + std::chrono::hours(1);

TEST(attempt_log, returns_the_connections_to_one_leaf) {
  attempt_log log;
  log.add({.attempt = 1, .leaf = 7, .connection = 3});
  log.add({.attempt = 2, .leaf = 8, .connection = 4});
  log.add({.attempt = 3, .leaf = 7, .connection = 5});
  EXPECT_EQ(log.connections_to(7), (std::vector<connection_id>{3, 5}));
  EXPECT_TRUE(log.connections_to(9).empty());
}

TEST(attempt_log, an_ended_attempt_has_an_outcome_and_a_length) {
  attempt_log log;
  log.add({.attempt = 1, .shard = 2, .sent_at = start});
  log.add({.attempt = 2, .shard = 3, .sent_at = start});
  const attempt_record& ended = log.end(start + std::chrono::milliseconds(4), 2,
                                        leafs::attempt_outcome::shed);
  EXPECT_EQ(ended.shard, 3U);
  EXPECT_EQ(ended.outcome, leafs::attempt_outcome::shed);
  EXPECT_EQ(ended.elapsed, std::chrono::milliseconds(4));
}

}  // namespace
}  // namespace medlarloft::tier
