#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <iterator>
#include <optional>
#include <ostream>
#include <vector>

#include "harness.hpp"

/// Compares the time at which a gather answers with the best possible time,
/// found by brute force on small cases.

namespace medlarloft::fanout {
namespace {

using std::chrono::milliseconds;
using testing::make_response;
using testing::scenario;
using testing::start;

/// The only attempt for one shard.
struct shard_attempt {
  milliseconds ended_at{};
  bool succeeds = true;
};

struct test_case {
  std::vector<shard_attempt> parts;
  double min_coverage = 1;
  milliseconds soft_deadline{};
  milliseconds deadline{};
};

std::ostream& operator<<(std::ostream& out, const test_case& input) {
  out << "min coverage " << input.min_coverage << ", soft deadline "
      << input.soft_deadline.count() << ", deadline " << input.deadline.count();
  for (const shard_attempt& each : input.parts)
    out << (each.succeeds ? ", part at " : ", lost at ")
        << each.ended_at.count();
  return out;
}

struct timed_answer {
  milliseconds answered_at{};
  std::size_t parts = 0;
};

/// Value of an answer: the square of its coverage; a tenth of that if it is
/// late.
double credit(const test_case& input, const timed_answer& answer) {
  constexpr double late_factor = 0.1;
  const double coverage = static_cast<double>(answer.parts) /
                          static_cast<double>(input.parts.size());
  return coverage * coverage *
         (answer.answered_at <= input.soft_deadline ? 1.0 : late_factor);
}

std::size_t parts_at(const test_case& input, milliseconds time) {
  return static_cast<std::size_t>(
      std::ranges::count_if(input.parts, [time](const shard_attempt& each) {
        return each.succeeds && each.ended_at <= time;
      }));
}

bool covers(const test_case& input, std::size_t parts) {
  constexpr double tolerance = 1e-9;
  const double coverage =
      static_cast<double>(parts) / static_cast<double>(input.parts.size());
  return parts > 0 && coverage + tolerance >= input.min_coverage;
}

// Returns the answer with the greatest credit, and the earliest of equal ones.
// After the soft deadline the first answer with sufficient coverage counts.
std::optional<timed_answer> best_answer(const test_case& input) {
  std::optional<timed_answer> best;
  for (milliseconds at{0}; at <= input.deadline; ++at) {
    const timed_answer candidate{at, parts_at(input, at)};
    if (!covers(input, candidate.parts)) continue;
    const bool late = at > input.soft_deadline;
    if (best && (late || credit(input, candidate) <= credit(input, *best)))
      continue;
    best = candidate;
  }
  return best;
}

std::optional<timed_answer> actual_answer(const test_case& input) {
  scenario setup(input.parts.size(), input.min_coverage);
  setup.soft_deadline = input.soft_deadline;
  setup.deadline = input.deadline;
  setup.route.max_leafs = 1;
  setup.budget = 0;
  execution run = setup.make_execution();
  run.start(start);
  for (milliseconds at{0}; at <= input.deadline; ++at) {
    std::vector<actions> results;
    for (std::size_t i = 0; i < input.parts.size(); ++i) {
      if (input.parts[i].ended_at != at) continue;
      const attempt_id attempt = i + 1;
      results.push_back(
          input.parts[i].succeeds
              ? run.on_response(start + at, attempt,
                                make_response(std::to_string(i)))
              : run.on_failure(start + at, attempt, attempt_outcome::lost));
    }
    results.push_back(run.on_timer(start + at));
    const auto end = std::ranges::find_if(
        results, [](const actions& each) { return each.result.has_value(); });
    if (end == results.end()) continue;
    if (end->result->outcome != request_outcome::answered) return std::nullopt;
    return timed_answer{at, end->result->responses.size()};
  }
  return std::nullopt;
}

rc::Gen<test_case> test_cases() {
  return rc::gen::exec([] {
    test_case input;
    input.soft_deadline = milliseconds(*rc::gen::inRange(5, 30));
    input.deadline =
        input.soft_deadline + milliseconds(*rc::gen::inRange(5, 30));
    input.min_coverage = *rc::gen::element(0.5, 0.75, 0.89, 1.0);
    // No two attempts end at the same time.
    const auto shards = *rc::gen::inRange<std::size_t>(2, 7);
    const auto times =
        *rc::gen::unique<std::vector<int>>(shards, rc::gen::inRange(1, 70));
    std::ranges::transform(
        times, std::back_inserter(input.parts), [](int at) -> shard_attempt {
          const auto succeeds =
              *rc::gen::weightedElement<bool>({{4, true}, {1, false}});
          return {.ended_at = milliseconds(at), .succeeds = succeeds};
        });
    return input;
  });
}

// Some shards respond late or never, which isn't known in advance. The answer
// waits for them only as long as this can increase its credit.
TEST(answer_time, earns_as_much_credit_as_the_best_time) {
  EXPECT_TRUE(rc::check([] {
    const test_case input = *test_cases();
    const auto actual = actual_answer(input);
    const auto best = best_answer(input);
    RC_ASSERT(actual.has_value() == best.has_value());
    if (best) RC_ASSERT(credit(input, *actual) >= credit(input, *best));
  }));
}

TEST(answer_time, a_late_answer_does_not_wait_for_more_parts) {
  EXPECT_TRUE(rc::check([] {
    const test_case input = *test_cases();
    const auto actual = actual_answer(input);
    RC_PRE(actual && actual->answered_at > input.soft_deadline);
    RC_ASSERT(
        !covers(input, parts_at(input, actual->answered_at - milliseconds(1))));
  }));
}

TEST(answer_time, does_not_wait_after_the_last_attempt_has_ended) {
  EXPECT_TRUE(rc::check([] {
    test_case input = *test_cases();
    const auto actual = actual_answer(input);
    RC_PRE(actual.has_value());
    const auto last =
        std::ranges::max_element(input.parts, {}, &shard_attempt::ended_at);
    RC_ASSERT(actual->answered_at <=
              std::max(last->ended_at, input.soft_deadline));
  }));
}

}  // namespace
}  // namespace medlarloft::fanout
