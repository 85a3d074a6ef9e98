#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <iterator>
#include <optional>
#include <ostream>
#include <vector>

#include "harness.hpp"

/// When a gather answers, against the best of all moments, found by trying
/// each of them on small cases.

namespace medlarloft::fanout {
namespace {

using std::chrono::milliseconds;
using testing::bench;
using testing::part;
using testing::start;

/// What becomes of one shard's only request.
struct part_fate {
  milliseconds at{};
  bool answers = true;
};

struct small_case {
  std::vector<part_fate> parts;
  double min_coverage = 1;
  milliseconds soft_deadline{};
  milliseconds deadline{};
};

std::ostream& operator<<(std::ostream& out, const small_case& shown) {
  out << "least " << shown.min_coverage << ", answer by "
      << shown.soft_deadline.count() << ", deadline " << shown.deadline.count();
  for (const part_fate& each : shown.parts)
    out << (each.answers ? ", part at " : ", lost at ") << each.at.count();
  return out;
}

struct answer_given {
  milliseconds at{};
  std::size_t parts = 0;
};

/// Credit of an answer: the square of its share, a tenth when it is late.
double credit(const small_case& of, const answer_given& given) {
  constexpr double late_part = 0.1;
  const double share =
      static_cast<double>(given.parts) / static_cast<double>(of.parts.size());
  return share * share * (given.at <= of.soft_deadline ? 1.0 : late_part);
}

std::size_t parts_at(const small_case& of, milliseconds moment) {
  return static_cast<std::size_t>(
      std::ranges::count_if(of.parts, [moment](const part_fate& each) {
        return each.answers && each.at <= moment;
      }));
}

bool covers(const small_case& of, std::size_t parts) {
  constexpr double tolerance = 1e-9;
  const double share =
      static_cast<double>(parts) / static_cast<double>(of.parts.size());
  return parts > 0 && share + tolerance >= of.min_coverage;
}

// The best moment: the greatest credit, and of equal ones the earliest. Past
// the objective a covered answer is not held back for more parts.
std::optional<answer_given> best_of_all(const small_case& of) {
  std::optional<answer_given> best;
  for (milliseconds at{0}; at <= of.deadline; ++at) {
    const answer_given here{at, parts_at(of, at)};
    if (!covers(of, here.parts)) continue;
    const bool late = at > of.soft_deadline;
    if (best && (late || credit(of, here) <= credit(of, *best))) continue;
    best = here;
  }
  return best;
}

std::optional<answer_given> played(const small_case& of) {
  bench all(of.parts.size(), of.min_coverage);
  all.soft_deadline = of.soft_deadline;
  all.deadline = of.deadline;
  all.route.max_leafs = 1;
  all.budget = 0;
  execution run = all.make();
  run.start(start);
  for (milliseconds at{0}; at <= of.deadline; ++at) {
    std::vector<actions> wanted;
    for (std::size_t i = 0; i < of.parts.size(); ++i) {
      if (of.parts[i].at != at) continue;
      const attempt_id attempt = i + 1;
      wanted.push_back(
          of.parts[i].answers
              ? run.on_response(start + at, attempt, part(std::to_string(i)))
              : run.on_failure(start + at, attempt, attempt_outcome::lost));
    }
    wanted.push_back(run.on_timer(start + at));
    const auto end = std::ranges::find_if(
        wanted, [](const actions& each) { return each.result.has_value(); });
    if (end == wanted.end()) continue;
    if (end->result->outcome != request_outcome::answered) return std::nullopt;
    return answer_given{at, end->result->responses.size()};
  }
  return std::nullopt;
}

rc::Gen<small_case> cases() {
  return rc::gen::exec([] {
    small_case made;
    made.soft_deadline = milliseconds(*rc::gen::inRange(5, 30));
    made.deadline = made.soft_deadline + milliseconds(*rc::gen::inRange(5, 30));
    made.min_coverage = *rc::gen::element(0.5, 0.75, 0.89, 1.0);
    // No two events happen at once.
    const auto shards = *rc::gen::inRange<std::size_t>(2, 7);
    const auto times =
        *rc::gen::unique<std::vector<int>>(shards, rc::gen::inRange(1, 70));
    std::ranges::transform(
        times, std::back_inserter(made.parts), [](int at) -> part_fate {
          const auto answers =
              *rc::gen::weightedElement<bool>({{4, true}, {1, false}});
          return {.at = milliseconds(at), .answers = answers};
        });
    return made;
  });
}

// Pattern: some part straggles until the objective. Nobody knows whether it
// will come, so that the answer waits while it can still gain and no longer.
TEST(answer_time, earns_what_the_best_moment_earns) {
  EXPECT_TRUE(rc::check([] {
    const small_case of = *cases();
    const auto given = played(of);
    const auto best = best_of_all(of);
    RC_ASSERT(given.has_value() == best.has_value());
    if (best) RC_ASSERT(credit(of, *given) >= credit(of, *best));
  }));
}

TEST(answer_time, late_answers_are_not_held_back_for_more_parts) {
  EXPECT_TRUE(rc::check([] {
    const small_case of = *cases();
    const auto given = played(of);
    RC_PRE(given && given->at > of.soft_deadline);
    RC_ASSERT(!covers(of, parts_at(of, given->at - milliseconds(1))));
  }));
}

TEST(answer_time, no_answer_waits_when_nothing_more_can_come) {
  EXPECT_TRUE(rc::check([] {
    small_case of = *cases();
    const auto given = played(of);
    RC_PRE(given.has_value());
    const auto last = std::ranges::max_element(of.parts, {}, &part_fate::at);
    RC_ASSERT(given->at <= std::max(last->at, of.soft_deadline));
  }));
}

}  // namespace
}  // namespace medlarloft::fanout
