#include "medlarloft/base.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace medlarloft {
namespace {

using namespace std::chrono_literals;

TEST(duration_text, reads_each_unit) {
  EXPECT_EQ(parse_duration("250us").value(), duration(250us));
  EXPECT_EQ(parse_duration("1.5ms").value(), duration(1500us));
  EXPECT_EQ(parse_duration("3s").value(), duration(3s));
  EXPECT_EQ(parse_duration("2min").value(), duration(2min));
}

TEST(duration_text, refuses_missing_unit_negative_and_overflow) {
  for (const char* text : {"20", "-3s", "ms", "", "1e300h", "3 s", "nans"}) {
    const auto read = parse_duration(text);
    ASSERT_FALSE(read.has_value()) << text;
    EXPECT_NE(read.error().text.find(text), std::string::npos);
  }
}

RC_GTEST_PROP(duration_text, round_trips, ()) {
  const auto count = *rc::gen::inRange<std::int64_t>(0, 1'000'000'000'000);
  const auto value =
      std::chrono::duration_cast<duration>(std::chrono::microseconds(count));
  RC_ASSERT(parse_duration(format_duration(value)).value() == value);
}

TEST(endpoint_text, reads_both_address_families) {
  EXPECT_EQ(parse_endpoint("127.0.0.1:7000").value(),
            (endpoint{"127.0.0.1", 7000}));
  EXPECT_EQ(parse_endpoint("[::1]:80").value(), (endpoint{"::1", 80}));
}

TEST(endpoint_text, refuses_names_and_bad_ports) {
  for (const char* text : {"localhost:80", "127.0.0.1", "127.0.0.1:0",
                           "127.0.0.1:70000", "127.0.0.1:8x", ":80"}) {
    EXPECT_FALSE(parse_endpoint(text).has_value()) << text;
  }
}

TEST(token_bucket, never_gives_more_than_rate_and_burst) {
  token_bucket bucket({.rate_per_second = 10, .burst = 2});
  time_point now{1s};
  int taken = 0;
  for (int step = 0; step < 1000; ++step, now += 10ms) {
    if (bucket.take(now)) ++taken;
  }
  EXPECT_GE(taken, 98);
  EXPECT_LE(taken, 102);
}

TEST(token_bucket, says_when_it_is_ready) {
  token_bucket bucket({.rate_per_second = 2, .burst = 1});
  const time_point now{1s};
  const time_point ready = bucket.ready_at(now);
  EXPECT_EQ(ready, now + 500ms);
  EXPECT_FALSE(bucket.take(now + 499ms));
  EXPECT_TRUE(bucket.take(ready));
}

}  // namespace
}  // namespace medlarloft
