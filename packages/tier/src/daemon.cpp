#include <sys/resource.h>

#include <algorithm>
#include <csignal>
#include <random>

#include "change_codec.hpp"
#include "daemon_state.hpp"
#include "store_read_timing.hpp"

namespace medlarloft::tier {
namespace {

using membership::member_record;
using membership::member_state;
using std::chrono::milliseconds;

/// Interval between probes of other daemons.
constexpr duration probe_period = milliseconds(500);
constexpr duration probe_timeout = milliseconds(200);
/// Some callers cache addresses for this many times the TTL that they are told,
/// even those of a daemon that is stopping.
constexpr int address_ttl_factor = 3;
constexpr int status_ok = 200;
constexpr duration stop_poll_period = milliseconds(50);
constexpr duration sweep_period = milliseconds(500);
/// Pause after a call that returned changes, until there is a configuration.
constexpr duration initial_read_pause = milliseconds(100);
/// A daemon that is not a seed waits this long for reports of others at its
/// start, before it reads the store.
constexpr duration startup_delay = milliseconds(120);
/// The same when the whole deployment starts for the first time: no caller is
/// waiting yet, and seeds may start later than this daemon.
constexpr duration first_deployment_delay = milliseconds(450);
constexpr double bytes_per_megabit = 125'000;
/// File descriptors reserved for everything but callers' connections.
constexpr std::size_t reserved_descriptors = 600;
/// Requests of callers take at most the process's memory divided by this; the
/// rest is for requests to leafs, responses and buffers of connections.
constexpr std::size_t request_memory_divisor = 5;
/// The same for unfinished responses of leafs.
constexpr std::size_t response_memory_divisor = 5;

std::uint64_t make_seed(const settings& daemon_settings) {
  std::random_device device;
  return hash_combine(hash64(daemon_settings.id), device());
}

std::uint32_t capacity_of(const settings& daemon_settings) {
  constexpr double thousandths = 1000.0;
  const double cores =
      daemon_settings.processor.share * daemon_settings.processor.speed;
  return std::max(static_cast<std::uint32_t>(cores * thousandths), 1U);
}

endpoint announced_control(const settings& daemon_settings) {
  return daemon_settings.listen.control_announced.value_or(
      daemon_settings.listen.control);
}

membership::group_options make_group_options(const settings& daemon_settings,
                                             std::uint64_t seed) {
  const auto started_ms =
      std::chrono::duration_cast<milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count();
  return {.self = {.id = daemon_settings.id,
                   .data_centre = daemon_settings.data_centre,
                   .control = announced_control(daemon_settings),
                   .incarnation = static_cast<std::uint64_t>(started_ms),
                   .capacity = capacity_of(daemon_settings)},
          .seeds = daemon_settings.seeds,
          .probe_period = probe_period,
          .probe_timeout = probe_timeout,
          .random_seed = seed};
}

/// Returns how long the daemon waits for the reports of others at its start.
duration initial_read_delay(const settings& daemon_settings) {
  const auto own_address = announced_control(daemon_settings);
  const bool seed = std::ranges::find(daemon_settings.seeds, own_address) !=
                    daemon_settings.seeds.end();
  if (seed) return duration::zero();
  return daemon_settings.first_deployment ? first_deployment_delay
                                          : startup_delay;
}

}  // namespace

daemon::state::state(settings initial_settings, adapter platform_adapter)
    : daemon_settings(std::move(initial_settings)),
      platform(std::move(platform_adapter)),
      seed(make_seed(daemon_settings)),
      log(timers, {.id = daemon_settings.id}),
      leafs({.local_data_centre = daemon_settings.data_centre},
            hash_combine(seed, 1)),
      view(platform, leafs, log, platform.operator_prefix),
      pool(loop, timers,
           {.from_ip = daemon_settings.listen.callers.ip,
            .max_response_memory =
                daemon_settings.memory_bytes / response_memory_divisor},
           {.on_connected =
                [this](leafs::leaf_handle leaf, duration connect_time) {
                  metrics.increment(counter::connections_opened);
                  leafs.add_round_trip_sample(leafs.find(leaf)->data_centre,
                                              connect_time);
                }}),
      quota({.id = daemon_settings.id,
             .capacity = capacity_of(daemon_settings),
             .started_at = started_at}),
      account_quotas(
          timers,
          {.id = daemon_settings.id,
           .process = hash_combine(seed, 4) | 1,
           .allowed = daemon_settings.quota},
          {.send = [this](const auto& message) { send_quota_message(message); },
           .on_coordinator_changed =
               [this](const std::string& id, std::string_view reason) {
                 log.write("quota_coordinator",
                           {{"coordinator", id}, {"reason", reason}});
               }}),
      loads({.id = daemon_settings.id,
             .capacity = capacity_of(daemon_settings),
             .link_rate = daemon_settings.link_mbps * bytes_per_megabit,
             .started_at = started_at}),
      pauses({}, uptime()),
      budget({.ratio = daemon_settings.retries.ratio,
              .slack = daemon_settings.retries.slack,
              .window = daemon_settings.retries.window,
              .slack_fraction = quota.fraction()}),
      traffic{timers,
              platform,
              leafs,
              pool,
              budget,
              queue,
              log,
              metrics,
              [this] { check_pause(); },
              [this] { return !holds_requests(); }},
      stop({.stop_within = daemon_settings.stop_within,
            .address_ttl = address_ttl() * address_ttl_factor}) {}

void daemon::state::start_store_reader() {
  store = std::make_unique<store_reader>(
      loop, timers,
      store_reader::options{
          .store = daemon_settings.store,
          .from_ip = daemon_settings.listen.callers.ip,
          .long_poll_timeout = long_poll_timeout(daemon_settings.act_within),
          .seed = hash_combine(seed, 2)},
      platform,
      store_reader::hooks{
          .on_changes =
              [this](const changes_page& page, replica::position up_to) {
                check_pause();
                const time_point now = steady_clock::now();
                view.apply(now, page.changes, up_to, "store");
                apply_group_outputs(distribution->on_store_read(
                    now, up_to, !page.may_have_more));
              },
          .on_listing =
              [this](const auto& listing, replica::position position) {
                const time_point now = steady_clock::now();
                view.apply_listing(now, listing, position, "store");
                apply_group_outputs(
                    distribution->on_store_read(now, position, true));
              },
          .copy_position = [this] { return view.records().last_position(); },
          .on_invalid_era =
              [this](const std::string& reason, replica::era known) {
                log.write("store_era_invalid",
                          {{"reason", reason}, {"known_era", known}});
              },
          .on_answer =
              [this] { distribution->on_store_answer(steady_clock::now()); },
          .pause_after_changes =
              [this] {
                return view.ready()
                           ? pause_after_changes(daemon_settings.act_within)
                           : initial_read_pause;
              },
          .on_reachability_changed =
              [this](bool reachable, const std::string& reason) {
                log.write(
                    reachable ? "store_regained" : "store_lost",
                    {{"reason", reason},
                     {"revision", view.records().last_position().number()}});
                store_failing = !reachable;
                report_store_failure(steady_clock::now());
              }});
  update_reader_selection();
}

result<void, tier_error> daemon::state::start() {
  const std::size_t max_connections =
      daemon_settings.max_descriptors > 2 * reserved_descriptors
          ? daemon_settings.max_descriptors - reserved_descriptors
          : daemon_settings.max_descriptors / 2;
  const auto make_server = [ this, max_connections ](
      const endpoint& address, http::request_handler handler) -> auto{
    return std::make_unique<http::server>(
        loop, timers,
        http::server::options{
            .listen = address,
            .max_connections = max_connections,
            .max_buffered_bytes =
                daemon_settings.memory_bytes / request_memory_divisor,
            .limits = [this] { return caller_limits(); }},
        std::move(handler));
  };
  caller_server =
      make_server(daemon_settings.listen.callers,
                  [this](auto exchange) { serve(std::move(exchange)); });
  readiness_server =
      make_server(daemon_settings.listen.readiness,
                  [this](auto exchange) { serve_readiness(exchange); });
  address_server =
      make_server(daemon_settings.listen.addresses,
                  [this](auto exchange) { serve_addresses(exchange); });
  metrics_server =
      make_server(daemon_settings.listen.metrics, [this](auto exchange) {
        update_metrics(steady_clock::now());
        exchange->respond({.status = status_ok,
                           .headers = {{"Content-Type", "text/plain"}},
                           .body = metrics.to_prometheus(daemon_settings.id)});
      });
  for (auto* server :
       {caller_server.get(), readiness_server.get(), address_server.get()}) {
    if (auto started = server->start(); !started) {
      return tier_error{tier_errc::cannot_start, started.error().text};
    }
  }
  // Callers are also served if the metrics cannot be.
  if (const auto started = metrics_server->start(); !started) {
    log.write("metrics_not_served", {{"reason", started.error().text}});
  }
  distribution = std::make_unique<change_distribution>(
      change_distribution::options{
          .group = make_group_options(daemon_settings, hash_combine(seed, 3)),
          .readers = {.stale_after = stale_after(daemon_settings.act_within),
                      .startup_delay = initial_read_delay(daemon_settings)},
          .started_at = started_at},
      change_distribution::hooks{
          .changes_since =
              [this](replica::position from) {
                return view.records().changes_since(from);
              },
          .copy_position = [this] { return view.records().last_position(); },
          .apply =
              [this](time_point now, const replica::store_copy::delta& delta,
                     std::string_view source) {
                apply_peer_changes(now, delta, source);
              },
          .on_malformed =
              [this](std::string_view source, replica::position position) {
                log.write("changes_not_read",
                          {{"from", source}, {"revision", position.number()}});
              }});
  link = std::make_shared<peer_link>(
      loop, timers, daemon_settings.listen.control,
      peer_link::handlers{.on_message =
                              [this](const membership::message& message) {
                                handle_message(message);
                              },
                          .on_quota_message =
                              [this](const quota::quota_message& message) {
                                handle_quota_message(message);
                              }});
  if (auto started = link->start(); !started) return started.error();
  apply_group_outputs(distribution->start(steady_clock::now()));
  start_store_reader();
  last_sweep = steady_clock::now();
  update_quotas(last_sweep);
  timers.after(sweep_period, [this] { sweep(); });
  signals.add(SIGTERM);
  signals.add(SIGINT);
  signals.add(SIGHUP);
  await_signal();
  set_signals_blocked(false);
  log.write("started",
            {{"data_centre", daemon_settings.data_centre},
             {"callers", format_endpoint(daemon_settings.listen.callers)},
             {"seeds", daemon_settings.seeds.size()}});
  return outcome::success();
}

void daemon::state::await_signal() {
  signals.async_wait([this](const auto& error, int number) {
    if (error) return;
    on_signal(number);
    await_signal();
  });
}

void daemon::state::on_signal(int number) {
  if (number == SIGHUP) {
    const auto reloaded = reload ? reload() : std::nullopt;
    log.write("reloaded", {{"usable", reloaded.has_value()}});
    return;
  }
  if (!stop.begun()) begin_stop();
}

void daemon::state::begin_stop() {
  const time_point now = steady_clock::now();
  stop.begin(now);
  log.write("stopping", {{"within", daemon_settings.stop_within},
                         {"running", caller_server->active_requests()}});
  caller_server->drain();
  // Requests may end while the deadline of another one changes.
  const auto running = traffic.running;
  for (const auto& each : running) {
    const auto task = each.lock();
    if (task && traffic.running.contains(each))
      task->limit_deadline(stop.answer_deadline());
  }
  apply_group_outputs(distribution->leave(now, member_state::leaving));
  update_quota_coordinators();
  continue_stop();
}

void daemon::state::continue_stop() {
  const time_point now = steady_clock::now();
  const stop_phase phase =
      stop.phase(now, caller_server->unfinished_requests());
  if (phase == stop_phase::refusing) caller_server->stop_accepting();
  if (phase == stop_phase::ended) {
    log.write("stopped", {{"running", caller_server->unfinished_requests()}});
    apply_group_outputs(distribution->leave(now, member_state::left));
    log.flush();
    timers.after(stop_poll_period, [this] { loop.stop(); });
    return;
  }
  timers.after(stop_poll_period, [this] { continue_stop(); });
}

void set_signals_blocked(bool blocked) {
  sigset_t handled;
  sigemptyset(&handled);
  for (const int number : {SIGTERM, SIGINT, SIGHUP})
    sigaddset(&handled, number);
  ::pthread_sigmask(blocked ? SIG_BLOCK : SIG_UNBLOCK, &handled, nullptr);
}

daemon::daemon(settings initial_settings, adapter platform)
    : state_(std::make_unique<state>(std::move(initial_settings),
                                     std::move(platform))) {}

daemon::~daemon() = default;

void daemon::on_reload(std::function<std::optional<settings>()> reload) {
  state_->reload = std::move(reload);
}

result<void, tier_error> daemon::run() {
  if (auto started = state_->start(); !started) return started.error();
  state_->loop.run();
  return outcome::success();
}

}  // namespace medlarloft::tier
