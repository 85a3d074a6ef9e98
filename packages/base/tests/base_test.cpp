#include "medlarloft/base.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace medlarloft {
namespace {

using namespace std::chrono_literals;

TEST(duration_text, parses_each_unit) {
  EXPECT_EQ(parse_duration("250us").value(), duration(250us));
  EXPECT_EQ(parse_duration("1.5ms").value(), duration(1500us));
  EXPECT_EQ(parse_duration("3s").value(), duration(3s));
  EXPECT_EQ(parse_duration("2min").value(), duration(2min));
}

TEST(duration_text, rejects_missing_unit_negative_and_overflow) {
  for (const char* text : {"20", "-3s", "ms", "", "1e300h", "3 s", "nans"}) {
    const auto parsed = parse_duration(text);
    ASSERT_FALSE(parsed.has_value()) << text;
    EXPECT_NE(parsed.error().text.find(text), std::string::npos);
  }
}

RC_GTEST_PROP(duration_text, round_trips, ()) {
  const auto count = *rc::gen::inRange<std::int64_t>(0, 1'000'000'000'000);
  const auto value =
      std::chrono::duration_cast<duration>(std::chrono::microseconds(count));
  RC_ASSERT(parse_duration(format_duration(value)).value() == value);
}

TEST(endpoint_text, parses_both_address_families) {
  EXPECT_EQ(parse_endpoint("127.0.0.1:7000").value(),
            (endpoint{"127.0.0.1", 7000}));
  EXPECT_EQ(parse_endpoint("[::1]:80").value(), (endpoint{"::1", 80}));
}

TEST(endpoint_text, rejects_host_names_and_invalid_ports) {
  for (const char* text : {"localhost:80", "127.0.0.1", "127.0.0.1:0",
                           "127.0.0.1:70000", "127.0.0.1:8x", ":80"}) {
    EXPECT_FALSE(parse_endpoint(text).has_value()) << text;
  }
}

TEST(token_bucket, never_exceeds_rate_and_burst) {
  token_bucket bucket({.rate_per_second = 10, .burst = 2});
  time_point now{1s};
  int consumed = 0;
  for (int step = 0; step < 1000; ++step, now += 10ms) {
    if (bucket.try_consume(now)) ++consumed;
  }
  EXPECT_GE(consumed, 98);
  EXPECT_LE(consumed, 102);
}

TEST(token_bucket, returns_the_time_when_tokens_are_available) {
  token_bucket bucket({.rate_per_second = 2, .burst = 1});
  const time_point now{1s};
  const time_point ready = bucket.ready_at(now);
  EXPECT_EQ(ready, now + 500ms);
  EXPECT_FALSE(bucket.try_consume(now + 499ms));
  EXPECT_TRUE(bucket.try_consume(ready));
}

}  // namespace
}  // namespace medlarloft
