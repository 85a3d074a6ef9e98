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
  const bool timed = route.objective > duration::zero();
  return (timed ? route.objective : whole) / wait_part;
}

fanout::request plan(const routes::route& route, std::string id,
                     std::vector<std::string> services, time_point began,
                     time_point caller_deadline, time_point last_answer) {
  const time_point limit =
      route.time_limit > duration::zero()
          ? std::min(began + route.time_limit, caller_deadline)
          : caller_deadline;
  const time_point deadline = std::min(limit - deadline_reserve, last_answer);
  const bool timed = route.objective > duration::zero();
  return {.id = std::move(id),
          .route = &route,
          .services = std::move(services),
          .began = began,
          .deadline = deadline,
          .answer_by =
              timed
                  ? std::min(began + route.objective - answer_reserve, deadline)
                  : deadline,
          .longest_wait = longest_wait(route, deadline - began)};
}

// Logs tell times in whole microseconds.
duration rounded(duration value) {
  return std::chrono::floor<std::chrono::microseconds>(value);
}

}  // namespace

request_run::request_run(traffic_context& context,
                         std::shared_ptr<http::exchange> asked,
                         caller_facts facts, routes::table_ptr table,
                         const routes::route& route,
                         std::vector<std::string> services,
                         time_point last_answer)
    : context_(context),
      asked_(std::move(asked)),
      facts_(std::move(facts)),
      passed_(context.words.leaf_request(asked_->request())),
      table_(std::move(table)),
      route_(route),
      began_(asked_->received_at()),
      caller_deadline_(
          began_ + facts_.remaining.value_or(route.time_limit > duration::zero()
                                                 ? route.time_limit
                                                 : default_wait)),
      execution_(plan(route, facts_.request_id, std::move(services), began_,
                      caller_deadline_, last_answer),
                 choices()),
      choice_(context.leafs, context.line,
              {.work = route.name,
               .rank = route.rank,
               .due = execution_.asked().answer_by}) {}

fanout::hooks request_run::choices() {
  return {.pick =
              [this](const std::string& service,
                     const leafs::pick_options& limits) {
                return choice_.pick(steady_clock::now(), service, limits);
              },
          .take_extra =
              [this](const std::string& service) {
                const bool taken =
                    context_.budget.take(steady_clock::now(), service);
                if (!taken) context_.counts.add(count::budget_empty);
                return taken;
              },
          .expected =
              [this](leafs::leaf_handle leaf) {
                return context_.leafs.expected(steady_clock::now(), leaf,
                                               route_.name);
              },
          .patience =
              [this](leafs::leaf_handle leaf) {
                return context_.leafs.patience(steady_clock::now(), leaf,
                                               route_.name);
              },
          .new_attempt = [this] { return ++context_.next_attempt; },
          .estimate =
              [this](const std::string& service) {
                return choice_.expect(steady_clock::now(), service);
              }};
}

void request_run::follow_waits(const fanout::actions& wanted) {
  const std::vector<std::string>& services = execution_.asked().services;
  std::ranges::for_each(wanted.waits_no_more, [&](std::size_t shard) {
    choice_.leave(services[shard]);
  });
  std::ranges::for_each(wanted.waits, [&](std::size_t shard) {
    choice_.join(services[shard], [me = shared_from_this()] {
      me->carry_out(me->execution_.on_timer(steady_clock::now()));
    });
  });
}

