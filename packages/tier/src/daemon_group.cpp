#include <algorithm>
#include <cstdlib>
#include <numeric>

#include "daemon_state.hpp"

namespace medlarloft::tier {
namespace {

using membership::member_record;
using membership::member_state;
using std::chrono::milliseconds;

constexpr duration sweep_period = milliseconds(500);
/// Changes of at least this size are logged when they are sent.
constexpr std::size_t large_changes_bytes = std::size_t{64} << 10;
/// Interval at which the lag of the event loop is measured.
constexpr duration lag_period = milliseconds(50);
/// A large host announces its load when it changed by this many thousandths, or
/// after this time. Without announcements a daemon hears of each of 110 others
/// every 27 s on average, by probes.
constexpr int announced_change = 50;
constexpr duration announcement_period = std::chrono::seconds(2);
/// Hosts with this fraction of the greatest capacity announce their load.
constexpr double large_ratio = 0.5;
/// Interval at which the selection of readers is updated.
constexpr duration selection_period = milliseconds(100);
/// The same until there is a configuration.
constexpr duration initial_selection_period = milliseconds(40);

}  // namespace

void daemon::state::apply_group_outputs(
    const change_distribution::outputs& outputs) {
  for (const membership::envelope& envelope : outputs.messages) {
    membership::message message = envelope.message;
    message.load = loads.own_thousandths();
    log_large_changes(envelope);
    const bool requested = message.kind == membership::message_kind::notes &&
                           !message.notes.empty() && message.root.empty();
    link->send(envelope.to, message,
               requested ? std::function<void()>([this, id = envelope.to_id] {
                 distribution->on_notes_delivered(id);
               })
                         : nullptr);
  }
  for (const membership::member_event& event : outputs.events) {
    log.write("member", {{"member", event.id},
                         {"state", membership::name_of(event.state)}});
  }
  if (!outputs.events.empty()) update_quotas(steady_clock::now());
  schedule_membership_tick();
}

void daemon::state::log_large_changes(const membership::envelope& envelope) {
  const std::vector<notes::release_note>& chain = envelope.message.notes;
  const auto bytes = std::accumulate(
      chain.begin(), chain.end(), std::size_t{0},
      [](std::size_t sum, const auto& note) { return sum + note.text.size(); });
  if (bytes < large_changes_bytes) return;
  log.write("changes_sent",
            {{"to", envelope.to_id},
             {"bytes", bytes},
             {"revision", replica::position(envelope.message.version).number()},
             {"requested", envelope.message.root.empty()}});
}

void daemon::state::apply_peer_changes(time_point now,
                                       const replica::store_copy::delta& delta,
                                       std::string_view source) {
  if (delta.listing) {
    view.apply_listing(now, delta.changes, delta.last_position, source);
  } else {
    view.apply(now, delta.changes, delta.last_position, source);
  }
}

// Starts or stops reading the store; see reader_selection.
void daemon::state::update_reader_selection() {
  check_pause();
  const time_point now = steady_clock::now();
  const reader_selection& readers = distribution->readers();
  view.set_store_state(now, readers.state_of_store(now));
  report_store_failure(now);
  apply_group_outputs(distribution->request_missing_changes(now));
  const bool should_read =
      distribution->should_read_store(now, data_centres.size());
  if (should_read != store->active()) {
    log.write(should_read ? "store_reading_begins" : "store_reading_ends",
              {{"revision", view.records().last_position().number()},
               {"fresh", readers.is_fresh(now)}});
    store->set_active(should_read, view.records().last_position());
  }
  timers.after(view.ready() ? selection_period : initial_selection_period,
               [this] { update_reader_selection(); });
}

void daemon::state::handle_message(const membership::message& message) {
  check_pause();
  loads.set_reported(message.from, message.load);
  if (message.version == 0) {
    not_ready.insert(message.from);
  } else {
    not_ready.erase(message.from);
  }
  apply_group_outputs(distribution->receive(steady_clock::now(), message));
}

void daemon::state::report_store_failure(time_point now) {
  const bool failing = store->active() && store_failing;
  apply_group_outputs(distribution->set_store_failing(now, failing));
}

void daemon::state::schedule_membership_tick() {
  timers.cancel(membership_timer);
  membership_timer = timers.at(distribution->next_tick(), [this] {
    membership_timer = {};
    apply_group_outputs(distribution->tick(steady_clock::now()));
  });
}

// Answers of the store may have waited in the socket since before the pause, so
// they are read again over a new connection.
void daemon::state::check_pause() {
  const time_point now = steady_clock::now();
  const auto pause = pauses.check(now, uptime());
  if (!pause) return;
  log.write("woke_late", {{"after", *pause}});
  account_quotas.reset();
  apply_group_outputs(distribution->reset_after_pause(now));
  if (!store->active()) return;
  store->set_active(false, 0);
  store->set_active(true, view.records().last_position());
}

bool daemon::state::holds_requests() {
  if (!pauses.woken()) return false;
  const time_point now = steady_clock::now();
  return pauses.holds(now, distribution->readers().is_fresh(now));
}

void daemon::state::sweep() {
  const time_point now = steady_clock::now();
  check_pause();
  loop_lag = std::max(now - last_sweep - sweep_period, duration::zero());
  last_sweep = now;
  loads.update_own(now, {.leaf_requests = metrics.value(counter::leaf_requests),
                         .bytes_in = traffic.bytes_in,
                         .bytes_out = traffic.bytes_out + link->sent_bytes()});
  overload.set_load(loads.of(daemon_settings.id));
  announce_load(now);
  view.tick(now);
  pool.sweep(now,
             [this](leafs::leaf_handle leaf) { return leafs.usable(leaf); });
  update_quotas(now);
  timers.after(sweep_period, [this] { sweep(); });
}

void daemon::state::update_unevenness(
    const std::vector<address_candidate>& hosts) {
  const bool was_uneven = std::exchange(uneven, has_uneven_hosts(hosts));
  if (uneven == was_uneven) return;
  log.write("uneven_hosts", {{"uneven", uneven}, {"members", hosts.size()}});
  timers.cancel(lag_timer);
  lag_due = steady_clock::now();
  if (uneven) {
    measure_lag();
  } else if (std::exchange(overload_level, 0U) != 0) {
    log.write("overload", {{"level", 0U}, {"reason", "even_hosts"}});
  }
}

void daemon::state::measure_lag() {
  const time_point now = steady_clock::now();
  overload.add_lag(now - lag_due);
  const std::uint32_t before = std::exchange(overload_level, overload.level());
  if (before != overload_level) {
    log.write("overload", {{"level", overload_level},
                           {"lag", overload.lag()},
                           {"load", loads.of(daemon_settings.id)}});
  }
  lag_due = now + lag_period;
  lag_timer = timers.at(lag_due, [this] { measure_lag(); });
}

void daemon::state::announce_load(time_point now) {
  if (!uneven) return;
  const std::uint16_t load = loads.own_thousandths();
  const bool changed = std::abs(load - announced_load) >= announced_change;
  const bool due = changed || now - announced_at >= announcement_period;
  const std::uint32_t own =
      distribution->members().find(daemon_settings.id)->capacity;
  if (own < greatest_capacity * large_ratio || !due) return;
  announced_load = load;
  announced_at = now;
  apply_group_outputs(distribution->send_status(now));
}

void daemon::state::update_metrics(time_point now) {
  using seconds = std::chrono::duration<double>;
  const auto to_double = [](auto value) { return static_cast<double>(value); };
  metrics.set(counter::store_calls, store->calls());
  metrics.set(counter::peer_bytes, link->sent_bytes());
  metrics.set(gauge::configuration_version,
              view.ready() ? to_double(view.table()->version()) : 0.0);
  const replica::position position = view.records().last_position();
  metrics.set(gauge::store_revision, to_double(position.number()));
  metrics.set(gauge::store_era, to_double(position.era()));
  metrics.set(gauge::store_age_seconds,
              seconds(distribution->readers().copy_age(now)).count());
  metrics.set(gauge::members, to_double(quota.daemon_count()));
  const std::vector<leafs::leaf_status> statuses = leafs.statuses(now);
  const auto usable =
      std::ranges::count_if(statuses, &leafs::leaf_status::usable);
  const auto ejected = std::ranges::count_if(
      statuses, [](const auto& leaf) { return leaf.usable && leaf.ejected; });
  const auto limited = std::ranges::count_if(statuses, [](const auto& leaf) {
    return leaf.usable && leaf.rate_limit;
  });
  const auto paused = std::ranges::count_if(
      statuses, [](const auto& leaf) { return leaf.usable && leaf.paused; });
  const auto leaving =
      std::ranges::count_if(statuses, &leafs::leaf_status::leaving);
  const auto open = std::accumulate(
      statuses.begin(), statuses.end(), std::size_t{0},
      [](std::size_t sum, const auto& leaf) { return sum + leaf.in_flight; });
  metrics.set(gauge::leafs_usable, to_double(usable));
  metrics.set(gauge::leafs_ejected, to_double(ejected));
  metrics.set(gauge::leafs_limited, to_double(limited));
  metrics.set(gauge::leafs_paused, to_double(paused));
  metrics.set(gauge::leafs_leaving, to_double(leaving));
  metrics.set(gauge::leaf_requests_open, to_double(open));
  const leafs::load_spread spread = leafs.spread(now);
  metrics.set(gauge::leaf_in_flight_ratio, spread.in_flight_ratio);
  metrics.set(gauge::leaf_slowness_ratio, spread.slowness_ratio);
  metrics.set(gauge::services_contended, to_double(spread.contended_services));
  metrics.set(gauge::requests_running,
              to_double(caller_server->active_requests()));
  metrics.set(gauge::requests_waiting, to_double(queue.size()));
  metrics.set(gauge::quota_tokens_held, account_quotas.tokens_held());
  metrics.set(gauge::loop_lag_seconds, seconds(loop_lag).count());
  metrics.set(gauge::overload_level,
              uneven ? to_double(overload.level()) : 0.0);
  metrics.set(gauge::load, loads.of(daemon_settings.id));
}

// Shared limits are divided among all daemons that were recently reachable.
void daemon::state::update_quotas(time_point now) {
  // Includes hosts that failed: the small ones are needed most when the large
  // ones are gone.
  std::vector<address_candidate> hosts;
  greatest_capacity = 0;
  for (const member_record& member : distribution->members().members()) {
    if (member.state != member_state::unheard)
      hosts.push_back({.capacity = member.capacity});
    greatest_capacity = std::max(greatest_capacity, member.capacity);
    const bool reachable = member.state == member_state::alive ||
                           member.state == member_state::suspected ||
                           member.state == member_state::leaving;
    if (!reachable) continue;
    quota.set_reachable(now, member.id, member.capacity);
    data_centres.insert(member.data_centre);
  }
  quota.remove_expired(now);
  loads.retain([this](const std::string& id) { return quota.contains(id); });
  std::erase_if(not_ready,
                [this](const auto& id) { return !quota.contains(id); });
  update_unevenness(hosts);
  leafs.set_quota(now, {.fraction = quota.connection_fraction(now),
                        .rate_fraction = quota.rate_fraction(),
                        .daemons = quota.daemon_count(),
                        .daemon_index = quota.daemon_order(),
                        .members_version = quota.members_version()});
  budget.set_slack_fraction(quota.fraction());
  account_quotas.set_fraction(quota.rate_fraction());
  account_quotas.set_table(view.table());
  update_quota_coordinators();
}

// A daemon that is leaving coordinates no more, so that the others choose
// another one while this one still answers them.
void daemon::state::update_quota_coordinators() {
  std::map<std::string, std::uint32_t> candidates;
  for (const member_record& member : distribution->members().members()) {
    const bool reachable = member.state == member_state::alive ||
                           member.state == member_state::suspected;
    const bool leaving = member.id == daemon_settings.id && stop.begun();
    if (reachable && !leaving) candidates[member.id] = member.capacity;
  }
  account_quotas.set_candidates(candidates);
}

void daemon::state::send_quota_message(const quota::envelope& message) {
  const member_record* to = distribution->members().find(message.to);
  if (to == nullptr) return;
  metrics.increment(counter::quota_messages);
  link->send(to->control, message.message);
}

void daemon::state::handle_quota_message(const quota::quota_message& message) {
  check_pause();
  account_quotas.set_table(view.table());
  account_quotas.receive(message);
}

}  // namespace medlarloft::tier
