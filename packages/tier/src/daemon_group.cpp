#include <algorithm>
#include <numeric>

#include "change_codec.hpp"
#include "daemon_state.hpp"

namespace medlarloft::tier {
namespace {

using membership::member_record;
using membership::member_state;
using std::chrono::milliseconds;

constexpr duration sweep_period = milliseconds(500);
/// Interval at which the selection of readers is updated.
constexpr duration selection_period = milliseconds(100);
/// The same until there is a configuration.
constexpr duration initial_selection_period = milliseconds(40);
/// A longer time between two sweeps shows that the process was paused.
constexpr duration pause_threshold = std::chrono::seconds(2);

}  // namespace

void daemon::state::apply_membership_outputs(
    const membership::outputs& outputs) {
  for (const membership::envelope& envelope : outputs.messages)
    send(envelope);
  for (const membership::received_notes& received : outputs.notes) {
    for (const notes::release_note& note : received.chain) {
      if (note.version <= view.records().last_revision()) continue;
      const auto changes = decode_changes(note.text);
      if (!changes) {
        log.write("changes_not_read",
                  {{"from", received.from}, {"revision", note.version}});
        continue;
      }
      const time_point now = steady_clock::now();
      // Base 0 means a full listing.
      if (note.base == 0) {
        view.apply_listing(now, *changes, note.version, received.from);
      } else if (note.base <= view.records().last_revision()) {
        view.apply(now, *changes, note.version, received.from);
      }
      publish_store_changes(received.root);
    }
  }
  for (const membership::member_event& event : outputs.events) {
    log.write("member", {{"member", event.id},
                         {"state", membership::name_of(event.state)}});
  }
  if (!outputs.events.empty()) update_quotas(steady_clock::now());
  schedule_membership_tick();
}

void daemon::state::send(const membership::envelope& envelope) {
  membership::message message = envelope.message;
  message.store_age = readers.store_age(steady_clock::now());
  message.load = loads.own_thousandths();
  message.store_failing = store && store->active() && store_failing;
  link->send(envelope.to, message);
}

// Starts or stops reading the store; see reader_selection.
void daemon::state::update_reader_selection() {
  const time_point now = steady_clock::now();
  view.set_store_reachable(now, readers.is_fresh(now));
  if (store->active()) report_store_failure(now);
  const bool should_read =
      readers.should_read(now, *members, daemon_settings.data_centre,
                          daemon_settings.id, data_centres.size());
  if (should_read != store->active()) {
    log.write(should_read ? "store_reading_begins" : "store_reading_ends",
              {{"revision", view.records().last_revision()},
               {"fresh", readers.is_fresh(now)}});
    store->set_active(should_read, view.records().last_revision());
  }
  timers.after(view.ready() ? selection_period : initial_selection_period,
               [this] { update_reader_selection(); });
}

// Every message carries the sender's load and its report of the store. A report
// that came down the distribution tree is forwarded along the same tree.
void daemon::state::handle_message(const membership::message& message) {
  const time_point now = steady_clock::now();
  const bool newer_report = readers.handle_report(now, message.store_age);
  loads.set_reported(message.from, message.load);
  const bool reader_failing =
      readers.set_failing(now, message.from, message.store_failing);
  apply_membership_outputs(members->receive(now, message));
  const bool only_report = message.kind == membership::message_kind::notes &&
                           message.notes.empty() && !message.root.empty();
  if ((newer_report || reader_failing) && only_report) {
    apply_membership_outputs(members->broadcast_status(message.root, false));
  }
}

// A reader without an answer reports this repeatedly, so that another daemon
// reads at once.
void daemon::state::report_store_failure(time_point now) {
  if (!readers.set_failing(now, daemon_settings.id, store_failing)) return;
  apply_membership_outputs(members->broadcast_status(daemon_settings.id, true));
}

// Sends the changes of this daemon's copy to the group. `root` is the daemon at
// which the distribution of these changes began.
void daemon::state::publish_store_changes(const std::string& root) {
  const replica::revision revision = view.records().last_revision();
  // The store answered without changes; only that is reported to the others.
  if (revision == published_revision) {
    for (const membership::envelope& envelope :
         members->broadcast_status(root, root == daemon_settings.id).messages)
      send(envelope);
    return;
  }
  published_revision = revision;
  // A revision has exactly one content, so it also serves as the digest.
  auto outputs = members->set_note(steady_clock::now(), revision, revision,
                                   root, root == daemon_settings.id);
  for (const membership::envelope& envelope : outputs.messages)
    send(envelope);
}

void daemon::state::schedule_membership_tick() {
  timers.cancel(membership_timer);
  membership_timer = timers.at(members->next_tick(), [this] {
    membership_timer = {};
    apply_membership_outputs(members->tick(steady_clock::now()));
  });
}

void daemon::state::sweep() {
  const time_point now = steady_clock::now();
  if (now - last_sweep > pause_threshold) {
    log.write("woke_late", {{"after", now - last_sweep}});
    apply_membership_outputs(members->reset_after_pause(now));
  }
  loop_lag = std::max(now - last_sweep - sweep_period, duration::zero());
  last_sweep = now;
  loads.update_own(now, metrics.value(counter::leaf_requests));
  view.tick(now);
  pool.sweep(now,
             [this](leafs::leaf_handle leaf) { return leafs.usable(leaf); });
  update_quotas(now);
  timers.after(sweep_period, [this] { sweep(); });
}

void daemon::state::update_metrics(time_point now) {
  using seconds = std::chrono::duration<double>;
  const auto to_double = [](auto value) { return static_cast<double>(value); };
  metrics.set(counter::store_calls, store->calls());
  metrics.set(counter::peer_bytes, link->sent_bytes());
  metrics.set(gauge::configuration_version,
              view.ready() ? to_double(view.table()->version()) : 0.0);
  metrics.set(gauge::store_revision, to_double(view.records().last_revision()));
  metrics.set(gauge::store_age_seconds,
              seconds(readers.store_age(now)).count());
  metrics.set(gauge::members, to_double(quota.daemon_count()));
  const std::vector<leafs::leaf_status> statuses = leafs.statuses(now);
  const auto usable =
      std::ranges::count_if(statuses, &leafs::leaf_status::usable);
  const auto ejected = std::ranges::count_if(
      statuses, [](const auto& leaf) { return leaf.usable && leaf.ejected; });
  const auto open = std::accumulate(
      statuses.begin(), statuses.end(), std::size_t{0},
      [](std::size_t sum, const auto& leaf) { return sum + leaf.in_flight; });
  metrics.set(gauge::leafs_usable, to_double(usable));
  metrics.set(gauge::leafs_ejected, to_double(ejected));
  metrics.set(gauge::leaf_requests_open, to_double(open));
  metrics.set(gauge::requests_running,
              to_double(caller_server->active_requests()));
  metrics.set(gauge::requests_waiting, to_double(queue.size()));
  metrics.set(gauge::loop_lag_seconds, seconds(loop_lag).count());
}

// Shared limits are divided among all daemons that were recently reachable.
void daemon::state::update_quotas(time_point now) {
  for (const member_record& member : members->members()) {
    const bool reachable = member.state == member_state::alive ||
                           member.state == member_state::suspected ||
                           member.state == member_state::leaving;
    if (!reachable) continue;
    quota.set_reachable(now, member.id, member.capacity);
    data_centres.insert(member.data_centre);
  }
  quota.remove_expired(now);
  loads.retain([this](const std::string& id) { return quota.contains(id); });
  leafs.set_quota({.fraction = quota.connection_fraction(now),
                   .daemons = quota.daemon_count(),
                   .daemon_index = [this](std::string_view leaf) {
                     return quota.daemon_index(leaf);
                   }});
  budget.set_slack_fraction(quota.fraction());
}

}  // namespace medlarloft::tier
