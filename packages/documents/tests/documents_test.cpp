#include "medlarloft/documents.hpp"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

namespace medlarloft::documents {
namespace {

const schema& sample() {
  static const schema value(R"({
    "type": "object", "additionalProperties": false,
    "required": ["name"],
    "properties": {
      "name": {"type": "string"},
      "listen": {"type": "object", "additionalProperties": false,
        "properties": {"port": {"type": "integer", "minimum": 1,
                                "maximum": 65535}}}}})");
  return value;
}

document_error problem_of(std::string_view text) {
  return sample().check(parse(text).value()).error();
}

TEST(parse, refuses_syntax_duplicates_depth_and_size) {
  EXPECT_EQ(parse("{\"a\":").error().code, document_errc::syntax);
  const auto twice = parse(R"({"a":1,"a":2})");
  EXPECT_EQ(twice.error().code, document_errc::duplicate_key);
  EXPECT_EQ(twice.error().path, "a");
  EXPECT_EQ(parse(std::string(100, '[')).error().code, document_errc::syntax);
  EXPECT_EQ(parse("[1,2,3]", {.max_bytes = 3}).error().code,
            document_errc::too_large);
}

TEST(parse, allows_one_key_in_two_objects) {
  EXPECT_TRUE(parse(R"([{"a":1},{"a":2,"b":{"a":3}}])").has_value());
}

TEST(schema, names_an_unknown_key) {
  const auto problem = problem_of(R"({"name":"x","listen":{"prt":1}})");
  EXPECT_EQ(problem.path, "listen.prt");
  EXPECT_EQ(problem.reason, "key is not known");
}

TEST(schema, names_path_and_value_of_a_wrong_type) {
  const auto problem = problem_of(R"({"name":"x","listen":{"port":"7"}})");
  EXPECT_EQ(problem.path, "listen.port");
  EXPECT_EQ(problem.value, "\"7\"");
}

TEST(schema, names_a_port_out_of_range) {
  const auto problem = problem_of(R"({"name":"x","listen":{"port":70000}})");
  EXPECT_EQ(problem.path, "listen.port");
  EXPECT_EQ(problem.value, "70000");
}

}  // namespace
}  // namespace medlarloft::documents
