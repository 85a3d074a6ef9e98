#include "in_flight_limit.hpp"

#include <gtest/gtest.h>

#include <deque>
#include <vector>

namespace medlarloft::leafs {
namespace {

using std::chrono::milliseconds;

const time_point start = time_point{} + std::chrono::hours(1);
constexpr duration expected_time = milliseconds(10);
constexpr std::size_t static_limit = 8;

TEST(in_flight_limit, allows_the_static_limit_at_first) {
  const in_flight_limit limit;
  EXPECT_TRUE(limit.admits(start, static_limit - 1, static_limit));
  EXPECT_FALSE(limit.admits(start, static_limit, static_limit));
}

TEST(in_flight_limit, is_halved_when_the_leaf_sheds) {
  in_flight_limit limit;
  limit.on_shed(start, 8, expected_time);
  EXPECT_TRUE(limit.admits(start, 3, static_limit));
  EXPECT_FALSE(limit.admits(start, 4, static_limit));
}

TEST(in_flight_limit, simultaneous_rejections_halve_it_once) {
  in_flight_limit limit;
  limit.on_shed(start, 8, expected_time);
  limit.on_shed(start + milliseconds(1), 7, expected_time);
  EXPECT_TRUE(limit.admits(start, 3, static_limit));
}

TEST(in_flight_limit, grows_while_answered_requests_use_it_fully) {
  in_flight_limit limit;
  limit.on_shed(start, 4, expected_time);
  EXPECT_FALSE(limit.admits(start, 2, static_limit));
  for (int i = 0; i < 100; ++i)
    limit.on_answered(start + expected_time * i, 4, expected_time);
  EXPECT_TRUE(limit.admits(start, 2, static_limit));
}

// With more daemons than a leaf can queue requests, each daemon must pause
// between its requests.
TEST(in_flight_limit, pauses_between_requests_below_one) {
  in_flight_limit limit;
  limit.on_shed(start, 1, expected_time);
  EXPECT_FALSE(limit.admits(start, 0, static_limit));
  EXPECT_TRUE(limit.admits(start + expected_time, 0, static_limit));
}

// Eight daemons overload a leaf with 2 slots and a queue of 12. With a fixed
// limit each of them sends three requests: 24 in flight, of which the leaf
// sheds 10.
TEST(in_flight_limit, adapts_to_the_queue_of_a_leaf_that_sheds) {
  constexpr std::size_t daemons = 8;
  constexpr std::size_t leaf_capacity = 14;
  constexpr std::size_t slots = 2;
  constexpr std::size_t daemon_limit = 3;
  constexpr duration time_at_leaf = expected_time * (leaf_capacity / slots);
  random_generator random(5);
  std::vector<in_flight_limit> limits(daemons);
  std::vector<std::size_t> in_flight(daemons);
  std::deque<std::size_t> queue;  // daemon of each request at the leaf
  std::size_t sent = 0;
  std::size_t shed = 0;
  for (int step = 0; step < 400; ++step) {
    const time_point now = start + expected_time * step;
    const std::size_t first = random.below(daemons);
    for (std::size_t i = 0; i < daemons; ++i) {
      const std::size_t d = (first + i) % daemons;
      while (limits[d].admits(now, in_flight[d], daemon_limit)) {
        ++sent;
        if (queue.size() >= leaf_capacity) {
          ++shed;
          limits[d].on_shed(now, in_flight[d] + 1, time_at_leaf);
          break;
        }
        ++in_flight[d];
        queue.push_back(d);
      }
    }
    for (std::size_t i = 0; i < slots && !queue.empty(); ++i) {
      const std::size_t d = queue.front();
      queue.pop_front();
      limits[d].on_answered(now + expected_time, in_flight[d], time_at_leaf);
      --in_flight[d];
    }
  }
  EXPECT_GT(sent, 700U) << "the slots are not kept busy";
  // A gather over ten shards may miss only one of them, so that it usually
  // fails at a higher rate of shed requests.
  EXPECT_LT(shed * 50, sent) << shed << " of " << sent << " shed";
}

}  // namespace
}  // namespace medlarloft::leafs
