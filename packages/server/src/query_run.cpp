#include "query_run.hpp"

#include <algorithm>
#include <utility>

namespace medlarloft::server {
namespace {

/// A peer that is silent for this long after the deadline is given up.
constexpr duration peer_grace = std::chrono::milliseconds(100);
/// Tags keep to 53 bits, which every JSON reader holds exactly.
constexpr int tag_shift = 11;
/// A relay answers with what has ended after this share of the hedge delay.
constexpr double flush_share = 0.8;

std::optional<query::failure> failure_of(peers::task_status how) {
  switch (how) {
    case peers::task_status::answered:
      return std::nullopt;
    case peers::task_status::not_sent:
    case peers::task_status::overloaded:
      return query::failure::not_sent;
    case peers::task_status::not_run:
      return query::failure::not_run;
    case peers::task_status::snapshot_gone:
      return query::failure::snapshot_gone;
    case peers::task_status::lost:
      break;
  }
  return query::failure::lost;
}

}  // namespace

query_run::query_run(entry& owner, view_ptr current, query::request request,
                     query::policy policy, std::string body, finished done)
    : owner_(owner),
      view_(std::move(current)),
      execution_(std::move(request), policy, make_hooks()),
      policy_(policy),
      body_(std::move(body)),
      done_(std::move(done)),
      timer_(owner.loop_.context()) {}

query::hooks query_run::make_hooks() {
  return {
      .pick =
          [this](const notes::shard& shard, const query::tried_routes& tried,
                 notes::snapshot_id snapshot) {
            return pick(shard, tried, snapshot);
          },
      .take_extra =
          [this](query::attempt_kind kind) { return owner_.take_extra(kind); },
      .new_attempt = [this] { return owner_.random_() >> tag_shift; }};
}

std::optional<query::route> query_run::pick(const notes::shard& shard,
                                            const query::tried_routes& tried,
                                            notes::snapshot_id snapshot) {
  const query::snapshot_tracker& held =
      owner_.experience(execution_.asked().service->id).snapshots;
  const time_point now = steady_clock::now();
  // Replicas that are known to lack the snapshot come last.
  query::tried_routes holding = tried;
  std::ranges::copy_if(
      shard.leafs, std::back_inserter(holding.leafs),
      [&](notes::leaf_index leaf) { return held.lacks(leaf, snapshot); });
  const auto chosen = owner_.choice_.pick(now, *view_, shard, holding);
  if (chosen) return chosen;
  return owner_.choice_.pick(now, *view_, shard, tried);
}

void query_run::start() {
  carry_out(execution_.start(steady_clock::now()));
}

void query_run::abort(const std::string& reason) {
  carry_out(execution_.abort(steady_clock::now(), reason));
}

void query_run::carry_out(query::actions wanted) {
  const auto keep = shared_from_this();
  cancel(wanted.cancels);
  send(wanted.sends);
  if (wanted.done) {
    timer_.cancel();
    // What is still open counts as ended for the choice of replicas.
    for (const auto& [attempt, info] : attempts_) {
      owner_.choice_.ended(steady_clock::now(), *view_, info.route,
                           query::failure::snapshot_gone, {});
    }
    attempts_.clear();
    const finished done = std::exchange(done_, nullptr);
    if (done) done(*wanted.done, execution_.tally(), overloaded_);
    return;
  }
  if (!execution_.finished()) arm(wanted.wake_at);
}

void query_run::arm(time_point wake_at) {
  if (wake_at == time_point::max()) return;
  timer_.expires_at(wake_at);
  timer_.async_wait([self = shared_from_this()](const auto& cancelled) {
    if (cancelled || self->execution_.finished()) return;
    self->carry_out(self->execution_.on_timer(steady_clock::now()));
  });
}

duration query_run::silence() const {
  const duration left = execution_.asked().deadline - steady_clock::now();
  return std::max<duration>(left, duration::zero()) + peer_grace;
}

void query_run::cancel(const std::vector<query::cancel_action>& cancels) {
  struct target {
    notes::daemon_index relay;
    std::uint64_t part_id;
    auto operator<=>(const target&) const = default;
  };
  std::map<target, std::vector<query::attempt_id>> grouped;
  for (const query::cancel_action& one : cancels) {
    const auto info = attempts_.find(one.attempt);
    if (info == attempts_.end()) continue;
    grouped[{one.route.relay, info->second.part_id}].push_back(one.attempt);
  }
  for (const auto& [where, attempts] : grouped) {
    if (view_->self == where.relay) {
      owner_.relay_.cancel(where.part_id, attempts);
    } else {
      owner_.client(*view_, where.relay).cancel(where.part_id, attempts);
    }
  }
}

void query_run::send(const std::vector<query::send_action>& sends) {
  const notes::fleet_model& model = *view_->model;
  const query::request& asked = execution_.asked();
  const time_point now = steady_clock::now();
  std::map<notes::daemon_index, peers::subquery> parts;
  for (const query::send_action& one : sends) {
    auto [at, fresh] = parts.try_emplace(one.route.relay);
    peers::subquery& work = at->second;
    if (fresh) work.subquery_id = owner_.random_();
    work.tasks.push_back({.attempt = one.attempt,
                          .leaf = model.leafs[one.route.leaf].id,
                          .shard = one.shard->id,
                          .range = one.shard->range,
                          .snapshot = one.snapshot});
    attempts_[one.attempt] = {one.route, work.subquery_id, now};
    owner_.choice_.sent(*view_, one.route);
    if (one.kind != query::attempt_kind::hedge) continue;
    owner_.context_.event(timeline::event_kind::hedge_sent, asked.id,
                          model.leafs[one.route.leaf].id);
  }
  for (auto& [relay, work] : parts) {
    work.request_id = asked.id;
    work.service = asked.service->id;
    work.priority = asked.priority;
    work.body = body_;
    work.remaining = asked.deadline - now;
    work.idempotent = asked.idempotent;
    work.row_limit = asked.row_limit;
    work.flush_after = work.remaining;
    if (policy_.hedge_after) {
      work.flush_after = std::chrono::duration_cast<duration>(
          *policy_.hedge_after * flush_share);
    }
    send_part(relay, work);
  }
}

void query_run::send_part(notes::daemon_index relay,
                          const peers::subquery& work) {
  const std::uint64_t part_id = work.subquery_id;
  const auto self = shared_from_this();
  if (view_->self == relay) {
    owner_.relay_.run(work,
                      [self, relay, part_id](peers::subquery_answer answer) {
                        self->part_answered(relay, part_id, std::move(answer));
                      });
    return;
  }
  owner_.client(*view_, relay)
      .run(work, silence(), [self, relay, part_id](auto answer) {
        self->part_answered(relay, part_id, std::move(answer));
      });
}

void query_run::collect(notes::daemon_index relay, std::uint64_t part_id) {
  const auto self = shared_from_this();
  if (view_->self == relay) {
    owner_.relay_.collect(
        part_id, [self, relay, part_id](peers::subquery_answer answer) {
          self->part_answered(relay, part_id, std::move(answer));
        });
    return;
  }
  owner_.client(*view_, relay)
      .collect(part_id, silence(), [self, relay, part_id](auto answer) {
        self->part_answered(relay, part_id, std::move(answer));
      });
}

void query_run::part_answered(
    notes::daemon_index relay, std::uint64_t part_id,
    peers::peer_result<peers::subquery_answer> answer) {
  if (!answer) {
    part_failed(part_id, answer.error());
    return;
  }
  if (answer.value().subquery_id != part_id) {
    part_failed(part_id, {peers::peer_errc::lost, "another part's answer"});
    return;
  }
  const duration hop = hop_of(answer.value());
  for (const peers::task_result& result : answer.value().results) {
    task_ended(result, hop);
  }
  if (answer.value().pending > 0 && !execution_.finished()) {
    collect(relay, part_id);
  }
}

// The results of a part come together, when the slowest has ended: only for
// that one is the difference the hop alone.
duration query_run::hop_of(const peers::subquery_answer& answer) const {
  const time_point now = steady_clock::now();
  duration least = duration::max();
  for (const peers::task_result& result : answer.results) {
    const auto info = attempts_.find(result.attempt);
    if (info == attempts_.end()) continue;
    least = std::min(least, now - info->second.sent_at - result.latency);
  }
  return least == duration::max() ? duration::zero()
                                  : std::max(least, duration::zero());
}

void query_run::part_failed(std::uint64_t part_id,
                            const peers::peer_error& error) {
  const bool sent = error.code != peers::peer_errc::not_connected;
  std::vector<query::attempt_id> affected;
  for (const auto& [attempt, info] : attempts_) {
    if (info.part_id == part_id) affected.push_back(attempt);
  }
  for (const query::attempt_id attempt : affected) {
    task_ended({.attempt = attempt,
                .status = sent ? peers::task_status::lost
                               : peers::task_status::not_sent},
               duration::zero());
  }
}

void query_run::task_ended(const peers::task_result& result, duration hop) {
  const time_point now = steady_clock::now();
  const auto info = attempts_.extract(result.attempt);
  if (info.empty()) {
    if (!execution_.finished()) {
      owner_.figures_.increment(metrics::counter::foreign_answers_dropped);
    }
    return;
  }
  const query::route route = info.mapped().route;
  const duration latency = result.latency + hop;
  const auto failed = failure_of(result.status);
  if (result.status == peers::task_status::overloaded) overloaded_ = true;
  owner_.choice_.ended(now, *view_, route, failed, latency);
  service_experience& known = owner_.experience(execution_.asked().service->id);
  if (result.newest != 0) {
    known.snapshots.heard(route.leaf, result.oldest, result.newest);
  }
  if (!failed) {
    known.latency.add(latency);
    carry_out(execution_.on_answer(now, result.attempt, result.answer));
    return;
  }
  carry_out(execution_.on_failure(
      now, result.attempt,
      {.how = *failed, .oldest = result.oldest, .newest = result.newest}));
}

}  // namespace medlarloft::server
