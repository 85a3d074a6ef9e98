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
/// How often it is looked at who reads the store.
constexpr duration duty_period = milliseconds(100);
/// The same while this daemon can serve nobody.
constexpr duration first_duty_period = milliseconds(40);
/// A gap between two turns of the loop that shows that the process stood still.
constexpr duration stall_gap = std::chrono::seconds(2);

}  // namespace

void daemon::state::take_members(const membership::outputs& wanted) {
  for (const membership::envelope& each : wanted.sends)
    send(each);
  for (const membership::received_notes& each : wanted.notes) {
    for (const notes::release_note& note : each.chain) {
      if (note.version <= fleet.copy().last_revision()) continue;
      const auto changes = decode_changes(note.text);
      if (!changes) {
        log.write("changes_not_read",
                  {{"from", each.from}, {"revision", note.version}});
        continue;
      }
      const time_point now = steady_clock::now();
      if (note.base == 0) {
        fleet.apply_listing(now, *changes, note.version, each.from);
      } else if (note.base <= fleet.copy().last_revision()) {
        fleet.apply(now, *changes, note.version, each.from);
      }
      note_progress(each.root);
    }
  }
  for (const membership::member_event& each : wanted.events) {
    log.write("member", {{"member", each.id},
                         {"state", membership::name_of(each.state)}});
  }
  if (!wanted.events.empty()) set_shares(steady_clock::now());
  tick_members();
}

void daemon::state::send(const membership::envelope& each) {
  membership::message told = each.message;
  told.source_age = duty.age(steady_clock::now());
  told.load = loads.told();
  told.source_fails = store && store->active() && store_fails;
  link->send(each.to, told);
}

// A few daemons read the store for all; see watch_duty.
void daemon::state::check_duty() {
  const time_point now = steady_clock::now();
  fleet.store_answers(now, duty.fresh(now));
  if (store->active()) tell_store_fails(now);
  const bool reads = duty.reads(now, *members, values.data_centre, values.id,
                                data_centres.size());
  if (reads != store->active()) {
    log.write(reads ? "store_reading_begins" : "store_reading_ends",
              {{"revision", fleet.copy().last_revision()},
               {"fresh", duty.fresh(now)}});
    store->set_active(reads, fleet.copy().last_revision());
  }
  timers.after(fleet.ready() ? duty_period : first_duty_period,
               [this] { check_duty(); });
}

// What others say, in whatever message. Word of the store goes on along the
// tree in which it came.
void daemon::state::take_message(const membership::message& message) {
  const time_point now = steady_clock::now();
  const bool fresher = duty.heard(now, message.source_age);
  loads.heard(message.from, message.load);
  const bool gave_up = duty.failing(now, message.from, message.source_fails);
  take_members(members->receive(now, message));
  const bool only_word = message.kind == membership::message_kind::notes &&
                         message.notes.empty() && !message.root.empty();
  if ((fresher || gave_up) && only_word) {
    take_members(members->spread_word(message.root, false));
  }
}

// A reader that gets no answer says so, and goes on saying so, that another
// one reads at once.
void daemon::state::tell_store_fails(time_point now) {
  if (!duty.failing(now, values.id, store_fails)) return;
  take_members(members->spread_word(values.id, true));
}

// Tells the group how far this daemon's copy of the store is. `root` is the
// daemon at which the spreading of these changes began.
void daemon::state::note_progress(const std::string& root) {
  const replica::revision upto = fleet.copy().last_revision();
  // The store answers also when nothing changed; the others hear just that.
  if (upto == told_revision) {
    for (const membership::envelope& each :
         members->spread_word(root, root == values.id).sends)
      send(each);
    return;
  }
  told_revision = upto;
  // One revision has one content, so the digest says nothing more.
  auto wanted = members->set_note(steady_clock::now(), upto, upto, root,
                                  root == values.id);
  for (const membership::envelope& each : wanted.sends)
    send(each);
}

void daemon::state::tick_members() {
  timers.cancel(member_timer);
  member_timer = timers.at(members->next_tick(), [this] {
    member_timer = {};
    take_members(members->tick(steady_clock::now()));
  });
}

void daemon::state::sweep() {
  const time_point now = steady_clock::now();
  if (now - last_sweep > stall_gap) {
    log.write("woke_late", {{"after", now - last_sweep}});
    take_members(members->woke_late(now));
  }
  loop_lag = std::max(now - last_sweep - sweep_period, duration::zero());
  last_sweep = now;
  loads.measure(now, counts.value(count::leaf_requests));
  fleet.tick(now);
  pool.sweep(now,
             [this](leafs::leaf_handle leaf) { return leafs.usable(leaf); });
  set_shares(now);
  timers.after(sweep_period, [this] { sweep(); });
}

void daemon::state::measure(time_point now) {
  using seconds = std::chrono::duration<double>;
  const auto number = [](auto value) { return static_cast<double>(value); };
  counts.set(count::store_calls, store->calls());
  counts.set(count::peer_bytes, link->sent_bytes());
  counts.set(gauge::configuration_version,
             fleet.ready() ? number(fleet.table()->version()) : 0.0);
  counts.set(gauge::store_revision, number(fleet.copy().last_revision()));
  counts.set(gauge::store_age_seconds, seconds(duty.age(now)).count());
  counts.set(gauge::members, number(share.daemons()));
  const std::vector<leafs::leaf_status> all = leafs.statuses(now);
  const auto usable = std::ranges::count_if(all, &leafs::leaf_status::usable);
  const auto ejected = std::ranges::count_if(
      all, [](const auto& each) { return each.usable && each.ejected; });
  const auto open = std::accumulate(
      all.begin(), all.end(), std::size_t{0},
      [](std::size_t sum, const auto& each) { return sum + each.in_flight; });
  counts.set(gauge::leafs_usable, number(usable));
  counts.set(gauge::leafs_ejected, number(ejected));
  counts.set(gauge::leaf_requests_open, number(open));
  counts.set(gauge::requests_running, number(callers->active_requests()));
  counts.set(gauge::requests_waiting, number(queue.size()));
  counts.set(gauge::loop_lag_seconds, seconds(loop_lag).count());
}

// Limits are divided by every daemon that was there lately.
void daemon::state::set_shares(time_point now) {
  for (const member_record& each : members->members()) {
    const bool here = each.state == member_state::alive ||
                      each.state == member_state::suspected ||
                      each.state == member_state::leaving;
    if (!here) continue;
    share.seen(now, each.id, each.capacity);
    data_centres.insert(each.data_centre);
  }
  share.expire(now);
  loads.keep([this](const std::string& id) { return share.knows(id); });
  leafs.set_quota({.fraction = share.connection_part(now),
                   .daemons = share.daemons(),
                   .daemon_index = [this](std::string_view leaf) {
                     return share.rank(leaf);
                   }});
  budget.set_slack_fraction(share.part());
}

}  // namespace medlarloft::tier
