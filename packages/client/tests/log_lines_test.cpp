#include "log_lines.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <iterator>

namespace medlarloft::client::detail {
namespace {

std::vector<log_line> lines_of(const std::vector<std::string>& texts) {
  std::vector<log_line> lines;
  std::ranges::transform(texts, std::back_inserter(lines), read_line);
  return lines;
}

TEST(log_lines, reads_pairs_quotes_and_what_stands_before_them) {
  const log_line line =
      read_line(R"( 12.5 host time=t daemon=d event=x reason="a \"b\" c")");
  EXPECT_EQ(line.value("time"), "t");
  EXPECT_EQ(line.value("reason"), "a \"b\" c");
  EXPECT_EQ(line.value("nothing"), "");
}

TEST(log_lines, a_line_without_pairs_is_empty) {
  EXPECT_TRUE(read_line("no pairs here").pairs.empty());
}

TEST(explain, a_refusal_leads_to_the_obstacle) {
  const auto found = explain_request(
      "r1",
      lines_of({"time=1 daemon=d event=leaf_gone leaf=i-1",
                "time=2 daemon=d event=data_centre_out data_centre=z",
                "time=3 daemon=d event=part_missing request=r1 service=s "
                "sends=0 unanswered=0 obstacle=all_dark budget_empty=false "
                "last_ending=none",
                "time=3 daemon=d event=request_ended request=r1 "
                "outcome=not_run reason=all_dark status=503 took=1ms "
                "version=4 missing=1"}));
  EXPECT_TRUE(found.outcome.starts_with("not_run (all_dark), status 503"));
  ASSERT_EQ(found.causes.size(), 1U);
  EXPECT_EQ(found.causes[0], "service s: nothing was sent, all_dark");
  // A leaf that the request did not meet is left out.
  ASSERT_EQ(found.lines.size(), 3U);
  EXPECT_EQ(found.lines[0].value("event"), "data_centre_out");
}

TEST(explain, an_unknown_outcome_leads_to_the_leaf) {
  const auto found = explain_request(
      "r2", lines_of({"time=3 daemon=d event=attempt request=r2 service=s "
                      "kind=first leaf=i-7 data_centre=z sent_after=1ms "
                      "expected=20ms ending=lost took=5ms",
                      "time=3 daemon=d event=request_ended request=r2 "
                      "outcome=failed reason=x status=502 took=6ms version=4 "
                      "missing=1"}));
  ASSERT_EQ(found.causes.size(), 1U);
  EXPECT_NE(found.causes[0].find("leaf i-7 (z)"), std::string::npos);
  EXPECT_NE(found.causes[0].find("lost"), std::string::npos);
}

TEST(explain, says_when_a_clock_went_back) {
  EXPECT_TRUE(explain_request("r", lines_of({"time=9 daemon=d event=started",
                                             "time=1 daemon=d event=stopping",
                                             "time=2 daemon=d request=r"}))
                  .clock_went_back);
}

TEST(explain, knows_nothing_of_another_request) {
  EXPECT_TRUE(explain_request("r", lines_of({"request=q"})).lines.empty());
}

}  // namespace
}  // namespace medlarloft::client::detail
