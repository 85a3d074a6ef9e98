#include "medlarloft/logs.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <sstream>
#include <thread>
#include <vector>

namespace medlarloft::logs {
namespace {

TEST(format_line, quotes_values_with_spaces) {
  EXPECT_EQ(format_line("note_refused", {{"version", 7}, {"why", "no shard"}}),
            "event=note_refused version=7 why=\"no shard\"");
}

TEST(format_line, escapes_control_characters) {
  const std::string line = format_line("x", {{"text", "a\nb\"c\x01"}});
  EXPECT_EQ(line, "event=x text=\"a\\nb\\\"c\\x01\"");
}

TEST(parse_level, reports_the_invalid_value) {
  EXPECT_EQ(parse_level("warning").value(), level::warning);
  EXPECT_NE(parse_level("loud").error().text.find("loud"), std::string::npos);
}

TEST(write, never_mixes_lines_of_several_threads) {
  configure(level::info, "test");
  testing::internal::CaptureStderr();
  std::vector<std::jthread> writers;
  writers.reserve(4);
  for (int thread = 0; thread < 4; ++thread) {
    writers.emplace_back([] {
      for (int i = 0; i < 200; ++i) {
        write(level::info, "line", {{"filler", std::string(200, 'f')}});
      }
    });
  }
  writers.clear();
  std::istringstream lines(testing::internal::GetCapturedStderr());
  int complete = 0;
  for (std::string line; std::getline(lines, line);) {
    EXPECT_TRUE(line.starts_with("time="));
    EXPECT_TRUE(line.ends_with("ffff"));
    ++complete;
  }
  EXPECT_EQ(complete, 800);
}

}  // namespace
}  // namespace medlarloft::logs
