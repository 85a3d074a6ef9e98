/// Runs a whole deployment of real daemons on loopback addresses, injects
/// faults from outside and checks the promises while it runs.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <cstdio>
#include <filesystem>

#include "faults.hpp"
#include "session.hpp"

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
using std::chrono::seconds;

constexpr int exit_violation = 1;
constexpr int exit_invalid = 2;
/// No fault is injected during this time at the end of a run, so that the
/// deployment must recover.
constexpr duration fault_free_end = seconds(6);
/// How long the last responses are waited for.
constexpr duration drain_time = seconds(3);
/// Required fraction of served requests in the last seconds.
constexpr double min_success_ratio_at_end = 0.95;

// One run with random faults.
class soak_run {
 public:
  soak_run(soak::deployment_options deployment_options, duration length,
           double rate, soak::plan_options plan_options)
      : length_(length),
        rate_(rate),
        session_(std::move(deployment_options)),
        plan_(
            session_.deployment(), session_.checker(), session_.timers(),
            [this](const std::string& text) { session_.log(text); },
            plan_options) {
    session_.on_process_end = [this](const soak::process_end& end) {
      plan_.on_process_end(end);
    };
  }

  int execute() {
    session_.start();
    plan_.start();
    session_.start_callers(length_, rate_, [this](const auto& attempt) {
      count_late_attempt(attempt);
    });
    session_.run_for(length_ + drain_time);
    session_.finish_checks();
    const bool recovered = check_recovery();
    session_.print_results();
    const bool sound = session_.checker().violations().empty() && recovered;
    return sound ? 0 : exit_violation;
  }

 private:
  void count_late_attempt(const standins::caller_attempt& attempt) {
    const time_point late_from =
        session_.started_at() + length_ - fault_free_end / 2;
    if (attempt.ended_at <= late_from) return;
    // Most requests of an account over its quota are refused by design.
    if (attempt.kind->over_quota) return;
    ++late_attempts_;
    if (attempt.status == 200) ++late_successes_;
  }

  bool check_recovery() const {
    const bool recovered =
        static_cast<double>(late_successes_) >=
        min_success_ratio_at_end * static_cast<double>(late_attempts_);
    std::printf("served in the last seconds: %llu of %llu%s\n",
                static_cast<unsigned long long>(late_successes_),
                static_cast<unsigned long long>(late_attempts_),
                recovered ? "" : "  NOT SERVED AGAIN");
    return recovered;
  }

  duration length_;
  double rate_;
  soak::session session_;
  soak::fault_plan plan_;
  std::uint64_t late_attempts_ = 0;
  std::uint64_t late_successes_ = 0;
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
       .net = absl::GetFlag(FLAGS_net),
       .accounts = true},
      length.value(), absl::GetFlag(FLAGS_rate),
      {.seed = seed,
       .window_end = length.value() - fault_free_end - seconds(4),
       .event_count = static_cast<std::size_t>(absl::GetFlag(FLAGS_events)),
       .inject_faults = absl::GetFlag(FLAGS_faults)});
  return run.execute();
}
