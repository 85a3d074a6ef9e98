#include "change_codec.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace medlarloft::tier {
namespace {

RC_GTEST_PROP(change_codec, round_trips, ()) {
  const auto text =
      rc::gen::container<std::string>(rc::gen::inRange<char>(' ', '~'));
  const auto keys = *rc::gen::container<std::vector<std::string>>(text);
  std::vector<replica::change> changes;
  changes.reserve(keys.size());
  for (const std::string& key : keys) {
    changes.push_back(
        {key,
         {static_cast<replica::era>(changes.size() % 3), changes.size() + 1},
         key.size() % 2 == 0 ? std::nullopt : std::optional(key + "=")});
  }
  RC_ASSERT(decode_changes(encode_changes(changes)) == changes);
}

RC_GTEST_PROP(change_codec, preserves_any_bytes, ()) {
  const auto value = *rc::gen::arbitrary<std::string>();
  const std::vector<replica::change> changes{{"leaf/1", 7, value}};
  RC_ASSERT(decode_changes(encode_changes(changes)) == changes);
}

RC_GTEST_PROP(change_codec, truncated_input_is_refused_or_shorter, ()) {
  const std::string encoded =
      encode_changes({{"leaf/1", 7, "value"}, {"leaf/2", 8, std::nullopt}});
  const auto length = *rc::gen::inRange<std::size_t>(0, encoded.size());
  const auto decoded = decode_changes(encoded.substr(0, length));
  RC_ASSERT(!decoded || decoded->size() <= 2U);
}

class malformed_changes : public ::testing::TestWithParam<const char*> {};

TEST_P(malformed_changes, are_refused) {
  EXPECT_EQ(decode_changes(GetParam()), std::nullopt);
}

INSTANTIATE_TEST_SUITE_P(
    all, malformed_changes,
    ::testing::Values("", "{}", "[1]", "[[]]", R"([["k",1]])", R"([[1,1,"v"]])",
                      R"([["k","1","v"]])", R"([["k",-1,"v"]])",
                      R"([["k",1,2]])", R"([["k",1,"v",0]])"));

}  // namespace
}  // namespace medlarloft::tier
