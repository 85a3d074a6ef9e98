#include "medlarloft/settings.hpp"

#include <gtest/gtest.h>

namespace medlarloft::settings {
namespace {

using namespace std::chrono_literals;

std::string with(const std::string& extra) {
  return R"({"id":"d1","data_centre":"a",
    "listen":{"callers":"127.0.0.1:1","peers":"127.0.0.1:2",
              "control":"127.0.0.1:3","operators":"127.0.0.1:4"},
    "platform":{"configuration":"127.0.0.1:5","hosts":"127.0.0.1:6"})" +
         extra + "}";
}

documents::document_error problem_of(const std::string& text) {
  const auto read_back = read(text);
  return read_back ? documents::document_error{} : read_back.error();
}

TEST(settings, reads_durations_with_units) {
  const auto value = read(with(R"(,"control":{"hold_off":"250ms"})"));
  ASSERT_TRUE(value.has_value()) << value.error().text();
  EXPECT_EQ(value.value().control.hold_off, duration(250ms));
}

TEST(settings, names_an_unknown_key) {
  EXPECT_EQ(problem_of(with(R"(,"query":{"hedgeing":true})")).path,
            "query.hedgeing");
}

TEST(settings, names_a_wrong_type) {
  const auto problem = problem_of(with(R"(,"traffic_threads":"two")"));
  EXPECT_EQ(problem.path, "traffic_threads");
  EXPECT_EQ(problem.value, "\"two\"");
}

TEST(settings, names_a_port_out_of_range) {
  const std::string text = with("");
  std::string bad = text;
  bad.replace(bad.find("127.0.0.1:5"), 11, "127.0.0.1:70000");
  const auto problem = problem_of(bad);
  EXPECT_EQ(problem.path, "platform.configuration");
  EXPECT_EQ(problem.value, "\"127.0.0.1:70000\"");
}

TEST(settings, names_a_duplicate_address_and_seed) {
  std::string bad = with("");
  bad.replace(bad.find("127.0.0.1:4"), 11, "127.0.0.1:3");
  EXPECT_EQ(problem_of(bad).path, "listen.operators");
  EXPECT_EQ(
      problem_of(with(R"(,"control":{"seeds":["127.0.0.1:9","127.0.0.1:9"]})"))
          .path,
      "control.seeds");
}

TEST(settings, names_a_negative_time) {
  const auto problem = problem_of(with(R"(,"stop":{"limit":"-3s"})"));
  EXPECT_EQ(problem.path, "stop.limit");
  EXPECT_EQ(problem.value, "\"-3s\"");
}

TEST(settings, refuses_periods_that_contradict_each_other) {
  EXPECT_EQ(problem_of(with(R"(,"control":{"probe_timeout":"2s"})")).path,
            "control.probe_timeout");
}

}  // namespace
}  // namespace medlarloft::settings
