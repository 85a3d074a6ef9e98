#include "medlarloft/front.hpp"

#include <gtest/gtest.h>

namespace medlarloft::front {
namespace {

using namespace std::chrono_literals;

TEST(read_query, takes_every_field) {
  const auto query = read_query(
      R"({"request_id":"r1","service":"lease-desk","class":"critical",
          "deadline":"90ms","idempotent":false,"coverage_wanted":0.5,
          "key":"site-7","issued_at_ms":1000,"repeat":true,"snapshot":3,
          "row_limit":5,"body":"x"})");
  ASSERT_TRUE(query.has_value()) << query.error().text();
  EXPECT_EQ(query.value().priority, notes::service_class::critical);
  EXPECT_EQ(query.value().deadline, duration(90ms));
  EXPECT_EQ(query.value().issued_at, wall_time(1s));
  EXPECT_TRUE(query.value().repeat);
}

TEST(read_query, names_field_and_value_of_what_is_wrong) {
  const auto unknown =
      read_query(R"({"request_id":"r","service":"s","hedge":true})");
  EXPECT_EQ(unknown.error().path, "hedge");
  const auto odd =
      read_query(R"({"request_id":"r","service":"s","deadline":"soon"})");
  EXPECT_EQ(odd.error().path, "deadline");
  EXPECT_EQ(odd.error().value, "\"soon\"");
  const auto wide =
      read_query(R"({"request_id":"r","service":"s","coverage_wanted":1.5})");
  EXPECT_EQ(wide.error().path, "coverage_wanted");
  EXPECT_FALSE(read_query(R"({"request_id":"r"})").has_value());
  EXPECT_FALSE(read_query(R"({"request_id":"r","service":"s")").has_value());
}

TEST(answer, round_trips_with_exact_coverage) {
  const caller_answer sent{.request_id = "r",
                           .outcome = outcome_kind::answered,
                           .complete = false,
                           .coverage = {3006477109, notes::key_space},
                           .snapshot = 7,
                           .rows = {{"a", 5, 0.5, "body \"quoted\""}},
                           .reason = "deadline passed"};
  const auto read_back = read_answer(write_answer(sent));
  ASSERT_TRUE(read_back.has_value()) << read_back.error().text();
  EXPECT_EQ(read_back.value().coverage.covered, 3006477109U);
  EXPECT_EQ(read_back.value().rows, sent.rows);
  EXPECT_FALSE(read_back.value().complete);
}

TEST(answer, a_refusal_names_other_addresses) {
  const auto read_back =
      read_answer(write_answer({.request_id = "r",
                                .outcome = outcome_kind::not_run,
                                .retry_after = 20ms,
                                .addresses = {{"127.0.0.1", 7}}}));
  EXPECT_EQ(read_back.value().outcome, outcome_kind::not_run);
  EXPECT_EQ(read_back.value().retry_after, duration(20ms));
  EXPECT_EQ(read_back.value().addresses.size(), 1U);
}

TEST(parameter, finds_names_exactly) {
  EXPECT_EQ(parameter("/a?caller=x&data_centre=b", "data_centre"), "b");
  EXPECT_EQ(parameter("/a?caller=x&data_centre=b", "centre"), "");
  EXPECT_EQ(parameter("/a", "caller"), "");
}

TEST(leaf_reply, round_trips) {
  const leaf_reply sent{.request_id = "r",
                        .attempt = (1ULL << 53) - 1,
                        .outcome = leaf_outcome::answered,
                        .answer = {7, {0, 10}, {{"a", 5, 0.5, "b"}}},
                        .start_id = "s1",
                        .cold = true,
                        .oldest = 6,
                        .newest = 8};
  const auto read_back = read_leaf_reply(write_leaf_reply(sent));
  ASSERT_TRUE(read_back.has_value()) << read_back.error().text();
  EXPECT_EQ(read_back.value().attempt, sent.attempt);
  EXPECT_EQ(read_back.value().answer.range, sent.answer.range);
  EXPECT_TRUE(read_back.value().cold);
  EXPECT_EQ(read_back.value().newest, 8U);
}

TEST(leaf_reply, refuses_truncated_doubled_and_mistyped_answers) {
  const std::string whole =
      write_leaf_reply({.request_id = "r", .attempt = 1, .start_id = "s"});
  EXPECT_FALSE(read_leaf_reply(whole.substr(0, whole.size() / 2)).has_value());
  EXPECT_FALSE(read_leaf_reply(whole + whole).has_value());
  for (const char* text :
       {R"({"request_id":"r","attempt":-1,"outcome":"shed","start_id":"s"})",
        R"({"request_id":"r","attempt":1,"outcome":"fine","start_id":"s"})",
        R"({"request_id":7,"attempt":1,"outcome":"shed","start_id":"s"})",
        R"({"request_id":"r","attempt":1,"outcome":"answered","start_id":"s",
            "rows":[{"id":"a"}]})",
        R"(["request_id"])"}) {
    EXPECT_FALSE(read_leaf_reply(text).has_value()) << text;
  }
}

TEST(leaf_request, round_trips) {
  const leaf_request sent{.request_id = "r",
                          .attempt = 9,
                          .service = "desk",
                          .shard = "s1",
                          .range = {5, 10},
                          .snapshot = 7,
                          .priority = notes::service_class::important,
                          .deadline = 85ms,
                          .idempotent = false,
                          .body = "find"};
  const auto read_back = read_leaf_request(write_leaf_request(sent));
  ASSERT_TRUE(read_back.has_value()) << read_back.error().text();
  EXPECT_EQ(read_back.value().deadline, duration(85ms));
  EXPECT_FALSE(read_back.value().idempotent);
  EXPECT_EQ(read_back.value().range, sent.range);
}

}  // namespace
}  // namespace medlarloft::front
