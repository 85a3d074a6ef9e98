#include <algorithm>
#include <array>
#include <limits>
#include <utility>

#include "medlarloft/fanout.hpp"

namespace medlarloft::fanout {
namespace {

/// How often a waiting request looks for a free leaf by itself: one may become
/// free by time alone.
constexpr duration wait_step = std::chrono::milliseconds(10);
/// A leaf that refused without running may be asked again; in all, this many
/// sends for each leaf that a request may be sent to.
constexpr std::uint32_t sends_per_attempt = 2;
/// A hedge is sent while the second leaf can still answer in time, but not
/// before the first one had this many times the expected time.
constexpr double least_patience = 1.5;
constexpr double second_answer = 1.3;
/// Callers come back when a leaf that failed is due for its next trial.
constexpr duration retry_when_dark = std::chrono::milliseconds(300);
constexpr duration retry_when_busy = std::chrono::milliseconds(100);
constexpr duration longest_retry_after = std::chrono::seconds(1);
/// The last of many shards has this many times the mean wait.
constexpr double last_of_many = 2.0;
/// Callers that are refused at the same time come back over this share more.
constexpr double retry_spread = 0.5;
/// Shares are fractions of small numbers; this is below any difference.
constexpr double share_tolerance = 1e-9;

duration scaled(duration value, double factor) {
  return std::chrono::duration_cast<duration>(value * factor);
}

bool surely_not_run(attempt_outcome how) {
  return how == attempt_outcome::shed || how == attempt_outcome::misdirected ||
         how == attempt_outcome::no_connection;
}

}  // namespace

std::string_view name_of(attempt_kind kind) noexcept {
  constexpr std::array<std::string_view, 3> names{"first", "retry", "hedge"};
  return names[static_cast<std::size_t>(kind)];
}

std::string_view name_of(request_outcome outcome) noexcept {
  constexpr std::array<std::string_view, 5> names{
      "answered", "not_run", "failed", "out_of_time", "caller_left"};
  return names[static_cast<std::size_t>(outcome)];
}

execution::execution(request_plan plan, hooks choices)
    : plan_(std::move(plan)),
      hooks_(std::move(choices)),
      shards_(plan_.services.size()) {}

actions execution::start(time_point now) {
  duration longest_overdue{};
  std::size_t overdue = 0;
  for (std::size_t i = 0; i < shards_.size(); ++i) {
    const auto leaf = hooks_.pick(plan_.services[i], {});
    if (leaf) {
      send(now, i, leaf.value(), attempt_kind::first);
      continue;
    }
    shards_[i].unavailable = leaf.error();
    if (must_wait(shards_[i], leaf.error())) {
      const duration late = overdue_by(now, i);
      if (late > duration::zero()) ++overdue;
      longest_overdue = std::max(longest_overdue, late);
      begin_wait(now, i, attempt_kind::first);
    } else {
      give_up(i);
    }
    // A request that cannot be served, or not in time, is refused before
    // anything runs.
    const auto lost = static_cast<std::size_t>(
        std::ranges::count_if(shards_, &shard_state::given_up));
    if (!covered_enough(shards_.size() - lost)) {
      refuse(leafs::name_of(leaf.error()), retry_when_dark);
      return take(now);
    }
    if (!covered_enough(shards_.size() - lost - overdue)) {
      refuse("line_too_long", longest_overdue);
      return take(now);
    }
  }
  check_done(now);
  return take(now);
}

// By how much the answer would miss its time if the shard is waited for.
duration execution::overdue_by(time_point now, std::size_t index) const {
  if (!hooks_.estimate_wait) return duration::zero();
  const waiting::wait_estimate expected =
      hooks_.estimate_wait(plan_.services[index]);
  const time_point answer =
      now + scaled(expected.wait, last_of_many) + expected.work_time;
  const duration objective = answer - plan_.soft_deadline;
  const duration hedge_delay = expected.wait - plan_.max_wait;
  return std::max({objective, hedge_delay, duration::zero()});
}

void execution::refuse(std::string_view reason, duration retry_after) {
  pending_.sends.clear();
  counts_ = {};
  for (shard_state& shard : shards_)
    shard.open.clear();
  finish(request_outcome::not_run, reason);
  const double spread =
      retry_spread * static_cast<double>(hash64(plan_.id)) /
      static_cast<double>(std::numeric_limits<std::uint64_t>::max());
  pending_.result->retry_after = std::clamp(
      scaled(retry_after, 1 + spread), retry_when_busy, longest_retry_after);
}

void execution::begin_wait(time_point now, std::size_t index,
                           attempt_kind kind) {
  shard_state& shard = shards_[index];
  shard.waiting_since = now;
  shard.waiting_kind = kind;
  shard.in_line = shard.sends == 0 && shard.unreachable.empty();
  if (shard.in_line) pending_.join_queues.push_back(index);
}

void execution::end_wait(std::size_t index) {
  shard_state& shard = shards_[index];
  shard.waiting_since.reset();
  if (!std::exchange(shard.in_line, false)) return;
  if (std::erase(pending_.join_queues, index) == 0) {
    pending_.leave_queues.push_back(index);
  }
}

bool execution::must_wait(const shard_state& shard,
                          unavailable_reason why) const {
  return why == unavailable_reason::all_busy && shard.open.empty();
}

void execution::send(time_point now, std::size_t index, leaf_handle leaf,
                     attempt_kind kind) {
  shard_state& shard = shards_[index];
  const attempt_id id = hooks_.next_attempt_id();
  shard.open.push_back({id, leaf, hedge_time(now, leaf)});
  if (std::ranges::find(shard.asked, leaf) == shard.asked.end()) {
    shard.asked.push_back(leaf);
  }
  ++shard.sends;
  end_wait(index);
  ++counts_.sent;
  if (kind == attempt_kind::hedge) ++counts_.hedges;
  if (kind == attempt_kind::retry) ++counts_.retries;
  pending_.sends.push_back({id, index, leaf, kind});
}

time_point execution::hedge_time(time_point now, leaf_handle leaf) const {
  const duration expected = hooks_.expected_time(leaf);
  const duration left =
      plan_.soft_deadline - now - scaled(expected, second_answer);
  const duration in_time = std::max(left, scaled(expected, least_patience));
  return now + std::min(hooks_.hedge_delay(leaf), in_time);
}

// Sends one more request for the shard. Returns false if that is not possible
// now or ever; `waiting_since` tells the two apart.
bool execution::try_send(time_point now, std::size_t index, attempt_kind kind) {
  shard_state& shard = shards_[index];
  const std::uint32_t max_leafs = std::max(plan_.route->max_leafs, 1U);
  if (shard.sends >= max_leafs * sends_per_attempt) return false;
  std::vector<leaf_handle> tried = shard.unreachable;
  leafs::pick_options limits;
  const bool all_asked = shard.asked.size() >= max_leafs;
  if (all_asked) {
    // Only a leaf that is sure not to have run the request is asked again.
    if (kind == attempt_kind::hedge || shard.may_have_run) return false;
    limits.allowed = shard.asked;
  } else {
    tried.insert(tried.end(), shard.asked.begin(), shard.asked.end());
  }
  limits.excluded = tried;
  const auto leaf = hooks_.pick(plan_.services[index], limits);
  if (!leaf) {
    shard.unavailable = leaf.error();
    if (must_wait(shard, leaf.error()) && !shard.waiting_since) {
      begin_wait(now, index, kind);
    }
    return false;
  }
  const bool extra = shard.sends > 0 && !shard.asked.empty();
  if (extra && !hooks_.take_retry_budget(plan_.services[index])) {
    shard.budget_empty = true;
    return false;
  }
  send(now, index, leaf.value(), kind);
  return true;
}

actions execution::on_response(time_point now, attempt_id id,
                               leaf_response answer) {
  for (std::size_t i = 0; i < shards_.size(); ++i) {
    shard_state& shard = shards_[i];
    const auto found = std::ranges::find(shard.open, id, &attempt::id);
    if (found == shard.open.end()) continue;
    shard.open.erase(found);
    const bool doubled =
        plan_.route->gathers() &&
        std::ranges::any_of(shards_, [&answer](const shard_state& other) {
          return other.answer && other.answer->signature == answer.signature;
        });
    if (doubled) {
      shard.may_have_run = true;
      after_failure(now, i, attempt_outcome::lost);
      break;
    }
    shard.answer = std::move(answer);
    for (const attempt& open : shard.open)
      pending_.abandons.push_back({open.id, open.leaf});
    shard.open.clear();
    break;
  }
  check_done(now);
  return take(now);
}

actions execution::on_failure(time_point now, attempt_id id,
                              attempt_outcome how,
                              std::optional<leaf_response> answer) {
  for (std::size_t i = 0; i < shards_.size(); ++i) {
    shard_state& shard = shards_[i];
    const auto found = std::ranges::find(shard.open, id, &attempt::id);
    if (found == shard.open.end()) continue;
    const leaf_handle leaf = found->leaf;
    shard.open.erase(found);
    if (how == attempt_outcome::no_connection) {
      std::erase(shard.asked, leaf);
      shard.unreachable.push_back(leaf);
    }
    shard.last_outcome = how;
    if (!surely_not_run(how)) shard.may_have_run = true;
    if (answer) shard.failure = std::move(answer);
    after_failure(now, i, how);
    break;
  }
  check_done(now);
  return take(now);
}

void execution::after_failure(time_point now, std::size_t index,
                              attempt_outcome how) {
  shard_state& shard = shards_[index];
  if (shard.answer || finished_) return;
  const bool kind_allows = plan_.idempotent() || !shard.may_have_run;
  const auto kind = how == attempt_outcome::no_connection && shard.asked.empty()
                        ? attempt_kind::first
                        : attempt_kind::retry;
  if (kind_allows && try_send(now, index, kind)) return;
  if (kind_allows && shard.waiting_since) return;
  if (shard.open.empty()) give_up(index);
}

bool execution::may_repeat(const shard_state& shard) const {
  return plan_.idempotent() && !shard.answer && !shard.given_up;
}

void execution::run_hedges(time_point now) {
  for (std::size_t i = 0; i < shards_.size(); ++i) {
    shard_state& shard = shards_[i];
    if (!may_repeat(shard)) continue;
    const auto due = std::ranges::find_if(
        shard.open,
        [now](const attempt& open) { return open.hedge_at <= now; });
    if (due == shard.open.end()) continue;
    due->hedge_at = time_point::max();
    try_send(now, i, attempt_kind::hedge);
  }
}

void execution::run_waiting(time_point now) {
  for (std::size_t i = 0; i < shards_.size(); ++i) {
    shard_state& shard = shards_[i];
    if (!shard.waiting_since) continue;
    if (try_send(now, i, shard.waiting_kind)) continue;
    const bool busy = shard.unavailable == unavailable_reason::all_busy;
    const bool too_long = now - *shard.waiting_since >= plan_.max_wait;
    if (busy && !too_long) continue;
    end_wait(i);
    give_up(i);
  }
}

actions execution::on_timer(time_point now) {
  if (finished_) return take(now);
  if (now < plan_.deadline) {
    run_hedges(now);
    run_waiting(now);
  }
  check_done(now);
  return take(now);
}

actions execution::on_caller_left(time_point now) {
  if (!finished_) finish(request_outcome::caller_left, "caller_left");
  return take(now);
}

bool execution::covered_enough(std::size_t parts) const {
  if (parts == 0) return false;
  const double share =
      static_cast<double>(parts) / static_cast<double>(shards_.size());
  const double least = plan_.route->gathers() ? plan_.route->min_coverage : 1.0;
  return share + share_tolerance >= least;
}

void execution::check_done(time_point now) {
  if (finished_) return;
  const auto answered = static_cast<std::size_t>(std::ranges::count_if(
      shards_,
      [](const shard_state& each) { return each.answer.has_value(); }));
  const auto lost = static_cast<std::size_t>(
      std::ranges::count_if(shards_, &shard_state::given_up));
  if (answered == shards_.size()) {
    finish(request_outcome::answered, "complete");
  } else if (!covered_enough(shards_.size() - lost)) {
    finish(failure_verdict(), "too_many_shards_failed");
  } else if (covered_enough(answered) && answered + lost == shards_.size()) {
    finish(request_outcome::answered, "shards_failed");
  } else if (covered_enough(answered) && now >= plan_.soft_deadline) {
    finish(request_outcome::answered, "objective_near");
  } else if (now >= plan_.deadline) {
    finish(failure_verdict() == request_outcome::not_run
               ? request_outcome::not_run
               : request_outcome::out_of_time,
           "deadline");
  }
}

// "Not run" is said only if no leaf can have begun, nor will.
request_outcome execution::failure_verdict() const {
  const bool ran = std::ranges::any_of(shards_, [](const shard_state& each) {
    return each.answer || each.may_have_run || !each.open.empty();
  });
  if (!ran) return request_outcome::not_run;
  const bool passes_on = !plan_.route->gathers() && shards_[0].failure;
  return passes_on ? request_outcome::answered : request_outcome::failed;
}

void execution::finish(request_outcome outcome, std::string_view reason) {
  finished_ = true;
  request_result done{.outcome = outcome, .reason = reason};
  bool busy = false;
  for (std::size_t i = 0; i < shards_.size(); ++i) {
    shard_state& shard = shards_[i];
    missing_part missing{.shard = i,
                         .sends = shard.sends,
                         .unavailable = shard.unavailable,
                         .budget_empty = shard.budget_empty,
                         .last_outcome = shard.last_outcome};
    for (const attempt& open : shard.open) {
      pending_.abandons.push_back({open.id, open.leaf});
      missing.unanswered.push_back(open.leaf);
    }
    shard.open.clear();
    end_wait(i);
    if (shard.answer) {
      done.responses.push_back(std::move(*shard.answer));
      continue;
    }
    ++done.missing_count;
    busy = busy || shard.unavailable == unavailable_reason::all_busy;
    done.missing.push_back(std::move(missing));
  }
  const bool single = !plan_.route->gathers();
  if (single && outcome == request_outcome::answered &&
      done.responses.empty()) {
    done.responses.push_back(std::move(*shards_[0].failure));
    done.reason = "leaf_failed";
  }
  done.retry_after = busy ? retry_when_busy : retry_when_dark;
  pending_.result = std::move(done);
}

time_point execution::next_wake(time_point now) const {
  if (finished_) return time_point::max();
  time_point next = plan_.deadline;
  const bool may_end_early = plan_.route->gathers();
  if (may_end_early && now < plan_.soft_deadline) {
    next = std::min(next, plan_.soft_deadline);
  }
  for (const shard_state& shard : shards_) {
    if (shard.waiting_since) next = std::min(next, now + wait_step);
    if (!may_repeat(shard)) continue;
    for (const attempt& open : shard.open)
      next = std::min(next, open.hedge_at);
  }
  return next;
}

actions execution::take(time_point now) {
  pending_.wake_at = next_wake(now);
  return std::exchange(pending_, {});
}

}  // namespace medlarloft::fanout
