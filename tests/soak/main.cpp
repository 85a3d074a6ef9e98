/// Runs a whole deployment of real daemons on loopback addresses, injects
/// faults from outside and checks the promises while it runs.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <algorithm>
#include <cstdio>
#include <filesystem>

#include "faults.hpp"

ABSL_FLAG(std::string, daemon, "build/bin/medlarloftd",
          "path of the daemon program");
ABSL_FLAG(std::string, folder, "",
          "folder for settings and logs of the daemons");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the faults, the load and the leafs");
ABSL_FLAG(std::string, length, "18s", "how long callers send requests");
ABSL_FLAG(int, daemons, 7, "number of daemons");
ABSL_FLAG(int, shards, 10, "number of shards of a gather");
ABSL_FLAG(int, events, 12, "number of faults and planned changes");
ABSL_FLAG(int, net, 60,
          "first NET of the five networks 127.NET.x.y that are used");
ABSL_FLAG(bool, faults, true,
          "inject faults; otherwise only planned work is done");
ABSL_FLAG(double, rate, 60, "requests per second of each data centre");

namespace {

using namespace medlarloft;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int exit_violation = 1;
constexpr int exit_invalid = 2;
/// Callers start after this time, in which the daemons discover each other.
constexpr duration startup_time = seconds(2);
/// No fault is injected during this time at the end of a run, so that the
/// deployment must recover.
constexpr duration fault_free_end = seconds(6);
constexpr duration reap_period = milliseconds(10);
/// How long the last responses are waited for.
constexpr duration drain_time = seconds(3);
/// Required fraction of served requests in the last seconds.
constexpr double min_success_ratio_at_end = 0.95;

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

// One run with its event loop and all objects that use it.
class soak_run {
 public:
  soak_run(soak::deployment_options deployment_options, duration length,
           double rate, soak::plan_options plan_options)
      : length_(length),
        deployment_(loop_, timers_, std::move(deployment_options)),
        plan_(
            deployment_, checker_, timers_,
            [this](const std::string& text) { log(text); }, plan_options) {
    deployment_.execution_log().on_execution =
        [this](const std::string& request, const auto& execution) {
          checker_.on_execution(request, execution);
        };
    for (std::size_t i = 0; i < soak::data_centres; ++i)
      add_callers(i, rate, plan_options.seed);
  }

  int execute() {
    started_at_ = steady_clock::now();
    checker_.on_configuration(started_at_,
                              deployment_.publish_configuration(false));
    for (std::size_t i = 0; i < deployment_.daemons().size(); ++i)
      deployment_.start_daemon(i);
    reap();
    wait(startup_time);
    plan_.start();
    for (auto& callers : callers_)
      callers->start(length_);
    wait(length_ + drain_time);
    checker_.finish();
    check_recovery();
    store_requests_ = deployment_.store().request_count();
    print_results();
    return checker_.violations().empty() && recovered_ ? 0 : exit_violation;
  }

 private:
  void add_callers(std::size_t index, double rate, std::uint64_t seed) {
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
            .seed = hash_combine(seed, index) % 100'000},
        [this](const std::string& leaf) {
          return deployment_.service_of(leaf);
        },
        [this](const standins::caller_attempt& attempt) {
          checker_.on_attempt(attempt);
          const bool late = attempt.ended_at > started_at_ + startup_time +
                                                   length_ - fault_free_end / 2;
          if (!late) return;
          ++late_attempts_;
          if (attempt.status == 200) ++late_successes_;
        }));
  }

  void wait(duration length) {
    const time_point end = steady_clock::now() + length;
    while (steady_clock::now() < end)
      loop_.run_one_until(end);
  }

  void reap() {
    while (const auto end = deployment_.reap()) {
      const soak::daemon_process& daemon = deployment_.daemons()[end->daemon];
      log("ended " + daemon.id + " code=" + std::to_string(end->code));
      checker_.on_process_end(steady_clock::now(), daemon, *end);
      plan_.on_process_end(*end);
    }
    timers_.after(reap_period, [this] { reap(); });
  }

  void log(const std::string& text) const {
    std::printf("%9.3f  %s\n",
                std::chrono::duration<double>(steady_clock::now() -
                                              started_at_ - startup_time)
                    .count(),
                text.c_str());
  }

  void check_recovery() {
    recovered_ = static_cast<double>(late_successes_) >=
                 min_success_ratio_at_end * static_cast<double>(late_attempts_);
    std::printf("served in the last seconds: %llu of %llu%s\n",
                static_cast<unsigned long long>(late_successes_),
                static_cast<unsigned long long>(late_attempts_),
                recovered_ ? "" : "  NOT SERVED AGAIN");
  }

  void print_results() const {
    std::printf("%-10s %7s %7s %7s %7s %7s %7s %8s %8s\n", "requests", "tries",
                "whole", "partial", "refused", "failed", "no conn", "p50 ms",
                "p99 ms");
    for (const auto& [name, metrics] : checker_.metrics()) {
      std::printf("%-10s %7llu %7llu %7llu %7llu %7llu %7llu %8.2f %8.2f\n",
                  name.c_str(),
                  static_cast<unsigned long long>(metrics.attempts),
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
        static_cast<unsigned long long>(store_requests_),
        std::chrono::duration<double>(deployment_.processor_time()).count());
    for (const auto& violation : checker_.violations()) {
      std::printf("BROKEN at %.3f: %s\n",
                  std::chrono::duration<double>(violation.timestamp -
                                                started_at_ - startup_time)
                      .count(),
                  violation.description.c_str());
    }
  }

  loop::io_context loop_;
  loop::timer_queue timers_{loop_};
  duration length_;
  soak::deployment deployment_;
  soak::promise_checker checker_;
  soak::fault_plan plan_;
  std::vector<std::unique_ptr<standins::callers>> callers_;
  time_point started_at_;
  std::uint64_t late_attempts_ = 0;
  std::uint64_t late_successes_ = 0;
  std::uint64_t store_requests_ = 0;
  bool recovered_ = false;
};

}  // namespace

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "Runs daemons between fakes, injects faults and checks the promises.");
  absl::ParseCommandLine(argc, argv);
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  const auto length = parse_duration(absl::GetFlag(FLAGS_length));
  std::string folder = absl::GetFlag(FLAGS_folder);
  if (!length || folder.empty()) {
    std::fprintf(stderr, "--length or --folder: \"%s\", \"%s\"\n",
                 absl::GetFlag(FLAGS_length).c_str(), folder.c_str());
    return exit_invalid;
  }
  std::filesystem::create_directories(folder);
  const std::uint64_t seed = absl::GetFlag(FLAGS_seed);
  soak_run run(
      {.daemon_program = absl::GetFlag(FLAGS_daemon),
       .folder = folder,
       .daemons = static_cast<std::size_t>(absl::GetFlag(FLAGS_daemons)),
       .shards = static_cast<std::size_t>(absl::GetFlag(FLAGS_shards)),
       .seed = seed,
       .net = absl::GetFlag(FLAGS_net)},
      length.value(), absl::GetFlag(FLAGS_rate),
      {.seed = seed,
       .window_end = length.value() - fault_free_end - seconds(4),
       .event_count = static_cast<std::size_t>(absl::GetFlag(FLAGS_events)),
       .inject_faults = absl::GetFlag(FLAGS_faults)});
  return run.execute();
}
