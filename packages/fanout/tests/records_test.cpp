#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>

#include "medlarloft/fanout.hpp"

namespace medlarloft::fanout {
namespace {

std::string record(char first) {
  return std::string(1, first) + std::string(record_size - 1, '.');
}

TEST(merge_top_records,
     returns_the_greatest_of_all_responses_in_descending_order) {
  EXPECT_EQ(merge_top_records({{.body = record('b') + record('d')},
                               {.body = record('c') + record('a')}},
                              3),
            record('d') + record('c') + record('b'));
}

TEST(merge_top_records, compares_bytes_as_unsigned) {
  EXPECT_EQ(merge_top_records({{.body = record('z') + record('\xff')}}, 1),
            record('\xff'));
}

TEST(merge_top_records, keeps_duplicates) {
  EXPECT_EQ(
      merge_top_records({{.body = record('a')}, {.body = record('a')}}, 5),
      record('a') + record('a'));
}

TEST(merge_top_records, ignores_a_trailing_partial_record) {
  EXPECT_EQ(merge_top_records({{.body = record('a') + "short"}}, 5),
            record('a'));
}

TEST(merge_top_records, equals_a_full_sort) {
  EXPECT_TRUE(
      rc::check([](const std::vector<std::string>& bodies, std::uint8_t limit) {
        std::vector<leaf_response> responses;
        std::vector<std::string> all;
        for (const std::string& body : bodies) {
          responses.push_back({.body = body});
          for (std::size_t offset = 0; offset + record_size <= body.size();
               offset += record_size)
            all.push_back(body.substr(offset, record_size));
        }
        std::ranges::sort(all, std::greater<>{});
        all.resize(std::min<std::size_t>(all.size(), limit));
        std::string expected;
        for (const std::string& each : all)
          expected += each;
        RC_ASSERT(merge_top_records(responses, limit) == expected);
      }));
}

}  // namespace
}  // namespace medlarloft::fanout
