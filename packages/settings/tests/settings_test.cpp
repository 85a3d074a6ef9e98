#include "medlarloft/settings.hpp"

#include <gtest/gtest.h>

namespace medlarloft::settings {
namespace {

using namespace std::chrono_literals;

std::string settings_with(const std::string& sections) {
  return R"({"id":"d1","data_centre":"a",
    "listen":{"callers":"127.0.0.1:1","peers":"127.0.0.1:2",
              "control":"127.0.0.1:3","operators":"127.0.0.1:4"},
    "platform":{"configuration":"127.0.0.1:5","hosts":"127.0.0.1:6"})" +
         sections + "}";
}

documents::document_error error_of(const std::string& text) {
  const auto parsed = parse(text);
  return parsed ? documents::document_error{} : parsed.error();
}

TEST(settings, parses_durations_with_units) {
  const auto value = parse(settings_with(R"(,"control":{"hold_off":"250ms"})"));
  ASSERT_TRUE(value.has_value()) << value.error().text();
  EXPECT_EQ(value.value().control.hold_off, duration(250ms));
}

TEST(settings, reports_an_unknown_key) {
  EXPECT_EQ(error_of(settings_with(R"(,"query":{"hedgeing":true})")).path,
            "query.hedgeing");
}

TEST(settings, reports_a_wrong_type) {
  const auto error = error_of(settings_with(R"(,"traffic_threads":"two")"));
  EXPECT_EQ(error.path, "traffic_threads");
  EXPECT_EQ(error.value, "\"two\"");
}

TEST(settings, reports_a_port_out_of_range) {
  const std::string text = settings_with("");
  std::string invalid = text;
  invalid.replace(invalid.find("127.0.0.1:5"), 11, "127.0.0.1:70000");
  const auto error = error_of(invalid);
  EXPECT_EQ(error.path, "platform.configuration");
  EXPECT_EQ(error.value, "\"127.0.0.1:70000\"");
}

TEST(settings, reports_duplicate_addresses_and_seeds) {
  std::string invalid = settings_with("");
  invalid.replace(invalid.find("127.0.0.1:4"), 11, "127.0.0.1:3");
  EXPECT_EQ(error_of(invalid).path, "listen.operators");
  EXPECT_EQ(
      error_of(settings_with(
                   R"(,"control":{"seeds":["127.0.0.1:9","127.0.0.1:9"]})"))
          .path,
      "control.seeds");
}

TEST(settings, reports_a_negative_duration) {
  const auto error = error_of(settings_with(R"(,"stop":{"limit":"-3s"})"));
  EXPECT_EQ(error.path, "stop.limit");
  EXPECT_EQ(error.value, "\"-3s\"");
}

TEST(settings, rejects_a_probe_timeout_above_the_probe_period) {
  EXPECT_EQ(
      error_of(settings_with(R"(,"control":{"probe_timeout":"2s"})")).path,
      "control.probe_timeout");
}

}  // namespace
}  // namespace medlarloft::settings
