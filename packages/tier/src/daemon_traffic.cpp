#include <algorithm>

#include "address_choice.hpp"
#include "daemon_state.hpp"
#include "format_seconds.hpp"

namespace medlarloft::tier {
namespace {

using membership::member_record;
using membership::member_state;
using std::chrono::milliseconds;

constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_unauthorized = 401;
constexpr int status_not_found = 404;
constexpr int status_too_many_requests = 429;
constexpr int status_unavailable = 503;

/// How long callers cache addresses: seconds, since each request for addresses
/// opens a new connection.
constexpr duration default_address_ttl = milliseconds(5000);
/// Limits of the retry delay sent while there is no configuration. A daemon
/// usually receives one soon after its start; the longer it has none, the
/// longer it will probably take.
constexpr duration min_not_ready_retry = milliseconds(150);
constexpr duration max_not_ready_retry = std::chrono::seconds(1);
/// Requests that arrive right after a pause of the process are looked at again
/// at this interval.
constexpr duration hold_poll_period = milliseconds(5);
/// A request that waits for a token of its account's quota asks again at this
/// interval.
constexpr duration quota_poll_period = milliseconds(3);
/// Retry delay sent by a stopping daemon; callers then try another one.
constexpr duration stopping_retry = milliseconds(50);

// Returns the priority of the least urgent requests.
std::uint32_t lowest_priority_of(const routes::configuration& configuration) {
  std::uint32_t lowest = 0;
  for (const routes::route& route : configuration.routes)
    lowest = std::max(lowest, route.priority);
  for (const routes::account& account : configuration.accounts)
    lowest = std::max(lowest, account.priority.value_or(0));
  return lowest;
}

}  // namespace

duration daemon::state::address_ttl() const {
  return std::min(default_address_ttl, daemon_settings.longest_keep);
}

duration daemon::state::not_ready_retry_delay(time_point now) const {
  return std::clamp<duration>((now - started_at) / 2, min_not_ready_retry,
                              max_not_ready_retry);
}

http::limits daemon::state::caller_limits() const {
  if (!view.ready()) return {};
  const routes::request_limits& limits = view.table()->config().limits;
  return {.max_header_bytes = limits.max_header_bytes,
          .max_body_bytes = limits.max_body_bytes,
          .request_timeout = limits.request_timeout,
          .idle_timeout = limits.idle_timeout};
}

std::vector<endpoint> daemon::state::addresses_for(
    const address_request& request) const {
  std::vector<address_candidate> candidates;
  for (const member_record& member : distribution->members().members()) {
    const bool self = member.id == daemon_settings.id;
    if (self ? !ready() : member.state != member_state::alive) continue;
    candidates.push_back(
        {.address = {member.control.ip, daemon_settings.listen.callers.port},
         .data_centre = member.data_centre,
         .capacity = member.capacity,
         .load = loads.of(member.id),
         .ready = self || !not_ready.contains(member.id)});
  }
  std::vector<endpoint> chosen =
      choose_addresses(candidates, request.data_centre, {},
                       hash_combine(seed, ++address_choices));
  if (chosen.empty() && !stop.begun())
    chosen.push_back(daemon_settings.listen.callers);
  return chosen;
}

void daemon::state::serve_addresses(
    const std::shared_ptr<http::exchange>& exchange) {
  const auto request = platform.read_address_request(exchange->request());
  if (!request) {
    exchange->respond({.status = status_not_found});
    return;
  }
  const std::vector<endpoint> chosen = addresses_for(*request);
  if (chosen.empty()) {
    exchange->respond({.status = status_unavailable});
    return;
  }
  metrics.increment(counter::address_answers);
  exchange->respond({.status = status_ok,
                     .headers = {{"Content-Type", "application/json"}},
                     .body = platform.write_addresses(chosen, address_ttl())});
}

void daemon::state::serve_readiness(
    const std::shared_ptr<http::exchange>& exchange) {
  if (!platform.is_readiness_request(exchange->request())) {
    exchange->respond({.status = status_not_found});
    return;
  }
  exchange->respond({.status = ready() ? status_ok : status_unavailable});
}

// Serves the request once the view was confirmed, unless its caller leaves.
void daemon::state::hold(const std::shared_ptr<http::exchange>& exchange) {
  const auto left = std::make_shared<bool>(false);
  exchange->on_disconnect([left] { *left = true; });
  timers.after(hold_poll_period, [this, exchange, left] {
    if (!*left) serve(exchange);
  });
}

void daemon::state::refuse_while_stopping(http::exchange& exchange) {
  metrics.increment(counter::refused_not_run);
  exchange.respond(
      {.status = status_unavailable,
       .headers = {{"Retry-After", format_seconds(stopping_retry)}}});
}

// A request that is cut at the end of the stop may have run. If it must not run
// twice, its caller can't repeat it, whereas another daemon can serve it now.
bool daemon::state::may_outlast_stop(const http::exchange& exchange,
                                     const request_metadata& metadata,
                                     const routes::route& route) const {
  const bool repeatable = route.retry == routes::retry_policy::idempotent;
  if (!stop.begun() || repeatable) return false;
  const time_point deadline =
      request_deadline(exchange.received_at(), metadata, route);
  return deadline > stop.answer_deadline();
}

void daemon::state::refuse_without_account(http::exchange& exchange,
                                           const request_metadata& metadata,
                                           const routes::route& route) {
  metrics.increment(counter::unauthorized);
  if (log.admit_request(steady_clock::now(), true)) {
    log.write("no_account", {{"request", metadata.request_id},
                             {"route", route.name},
                             {"key_given", !metadata.key.empty()},
                             {"version", view.table()->version()}});
  }
  exchange.respond({.status = status_unauthorized,
                    .headers = {{"WWW-Authenticate", "Bearer"}}});
}

bool daemon::state::refuse_overloaded(http::exchange& exchange,
                                      const request_metadata& metadata,
                                      const admitted_request& request) {
  if (!uneven || overload.level() == 0) return false;
  const std::int64_t version = request.table->version();
  if (!lowest_priority || lowest_priority->first != version)
    lowest_priority = {version, lowest_priority_of(request.table->config())};
  const auto retry_after =
      overload.refuse(priority_of(*request.route, request.account),
                      lowest_priority->second, metadata.request_id);
  if (!retry_after) return false;
  metrics.increment(counter::refused_overloaded);
  if (log.admit_request(steady_clock::now(), true)) {
    log.write("request_refused", {{"request", metadata.request_id},
                                  {"route", request.route->name},
                                  {"reason", "overload"},
                                  {"level", overload.level()},
                                  {"lag", overload.lag()}});
  }
  exchange.respond(
      {.status = status_unavailable,
       .headers = {{"Retry-After", format_seconds(*retry_after)}}});
  return true;
}

void daemon::state::serve(std::shared_ptr<http::exchange> exchange) {
  check_pause();
  if (holds_requests()) {
    hold(exchange);
    return;
  }
  metrics.increment(counter::requests);
  const time_point now = steady_clock::now();
  if (stop.phase(now, caller_server->active_requests()) >=
      stop_phase::refusing) {
    refuse_while_stopping(*exchange);
    return;
  }
  if (!view.ready()) {
    metrics.increment(counter::not_ready);
    exchange->respond(
        {.status = status_unavailable,
         .headers = {
             {"Retry-After", format_seconds(not_ready_retry_delay(now))}}});
    return;
  }
  request_metadata metadata =
      platform.read_request_metadata(exchange->request());
  if (metadata.request_id.empty()) {
    exchange->respond({.status = status_bad_request});
    return;
  }
  const routes::route_table_ptr table = view.table();
  const routes::route* route =
      table->find(metadata.host, exchange->request().target);
  if (route == nullptr) {
    metrics.increment(counter::no_route);
    if (log.admit_request(now, true)) {
      log.write("no_route", {{"request", metadata.request_id},
                             {"host", metadata.host},
                             {"version", table->version()}});
    }
    exchange->respond({.status = status_not_found});
    return;
  }
  const routes::account* account = table->find_account(metadata.key);
  if (table->has_accounts() && !route->is_public && account == nullptr) {
    refuse_without_account(*exchange, metadata, *route);
    return;
  }
  if (may_outlast_stop(*exchange, metadata, *route)) {
    refuse_while_stopping(*exchange);
    return;
  }
  const auto admitted = std::make_shared<admitted_request>(
      admitted_request{.exchange = std::move(exchange),
                       .metadata = std::move(metadata),
                       .table = table,
                       .route = route,
                       .account = account});
  if (refuse_overloaded(*admitted->exchange, admitted->metadata, *admitted))
    return;
  if (account == nullptr || !account->quota) {
    start_request(admitted);
    return;
  }
  account_quotas.set_table(table);
  admit_by_quota(admitted, duration::zero());
}

void daemon::state::admit_by_quota(
    const std::shared_ptr<admitted_request>& request, duration waited) {
  const std::string& account = request->account->name;
  const quota::decision decided = account_quotas.admit(account, waited);
  if (decided.outcome == quota::admission::refused) {
    refuse_over_quota(*request, decided.retry_after);
    return;
  }
  if (decided.outcome == quota::admission::admitted) {
    request->on_not_sent = [this, name = request->account->name,
                            created_at = decided.created_at] {
      account_quotas.give_back(name, created_at);
    };
    start_request(request);
    return;
  }
  const auto left = std::make_shared<bool>(false);
  request->exchange->on_disconnect([left] { *left = true; });
  const time_point asked_at = steady_clock::now() - waited;
  timers.after(quota_poll_period, [this, request, left, asked_at] {
    check_pause();
    if (*left) {
      metrics.increment(counter::callers_left);
      return;
    }
    admit_by_quota(request, steady_clock::now() - asked_at);
  });
}

void daemon::state::refuse_over_quota(const admitted_request& request,
                                      duration retry_after) {
  metrics.increment(counter::requests_over_quota);
  if (log.admit_request(steady_clock::now(), true)) {
    log.write("request_over_quota", {{"request", request.metadata.request_id},
                                     {"account", request.account->name},
                                     {"route", request.route->name},
                                     {"retry_after", retry_after},
                                     {"version", request.table->version()}});
  }
  request.exchange->respond(
      {.status = status_too_many_requests,
       .headers = {{"Retry-After", format_seconds(retry_after)}}});
}

void daemon::state::start_request(
    const std::shared_ptr<admitted_request>& request) {
  const routes::route& route = *request->route;
  request->services =
      route.gathers()
          ? route.shards
          : std::vector{splits[route.name].next(route.split).service};
  if (stop.begun()) request->stop_deadline = stop.answer_deadline();
  std::make_shared<request_task>(traffic, std::move(*request))->start();
}

}  // namespace medlarloft::tier
