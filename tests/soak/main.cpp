/// Runs a whole deployment of real daemons on loopback addresses, injects
/// faults from outside of them, and checks the promises while it runs.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <algorithm>
#include <cstdio>
#include <filesystem>

#include "faults.hpp"

ABSL_FLAG(std::string, daemon, "build/bin/medlarloftd", "the daemon's program");
ABSL_FLAG(std::string, folder, "", "settings and logs of the daemons");
ABSL_FLAG(std::uint64_t, seed, 1, "decides faults, load and leafs");
ABSL_FLAG(std::string, length, "18s", "how long callers send");
ABSL_FLAG(int, daemons, 7, "number of daemons");
ABSL_FLAG(int, shards, 10, "shards of each gather");
ABSL_FLAG(int, events, 12, "faults and planned work");
ABSL_FLAG(int, net, 60,
          "addresses are 127.NET.x.y, of five networks from here");
ABSL_FLAG(bool, faults, true, "without them only planned work goes on");
ABSL_FLAG(double, rate, 60, "requests a second of each data centre");

namespace {

using namespace medlarloft;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int exit_broken = 1;
constexpr int exit_invalid = 2;
/// Callers begin when the daemons had time to find each other.
constexpr duration lead = seconds(2);
/// Without faults at the end, the deployment must serve again.
constexpr duration calm_end = seconds(6);
constexpr duration reap_period = milliseconds(10);
constexpr duration last_answers = seconds(3);
/// Of the requests sent in the last seconds this part is served at least.
constexpr double least_served_at_the_end = 0.95;

double in_ms(duration value) {
  return std::chrono::duration<double, std::milli>(value).count();
}

duration quantile(std::vector<duration> values, double share) {
  if (values.empty()) return {};
  std::ranges::sort(values);
  const auto at =
      static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
  return values[at];
}

// One run with its loop and everything that lives on it.
class run {
 public:
  run(soak::deployment_options where, duration length, double rate,
      soak::plan_options what)
      : length_(length),
        all_(loop_, timers_, std::move(where)),
        plan_(
            all_, checks_, timers_,
            [this](const std::string& text) { tell(text); }, what) {
    all_.execution_log().on_execution = [this](const std::string& request,
                                               const auto& ran) {
      checks_.on_run(request, ran);
    };
    for (std::size_t i = 0; i < soak::data_centres; ++i)
      add_callers(i, rate, what.seed);
  }

  int play() {
    began_ = steady_clock::now();
    checks_.configured(began_, all_.configure(false));
    for (std::size_t i = 0; i < all_.daemons().size(); ++i)
      all_.start_daemon(i);
    reap();
    wait(lead);
    plan_.start();
    for (auto& each : callers_)
      each->start(length_);
    wait(length_ + last_answers);
    checks_.finish();
    check_end();
    store_calls_ = all_.store().request_count();
    print();
    return checks_.findings().empty() && served_again_ ? 0 : exit_broken;
  }

 private:
  void add_callers(std::size_t index, double rate, std::uint64_t seed) {
    auto directories = all_.directories();
    const auto first = static_cast<std::ptrdiff_t>(index % directories.size());
    std::rotate(directories.begin(), directories.begin() + first,
                directories.end());
    callers_.push_back(std::make_unique<standins::callers>(
        loop_, timers_,
        standins::callers::options{
            .address_servers = std::move(directories),
            .data_centre = std::string(1, static_cast<char>('a' + index)),
            .rate = rate,
            .kinds = all_.kinds(),
            .seed = hash_combine(seed, index) % 100'000},
        [this](const std::string& leaf) { return all_.service_of(leaf); },
        [this](const standins::caller_attempt& one) {
          checks_.on_try(one);
          const bool late =
              one.ended_at > began_ + lead + length_ - calm_end / 2;
          if (!late) return;
          ++asked_late_;
          if (one.status == 200) ++served_late_;
        }));
  }

  void wait(duration length) {
    const time_point end = steady_clock::now() + length;
    while (steady_clock::now() < end)
      loop_.run_one_until(end);
  }

  void reap() {
    while (const auto ended = all_.reap()) {
      const soak::daemon_process& own = all_.daemons()[ended->daemon];
      tell("ended " + own.id + " code=" + std::to_string(ended->code));
      checks_.on_end(steady_clock::now(), own, *ended);
      plan_.ended(*ended);
    }
    timers_.after(reap_period, [this] { reap(); });
  }

  void tell(const std::string& text) const {
    std::printf(
        "%9.3f  %s\n",
        std::chrono::duration<double>(steady_clock::now() - began_ - lead)
            .count(),
        text.c_str());
  }

  void check_end() {
    served_again_ = static_cast<double>(served_late_) >=
                    least_served_at_the_end * static_cast<double>(asked_late_);
    std::printf("served in the last seconds: %llu of %llu%s\n",
                static_cast<unsigned long long>(served_late_),
                static_cast<unsigned long long>(asked_late_),
                served_again_ ? "" : "  NOT SERVED AGAIN");
  }

  void print() const {
    std::printf("%-10s %7s %7s %7s %7s %7s %7s %8s %8s\n", "requests", "tries",
                "whole", "partial", "refused", "failed", "no conn", "p50 ms",
                "p99 ms");
    for (const auto& [name, seen] : checks_.figures()) {
      std::printf("%-10s %7llu %7llu %7llu %7llu %7llu %7llu %8.2f %8.2f\n",
                  name.c_str(), static_cast<unsigned long long>(seen.tries),
                  static_cast<unsigned long long>(seen.whole),
                  static_cast<unsigned long long>(seen.partial),
                  static_cast<unsigned long long>(seen.refused),
                  static_cast<unsigned long long>(seen.failed),
                  static_cast<unsigned long long>(seen.unconnected),
                  in_ms(quantile(seen.latencies, 0.5)),
                  in_ms(quantile(seen.latencies, 0.99)));
    }
    std::printf(
        "leaf requests %llu, store calls %llu, processor %.2f s of the "
        "daemons that run\n",
        static_cast<unsigned long long>(checks_.leaf_requests()),
        static_cast<unsigned long long>(store_calls_),
        std::chrono::duration<double>(all_.processor_time()).count());
    for (const auto& each : checks_.findings()) {
      std::printf(
          "BROKEN at %.3f: %s\n",
          std::chrono::duration<double>(each.at - began_ - lead).count(),
          each.text.c_str());
    }
  }

  loop::io_context loop_;
  loop::timer_queue timers_{loop_};
  duration length_;
  soak::deployment all_;
  soak::promises checks_;
  soak::fault_plan plan_;
  std::vector<std::unique_ptr<standins::callers>> callers_;
  time_point began_;
  std::uint64_t asked_late_ = 0;
  std::uint64_t served_late_ = 0;
  std::uint64_t store_calls_ = 0;
  bool served_again_ = false;
};

}  // namespace

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "Runs daemons between stand-ins, hurts them, and checks the promises.");
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
  run one({.daemon_program = absl::GetFlag(FLAGS_daemon),
           .folder = folder,
           .daemons = static_cast<std::size_t>(absl::GetFlag(FLAGS_daemons)),
           .shards = static_cast<std::size_t>(absl::GetFlag(FLAGS_shards)),
           .seed = seed,
           .net = absl::GetFlag(FLAGS_net)},
          length.value(), absl::GetFlag(FLAGS_rate),
          {.seed = seed,
           .ends = length.value() - calm_end - seconds(4),
           .events = static_cast<std::size_t>(absl::GetFlag(FLAGS_events)),
           .faults = absl::GetFlag(FLAGS_faults)});
  return one.play();
}
