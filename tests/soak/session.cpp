#include "session.hpp"

#include <algorithm>
#include <cstdio>

namespace medlarloft::soak {
namespace {

constexpr duration startup_time = std::chrono::seconds(2);
constexpr duration reap_period = std::chrono::milliseconds(10);
/// Seeds of callers are part of their requests' ids.
constexpr std::uint64_t max_caller_seed = 100'000;

double in_ms(duration value) {
  return std::chrono::duration<double, std::milli>(value).count();
}

duration quantile(std::vector<duration> values, double fraction) {
  if (values.empty()) return {};
  std::ranges::sort(values);
  const auto index = static_cast<std::size_t>(
      fraction * static_cast<double>(values.size() - 1));
  return values[index];
}

}  // namespace

session::session(deployment_options options)
    : seed_(options.seed), deployment_(loop_, timers_, std::move(options)) {
  deployment_.execution_log().on_execution = [this](const std::string& request,
                                                    const auto& execution) {
    checker_.on_execution(request, execution);
    if (on_execution) on_execution(execution);
  };
  watch_statements();
}

void session::watch_statements() {
  standins::execution_log& log = deployment_.execution_log();
  log.on_arrival = [this](const std::string& request, const auto& leaf) {
    statements_.on_arrival(steady_clock::now(), request, leaf);
  };
  log.on_response = [this](const std::string& request, const auto& leaf,
                           const auto& statement) {
    statements_.on_response(steady_clock::now(), request, leaf, statement,
                            deployment_.responses_arrive(leaf.leaf));
  };
  deployment_.on_signal = [this](const daemon_process& daemon) {
    statements_.on_daemon_interrupted(steady_clock::now(), daemon.ip);
  };
}

void session::finish_checks() {
  checker_.finish();
  for (const auto& [when, description] : statements_.check(drain_bound))
    checker_.add_violation(when, description);
}

void session::start() {
  started_at_ = steady_clock::now() + startup_time;
  checker_.on_configuration(steady_clock::now(),
                            deployment_.publish_configuration(false));
  for (std::size_t i = 0; i < deployment_.daemons().size(); ++i)
    deployment_.start_daemon(i);
  reap();
  run_for(startup_time);
}

void session::start_callers(
    duration length, double rate_per_data_centre,
    const std::function<void(const standins::caller_attempt&)>& on_attempt) {
  for (std::size_t i = 0; i < data_centres; ++i) {
    add_callers(i, rate_per_data_centre, on_attempt);
    callers_.back()->start(length);
  }
}

void session::add_callers(
    std::size_t index, double rate,
    std::function<void(const standins::caller_attempt&)> on_attempt) {
  auto address_servers = deployment_.address_servers();
  const auto first =
      static_cast<std::ptrdiff_t>(index % address_servers.size());
  std::rotate(address_servers.begin(), address_servers.begin() + first,
              address_servers.end());
  callers_.push_back(std::make_unique<standins::callers>(
      loop_, timers_,
      standins::callers::options{
          .address_servers = std::move(address_servers),
          .data_centre = std::string(1, static_cast<char>('a' + index)),
          .rate = rate,
          .kinds = deployment_.request_kinds(),
          .seed = hash_combine(seed_, callers_.size()) % max_caller_seed},
      [this](const std::string& leaf) { return deployment_.service_of(leaf); },
      [this, on_attempt = std::move(on_attempt)](
          const standins::caller_attempt& attempt) {
        checker_.on_attempt(attempt);
        const std::string daemon_ip =
            attempt.daemon.substr(0, attempt.daemon.find(':'));
        statements_.on_attempt(attempt.request_id, daemon_ip, attempt.sent_at);
        on_attempt(attempt);
      }));
}

void session::run_for(duration length) {
  const time_point end = steady_clock::now() + length;
  while (steady_clock::now() < end)
    loop_.run_one_until(end);
}

void session::reap() {
  while (const auto end = deployment_.reap()) {
    const daemon_process& daemon = deployment_.daemons()[end->daemon];
    log("ended " + daemon.id + " code=" + std::to_string(end->code));
    checker_.on_process_end(steady_clock::now(), daemon, *end);
    statements_.on_daemon_interrupted(steady_clock::now(), daemon.ip);
    if (on_process_end) on_process_end(*end);
  }
  timers_.after(reap_period, [this] { reap(); });
}

void session::log(const std::string& text) const {
  std::printf(
      "%9.3f  %s\n",
      std::chrono::duration<double>(steady_clock::now() - started_at_).count(),
      text.c_str());
}

void session::print_results() {
  std::printf("%-10s %7s %7s %7s %7s %7s %7s %8s %8s\n", "requests", "tries",
              "whole", "partial", "refused", "failed", "no conn", "p50 ms",
              "p99 ms");
  for (const auto& [name, metrics] : checker_.metrics()) {
    std::printf("%-10s %7llu %7llu %7llu %7llu %7llu %7llu %8.2f %8.2f\n",
                name.c_str(), static_cast<unsigned long long>(metrics.attempts),
                static_cast<unsigned long long>(metrics.complete),
                static_cast<unsigned long long>(metrics.partial),
                static_cast<unsigned long long>(metrics.refused),
                static_cast<unsigned long long>(metrics.failed),
                static_cast<unsigned long long>(metrics.not_connected),
                in_ms(quantile(metrics.latencies, 0.5)),
                in_ms(quantile(metrics.latencies, 0.99)));
  }
  std::printf(
      "leaf requests %llu, store calls %llu, processor %.2f s of the "
      "daemons that run\n",
      static_cast<unsigned long long>(checker_.leaf_request_count()),
      static_cast<unsigned long long>(deployment_.store().request_count()),
      std::chrono::duration<double>(deployment_.processor_time()).count());
  std::printf("most requests of the limited account in a window: %zu\n",
              checker_.most_in_quota_window());
  for (const auto& violation : checker_.violations()) {
    std::printf("BROKEN at %.3f: %s\n",
                std::chrono::duration<double>(violation.timestamp - started_at_)
                    .count(),
                violation.description.c_str());
  }
}

}  // namespace medlarloft::soak
