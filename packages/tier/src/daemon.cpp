#include <sys/resource.h>

#include <algorithm>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <set>

#include "address_choice.hpp"
#include "event_log.hpp"
#include "figures.hpp"
#include "fleet_share.hpp"
#include "fleet_state.hpp"
#include "leaf_pool.hpp"
#include "medlarloft/tier.hpp"
#include "peer_link.hpp"
#include "read_pace.hpp"
#include "request_run.hpp"
#include "seconds_text.hpp"
#include "stop_sequence.hpp"
#include "store_reader.hpp"
#include "watch_duty.hpp"

namespace medlarloft::tier {
namespace {

using membership::member_record;
using membership::member_state;
using std::chrono::milliseconds;

constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;
constexpr int status_unavailable = 503;

/// How often members are probed.
constexpr duration probe_period = milliseconds(500);
constexpr duration probe_timeout = milliseconds(200);
/// How long callers keep addresses; some keep them three times as long, also
/// those of a daemon that is stopping.
constexpr duration address_keep = milliseconds(5000);
constexpr int keep_factor = 3;
constexpr duration stop_poll = milliseconds(50);
constexpr duration sweep_period = milliseconds(500);
/// Processor time of a request to a leaf with all that belongs to it, on a core
/// of usual speed; docs/MEASUREMENTS.md.
constexpr duration leaf_request_cost = std::chrono::microseconds(90);
/// Weight of the newest estimate of the processor's use.
constexpr double load_weight = 0.3;
/// Loads are told in thousandths.
constexpr double load_units = 1000.0;
/// How often it is looked at who reads the store.
constexpr duration duty_period = milliseconds(200);
/// The same while this daemon can serve nobody.
constexpr duration first_duty_period = milliseconds(40);
/// Pause between calls that bring changes while there is no configuration.
constexpr duration first_read_pause = milliseconds(100);
/// After a start a daemon that is no seed hears others first.
constexpr duration first_wait = milliseconds(120);
/// The same when the whole deployment starts for the first time: no caller
/// waits yet, and seeds may start later than this daemon.
constexpr duration first_deployment_wait = milliseconds(450);
/// A daemon that has just started mostly knows a configuration soon; the
/// longer it has none, the longer it will take.
constexpr duration least_not_ready_retry = milliseconds(150);
constexpr duration most_not_ready_retry = std::chrono::seconds(1);
/// A gap between two turns of the loop that shows that the process stood still.
constexpr duration stall_gap = std::chrono::seconds(2);
/// Descriptors that are not for callers.
constexpr std::size_t reserved_descriptors = 600;

std::uint64_t seed_of(const settings& values) {
  std::random_device device;
  return mix64(hash64(values.id), device());
}

std::uint32_t capacity_of(const settings& values) {
  constexpr double thousandths = 1000.0;
  const double cores = values.processor.share * values.processor.speed;
  return std::max(static_cast<std::uint32_t>(cores * thousandths), 1U);
}

membership::group_options group_options_of(const settings& values,
                                           std::uint64_t seed) {
  const auto started = std::chrono::duration_cast<milliseconds>(
                           std::chrono::system_clock::now().time_since_epoch())
                           .count();
  return {.self = {.id = values.id,
                   .data_centre = values.data_centre,
                   .control = values.listen.control,
                   .incarnation = static_cast<std::uint64_t>(started),
                   .capacity = capacity_of(values)},
          .seeds = values.seeds,
          .probe_period = probe_period,
          .probe_timeout = probe_timeout,
          .random_seed = seed};
}

// Changes of the store between daemons: a list of key, revision and value.
std::string write_changes(const std::vector<replica::change>& changes) {
  nlohmann::json list = nlohmann::json::array();
  for (const replica::change& each : changes) {
    list.push_back(
        {each.key, each.changed_at,
         each.value ? nlohmann::json(*each.value) : nlohmann::json(nullptr)});
  }
  return list.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<std::vector<replica::change>> read_changes(
    const std::string& text) {
  const auto list = nlohmann::json::parse(text, nullptr, false);
  if (!list.is_array()) return std::nullopt;
  std::vector<replica::change> changes;
  for (const auto& each : list) {
    const bool sound = each.is_array() && each.size() == 3 &&
                       each[0].is_string() && each[1].is_number_unsigned() &&
                       (each[2].is_null() || each[2].is_string());
    if (!sound) return std::nullopt;
    changes.push_back(
        {each[0].get<std::string>(), each[1].get<replica::revision>(),
         each[2].is_null() ? std::nullopt
                           : std::optional(each[2].get<std::string>())});
  }
  return changes;
}

}  // namespace

struct daemon::state {
  state(settings given, adapter given_words);

