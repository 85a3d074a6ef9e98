#include <algorithm>
#include <utility>

#include "medlarloft/query.hpp"

namespace medlarloft::query {

execution::execution(request asked, policy rules, hooks choices)
    : request_(std::move(asked)), policy_(rules), hooks_(std::move(choices)) {
  if (request_.snapshot != 0) pin(request_.snapshot);
}

void execution::pin(snapshot_id snapshot) {
  gather_.emplace(snapshot, request_.row_limit);
}

void execution::select_shards() {
  shards_.clear();
  total_ = 0;
  const snapshot_id snapshot = gather_ ? gather_->pinned() : UINT64_MAX;
  const notes::partition_map& map = request_.service->map_of(snapshot);
  for (const notes::shard& part : map.shards) {
    const bool wanted =
        !request_.keys || (request_.keys->from < part.range.to &&
                           part.range.from < request_.keys->to);
    if (!wanted) continue;
    shards_.push_back({.shard = &part});
    total_ += part.range.size();
  }
}

actions execution::start(time_point now) {
  select_shards();
  tally_.needed += static_cast<std::uint32_t>(shards_.size());
  for (std::size_t i = 0; i < shards_.size(); ++i) {
    send(now, i, attempt_kind::first);
  }
  check_done(now);
  return take(now);
}

void execution::send(time_point now, std::size_t index, attempt_kind kind) {
  shard_state& state = shards_[index];
  const std::optional<route> chosen =
      hooks_.pick(*state.shard, state.tried, gather_ ? gather_->pinned() : 0);
  if (!chosen) {
    if (state.open.empty()) settle_without(index);
    return;
  }
  attempt fresh{.id = hooks_.new_attempt(),
                .route = *chosen,
                .sent_at = now,
                .hedge_at = time_point::max(),
                .expires_at = now + policy_.attempt_timeout};
  if (policy_.hedge_after && request_.idempotent) {
    fresh.hedge_at = now + *policy_.hedge_after;
  }
  state.tried.leafs.push_back(chosen->leaf);
  state.open.push_back(fresh);
  shard_of_[fresh.id] = index;
  ++tally_.sent;
  if (kind == attempt_kind::hedge) ++tally_.hedges;
  if (kind == attempt_kind::retry) ++tally_.retries;
  pending_.sends.push_back({.attempt = fresh.id,
                            .shard = state.shard,
                            .route = *chosen,
                            .snapshot = gather_ ? gather_->pinned() : 0,
                            .kind = kind});
}

void execution::settle_without(std::size_t index) {
  shards_[index].settled = true;
  if (last_reason_.empty()) last_reason_ = "no replica may be asked";
}

bool execution::may_repeat(const shard_state& state) const noexcept {
  return request_.idempotent || !state.may_have_run;
}

void execution::retry_or_settle(time_point now, std::size_t index, bool costs) {
  shard_state& state = shards_[index];
  if (state.settled || !state.open.empty()) return;
  const bool left = state.tried.leafs.size() < policy_.max_attempts_per_shard &&
                    state.tried.refused.size() < policy_.max_refusals_per_shard;
  const bool allowed = left && may_repeat(state) &&
                       (!costs || hooks_.take_extra(attempt_kind::retry));
  if (!allowed) {
    settle_without(index);
    return;
  }
  send(now, index, attempt_kind::retry);
}

std::optional<execution::located> execution::find(attempt_id id) {
  const auto found = shard_of_.find(id);
  if (found == shard_of_.end()) return std::nullopt;
  shard_state& state = shards_[found->second];
  const auto open = std::ranges::find(state.open, id, &attempt::id);
  if (open == state.open.end()) return std::nullopt;
  return located{&state, static_cast<std::size_t>(open - state.open.begin())};
}

void execution::drop_attempt(located where) {
  auto& open = where.shard->open;
  shard_of_.erase(open[where.position].id);
  open.erase(open.begin() + static_cast<std::ptrdiff_t>(where.position));
}

void execution::cancel_open(shard_state& state) {
  for (const attempt& one : state.open) {
    pending_.cancels.push_back({one.id, one.route});
    shard_of_.erase(one.id);
  }
  state.open.clear();
}

actions execution::on_answer(time_point now, attempt_id attempt,
                             leaf_answer answer) {
  const std::optional<located> where = find(attempt);
  if (finished_ || !where) {
    ++tally_.foreign_dropped;
    return take(now);
  }
  shard_state& state = *where->shard;
  const std::size_t index = shard_of_[attempt];
  drop_attempt(*where);
  state.may_have_run = true;
  ran_ = true;
  if (!gather_) pin(answer.snapshot);
  const snapshot_id came_from = answer.snapshot;
  const auto problem = gather_->add(state.shard->range, std::move(answer));
  if (!problem) {
    state.settled = true;
    cancel_open(state);
  } else {
    ++tally_.mixed_dropped;
    if (*problem == merge_problem::other_snapshot &&
        came_from > gather_->pinned()) {
      newer_seen_ = std::max(newer_seen_, came_from);
    }
    // The pinned snapshot is asked for by name this time, so the same leaf
    // may serve it: an unpinned first round commonly ends here.
    if (*problem == merge_problem::other_snapshot) state.tried = {};
    retry_or_settle(now, index);
  }
  check_done(now);
  return take(now);
}

void execution::note_gone(const attempt_failure& how) {
  if (!gather_ || how.newest <= gather_->pinned()) return;
  newer_seen_ =
      newer_seen_ == 0 ? how.newest : std::min(newer_seen_, how.newest);
}

actions execution::on_failure(time_point now, attempt_id attempt,
                              const attempt_failure& how) {
  const std::optional<located> where = find(attempt);
  if (finished_ || !where) return take(now);
  shard_state& state = *where->shard;
  const std::size_t index = shard_of_[attempt];
  const route used = state.open[where->position].route;
  drop_attempt(*where);
  if (how.how == failure::not_sent) {
    // The leaf saw nothing, so another relay may still reach it, at no cost
    // to any leaf.
    std::erase(state.tried.leafs, used.leaf);
    state.tried.refused.push_back(used);
    last_reason_ = "relays refuse";
    if (state.open.empty()) {
      retry_or_settle(now, index, /*costs=*/false);
    } else if (state.tried.refused.size() < policy_.max_refusals_per_shard) {
      // A hedge that was refused is still wanted, and already paid for.
      send(now, index, attempt_kind::hedge);
    }
    check_done(now);
    return take(now);
  }
  if (how.how == failure::lost) {
    state.may_have_run = true;
    ran_ = true;
    last_reason_ = "a connection was lost";
  }
  if (how.how == failure::not_run) last_reason_ = "backend servers refuse";
  if (how.how == failure::snapshot_gone) note_gone(how);
  // The attempt that is left has been slow for long enough already.
  if (!state.open.empty() && policy_.hedge_after) {
    state.open.back().hedge_at =
        std::max(now, state.open.back().sent_at + *policy_.hedge_after);
  }
  // Nothing ran where the snapshot is gone; asking elsewhere costs little.
  const bool costs = how.how != failure::snapshot_gone;
  retry_or_settle(now, index, costs);
  check_done(now);
  return take(now);
}

actions execution::on_timer(time_point now) {
  if (finished_) return take(now);
  if (now >= request_.deadline) {
    finish(now, "deadline passed");
    return take(now);
  }
  for (std::size_t i = 0; i < shards_.size(); ++i) {
    shard_state& state = shards_[i];
    for (std::size_t k = 0; k < state.open.size();) {
      if (state.open[k].expires_at > now) {
        ++k;
        continue;
      }
      pending_.cancels.push_back({state.open[k].id, state.open[k].route});
      drop_attempt({&state, k});
      state.may_have_run = true;
      ran_ = true;
      last_reason_ = "an attempt timed out";
      retry_or_settle(now, i);
    }
    // The youngest attempt is looked at: each hedge has its own time.
    const bool due = !state.open.empty() &&
                     state.open.size() < policy_.max_open_per_shard &&
                     state.open.back().hedge_at <= now;
    if (!due) continue;
    state.open.back().hedge_at = time_point::max();
    if (hooks_.take_extra(attempt_kind::hedge)) {
      send(now, i, attempt_kind::hedge);
    }
  }
  check_done(now);
  return take(now);
}

actions execution::abort(time_point now, std::string reason) {
  if (!finished_) finish(now, std::move(reason));
  return take(now);
}

bool execution::enough() const noexcept {
  if (!gather_) return false;
  const double covered = static_cast<double>(gather_->covered().size());
  return covered >= request_.coverage_wanted * static_cast<double>(total_);
}

bool execution::rerun_on(time_point now, snapshot_id newer) {
  const bool allowed = request_.idempotent &&
                       tally_.reruns < policy_.max_reruns &&
                       now + policy_.rerun_needs < request_.deadline;
  if (newer == 0 || !allowed) return false;
  ++tally_.reruns;
  for (shard_state& state : shards_)
    cancel_open(state);
  pin(newer);
  newer_seen_ = 0;
  enough_since_.reset();
  select_shards();
  for (std::size_t i = 0; i < shards_.size(); ++i) {
    send(now, i, attempt_kind::retry);
  }
  return true;
}

void execution::check_done(time_point now) {
  if (finished_) return;
  const bool settled = std::ranges::all_of(
      shards_, [](const shard_state& state) { return state.settled; });
  if (enough() && !enough_since_) enough_since_ = now;
  if (settled) {
    if (!enough() && rerun_on(now, newer_seen_)) return check_done(now);
    return finish(now, last_reason_);
  }
  const bool waited =
      enough_since_ &&
      now >= *enough_since_ + request_.service->stop_early_after;
  if (waited) finish(now, "wanted coverage reached");
}

void execution::finish(time_point now, std::string reason) {
  finished_ = true;
  // An attempt that is still open may run, unless it is cancelled in time,
  // which nobody can promise.
  const bool open_left = std::ranges::any_of(
      shards_, [](const shard_state& state) { return !state.open.empty(); });
  if (open_left) ran_ = true;
  const bool out_of_time = open_left && now >= request_.deadline;
  for (shard_state& state : shards_)
    cancel_open(state);
  final_outcome result;
  result.out_of_time = out_of_time;
  result.coverage.total = total_;
  if (gather_) {
    result.snapshot = gather_->pinned();
    result.coverage.covered = gather_->covered().size();
    result.rows = gather_->take_rows();
  }
  const bool nothing = result.coverage.covered == 0;
  result.complete = !nothing && enough();
  result.reason = result.complete ? "" : std::move(reason);
  result.kind = outcome_kind::answered;
  if (!request_.idempotent && ran_ &&
      result.coverage.covered < result.coverage.total) {
    result.kind = outcome_kind::unknown_outcome;
  } else if (!ran_ && nothing) {
    result.kind = outcome_kind::not_run;
  }
  pending_.done = std::move(result);
}

time_point execution::next_wake() const {
  time_point next = request_.deadline;
  if (enough_since_) {
    next = std::min(next, *enough_since_ + request_.service->stop_early_after);
  }
  for (const shard_state& state : shards_) {
    for (const attempt& one : state.open) {
      next = std::min({next, one.hedge_at, one.expires_at});
    }
  }
  return next;
}

actions execution::take(time_point /*now*/) {
  actions out = std::exchange(pending_, {});
  out.wake_at = finished_ ? time_point::max() : next_wake();
  return out;
}

}  // namespace medlarloft::query