void request_run::start() {
  const time_point now = steady_clock::now();
  for (const std::string& service : execution_.asked().services)
    context_.budget.request(now, service);
  asked_->on_gone([me = shared_from_this()] {
    me->carry_out(me->execution_.caller_left(steady_clock::now()));
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
  if (wanted.done) {
    finish(*wanted.done);
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
  const leafs::registration to = *context_.leafs.find(wanted.leaf);
  context_.leafs.sent(now, wanted.leaf, wanted.attempt, route_.name);
  context_.counts.add(count::leaf_requests);
  if (wanted.kind == fanout::attempt_kind::hedge) {
    context_.counts.add(count::hedges);
  }
  if (wanted.kind == fanout::attempt_kind::retry) {
    context_.counts.add(count::retries);
  }
  history_.push_back(
      {.attempt = wanted.attempt,
       .shard = wanted.shard,
       .leaf = wanted.leaf,
       .kind = wanted.kind,
       .sent_at = now,
       .expected = context_.leafs.expected(now, wanted.leaf, route_.name)});
  open_attempt& open = attempts_[wanted.attempt];
  open.leaf = wanted.leaf;
  open.sent_at = now;
  open.call = context_.pool.send(
      wanted.leaf, to.address,
      [me = shared_from_this(), to] {
        const duration left = me->caller_deadline_ - steady_clock::now();
        return http::to_request_text(me->passed_,
                                     me->context_.words.leaf_headers(to, left));
      },
      asked_->request().method,
      [me = shared_from_this()](const http::message& answer) {
        return me->context_.words.belongs(answer, me->facts_.request_id);
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
      context_.leafs.expected(now, open.leaf, route_.name) * drain_factor;
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
  leafs::ending how = leafs::ending::answered;
  std::optional<fanout::leaf_answer> answer;
  if (!result.connected) {
    how = leafs::ending::no_connection;
  } else if (!result.got) {
    how = result.got.error() == http::exchange_errc::timed_out
              ? leafs::ending::silent
              : leafs::ending::lost;
  } else {
    http::message& got = result.got.value().answer;
    const leaf_facts said = context_.words.read_leaf(got);
    if (said.other_leaf) {
      how = leafs::ending::misdirected;
    } else if (said.not_run) {
      how = leafs::ending::shed;
    } else {
      const bool success =
          got.status >= status_ok && got.status < status_first_error;
      if (success && said.signature.empty()) {
        how = leafs::ending::lost;
      } else {
        if (got.status >= status_first_server_error ||
            (!success && route_.gathers())) {
          how = leafs::ending::failed;
        }
        answer = fanout::leaf_answer{.status = got.status,
                                     .signature = said.signature,
                                     .headers = http::end_to_end_headers(got),
                                     .body = std::move(got.body)};
      }
    }
  }
  context_.leafs.ended(now, open.leaf, attempt, how);
  context_.counts.ended(how);
  const auto past =
      std::ranges::find(history_, attempt, &attempt_record::attempt);
  past->ending = how;
  past->took = now - past->sent_at;
  const std::string& service = execution_.asked().services[past->shard];
  if (!open.abandoned && !execution_.finished()) {
    carry_out(
        how == leafs::ending::answered
            ? execution_.on_answer(now, attempt, std::move(*answer))
            : execution_.on_failure(now, attempt, how, std::move(answer)));
  }
  waiting::leaf_choice::freed(now, context_.leafs, context_.line, service);
}

http::message request_run::answer_for(const fanout::final_outcome& done) const {
  switch (done.what) {
    case fanout::verdict::answered: {
      if (!route_.gathers()) {
        // "Not run" in the words of HTTP must be true.
        fanout::leaf_answer only = done.answers.front();
        const bool promises = only.status == 503 || only.status == 429 ||
                              only.status == 408 || only.status == 421;
        if (promises) return {.status = status_bad_gateway};
        return {.status = only.status,
                .headers = std::move(only.headers),
                .body = std::move(only.body)};
      }
      return {
          .status = status_ok,
          .headers = context_.words.gathered_headers(
              facts_.request_id, done.answers, done.missing_parts),
          .body = fanout::greatest_records(done.answers, route_.top_records)};
    }
    case fanout::verdict::not_run:
      return {.status = status_unavailable,
              .headers = {{"Retry-After", seconds_text(done.retry_after)}}};
    case fanout::verdict::failed:
      return {.status = status_bad_gateway};
    case fanout::verdict::out_of_time:
    case fanout::verdict::caller_left:
      break;
  }
  return {.status = status_gateway_timeout};
}

void request_run::finish(const fanout::final_outcome& done) {
  using fanout::verdict;
  figures& counts = context_.counts;
  const duration took = steady_clock::now() - began_;
  int status = 0;
  if (done.what == verdict::caller_left) {
    counts.add(count::callers_left);
  } else {
    http::message answer = answer_for(done);
    status = answer.status;
    asked_->respond(std::move(answer));
  }
  if (done.what == verdict::answered) {
    counts.add(done.missing_parts == 0 ? count::answered_whole
                                       : count::answered_partial);
  } else if (done.what == verdict::not_run) {
    counts.add(count::refused_not_run);
  } else if (done.what == verdict::failed) {
    counts.add(count::failed);
  } else if (done.what == verdict::out_of_time) {
    counts.add(count::out_of_time);
  }
  counts.latencies().latency({route_.gathers() ? "gather" : "single",
                              std::string(fanout::name_of(done.what))},
                             took);
  log_end(done, status);
}

// A first request that was answered says nothing; every other one does.
void request_run::log_attempt(const attempt_record& attempt) {
  const bool plain = attempt.kind == fanout::attempt_kind::first &&
                     attempt.ending == leafs::ending::answered;
  if (plain) return;
  const leafs::registration& leaf = *context_.leafs.find(attempt.leaf);
  context_.log.write(
      "attempt", {{"request", facts_.request_id},
                  {"service", execution_.asked().services[attempt.shard]},
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
       {"service", execution_.asked().services[part.shard]},
       {"sends", part.sends},
       {"unanswered", part.silent.size()},
       {"obstacle", part.obstacle ? leafs::name_of(*part.obstacle) : "none"},
       {"budget_empty", part.budget_empty},
       {"last_ending",
        part.last_ending ? leafs::name_of(*part.last_ending) : "none"}});
}

void request_run::log_end(const fanout::final_outcome& done, int status) {
  const time_point now = steady_clock::now();
  const bool well = done.what == fanout::verdict::answered &&
                    done.missing_parts == 0 &&
                    now <= execution_.asked().answer_by;
  if (!context_.log.admits(now, !well)) return;
  const fanout::tally& tally = execution_.tally();
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
       {"new_connection", asked_->on_new_connection()},
       {"version", table_->version()},
       {"outcome", fanout::name_of(done.what)},
       {"reason", done.reason},
       {"status", status},
       {"took",
        std::chrono::duration_cast<duration>(
            std::chrono::floor<std::chrono::microseconds>(now - began_))},
       {"missing", done.missing_parts},
       {"sent", tally.sent},
       {"hedges", tally.hedges},
       {"retries", tally.retries}});
}

}  // namespace medlarloft::tier
