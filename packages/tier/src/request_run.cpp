#include "request_run.hpp"

#include <algorithm>

#include "seconds_text.hpp"

namespace medlarloft::tier {
namespace {

constexpr int status_ok = 200;
constexpr int status_bad_gateway = 502;
constexpr int status_unavailable = 503;
constexpr int status_gateway_timeout = 504;
constexpr int status_first_error = 300;
constexpr int status_first_server_error = 500;

/// Part of an objective that goes on the way from a caller and back, and on
/// opening a connection.
constexpr duration answer_reserve = std::chrono::milliseconds(15);
/// The last answer leaves before the caller stops waiting.
constexpr duration deadline_reserve = std::chrono::milliseconds(4);
/// A single request waits for a free leaf for at most this part of its
/// objective.
constexpr int wait_part = 4;
/// An answer that is not needed any more is still read for so long, which
/// keeps the connection and tells how the leaf does.
constexpr duration shortest_drain = std::chrono::milliseconds(400);
constexpr int drain_factor = 4;
/// What a caller that left does not need ends within this.
constexpr duration caller_left_drain = std::chrono::milliseconds(250);
constexpr duration default_wait = std::chrono::seconds(10);

// A gather may wait until it must answer without the part; a single request is
// refused while its caller can still be served elsewhere.
duration longest_wait(const routes::route& route, duration whole) {
  if (route.gathers()) return whole;
  const bool timed = route.latency_objective > duration::zero();
  return (timed ? route.latency_objective : whole) / wait_part;
}

fanout::request_plan plan(const routes::route& route, std::string id,
                          std::vector<std::string> services, time_point began,
                          time_point caller_deadline, time_point last_answer) {
  const time_point limit =
      route.timeout > duration::zero()
          ? std::min(began + route.timeout, caller_deadline)
          : caller_deadline;
  const time_point deadline = std::min(limit - deadline_reserve, last_answer);
  const bool timed = route.latency_objective > duration::zero();
  return {.id = std::move(id),
          .route = &route,
          .services = std::move(services),
          .started_at = began,
          .deadline = deadline,
          .soft_deadline =
              timed ? std::min(began + route.latency_objective - answer_reserve,
                               deadline)
                    : deadline,
          .max_wait = longest_wait(route, deadline - began)};
}

// Logs tell times in whole microseconds.
duration rounded(duration value) {
  return std::chrono::floor<std::chrono::microseconds>(value);
}

}  // namespace

request_run::request_run(traffic_context& context,
                         std::shared_ptr<http::exchange> asked,
                         request_metadata facts, routes::route_table_ptr table,
                         const routes::route& route,
                         std::vector<std::string> services,
                         time_point last_answer)
    : context_(context),
      asked_(std::move(asked)),
      facts_(std::move(facts)),
      passed_(context.platform.make_leaf_request(asked_->request())),
      table_(std::move(table)),
      route_(route),
      began_(asked_->received_at()),
      caller_deadline_(
          began_ + facts_.remaining.value_or(route.timeout > duration::zero()
                                                 ? route.timeout
                                                 : default_wait)),
      execution_(plan(route, facts_.request_id, std::move(services), began_,
                      caller_deadline_, last_answer),
                 choices()),
      choice_(context.leafs, context.queue,
              {.work_class = route.name,
               .priority = route.priority,
               .soft_deadline = execution_.plan().soft_deadline}) {}

fanout::hooks request_run::choices() {
  return {.pick =
              [this](const std::string& service,
                     const leafs::pick_options& limits) {
                return choice_.pick(steady_clock::now(), service, limits);
              },
          .take_retry_budget =
              [this](const std::string& service) {
                const bool taken =
                    context_.budget.try_consume(steady_clock::now(), service);
                if (!taken) context_.counts.add(count::budget_empty);
                return taken;
              },
          .expected_time =
              [this](leafs::leaf_handle leaf) {
                return context_.leafs.expected_time(steady_clock::now(), leaf,
                                                    route_.name);
              },
          .hedge_delay =
              [this](leafs::leaf_handle leaf) {
                return context_.leafs.hedge_delay(steady_clock::now(), leaf,
                                                  route_.name);
              },
          .next_attempt_id = [this] { return ++context_.next_attempt; },
          .estimate_wait =
              [this](const std::string& service) {
                return choice_.estimate_wait(steady_clock::now(), service);
              }};
}

void request_run::follow_waits(const fanout::actions& wanted) {
  const std::vector<std::string>& services = execution_.plan().services;
  std::ranges::for_each(wanted.leave_queues, [&](std::size_t shard) {
    choice_.leave_queue(services[shard]);
  });
  std::ranges::for_each(wanted.join_queues, [&](std::size_t shard) {
    choice_.join_queue(services[shard], [me = shared_from_this()] {
      me->carry_out(me->execution_.on_timer(steady_clock::now()));
    });
  });
}

void request_run::start() {
  const time_point now = steady_clock::now();
  for (const std::string& service : execution_.plan().services)
    context_.budget.add_request(now, service);
  asked_->on_disconnect([me = shared_from_this()] {
    me->carry_out(me->execution_.on_caller_left(steady_clock::now()));
  });
  carry_out(execution_.start(now));
}

void request_run::carry_out(fanout::actions wanted) {
  context_.timers.cancel(timer_);
  follow_waits(wanted);
  for (const fanout::send_action& each : wanted.sends)
    send(each);
  for (const fanout::abandon_action& each : wanted.abandons)
    abandon(each);
  if (wanted.result) {
    finish(*wanted.result);
  } else if (!execution_.finished() && wanted.wake_at != time_point::max()) {
    timer_ = context_.timers.at(wanted.wake_at,
                                [me = shared_from_this()] { me->on_timer(); });
  }
}

void request_run::on_timer() {
  timer_ = {};
  carry_out(execution_.on_timer(steady_clock::now()));
}

void request_run::send(const fanout::send_action& wanted) {
  const time_point now = steady_clock::now();
  const leafs::leaf_registration to = *context_.leafs.find(wanted.leaf);
  context_.leafs.on_attempt_sent(now, wanted.leaf, wanted.attempt, route_.name);
  context_.counts.add(count::leaf_requests);
  if (wanted.kind == fanout::attempt_kind::hedge) {
    context_.counts.add(count::hedges);
  }
  if (wanted.kind == fanout::attempt_kind::retry) {
    context_.counts.add(count::retries);
  }
  history_.push_back({.attempt = wanted.attempt,
                      .shard = wanted.shard,
                      .leaf = wanted.leaf,
                      .kind = wanted.kind,
                      .sent_at = now,
                      .expected = context_.leafs.expected_time(now, wanted.leaf,
                                                               route_.name)});
  open_attempt& open = attempts_[wanted.attempt];
  open.leaf = wanted.leaf;
  open.sent_at = now;
  open.call = context_.pool.send(
      wanted.leaf, to.address,
      [me = shared_from_this(), to] {
        const duration left = me->caller_deadline_ - steady_clock::now();
        return http::serialize_request(
            me->passed_, me->context_.platform.make_leaf_headers(to, left));
      },
      asked_->request().method,
      [me = shared_from_this()](const http::message& answer) {
        return me->context_.platform.is_response_to(answer,
                                                    me->facts_.request_id);
      },
      [me = shared_from_this(), attempt = wanted.attempt](leaf_result got) {
        me->on_result(attempt, std::move(got));
      });
}

void request_run::abandon(const fanout::abandon_action& wanted) {
  const auto found = attempts_.find(wanted.attempt);
  if (found == attempts_.end()) return;
  open_attempt& open = found->second;
  open.abandoned = true;
  const time_point now = steady_clock::now();
  const duration usual =
      context_.leafs.expected_time(now, open.leaf, route_.name) * drain_factor;
  time_point until =
      std::max(open.sent_at + std::max(usual, shortest_drain), now);
  if (!asked_) until = std::min(until, now + caller_left_drain);
  open.give_up = context_.timers.at(
      until, [me = shared_from_this(), attempt = wanted.attempt] {
        const auto late = me->attempts_.find(attempt);
        if (late == me->attempts_.end()) return;
        late->second.give_up = {};
        late->second.call.close();
      });
}

void request_run::on_result(leafs::attempt_id attempt, leaf_result result) {
  const auto entry = attempts_.extract(attempt);
  if (entry.empty()) return;
  open_attempt open = entry.mapped();
  context_.timers.cancel(open.give_up);
  const time_point now = steady_clock::now();
  leafs::attempt_outcome how = leafs::attempt_outcome::answered;
  std::optional<fanout::leaf_response> answer;
  if (!result.connected) {
    how = leafs::attempt_outcome::no_connection;
  } else if (!result.got) {
    how = result.got.error() == http::exchange_errc::timed_out
              ? leafs::attempt_outcome::silent
              : leafs::attempt_outcome::lost;
  } else {
    http::message& got = result.got.value().response;
    const response_metadata said =
        context_.platform.read_response_metadata(got);
    if (said.misdirected) {
      how = leafs::attempt_outcome::misdirected;
    } else if (said.not_run) {
      how = leafs::attempt_outcome::shed;
    } else {
      const bool success =
          got.status >= status_ok && got.status < status_first_error;
      if (success && said.signature.empty()) {
        how = leafs::attempt_outcome::lost;
      } else {
        if (got.status >= status_first_server_error ||
            (!success && route_.gathers())) {
          how = leafs::attempt_outcome::failed;
        }
        answer = fanout::leaf_response{.status = got.status,
                                       .signature = said.signature,
                                       .headers = http::end_to_end_headers(got),
                                       .body = std::move(got.body)};
      }
    }
  }
  context_.leafs.on_attempt_ended(now, open.leaf, attempt, how);
  context_.counts.ended(how);
  const auto past =
      std::ranges::find(history_, attempt, &attempt_record::attempt);
  past->ending = how;
  past->took = now - past->sent_at;
  const std::string& service = execution_.plan().services[past->shard];
  if (!open.abandoned && !execution_.finished()) {
    carry_out(
        how == leafs::attempt_outcome::answered
            ? execution_.on_response(now, attempt, std::move(*answer))
            : execution_.on_failure(now, attempt, how, std::move(answer)));
  }
  waiting::leaf_picker::wake_waiters(now, context_.leafs, context_.queue,
                                     service);
}

http::message request_run::answer_for(
    const fanout::request_result& done) const {
  switch (done.outcome) {
    case fanout::request_outcome::answered: {
      if (!route_.gathers()) {
        // "Not run" in the words of HTTP must be true.
        fanout::leaf_response only = done.responses.front();
        const bool promises = only.status == 503 || only.status == 429 ||
                              only.status == 408 || only.status == 421;
        if (promises) return {.status = status_bad_gateway};
        return {.status = only.status,
                .headers = std::move(only.headers),
                .body = std::move(only.body)};
      }
      return {.status = status_ok,
              .headers = context_.platform.make_gather_headers(
                  facts_.request_id, done.responses, done.missing_count),
              .body = fanout::merge_top_records(done.responses,
                                                route_.max_records)};
    }
    case fanout::request_outcome::not_run:
      return {.status = status_unavailable,
              .headers = {{"Retry-After", seconds_text(done.retry_after)}}};
    case fanout::request_outcome::failed:
      return {.status = status_bad_gateway};
    case fanout::request_outcome::out_of_time:
    case fanout::request_outcome::caller_left:
      break;
  }
  return {.status = status_gateway_timeout};
}

void request_run::finish(const fanout::request_result& done) {
  using fanout::request_outcome;
  figures& counts = context_.counts;
  const duration took = steady_clock::now() - began_;
  int status = 0;
  if (done.outcome == request_outcome::caller_left) {
    counts.add(count::callers_left);
  } else {
    http::message answer = answer_for(done);
    status = answer.status;
    asked_->respond(std::move(answer));
  }
  if (done.outcome == request_outcome::answered) {
    counts.add(done.missing_count == 0 ? count::answered_whole
                                       : count::answered_partial);
  } else if (done.outcome == request_outcome::not_run) {
    counts.add(count::refused_not_run);
  } else if (done.outcome == request_outcome::failed) {
    counts.add(count::failed);
  } else if (done.outcome == request_outcome::out_of_time) {
    counts.add(count::out_of_time);
  }
  counts.latencies().latency({route_.gathers() ? "gather" : "single",
                              std::string(fanout::name_of(done.outcome))},
                             took);
  log_end(done, status);
}

// A first request that was answered says nothing; every other one does.
void request_run::log_attempt(const attempt_record& attempt) {
  const bool plain = attempt.kind == fanout::attempt_kind::first &&
                     attempt.ending == leafs::attempt_outcome::answered;
  if (plain) return;
  const leafs::leaf_registration& leaf = *context_.leafs.find(attempt.leaf);
  context_.log.write(
      "attempt", {{"request", facts_.request_id},
                  {"service", execution_.plan().services[attempt.shard]},
                  {"kind", fanout::name_of(attempt.kind)},
                  {"leaf", leaf.id},
                  {"data_centre", leaf.data_centre},
                  {"sent_after", rounded(attempt.sent_at - began_)},
                  {"expected", rounded(attempt.expected)},
                  {"ending", attempt.ending ? leafs::name_of(*attempt.ending)
                                            : "no_answer_yet"},
                  {"took", rounded(attempt.took)}});
}

void request_run::log_missing(const fanout::missing_part& part) {
  context_.log.write(
      "part_missing",
      {{"request", facts_.request_id},
       {"service", execution_.plan().services[part.shard]},
       {"sends", part.sends},
       {"unanswered", part.unanswered.size()},
       {"obstacle",
        part.unavailable ? leafs::name_of(*part.unavailable) : "none"},
       {"budget_empty", part.budget_empty},
       {"last_ending",
        part.last_outcome ? leafs::name_of(*part.last_outcome) : "none"}});
}

void request_run::log_end(const fanout::request_result& done, int status) {
  const time_point now = steady_clock::now();
  const bool well = done.outcome == fanout::request_outcome::answered &&
                    done.missing_count == 0 &&
                    now <= execution_.plan().soft_deadline;
  if (!context_.log.admits(now, !well)) return;
  const fanout::attempt_counts& tally = execution_.counts();
  std::ranges::for_each(history_, [this](const attempt_record& attempt) {
    log_attempt(attempt);
  });
  std::ranges::for_each(done.missing, [this](const fanout::missing_part& part) {
    log_missing(part);
  });
  context_.log.write(
      "request_ended",
      {{"request", facts_.request_id},
       {"route", route_.name},
       {"new_connection", asked_->first_on_connection()},
       {"version", table_->version()},
       {"outcome", fanout::name_of(done.outcome)},
       {"reason", done.reason},
       {"status", status},
       {"took",
        std::chrono::duration_cast<duration>(
            std::chrono::floor<std::chrono::microseconds>(now - began_))},
       {"missing", done.missing_count},
       {"sent", tally.sent},
       {"hedges", tally.hedges},
       {"retries", tally.retries}});
}

}  // namespace medlarloft::tier
