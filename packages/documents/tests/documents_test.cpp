#include "medlarloft/documents.hpp"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

namespace medlarloft::documents {
namespace {

const schema& example_schema() {
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

document_error error_of(std::string_view text) {
  return example_schema().check(parse(text).value()).error();
}

TEST(parse, rejects_syntax_errors_duplicates_depth_and_size) {
  EXPECT_EQ(parse("{\"a\":").error().code, document_errc::syntax);
  const auto duplicate = parse(R"({"a":1,"a":2})");
  EXPECT_EQ(duplicate.error().code, document_errc::duplicate_key);
  EXPECT_EQ(duplicate.error().path, "a");
  EXPECT_EQ(parse(std::string(100, '[')).error().code, document_errc::syntax);
  EXPECT_EQ(parse("[1,2,3]", {.max_bytes = 3}).error().code,
            document_errc::too_large);
}

TEST(parse, accepts_the_same_key_in_two_objects) {
  EXPECT_TRUE(parse(R"([{"a":1},{"a":2,"b":{"a":3}}])").has_value());
}

TEST(schema, reports_an_unknown_key) {
  const auto error = error_of(R"({"name":"x","listen":{"prt":1}})");
  EXPECT_EQ(error.path, "listen.prt");
  EXPECT_EQ(error.reason, "key is not known");
}

TEST(schema, reports_path_and_value_of_a_wrong_type) {
  const auto error = error_of(R"({"name":"x","listen":{"port":"7"}})");
  EXPECT_EQ(error.path, "listen.port");
  EXPECT_EQ(error.value, "\"7\"");
}

TEST(schema, reports_a_port_out_of_range) {
  const auto error = error_of(R"({"name":"x","listen":{"port":70000}})");
  EXPECT_EQ(error.path, "listen.port");
  EXPECT_EQ(error.value, "70000");
}

}  // namespace
}  // namespace medlarloft::documents