  result<void, tier_error> start();
  void start_store();
  void serve(std::shared_ptr<http::exchange> asked);
  void serve_addresses(const std::shared_ptr<http::exchange>& asked);
  void serve_readiness(const std::shared_ptr<http::exchange>& asked);
  std::vector<endpoint> addresses_for(const address_question& asked) const;
  void take_members(const membership::outputs& wanted);
  void note_progress(const std::string& root);
  void check_duty();
  void send(const membership::envelope& each);
  void tick_members();
  void measure_load(time_point now);
  void sweep();
  void set_shares(time_point now);
  void await_signal();
  void on_signal(int number);
  void begin_stop();
  void await_end();
  http::limits caller_limits() const;
  duration not_ready_retry(time_point now) const {
    return std::clamp<duration>((now - started_at) / 2, least_not_ready_retry,
                                most_not_ready_retry);
  }
  bool ready() const { return !stop.begun() && fleet.ready(); }

  time_point started_at = steady_clock::now();
  settings values;
  adapter words;
  std::uint64_t seed;
  // One thread runs it, so that it needs no locks.
  http::io_context loop{BOOST_ASIO_CONCURRENCY_HINT_UNSAFE};
  loop::timer_queue timers{loop};
  event_log log;
  figures counts;
  leafs::leaf_set leafs;
  fleet_state fleet;
  leaf_pool pool;
  fleet_share share;
  fanout::retry_budget budget;
  traffic_context traffic;
  std::unique_ptr<membership::group> members;
  std::shared_ptr<peer_link> link;
  std::unique_ptr<store_reader> store;
  watch_duty duty;
  std::set<std::string> data_centres;
  std::unique_ptr<http::server> callers;
  std::unique_ptr<http::server> readiness;
  std::unique_ptr<http::server> addresses;
  std::unique_ptr<http::server> metrics_page;
  boost::asio::signal_set signals{loop};
  std::map<std::string, routes::split_chooser> splits;
  std::function<std::optional<settings>()> reread;
  loop::timer_queue::handle member_timer;
  time_point last_sweep{};
  /// Share of its processor that each daemon uses, as last heard.
  std::map<std::string, double> loads;
  std::uint64_t load_sent = 0;
  time_point load_at = steady_clock::now();
  stop_sequence stop;
};

daemon::state::state(settings given, adapter given_words)
    : values(std::move(given)),
      words(std::move(given_words)),
      seed(seed_of(values)),
      log(timers, {.id = values.id}),
      leafs({.data_centre = values.data_centre}, mix64(seed, 1)),
      fleet(words, leafs, log, words.operator_prefix),
      pool(loop, timers, values.listen.callers.ip,
           {.connected =
                [this](leafs::leaf_handle leaf, duration took) {
                  counts.add(count::connections_opened);
                  leafs.measured_round_trip(leafs.find(leaf)->data_centre,
                                            took);
                }}),
      share({.id = values.id,
             .capacity = capacity_of(values),
             .started = started_at}),
      budget({.ratio = values.retries.ratio,
              .slack = values.retries.slack,
              .window = values.retries.window,
              .part = share.part()}),
      traffic{timers, words, leafs, pool, budget, log, counts},
      duty({.first_wait =
                std::ranges::find(values.seeds, values.listen.control) ==
                        values.seeds.end()
                    ? (values.first_deployment ? first_deployment_wait
                                               : first_wait)
                    : duration::zero()},
           steady_clock::now()),
      stop({.within = values.stop_within,
            .kept_addresses =
                std::min(address_keep, values.longest_keep) * keep_factor}) {}

http::limits daemon::state::caller_limits() const {
  if (!fleet.ready()) return {};
  const routes::request_limits& limits = fleet.table()->source().limits;
  return {.max_header_bytes = limits.max_header_bytes,
          .max_body_bytes = limits.max_body_bytes,
          .request_timeout = limits.header_timeout,
          .idle_timeout = limits.idle_timeout};
}

void daemon::state::start_store() {
  store = std::make_unique<store_reader>(
      loop, timers,
      store_reader::options{.store = values.store,
                            .from_ip = values.listen.callers.ip,
                            .seed = mix64(seed, 2)},
      words,
      store_reader::hooks{
          .changes =
              [this](const auto& changes, replica::revision upto) {
                fleet.apply(steady_clock::now(), changes, upto, "store");
                note_progress(values.id);
              },
          .listing =
              [this](const auto& listing, replica::revision from) {
                fleet.apply_listing(steady_clock::now(), listing, from,
                                    "store");
                note_progress(values.id);
              },
          .answered = [this] { duty.answered(steady_clock::now()); },
          .pause =
              [this] {
                return fleet.ready() ? read_pause(values.act_within)
                                     : first_read_pause;
              },
          .reachable =
              [this](bool answers, const std::string& reason) {
                log.write(
                    answers ? "store_regained" : "store_lost",
                    {{"reason", reason}, {"revision", fleet.copy().upto()}});
              }});
  check_duty();
}

result<void, tier_error> daemon::state::start() {
  const std::size_t places = values.max_descriptors > 2 * reserved_descriptors
                                 ? values.max_descriptors - reserved_descriptors
                                 : values.max_descriptors / 2;
  const auto serve_at = [ this, places ](const endpoint& where,
                                         http::request_handler handler) -> auto{
    return std::make_unique<http::server>(
        loop, timers,
        http::server::options{.listen = where,
                              .max_connections = places,
                              .limits = [this] { return caller_limits(); }},
        std::move(handler));
  };
  callers = serve_at(values.listen.callers,
                     [this](auto asked) { serve(std::move(asked)); });
  readiness = serve_at(values.listen.readiness,
                       [this](auto asked) { serve_readiness(asked); });
  addresses = serve_at(values.listen.addresses,
                       [this](auto asked) { serve_addresses(asked); });
  metrics_page = serve_at(values.listen.metrics, [this](auto asked) {
    counts.set(count::store_calls, store->calls());
    counts.set(count::peer_bytes, link->sent_bytes());
    asked->respond({.status = status_ok,
                    .headers = {{"Content-Type", "text/plain"}},
                    .body = counts.text(values.id)});
  });
  for (auto* each :
       {callers.get(), readiness.get(), addresses.get(), metrics_page.get()}) {
    if (auto began = each->start(); !began) {
      return tier_error{tier_errc::cannot_start, began.error().text};
    }
  }
  members = std::make_unique<membership::group>(
      group_options_of(values, mix64(seed, 3)),
      [this](notes::note_version from) {
        const auto found = fleet.copy().since(from);
        std::vector<notes::release_note> notes;
        if (found.upto <= from) return notes;
        notes.push_back({.version = found.upto,
                         .base = found.listing ? 0 : from,
                         .text = write_changes(found.changes)});
        return notes;
      });
  link = std::make_shared<peer_link>(
      loop, timers, values.listen.control,
      [this](const membership::message& message) {
        duty.heard(steady_clock::now(), message.source_age);
        loads[message.from] = message.load / load_units;
        take_members(members->receive(steady_clock::now(), message));
      });
  if (auto began = link->start(); !began) return began.error();
  take_members(members->start(steady_clock::now()));
  start_store();
  last_sweep = steady_clock::now();
  set_shares(last_sweep);
  timers.after(sweep_period, [this] { sweep(); });
  signals.add(SIGTERM);
  signals.add(SIGINT);
  signals.add(SIGHUP);
  await_signal();
  log.write("started", {{"data_centre", values.data_centre},
                        {"callers", format_endpoint(values.listen.callers)},
                        {"seeds", values.seeds.size()}});
  return outcome::success();
}

void daemon::state::take_members(const membership::outputs& wanted) {
  for (const membership::envelope& each : wanted.sends)
    send(each);
  for (const membership::received_notes& each : wanted.notes) {
    for (const notes::release_note& note : each.chain) {
      const auto changes = read_changes(note.text);
      if (!changes || note.version <= fleet.copy().upto()) continue;
      const time_point now = steady_clock::now();
      if (note.base == 0) {
        fleet.apply_listing(now, *changes, note.version, each.from);
      } else if (note.base <= fleet.copy().upto()) {
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
  told.load = static_cast<std::uint16_t>(loads[values.id] * load_units);
  link->send(each.to, told);
}

// A few daemons read the store for all; see watch_duty.
void daemon::state::check_duty() {
  const time_point now = steady_clock::now();
  fleet.store_answers(now, duty.fresh(now));
  const bool reads = duty.reads(now, *members, values.data_centre, values.id,
                                data_centres.size());
  if (reads != store->active()) {
    log.write(reads ? "store_reading_begins" : "store_reading_ends",
              {{"revision", fleet.copy().upto()}, {"fresh", duty.fresh(now)}});
    store->set_active(reads, fleet.copy().upto());
  }
  timers.after(fleet.ready() ? duty_period : first_duty_period,
               [this] { check_duty(); });
}

// Tells the group how far this daemon's copy of the store is. `root` is the
// daemon at which the spreading of these changes began.
void daemon::state::note_progress(const std::string& root) {
  const replica::revision upto = fleet.copy().upto();
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
  last_sweep = now;
  measure_load(now);
  fleet.tick(now);
  pool.sweep(now,
             [this](leafs::leaf_handle leaf) { return leafs.usable(leaf); });
  set_shares(now);
  timers.after(sweep_period, [this] { sweep(); });
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
  std::erase_if(
      loads, [this](const auto& entry) { return !share.knows(entry.first); });
  leafs.set_share(
      {.part = share.connection_part(now),
       .daemons = share.daemons(),
       .rank = [this](std::string_view leaf) { return share.rank(leaf); }});
  budget.set_part(share.part());
}

std::vector<endpoint> daemon::state::addresses_for(
    const address_question& asked) const {
  std::vector<address_candidate> candidates;
  for (const member_record& each : members->members()) {
    const bool self = each.id == values.id;
    if (self ? !ready() : each.state != member_state::alive) continue;
    const auto heard = loads.find(each.id);
    candidates.push_back(
        {.address = {each.control.ip, values.listen.callers.port},
         .data_centre = each.data_centre,
         .capacity = each.capacity,
         .load = heard == loads.end() ? 0.0 : heard->second});
  }
  std::vector<endpoint> chosen =
      choose_addresses(candidates, asked.data_centre);
  if (chosen.empty() && !stop.begun()) chosen.push_back(values.listen.callers);
  return chosen;
}

// Estimates how much of its processor this daemon uses. The clock of the
// processor is no measure on hosts that give a process a share of a core.
void daemon::state::measure_load(time_point now) {
  const std::uint64_t sent = counts.value(count::leaf_requests);
  const duration passed = now - load_at;
  if (passed > duration::zero()) {
    const double used = static_cast<double>(sent - load_sent) *
                        std::chrono::duration<double>(leaf_request_cost) /
                        std::chrono::duration<double>(passed);
    const double share = used * load_units / capacity_of(values);
    double& known = loads[values.id];
    known += load_weight * (std::min(share, 1.0) - known);
  }
  load_sent = sent;
  load_at = now;
}

void daemon::state::serve_addresses(
    const std::shared_ptr<http::exchange>& asked) {
  const auto question = words.read_address_question(asked->request());
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
                  .body = words.write_addresses(
                      chosen, std::min(address_keep, values.longest_keep))});
}

void daemon::state::serve_readiness(
    const std::shared_ptr<http::exchange>& asked) {
  if (!words.asks_readiness(asked->request())) {
    asked->respond({.status = status_not_found});
    return;
  }
  asked->respond({.status = ready() ? status_ok : status_unavailable});
}

void daemon::state::serve(std::shared_ptr<http::exchange> asked) {
  counts.add(count::requests);
  const time_point now = steady_clock::now();
  if (stop.phase(now, callers->running()) >= stop_phase::refusing) {
    counts.add(count::refused_not_run);
    asked->respond(
        {.status = status_unavailable, .headers = {{"Retry-After", "0.05"}}});
    return;
  }
  if (!fleet.ready()) {
    counts.add(count::not_ready);
    asked->respond(
        {.status = status_unavailable,
         .headers = {{"Retry-After", seconds_text(not_ready_retry(now))}}});
    return;
  }
  caller_facts facts = words.read_caller(asked->request());
  if (facts.request_id.empty()) {
    asked->respond({.status = status_bad_request});
    return;
  }
  const routes::table_ptr table = fleet.table();
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

void daemon::state::await_signal() {
  signals.async_wait([this](const auto& cancelled, int number) {
    if (cancelled) return;
    on_signal(number);
    await_signal();
  });
}

void daemon::state::on_signal(int number) {
  if (number == SIGHUP) {
    const auto fresh = reread ? reread() : std::nullopt;
    log.write("reloaded", {{"usable", fresh.has_value()}});
    return;
  }
  if (!stop.begun()) begin_stop();
}

void daemon::state::begin_stop() {
  const time_point now = steady_clock::now();
  stop.begin(now);
  log.write("stopping",
            {{"within", values.stop_within}, {"running", callers->running()}});
  callers->drain();
  take_members(members->leave(now, member_state::leaving));
  await_end();
}

void daemon::state::await_end() {
  const time_point now = steady_clock::now();
  const stop_phase phase = stop.phase(now, callers->running());
  if (phase == stop_phase::refusing) callers->stop_accepting();
  if (phase == stop_phase::ended) {
    log.write("stopped", {{"running", callers->running()}});
    take_members(members->leave(now, member_state::left));
    log.flush();
    timers.after(stop_poll, [this] { loop.stop(); });
    return;
  }
  timers.after(stop_poll, [this] { await_end(); });
}

daemon::daemon(settings values, adapter words)
    : state_(std::make_unique<state>(std::move(values), std::move(words))) {}

daemon::~daemon() = default;

void daemon::on_reload(std::function<std::optional<settings>()> reread) {
  state_->reread = std::move(reread);
}

result<void, tier_error> daemon::run() {
  if (auto began = state_->start(); !began) return began.error();
  state_->loop.run();
  return outcome::success();
}

}  // namespace medlarloft::tier
