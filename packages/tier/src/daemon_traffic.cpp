#include <algorithm>

#include "address_choice.hpp"
#include "daemon_state.hpp"
#include "seconds_text.hpp"

namespace medlarloft::tier {
namespace {

using membership::member_record;
using membership::member_state;
using std::chrono::milliseconds;

constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;
constexpr int status_unavailable = 503;

/// How long callers keep addresses: each question for them opens a connection.
constexpr duration usual_address_keep = milliseconds(5000);
/// A daemon that has just started mostly knows a configuration soon; the
/// longer it has none, the longer it will take.
constexpr duration least_not_ready_retry = milliseconds(150);
constexpr duration most_not_ready_retry = std::chrono::seconds(1);
/// Callers of a daemon that is about to end try another one.
constexpr duration stopping_retry = milliseconds(50);

}  // namespace

duration daemon::state::address_keep() const {
  return std::min(usual_address_keep, values.longest_keep);
}

duration daemon::state::not_ready_retry(time_point now) const {
  return std::clamp<duration>((now - started_at) / 2, least_not_ready_retry,
                              most_not_ready_retry);
}

http::limits daemon::state::caller_limits() const {
  if (!fleet.ready()) return {};
  const routes::request_limits& limits = fleet.table()->config().limits;
  return {.max_header_bytes = limits.max_header_bytes,
          .max_body_bytes = limits.max_body_bytes,
          .request_timeout = limits.header_timeout,
          .idle_timeout = limits.idle_timeout};
}

std::vector<endpoint> daemon::state::addresses_for(
    const address_request& asked) const {
  std::vector<address_candidate> candidates;
  for (const member_record& each : members->members()) {
    const bool self = each.id == values.id;
    if (self ? !ready() : each.state != member_state::alive) continue;
    candidates.push_back(
        {.address = {each.control.ip, values.listen.callers.port},
         .data_centre = each.data_centre,
         .capacity = each.capacity,
         .load = loads.of(each.id)});
  }
  std::vector<endpoint> chosen =
      choose_addresses(candidates, asked.data_centre);
  if (chosen.empty() && !stop.begun()) chosen.push_back(values.listen.callers);
  return chosen;
}

void daemon::state::serve_addresses(
    const std::shared_ptr<http::exchange>& asked) {
  const auto question = platform.read_address_request(asked->request());
  if (!question) {
    asked->respond({.status = status_not_found});
    return;
  }
  const std::vector<endpoint> chosen = addresses_for(*question);
  if (chosen.empty()) {
    asked->respond({.status = status_unavailable});
    return;
  }
  counts.add(count::address_answers);
  asked->respond({.status = status_ok,
                  .headers = {{"Content-Type", "application/json"}},
                  .body = platform.write_addresses(chosen, address_keep())});
}

void daemon::state::serve_readiness(
    const std::shared_ptr<http::exchange>& asked) {
  if (!platform.is_readiness_request(asked->request())) {
    asked->respond({.status = status_not_found});
    return;
  }
  asked->respond({.status = ready() ? status_ok : status_unavailable});
}

void daemon::state::serve(std::shared_ptr<http::exchange> asked) {
  counts.add(count::requests);
  const time_point now = steady_clock::now();
  if (stop.phase(now, callers->active_requests()) >= stop_phase::refusing) {
    counts.add(count::refused_not_run);
    asked->respond(
        {.status = status_unavailable,
         .headers = {{"Retry-After", seconds_text(stopping_retry)}}});
    return;
  }
  if (!fleet.ready()) {
    counts.add(count::not_ready);
    asked->respond(
        {.status = status_unavailable,
         .headers = {{"Retry-After", seconds_text(not_ready_retry(now))}}});
    return;
  }
  request_metadata facts = platform.read_request_metadata(asked->request());
  if (facts.request_id.empty()) {
    asked->respond({.status = status_bad_request});
    return;
  }
  const routes::route_table_ptr table = fleet.table();
  const routes::route* route = table->find(facts.host, asked->request().target);
  if (route == nullptr) {
    counts.add(count::no_route);
    if (log.admits(now, true)) {
      log.write("no_route", {{"request", facts.request_id},
                             {"host", facts.host},
                             {"version", table->version()}});
    }
    asked->respond({.status = status_not_found});
    return;
  }
  std::vector<std::string> services =
      route->gathers()
          ? route->shards
          : std::vector{splits[route->name].next(route->split).service};
  std::make_shared<request_run>(
      traffic, std::move(asked), std::move(facts), table, *route,
      std::move(services),
      stop.begun() ? stop.last_answer() : time_point::max())
      ->start();
}

}  // namespace medlarloft::tier
