#include "log_lines.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <iterator>

namespace medlarloft::client::detail {
namespace {

std::vector<log_line> parse_lines(const std::vector<std::string>& texts) {
  std::vector<log_line> lines;
  std::ranges::transform(texts, std::back_inserter(lines), parse_line);
  return lines;
}

TEST(log_lines, parses_pairs_and_quotes_and_skips_leading_text) {
  const log_line line =
      parse_line(R"( 12.5 host time=t daemon=d event=x reason="a \"b\" c")");
  EXPECT_EQ(line.value("time"), "t");
  EXPECT_EQ(line.value("reason"), "a \"b\" c");
  EXPECT_EQ(line.value("nothing"), "");
}

TEST(log_lines, a_line_without_pairs_gives_none) {
  EXPECT_TRUE(parse_line("no pairs here").pairs.empty());
}

TEST(explain, a_refusal_is_explained_by_the_unavailable_reason) {
  const auto explained = explain_request(
      "r1",
      parse_lines({"time=1 daemon=d event=leaf_gone leaf=i-1",
                   "time=2 daemon=d event=data_centre_out data_centre=z",
                   "time=3 daemon=d event=part_missing request=r1 service=s "
                   "sends=0 unanswered=0 obstacle=all_dark budget_empty=false "
                   "last_ending=none",
                   "time=3 daemon=d event=request_ended request=r1 "
                   "outcome=not_run reason=all_dark status=503 took=1ms "
                   "version=4 missing=1"}));
  EXPECT_TRUE(explained.outcome.starts_with("not_run (all_dark), status 503"));
  ASSERT_EQ(explained.causes.size(), 1U);
  EXPECT_EQ(explained.causes[0], "service s: nothing was sent, all_dark");
  // The line of a leaf that the request did not use is left out.
  ASSERT_EQ(explained.lines.size(), 3U);
  EXPECT_EQ(explained.lines[0].value("event"), "data_centre_out");
}

TEST(explain, an_unknown_outcome_is_explained_by_the_leaf) {
  const auto explained = explain_request(
      "r2",
      parse_lines({"time=3 daemon=d event=attempt request=r2 service=s "
                   "kind=first leaf=i-7 data_centre=z sent_after=1ms "
                   "expected=20ms ending=lost took=5ms",
                   "time=3 daemon=d event=request_ended request=r2 "
                   "outcome=failed reason=x status=502 took=6ms version=4 "
                   "missing=1"}));
  ASSERT_EQ(explained.causes.size(), 1U);
  EXPECT_NE(explained.causes[0].find("leaf i-7 (z)"), std::string::npos);
  EXPECT_NE(explained.causes[0].find("lost"), std::string::npos);
}

TEST(explain, reports_a_clock_that_went_back) {
  EXPECT_TRUE(
      explain_request("r", parse_lines({"time=9 daemon=d event=started",
                                        "time=1 daemon=d event=stopping",
                                        "time=2 daemon=d request=r"}))
          .clock_went_back);
}

TEST(explain, ignores_lines_of_other_requests) {
  EXPECT_TRUE(explain_request("r", parse_lines({"request=q"})).lines.empty());
}

}  // namespace
}  // namespace medlarloft::client::detail
