#include <sys/resource.h>

#include <algorithm>
#include <csignal>
#include <random>

#include "change_codec.hpp"
#include "daemon_state.hpp"
#include "read_pace.hpp"

namespace medlarloft::tier {
namespace {

using membership::member_record;
using membership::member_state;
using std::chrono::milliseconds;

/// How often members are probed.
constexpr duration probe_period = milliseconds(500);
constexpr duration probe_timeout = milliseconds(200);
/// Some callers keep addresses for this many times as long as they are told,
/// also those of a daemon that is stopping.
constexpr int keep_factor = 3;
constexpr int status_ok = 200;
constexpr duration stop_poll = milliseconds(50);
constexpr duration sweep_period = milliseconds(500);
/// Pause between calls that bring changes while there is no configuration.
constexpr duration first_read_pause = milliseconds(100);
/// After a start a daemon that is no seed hears others first.
constexpr duration first_wait = milliseconds(120);
/// The same when the whole deployment starts for the first time: no caller
/// waits yet, and seeds may start later than this daemon.
constexpr duration first_deployment_wait = milliseconds(450);
/// Descriptors that are not for callers.
constexpr std::size_t reserved_descriptors = 600;
/// Callers' requests hold at most one of so many parts of the memory; what is
/// sent to leafs, answers and buffers of connections take the rest.
constexpr std::size_t memory_parts = 5;

std::uint64_t seed_of(const settings& values) {
  std::random_device device;
  return mix64(hash64(values.id), device());
}

std::uint32_t capacity_of(const settings& values) {
  constexpr double thousandths = 1000.0;
  const double cores = values.processor.share * values.processor.speed;
  return std::max(static_cast<std::uint32_t>(cores * thousandths), 1U);
}

endpoint control_seen_by_others(const settings& values) {
  return values.listen.control_announced.value_or(values.listen.control);
}

membership::group_options group_options_of(const settings& values,
                                           std::uint64_t seed) {
  const auto started = std::chrono::duration_cast<milliseconds>(
                           std::chrono::system_clock::now().time_since_epoch())
                           .count();
  return {.self = {.id = values.id,
                   .data_centre = values.data_centre,
                   .control = control_seen_by_others(values),
                   .incarnation = static_cast<std::uint64_t>(started),
                   .capacity = capacity_of(values)},
          .seeds = values.seeds,
          .probe_period = probe_period,
          .probe_timeout = probe_timeout,
          .random_seed = seed};
}

}  // namespace

daemon::state::state(settings given, adapter given_platform)
    : values(std::move(given)),
      platform(std::move(given_platform)),
      seed(seed_of(values)),
      log(timers, {.id = values.id}),
      leafs({.local_data_centre = values.data_centre}, mix64(seed, 1)),
      fleet(platform, leafs, log, platform.operator_prefix),
      pool(loop, timers, values.listen.callers.ip,
           {.connected =
                [this](leafs::leaf_handle leaf, duration took) {
                  counts.add(count::connections_opened);
                  leafs.add_round_trip_sample(leafs.find(leaf)->data_centre,
                                              took);
                }}),
      share({.id = values.id,
             .capacity = capacity_of(values),
             .started = started_at}),
      loads({.id = values.id,
             .capacity = capacity_of(values),
             .started = started_at}),
      budget({.ratio = values.retries.ratio,
              .slack = values.retries.slack,
              .window = values.retries.window,
              .slack_fraction = share.part()}),
      traffic{timers, platform, leafs, pool, budget, queue, log, counts},
      duty({.stale_after = stale_after(values.act_within),
            .first_wait = std::ranges::find(values.seeds,
                                            control_seen_by_others(values)) ==
                                  values.seeds.end()
                              ? (values.first_deployment ? first_deployment_wait
                                                         : first_wait)
                              : duration::zero()},
           steady_clock::now()),
      stop({.within = values.stop_within,
            .kept_addresses = address_keep() * keep_factor}) {}

void daemon::state::start_store() {
  store = std::make_unique<store_reader>(
      loop, timers,
      store_reader::options{.store = values.store,
                            .from_ip = values.listen.callers.ip,
                            .longest_wait = read_wait(values.act_within),
                            .seed = mix64(seed, 2)},
      platform,
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
                log.write(answers ? "store_regained" : "store_lost",
                          {{"reason", reason},
                           {"revision", fleet.copy().last_revision()}});
                store_fails = !answers;
                tell_store_fails(steady_clock::now());
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
        http::server::options{
            .listen = where,
            .max_connections = places,
            .max_buffered_bytes = values.memory_bytes / memory_parts,
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
    measure(steady_clock::now());
    asked->respond({.status = status_ok,
                    .headers = {{"Content-Type", "text/plain"}},
                    .body = counts.text(values.id)});
  });
  for (auto* each : {callers.get(), readiness.get(), addresses.get()}) {
    if (auto began = each->start(); !began) {
      return tier_error{tier_errc::cannot_start, began.error().text};
    }
  }
  // Callers are served without metrics, too.
  if (const auto began = metrics_page->start(); !began) {
    log.write("metrics_not_served", {{"reason", began.error().text}});
  }
  members = std::make_unique<membership::group>(
      group_options_of(values, mix64(seed, 3)),
      [this](notes::note_version from) {
        const auto found = fleet.copy().changes_since(from);
        std::vector<notes::release_note> notes;
        if (found.last_revision <= from) return notes;
        notes.push_back({.version = found.last_revision,
                         .base = found.listing ? 0 : from,
                         .text = encode_changes(found.changes)});
        return notes;
      });
  link = std::make_shared<peer_link>(
      loop, timers, values.listen.control,
      [this](const membership::message& message) { take_message(message); });
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
  log.write("stopping", {{"within", values.stop_within},
                         {"running", callers->active_requests()}});
  callers->drain();
  take_members(members->leave(now, member_state::leaving));
  await_end();
}

void daemon::state::await_end() {
  const time_point now = steady_clock::now();
  const stop_phase phase = stop.phase(now, callers->active_requests());
  if (phase == stop_phase::refusing) callers->stop_accepting();
  if (phase == stop_phase::ended) {
    log.write("stopped", {{"running", callers->active_requests()}});
    take_members(members->leave(now, member_state::left));
    log.flush();
    timers.after(stop_poll, [this] { loop.stop(); });
    return;
  }
  timers.after(stop_poll, [this] { await_end(); });
}

daemon::daemon(settings values, adapter platform)
    : state_(std::make_unique<state>(std::move(values), std::move(platform))) {}

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
