#include "request_task.hpp"

#include <algorithm>

#include "format_seconds.hpp"

namespace medlarloft::tier {
namespace {

constexpr int status_ok = 200;
constexpr int status_bad_gateway = 502;
constexpr int status_unavailable = 503;
constexpr int status_gateway_timeout = 504;
constexpr int status_first_error = 300;
constexpr int status_first_server_error = 500;

/// Part of a latency objective that is used by the network to and from the
/// caller, and by opening a connection.
constexpr duration answer_reserve = std::chrono::milliseconds(15);
/// The last response is sent this long before the caller stops waiting.
constexpr duration deadline_reserve = std::chrono::milliseconds(4);
/// A single request waits for a free leaf for at most its latency objective
/// divided by this.
constexpr int max_wait_divisor = 4;
/// The response to an abandoned attempt is still read until `drain_factor`
/// times the expected time, and at least this time, has passed since it was
/// sent: that keeps the connection usable and shows how fast the leaf is.
constexpr duration min_drain_time = std::chrono::milliseconds(400);
constexpr int drain_factor = 4;
/// Limit of the drain time once the caller has left. A leaf stops working when
/// its connection closes, which must be half a second after the caller's
/// disconnect at the latest.
constexpr duration caller_left_drain = std::chrono::milliseconds(250);
/// How long a caller waits if neither its request nor the route states it.
constexpr duration default_caller_timeout = std::chrono::seconds(10);

// Returns how long a request may wait for a free leaf. A gather may wait until
// it must answer without the missing part; a single request is refused while
// the caller can still be served by another daemon.
duration max_wait(const routes::route& route, duration time_left) {
  if (route.gathers()) return time_left;
  const bool has_objective = route.latency_objective > duration::zero();
  return (has_objective ? route.latency_objective : time_left) /
         max_wait_divisor;
}

time_point caller_deadline(time_point received_at,
                           const request_metadata& metadata,
                           const routes::route& route) {
  const duration default_timeout =
      route.timeout > duration::zero() ? route.timeout : default_caller_timeout;
  return received_at + metadata.remaining.value_or(default_timeout);
}

fanout::request_plan make_plan(const routes::route& route,
                               const request_metadata& metadata,
                               std::vector<std::string> services,
                               time_point started_at,
                               time_point stop_deadline) {
  const time_point deadline =
      std::min(request_deadline(started_at, metadata, route) - deadline_reserve,
               stop_deadline);
  const bool has_objective = route.latency_objective > duration::zero();
  return {.id = metadata.request_id,
          .route = &route,
          .services = std::move(services),
          .started_at = started_at,
          .deadline = deadline,
          .soft_deadline = has_objective
                               ? std::min(started_at + route.latency_objective -
                                              answer_reserve,
                                          deadline)
                               : deadline,
          .max_wait = max_wait(route, deadline - started_at)};
}

}  // namespace

std::uint32_t priority_of(const routes::route& route,
                          const routes::account* account) {
  return account ? account->priority.value_or(route.priority) : route.priority;
}

time_point request_deadline(time_point received_at,
                            const request_metadata& metadata,
                            const routes::route& route) {
  const time_point deadline = caller_deadline(received_at, metadata, route);
  return route.timeout > duration::zero()
             ? std::min(received_at + route.timeout, deadline)
             : deadline;
}

request_task::request_task(traffic_context& context, admitted_request request)
    : context_(context),
      exchange_(std::move(request.exchange)),
      metadata_(std::move(request.metadata)),
      leaf_request_(context.platform.make_leaf_request(
          exchange_->request(),
          {.accounts_configured = request.table->has_accounts(),
           .name = request.account ? request.account->name : ""})),
      table_(std::move(request.table)),
      route_(*request.route),
      account_(request.account),
      on_not_sent_(std::move(request.on_not_sent)),
      received_at_(exchange_->received_at()),
      caller_deadline_(caller_deadline(received_at_, metadata_, route_)),
      execution_(make_plan(route_, metadata_, std::move(request.services),
                           received_at_, request.stop_deadline),
                 make_hooks()),
      picker_(context.leafs, context.queue,
              {.work_class = route_.name,
               .priority = priority_of(route_, account_),
               .soft_deadline = execution_.plan().soft_deadline}) {}

fanout::hooks request_task::make_hooks() {
  return {
      .pick =
          [this](const std::string& service, const leafs::leaf_filter& filter) {
            if (!context_.may_send()) {
              return result<leafs::leaf_handle, leafs::unavailable_reason>(
                  leafs::unavailable_reason::all_busy);
            }
            return picker_.pick(steady_clock::now(), service, filter);
          },
      .take_retry_budget =
          [this](const std::string& service) {
            const bool taken =
                context_.budget.try_consume(steady_clock::now(), service);
            if (!taken) context_.metrics.increment(counter::budget_empty);
            return taken;
          },
      .expected_time =
          [this](leafs::leaf_handle leaf) {
            return context_.leafs.expected_time(steady_clock::now(), leaf,
                                                route_.name);
          },
      .hedge_delay =
          [this](leafs::leaf_handle leaf) {
            return context_.leafs.hedge_delay(
                steady_clock::now(), leaf, route_.name,
                priority_of(route_, account_) == routes::most_urgent_priority);
          },
      .next_attempt_id = [this] { return ++context_.last_attempt_id; },
      .estimate_wait =
          [this](const std::string& service) {
            return picker_.estimate_wait(steady_clock::now(), service);
          }};
}

void request_task::update_wait_queues(const fanout::actions& actions) {
  const std::vector<std::string>& services = execution_.plan().services;
  std::ranges::for_each(actions.leave_queues, [&](std::size_t shard) {
    picker_.leave_queue(services[shard]);
  });
  std::ranges::for_each(actions.join_queues, [&](std::size_t shard) {
    picker_.join_queue(services[shard], [self = shared_from_this()] {
      self->perform(self->execution_.on_timer(steady_clock::now()));
    });
  });
}

void request_task::limit_deadline(time_point deadline) {
  perform(execution_.limit_deadline(steady_clock::now(), deadline));
}

void request_task::start() {
  const time_point now = steady_clock::now();
  context_.running.insert(weak_from_this());
  context_.bytes_in += exchange_->request().body.size();
  for (const std::string& service : execution_.plan().services)
    context_.budget.add_request(now, service);
  exchange_->on_disconnect(
      [self = shared_from_this()] { self->on_caller_left(); });
  perform(execution_.start(now));
}

void request_task::perform(fanout::actions actions) {
  context_.timers.cancel(timer_);
  update_wait_queues(actions);
  for (const fanout::send_action& action : actions.sends)
    send(action);
  for (const fanout::abandon_action& action : actions.abandons)
    abandon(action);
  if (actions.result) {
    finish(*actions.result);
  } else if (!execution_.finished() && actions.wake_at != time_point::max()) {
    timer_ = context_.timers.at(
        actions.wake_at, [self = shared_from_this()] { self->on_timer(); });
  }
}

void request_task::on_timer() {
  timer_ = {};
  context_.check_pause();
  perform(execution_.on_timer(steady_clock::now()));
}

void request_task::send(const fanout::send_action& action) {
  const time_point now = steady_clock::now();
  const auto to = context_.leafs.find(action.leaf);
  context_.leafs.on_attempt_sent(now, action.leaf, action.attempt, route_.name);
  context_.metrics.increment(counter::leaf_requests);
  if (action.kind == fanout::attempt_kind::hedge) {
    context_.metrics.increment(counter::hedges);
  }
  if (action.kind == fanout::attempt_kind::retry) {
    context_.metrics.increment(counter::retries);
  }
  open_attempt& open = open_attempts_[action.attempt];
  open.leaf = action.leaf;
  open.sent_at = now;
  open.call = context_.pool.send(
      action.leaf, to->address,
      {.make_text =
           [self = shared_from_this(), to] {
             const duration remaining =
                 self->caller_deadline_ - steady_clock::now();
             std::string text = http::serialize_request(
                 self->leaf_request_,
                 self->context_.platform.make_leaf_headers(*to, remaining));
             self->context_.bytes_out += text.size();
             return text;
           },
       .method = exchange_->request().method,
       .is_response =
           [self = shared_from_this()](const http::message& response) {
             return self->context_.platform.match_response(
                 response, self->metadata_.request_id);
           },
       .carried_by = attempts_.connections_to(action.leaf)},
      [self = shared_from_this(),
       attempt = action.attempt](pool_result result) {
        self->on_attempt_ended(attempt, std::move(result));
      });
  attempts_.add({.attempt = action.attempt,
                 .shard = action.shard,
                 .leaf = action.leaf,
                 .registration = to,
                 .connection = open.call.connection(),
                 .kind = action.kind,
                 .sent_at = now,
                 .expected_time = context_.leafs.expected_time(now, action.leaf,
                                                               route_.name)});
}

// Attempts that were abandoned earlier, such as those that lost against a
// hedge, have no caller any more either.
void request_task::on_caller_left() {
  const time_point now = steady_clock::now();
  caller_left_at_ = now;
  perform(execution_.on_caller_left(now));
  for (auto& [attempt, open] : open_attempts_)
    if (open.abandoned) start_drain_timer(now, attempt, open);
}

void request_task::abandon(const fanout::abandon_action& action) {
  const auto found = open_attempts_.find(action.attempt);
  if (found == open_attempts_.end()) return;
  found->second.abandoned = true;
  start_drain_timer(steady_clock::now(), action.attempt, found->second);
}

void request_task::start_drain_timer(time_point now, leafs::attempt_id attempt,
                                     open_attempt& open) {
  const duration drain_time =
      context_.leafs.expected_time(now, open.leaf, route_.name) * drain_factor;
  time_point close_at =
      std::max(open.sent_at + std::max(drain_time, min_drain_time), now);
  if (caller_left_at_) {
    close_at = std::min(close_at, *caller_left_at_ + caller_left_drain);
  }
  context_.timers.cancel(open.drain_timer);
  open.drain_timer =
      context_.timers.at(close_at, [self = shared_from_this(), attempt] {
        const auto found = self->open_attempts_.find(attempt);
        if (found == self->open_attempts_.end()) return;
        found->second.drain_timer = {};
        found->second.call.close();
      });
}

// Error responses and those that come too late are statements of the leaf, too.
void request_task::apply_report(time_point now, const open_attempt& open,
                                const leafs::leaf_report& report) {
  context_.metrics.increment(counter::reports_ignored,
                             report.malformed_headers);
  const leafs::report_changes changes =
      context_.leafs.on_report(now, open.leaf, open.sent_at, report);
  if (changes.pause_shortened)
    context_.metrics.increment(counter::reports_ignored);
  const auto log_change = [&](std::string_view event,
                              const logs::field& value) {
    const auto leaf = context_.leafs.find(open.leaf);
    context_.log.write(event,
                       {{"leaf", leaf->id},
                        {"service", leaf->service},
                        value,
                        {"source", "response"},
                        {"request", metadata_.request_id},
                        {"sent_before", to_whole_us(now - open.sent_at)}});
  };
  if (changes.limit) {
    log_change(report.rate_limit ? "leaf_limited" : "leaf_limit_ended",
               {"limit", report.rate_limit.value_or(0)});
  }
  if (changes.pause) log_change("leaf_paused", {"pause", *report.pause});
  if (changes.leaving) log_change("leaf_leaving", {"leaving", true});
}

void request_task::on_attempt_ended(leafs::attempt_id attempt,
                                    pool_result result) {
  const auto entry = open_attempts_.extract(attempt);
  if (entry.empty()) return;
  open_attempt open = entry.mapped();
  context_.timers.cancel(open.drain_timer);
  const time_point now = steady_clock::now();
  leafs::attempt_outcome outcome = leafs::attempt_outcome::answered;
  std::optional<fanout::leaf_response> response;
  if (!result.connected) {
    outcome = leafs::attempt_outcome::no_connection;
  } else if (!result.response) {
    outcome = result.response.error() == http::response_errc::timed_out
                  ? leafs::attempt_outcome::silent
                  : leafs::attempt_outcome::lost;
  } else {
    http::message& message = result.response.value().response;
    context_.bytes_in += message.body.size();
    const response_metadata metadata =
        context_.platform.read_response_metadata(message);
    if (!metadata.misdirected) apply_report(now, open, metadata.report);
    if (metadata.misdirected) {
      outcome = leafs::attempt_outcome::misdirected;
    } else if (metadata.not_run) {
      outcome = leafs::attempt_outcome::shed;
    } else {
      const bool success =
          message.status >= status_ok && message.status < status_first_error;
      if (success && metadata.signature.empty()) {
        outcome = leafs::attempt_outcome::lost;
      } else {
        if (message.status >= status_first_server_error ||
            (!success && route_.gathers())) {
          outcome = leafs::attempt_outcome::failed;
        }
        response =
            fanout::leaf_response{.status = message.status,
                                  .signature = metadata.signature,
                                  .headers = http::end_to_end_headers(message),
                                  .body = std::move(message.body)};
      }
    }
  }
  context_.leafs.on_attempt_ended(now, open.leaf, attempt, outcome);
  context_.metrics.count_attempt(outcome);
  const std::size_t shard = attempts_.end(now, attempt, outcome).shard;
  const std::string& service = execution_.plan().services[shard];
  if (!open.abandoned && !execution_.finished()) {
    perform(outcome == leafs::attempt_outcome::answered
                ? execution_.on_response(now, attempt, std::move(*response))
                : execution_.on_failure(now, attempt, outcome,
                                        std::move(response)));
  }
  waiting::leaf_picker::wake_waiters(now, context_.leafs, context_.queue,
                                     service);
}

http::message request_task::make_response(
    const fanout::request_result& result) const {
  switch (result.outcome) {
    case fanout::request_outcome::answered: {
      if (!route_.gathers()) {
        // These statuses would tell the caller that the request did not run,
        // which is not known here.
        fanout::leaf_response response = result.responses.front();
        const bool implies_not_run =
            response.status == 503 || response.status == 429 ||
            response.status == 408 || response.status == 421;
        if (implies_not_run) return {.status = status_bad_gateway};
        return {.status = response.status,
                .headers = std::move(response.headers),
                .body = std::move(response.body)};
      }
      return {.status = status_ok,
              .headers = context_.platform.make_gather_headers(
                  metadata_.request_id, result.responses, result.missing_count),
              .body = fanout::merge_top_records(result.responses,
                                                route_.max_records)};
    }
    case fanout::request_outcome::not_run:
      return {.status = status_unavailable,
              .headers = {{"Retry-After", format_seconds(result.retry_after)}}};
    case fanout::request_outcome::failed:
      return {.status = status_bad_gateway};
    case fanout::request_outcome::out_of_time:
    case fanout::request_outcome::caller_left:
      break;
  }
  return {.status = status_gateway_timeout};
}

void request_task::finish(const fanout::request_result& result) {
  using fanout::request_outcome;
  context_.running.erase(weak_from_this());
  daemon_metrics& metrics = context_.metrics;
  const duration elapsed = steady_clock::now() - received_at_;
  if (on_not_sent_ && execution_.counts().sent == 0) on_not_sent_();
  int status = 0;
  if (result.outcome == request_outcome::caller_left) {
    metrics.increment(counter::callers_left);
  } else {
    http::message response = make_response(result);
    status = response.status;
    context_.bytes_out += response.body.size();
    exchange_->respond(std::move(response));
  }
  if (result.outcome == request_outcome::answered) {
    metrics.increment(result.missing_count == 0 ? counter::answered_whole
                                                : counter::answered_partial);
  } else if (result.outcome == request_outcome::not_run) {
    metrics.increment(counter::refused_not_run);
  } else if (result.outcome == request_outcome::failed) {
    metrics.increment(counter::failed);
  } else if (result.outcome == request_outcome::out_of_time) {
    metrics.increment(counter::out_of_time);
  }
  metrics.latencies().record_latency(
      {route_.gathers() ? "gather" : "single",
       std::string(fanout::name_of(result.outcome))},
      elapsed);
  log_request_ended(result, status);
}

void request_task::log_missing_part(const fanout::missing_part& part) {
  context_.log.write(
      "part_missing",
      {{"request", metadata_.request_id},
       {"service", execution_.plan().services[part.shard]},
       {"sends", part.attempts_sent},
       {"unanswered", part.unanswered_leafs.size()},
       {"obstacle",
        part.no_leaf_reason ? leafs::name_of(*part.no_leaf_reason) : "none"},
       {"budget_empty", part.budget_empty},
       {"last_ending",
        part.last_outcome ? leafs::name_of(*part.last_outcome) : "none"}});
}

void request_task::log_request_ended(const fanout::request_result& result,
                                     int status) {
  const time_point now = steady_clock::now();
  const bool in_time_and_whole =
      result.outcome == fanout::request_outcome::answered &&
      result.missing_count == 0 && now <= execution_.plan().soft_deadline;
  if (!context_.log.admit_request(now, !in_time_and_whole)) return;
  const fanout::attempt_counts& counts = execution_.counts();
  attempts_.write(context_.log, metadata_.request_id, received_at_,
                  execution_.plan().services);
  std::ranges::for_each(
      result.missing,
      [this](const fanout::missing_part& part) { log_missing_part(part); });
  context_.log.write(
      "request_ended",
      {{"request", metadata_.request_id},
       {"route", route_.name},
       {"account", account_ ? account_->name : "none"},
       {"new_connection", exchange_->first_on_connection()},
       {"version", table_->version()},
       {"outcome", fanout::name_of(result.outcome)},
       {"reason", result.reason},
       {"status", status},
       {"took",
        std::chrono::duration_cast<duration>(
            std::chrono::floor<std::chrono::microseconds>(now - received_at_))},
       {"missing", result.missing_count},
       {"sent", counts.sent},
       {"hedges", counts.hedges},
       {"retries", counts.retries}});
}

}  // namespace medlarloft::tier
