#include "statements.hpp"

#include <gtest/gtest.h>

namespace medlarloft::soak {
namespace {

using standins::leaf_start;
using standins::leaf_statement;
using std::chrono::milliseconds;
using std::chrono::seconds;

const time_point start = time_point{} + std::chrono::hours(1);
constexpr duration drain_bound = seconds(3);
const leaf_start leaf{.leaf = "i-1", .start_id = 1};

class statements : public ::testing::Test {
 protected:
  /// A request of a caller over a daemon reaches the leaf.
  void arrive(time_point now, const std::string& daemon) {
    const std::string request = "r" + std::to_string(++requests_);
    checker.on_attempt(request, daemon, now);
    checker.on_arrival(now, request, leaf);
  }
  void arrive(time_point from, const std::string& daemon, int count,
              duration interval) {
    for (int i = 0; i < count; ++i)
      arrive(from + i * interval, daemon);
  }
  /// The leaf says this to a daemon.
  void say(time_point now, const std::string& daemon,
           const leaf_statement& statement, bool delivered = true) {
    arrive(now, daemon);
    checker.on_response(now, "r" + std::to_string(requests_), leaf, statement,
                        delivered);
  }
  std::size_t violations() const { return checker.check(drain_bound).size(); }

  statement_checker checker;

 private:
  int requests_ = 0;
};

// With a limit of 2 a second, 17 requests in 4 s are allowed.
TEST_F(statements, a_limited_leaf_got_too_many_requests) {
  say(start, "d1", {.rate_limit = 2});
  arrive(start + limit_delay, "d1", 17, milliseconds(200));
  EXPECT_EQ(violations(), 0U);
  arrive(start + limit_delay + milliseconds(3500), "d1");
  EXPECT_EQ(violations(), 1U);
}

TEST_F(statements, a_daemon_that_was_not_told_of_a_limit_does_not_count) {
  say(start, "d1", {.rate_limit = 2});
  say(start, "d2", {.rate_limit = 2}, false);
  arrive(start + limit_delay, "d2", 40, milliseconds(50));
  EXPECT_EQ(violations(), 0U);
}

TEST_F(statements, a_restarted_daemon_does_not_know_the_limit) {
  say(start, "d1", {.rate_limit = 2});
  checker.on_daemon_interrupted(start + seconds(1), "d1");
  arrive(start + limit_delay, "d1", 40, milliseconds(50));
  EXPECT_EQ(violations(), 0U);
}

TEST_F(statements, a_leaf_got_requests_in_its_pause) {
  say(start, "d1", {.pause = seconds(2)});
  arrive(start + milliseconds(100), "d1", 4, milliseconds(10));
  arrive(start + seconds(1), "d1", 2, milliseconds(10));
  arrive(start + seconds(1), "d2", 9, milliseconds(10));
  arrive(start + seconds(2), "d1", 9, milliseconds(10));
  EXPECT_EQ(violations(), 0U);
  arrive(start + seconds(1), "d1");
  EXPECT_EQ(violations(), 1U);
}

TEST_F(statements, a_leaf_that_leaves_got_a_request) {
  say(start, "d1", {.leaving = true});
  arrive(start + drain_bound, "d1");
  arrive(start + drain_bound + seconds(1), "d2");
  EXPECT_EQ(violations(), 0U);
  arrive(start + drain_bound + seconds(1), "d1");
  EXPECT_EQ(violations(), 1U);
}

}  // namespace
}  // namespace medlarloft::soak
