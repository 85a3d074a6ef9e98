#include <algorithm>
#include <array>
#include <limits>
#include <utility>

#include "medlarloft/fanout.hpp"

namespace medlarloft::fanout {
namespace {

/// A waiting request polls for a free leaf at this interval, since a leaf can
/// become available without any event, such as when its ejection expires.
constexpr duration queue_poll_interval = std::chrono::milliseconds(10);
/// A request may be sent again to a leaf that rejected it without running it.
/// The number of sends for a shard is limited to this many times `max_leafs`.
constexpr std::uint32_t max_sends_per_leaf = 2;
/// Near the soft deadline a hedge is sent early enough for its response to
/// arrive in time, which takes `hedge_response_factor` times the expected time,
/// but not before `min_hedge_delay_factor` times the expected time has passed.
constexpr double min_hedge_delay_factor = 1.5;
constexpr double hedge_response_factor = 1.3;
/// Callers retry when an ejected leaf is due for its next trial request.
constexpr duration retry_after_ejected = std::chrono::milliseconds(300);
constexpr duration retry_after_busy = std::chrono::milliseconds(100);
constexpr duration max_retry_after = std::chrono::seconds(1);
/// Expected wait for the slowest of several shards, in relation to the mean.
constexpr double slowest_shard_factor = 2.0;
/// Callers that are refused at the same time retry at different times: up to
/// this fraction is added to their delay.
constexpr double retry_after_jitter = 0.5;
/// Absorbs rounding errors in the comparison of coverages; smaller than the
/// difference between any two of them.
constexpr double coverage_tolerance = 1e-9;

duration scaled(duration value, double factor) {
  return std::chrono::duration_cast<duration>(value * factor);
}

bool certainly_not_run(attempt_outcome outcome) {
  return outcome == attempt_outcome::shed ||
         outcome == attempt_outcome::misdirected ||
         outcome == attempt_outcome::no_connection;
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

execution::execution(request_plan plan, hooks callbacks)
    : plan_(std::move(plan)),
      hooks_(std::move(callbacks)),
      shards_(plan_.services.size()) {}

actions execution::start(time_point now) {
  duration max_lateness{};
  std::size_t late_shards = 0;
  for (std::size_t i = 0; i < shards_.size(); ++i) {
    const auto leaf = hooks_.pick(plan_.services[i], {});
    if (leaf) {
      send(now, i, leaf.value(), attempt_kind::first);
      continue;
    }
    shards_[i].no_leaf_reason = leaf.error();
    const duration lateness = leafs::is_temporary(leaf.error())
                                  ? expected_lateness(now, i)
                                  : duration::zero();
    max_lateness = std::max(max_lateness, lateness);
    if (should_wait(now, i, leaf.error())) {
      if (lateness > duration::zero()) ++late_shards;
      begin_wait(now, i, attempt_kind::first);
    } else {
      give_up(i);
    }
    // Refuse a request that can't be served, or not in time, before any leaf
    // runs a part of it.
    const auto failed_shards = static_cast<std::size_t>(
        std::ranges::count_if(shards_, &shard_state::given_up));
    if (!coverage_suffices(shards_.size() - failed_shards)) {
      refuse(leafs::name_of(leaf.error()), leafs::has_known_turn(leaf.error())
                                               ? max_lateness
                                               : retry_after_ejected);
      return take_actions(now);
    }
    if (!coverage_suffices(shards_.size() - failed_shards - late_shards)) {
      refuse("line_too_long", max_lateness);
      return take_actions(now);
    }
  }
  finish_if_decided(now);
  return take_actions(now);
}

// Returns by how much the response is expected to miss the soft deadline or the
// wait to exceed `max_wait`, whichever is more; zero if neither.
duration execution::expected_lateness(time_point now, std::size_t index) const {
  if (!hooks_.estimate_wait) return duration::zero();
  const waiting::wait_estimate expected =
      hooks_.estimate_wait(plan_.services[index]);
  const duration wait = std::max(expected.wait, expected.min_wait);
  const time_point response_at =
      now +
      std::max(scaled(expected.wait, slowest_shard_factor), expected.min_wait) +
      expected.response_time;
  const duration lateness = response_at - plan_.soft_deadline;
  const duration excess_wait = wait - plan_.max_wait;
  return std::max({lateness, excess_wait, duration::zero()});
}

void execution::refuse(std::string_view reason, duration retry_after) {
  pending_.sends.clear();
  counts_ = {};
  for (shard_state& shard : shards_)
    shard.open_attempts.clear();
  finish(request_outcome::not_run, reason);
  pending_.result->retry_after = spread(retry_after);
}

duration execution::spread(duration retry_after) const {
  const double jitter =
      retry_after_jitter * static_cast<double>(hash64(plan_.id)) /
      static_cast<double>(std::numeric_limits<std::uint64_t>::max());
  return std::clamp(scaled(retry_after, 1 + jitter), retry_after_busy,
                    max_retry_after);
}

// Returns the time until a leaf of every missing shard may be sent a request,
// as far as it is known.
duration execution::time_until_turns() const {
  duration longest{};
  if (!hooks_.estimate_wait) return longest;
  for (std::size_t i = 0; i < shards_.size(); ++i) {
    if (shards_[i].response) continue;
    longest =
        std::max(longest, hooks_.estimate_wait(plan_.services[i]).min_wait);
  }
  return longest;
}

void execution::begin_wait(time_point now, std::size_t index,
                           attempt_kind kind) {
  shard_state& shard = shards_[index];
  shard.waiting_since = now;
  shard.waiting_kind = kind;
  shard.queued = shard.attempts_sent == 0 && shard.unreachable_leafs.empty();
  if (shard.queued) pending_.join_queues.push_back(index);
}

void execution::end_wait(std::size_t index) {
  shard_state& shard = shards_[index];
  shard.waiting_since.reset();
  if (!std::exchange(shard.queued, false)) return;
  if (std::erase(pending_.join_queues, index) == 0) {
    pending_.leave_queues.push_back(index);
  }
}

// The next turn of paused and limited leafs is known, so that waiting for one
// that comes too late is no use.
bool execution::should_wait(time_point now, std::size_t index,
                            unavailable_reason reason) const {
  if (!leafs::is_temporary(reason) || !shards_[index].open_attempts.empty())
    return false;
  return !leafs::has_known_turn(reason) ||
         expected_lateness(now, index) <= duration::zero();
}

void execution::send(time_point now, std::size_t index, leaf_handle leaf,
                     attempt_kind kind) {
  shard_state& shard = shards_[index];
  const attempt_id id = hooks_.next_attempt_id();
  shard.open_attempts.push_back({id, leaf, hedge_time(now, leaf)});
  if (std::ranges::find(shard.contacted_leafs, leaf) ==
      shard.contacted_leafs.end()) {
    shard.contacted_leafs.push_back(leaf);
  }
  ++shard.attempts_sent;
  end_wait(index);
  ++counts_.sent;
  if (kind == attempt_kind::hedge) ++counts_.hedges;
  if (kind == attempt_kind::retry) ++counts_.retries;
  pending_.sends.push_back({id, index, leaf, kind});
}

time_point execution::hedge_time(time_point now, leaf_handle leaf) const {
  const duration expected = hooks_.expected_time(leaf);
  const duration latest =
      plan_.soft_deadline - now - scaled(expected, hedge_response_factor);
  const duration delay =
      std::max(latest, scaled(expected, min_hedge_delay_factor));
  return now + std::min(hooks_.hedge_delay(leaf), delay);
}

// Sends one more request for the shard. Returns false if that is not possible:
// `waiting_since` is set if it may become possible later.
bool execution::try_send(time_point now, std::size_t index, attempt_kind kind) {
  shard_state& shard = shards_[index];
  const std::uint32_t max_leafs = std::max(plan_.route->max_leafs, 1U);
  if (shard.attempts_sent >= max_leafs * max_sends_per_leaf) return false;
  std::vector<leaf_handle> excluded = shard.unreachable_leafs;
  leafs::leaf_filter filter;
  const bool all_contacted = shard.contacted_leafs.size() >= max_leafs;
  if (all_contacted) {
    // Send the request to the same leaf again only if it surely didn't run it.
    if (kind == attempt_kind::hedge || shard.may_have_run) return false;
    filter.allowed = shard.contacted_leafs;
  } else {
    excluded.insert(excluded.end(), shard.contacted_leafs.begin(),
                    shard.contacted_leafs.end());
  }
  filter.excluded = excluded;
  const auto leaf = hooks_.pick(plan_.services[index], filter);
  if (!leaf) {
    shard.no_leaf_reason = leaf.error();
    if (should_wait(now, index, leaf.error()) && !shard.waiting_since) {
      begin_wait(now, index, kind);
    }
    return false;
  }
  const bool extra = shard.attempts_sent > 0 && !shard.contacted_leafs.empty();
  if (extra && !hooks_.take_retry_budget(plan_.services[index])) {
    shard.budget_empty = true;
    return false;
  }
  send(now, index, leaf.value(), kind);
  return true;
}

actions execution::on_response(time_point now, attempt_id id,
                               leaf_response response) {
  for (std::size_t i = 0; i < shards_.size(); ++i) {
    shard_state& shard = shards_[i];
    const auto found = std::ranges::find(shard.open_attempts, id, &attempt::id);
    if (found == shard.open_attempts.end()) continue;
    shard.open_attempts.erase(found);
    const bool duplicate =
        plan_.route->gathers() &&
        std::ranges::any_of(shards_, [&response](const shard_state& other) {
          return other.response &&
                 other.response->signature == response.signature;
        });
    if (duplicate) {
      shard.may_have_run = true;
      after_failure(now, i, attempt_outcome::lost);
      break;
    }
    shard.response = std::move(response);
    for (const attempt& each : shard.open_attempts)
      pending_.abandons.push_back({each.id, each.leaf});
    shard.open_attempts.clear();
    break;
  }
  finish_if_decided(now);
  return take_actions(now);
}

actions execution::on_failure(time_point now, attempt_id id,
                              attempt_outcome outcome,
                              std::optional<leaf_response> response) {
  for (std::size_t i = 0; i < shards_.size(); ++i) {
    shard_state& shard = shards_[i];
    const auto found = std::ranges::find(shard.open_attempts, id, &attempt::id);
    if (found == shard.open_attempts.end()) continue;
    const leaf_handle leaf = found->leaf;
    shard.open_attempts.erase(found);
    if (outcome == attempt_outcome::no_connection) {
      std::erase(shard.contacted_leafs, leaf);
      shard.unreachable_leafs.push_back(leaf);
    }
    shard.last_outcome = outcome;
    if (!certainly_not_run(outcome)) shard.may_have_run = true;
    if (response) shard.error_response = std::move(response);
    after_failure(now, i, outcome);
    break;
  }
  finish_if_decided(now);
  return take_actions(now);
}

void execution::after_failure(time_point now, std::size_t index,
                              attempt_outcome outcome) {
  shard_state& shard = shards_[index];
  if (shard.response || finished_) return;
  const bool may_resend = plan_.idempotent() || !shard.may_have_run;
  const auto kind =
      outcome == attempt_outcome::no_connection && shard.contacted_leafs.empty()
          ? attempt_kind::first
          : attempt_kind::retry;
  if (may_resend && try_send(now, index, kind)) return;
  if (may_resend && shard.waiting_since) return;
  if (shard.open_attempts.empty()) give_up(index);
}

bool execution::may_hedge(const shard_state& shard) const {
  return plan_.idempotent() && !shard.response && !shard.given_up;
}

void execution::run_hedges(time_point now) {
  for (std::size_t i = 0; i < shards_.size(); ++i) {
    shard_state& shard = shards_[i];
    if (!may_hedge(shard)) continue;
    const auto due = std::ranges::find_if(
        shard.open_attempts,
        [now](const attempt& each) { return each.hedge_at <= now; });
    if (due == shard.open_attempts.end()) continue;
    due->hedge_at = time_point::max();
    try_send(now, i, attempt_kind::hedge);
  }
}

void execution::run_waiting(time_point now) {
  for (std::size_t i = 0; i < shards_.size(); ++i) {
    shard_state& shard = shards_[i];
    if (!shard.waiting_since) continue;
    if (try_send(now, i, shard.waiting_kind)) continue;
    const bool busy =
        shard.no_leaf_reason && leafs::is_temporary(*shard.no_leaf_reason);
    const bool too_long = now - *shard.waiting_since >= plan_.max_wait;
    if (busy && !too_long) continue;
    end_wait(i);
    give_up(i);
  }
}

actions execution::on_timer(time_point now) {
  if (finished_) return take_actions(now);
  if (now < plan_.deadline) {
    run_hedges(now);
    run_waiting(now);
  }
  finish_if_decided(now);
  return take_actions(now);
}

actions execution::on_caller_left(time_point now) {
  if (!finished_) finish(request_outcome::caller_left, "caller_left");
  return take_actions(now);
}

actions execution::limit_deadline(time_point now, time_point deadline) {
  plan_.deadline = std::min(plan_.deadline, deadline);
  plan_.soft_deadline = std::min(plan_.soft_deadline, plan_.deadline);
  return on_timer(now);
}

bool execution::coverage_suffices(std::size_t parts) const {
  if (parts == 0) return false;
  const double coverage =
      static_cast<double>(parts) / static_cast<double>(shards_.size());
  const double min_coverage =
      plan_.route->gathers() ? plan_.route->min_coverage : 1.0;
  return coverage + coverage_tolerance >= min_coverage;
}

void execution::finish_if_decided(time_point now) {
  if (finished_) return;
  const auto answered_shards = static_cast<std::size_t>(std::ranges::count_if(
      shards_,
      [](const shard_state& each) { return each.response.has_value(); }));
  const auto failed_shards = static_cast<std::size_t>(
      std::ranges::count_if(shards_, &shard_state::given_up));
  if (answered_shards == shards_.size()) {
    finish(request_outcome::answered, "complete");
  } else if (!coverage_suffices(shards_.size() - failed_shards)) {
    finish(failure_outcome(), "too_many_shards_failed");
  } else if (coverage_suffices(answered_shards) &&
             answered_shards + failed_shards == shards_.size()) {
    finish(request_outcome::answered, "shards_failed");
  } else if (coverage_suffices(answered_shards) && now >= plan_.soft_deadline) {
    finish(request_outcome::answered, "objective_near");
  } else if (now >= plan_.deadline) {
    finish(failure_outcome() == request_outcome::not_run
               ? request_outcome::not_run
               : request_outcome::out_of_time,
           "deadline");
  }
}

// Reports `not_run` only if no leaf can have started the request or can still
// start it.
request_outcome execution::failure_outcome() const {
  const bool may_have_run =
      std::ranges::any_of(shards_, [](const shard_state& each) {
        return each.response || each.may_have_run ||
               !each.open_attempts.empty();
      });
  if (!may_have_run) return request_outcome::not_run;
  const bool has_response =
      !plan_.route->gathers() && shards_[0].error_response;
  return has_response ? request_outcome::answered : request_outcome::failed;
}

void execution::finish(request_outcome outcome, std::string_view reason) {
  finished_ = true;
  request_result result{.outcome = outcome, .reason = reason};
  const duration until_turns = outcome == request_outcome::not_run
                                   ? time_until_turns()
                                   : duration::zero();
  bool busy = false;
  for (std::size_t i = 0; i < shards_.size(); ++i) {
    shard_state& shard = shards_[i];
    missing_part missing{.shard = i,
                         .attempts_sent = shard.attempts_sent,
                         .no_leaf_reason = shard.no_leaf_reason,
                         .budget_empty = shard.budget_empty,
                         .last_outcome = shard.last_outcome};
    for (const attempt& each : shard.open_attempts) {
      pending_.abandons.push_back({each.id, each.leaf});
      missing.unanswered_leafs.push_back(each.leaf);
    }
    shard.open_attempts.clear();
    end_wait(i);
    if (shard.response) {
      result.responses.push_back(std::move(*shard.response));
      continue;
    }
    ++result.missing_count;
    busy = busy ||
           (shard.no_leaf_reason && leafs::is_temporary(*shard.no_leaf_reason));
    result.missing.push_back(std::move(missing));
  }
  const bool single = !plan_.route->gathers();
  if (single && outcome == request_outcome::answered &&
      result.responses.empty()) {
    result.responses.push_back(std::move(*shards_[0].error_response));
    result.reason = "leaf_failed";
  }
  result.retry_after = busy ? retry_after_busy : retry_after_ejected;
  if (until_turns > result.retry_after)
    result.retry_after = spread(until_turns);
  pending_.result = std::move(result);
}

time_point execution::next_wake(time_point now) const {
  if (finished_) return time_point::max();
  time_point next = plan_.deadline;
  const bool may_end_early = plan_.route->gathers();
  if (may_end_early && now < plan_.soft_deadline) {
    next = std::min(next, plan_.soft_deadline);
  }
  for (const shard_state& shard : shards_) {
    if (shard.waiting_since) next = std::min(next, now + queue_poll_interval);
    if (!may_hedge(shard)) continue;
    for (const attempt& each : shard.open_attempts)
      next = std::min(next, each.hedge_at);
  }
  return next;
}

actions execution::take_actions(time_point now) {
  pending_.wake_at = next_wake(now);
  return std::exchange(pending_, {});
}

}  // namespace medlarloft::fanout
