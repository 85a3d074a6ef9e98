/// Runs one failure of a whole deployment of real daemons and checks that the
/// deployment is back within a stated bound.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>

#include "session.hpp"

ABSL_FLAG(std::string, case, "",
          "silent_links, cut_data_centre or paused_daemon");
ABSL_FLAG(std::string, daemon, "build/bin/medlarloftd",
          "path of the daemon program");
ABSL_FLAG(std::string, folder, "",
          "folder for settings and logs of the daemons");
ABSL_FLAG(int, net, 90,
          "first NET of the five networks 127.NET.x.y that are used");

namespace {

using namespace medlarloft;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int exit_violation = 1;
constexpr int exit_invalid = 2;
/// Requests per second of each data centre; 201 of the whole deployment.
constexpr double request_rate = 67;
/// How long the last responses of a phase are waited for.
constexpr duration drain_time = seconds(2);

/// What the callers of one phase saw.
struct phase_counts {
  int answered = 0;
  /// Answered with parts missing.
  int partial = 0;
  /// Refused or failed.
  int unserved = 0;
  /// Connected, but without any response.
  int lost = 0;

  int not_whole() const noexcept { return partial + unserved + lost; }
};

class case_run {
 public:
  explicit case_run(soak::deployment_options options)
      : session_(std::move(options)) {
    session_.on_execution = [this](const standins::execution_record& each) {
      executions_.push_back(each);
    };
    session_.start();
  }

  /// Sends requests for this long and returns when all have ended.
  phase_counts send_requests(const std::string& phase, duration length) {
    const auto counts = start_requests(length);
    session_.run_for(length + drain_time);
    session_.log(phase + ": answered " + std::to_string(counts->answered) +
                 ", partial " + std::to_string(counts->partial) +
                 ", unserved " + std::to_string(counts->unserved) + ", lost " +
                 std::to_string(counts->lost));
    return *counts;
  }

  std::shared_ptr<phase_counts> start_requests(duration length) {
    auto counts = std::make_shared<phase_counts>();
    session_.start_callers(length, request_rate, [counts](const auto& attempt) {
      // Callers that have just started know no address yet.
      if (attempt.daemon.empty()) return;
      if (attempt.status == 200) {
        ++counts->answered;
        counts->partial += attempt.missing_parts > 0 ? 1 : 0;
      } else if (attempt.connected && attempt.status == 0) {
        ++counts->lost;
      } else {
        ++counts->unserved;
      }
    });
    return counts;
  }

  void expect(bool condition, const std::string& failure) {
    if (condition) return;
    session_.log("FAILED: " + failure);
    failed_ = true;
  }

  void expect_at_most(int limit, int count, const std::string& what) {
    expect(count <= limit, std::to_string(count) + " " + what +
                               ", allowed are " + std::to_string(limit));
  }

  /// Fails unless the leafs of a data centre took part of the work since then.
  void expect_in_use(const std::string& data_centre, time_point since) {
    const auto all = std::ranges::count_if(
        executions_,
        [since](const auto& each) { return each.started_at >= since; });
    const std::ptrdiff_t there = executions_in(data_centre, since);
    // An equal part would be a third.
    expect(there * 10 >= all,
           "only " + std::to_string(there) + " of " + std::to_string(all) +
               " requests ran in data centre " + data_centre);
  }

  int executions_in(const std::string& data_centre, time_point since) const {
    return static_cast<int>(
        std::ranges::count_if(executions_, [&](const auto& each) {
          return each.data_centre == data_centre && each.started_at >= since;
        }));
  }

  /// Calls `action` with the link to each leaf of a data centre.
  void for_each_leaf_link(const std::string& data_centre,
                          const std::function<void(soak::link&)>& action) {
    const auto& leafs = session_.deployment().leafs();
    for (std::size_t i = 0; i < leafs.size(); ++i)
      if (leafs[i]->settings().data_centre == data_centre)
        action(session_.deployment().leaf_link(i));
  }

  int finish() {
    session_.checker().finish();
    session_.print_results();
    const bool sound = session_.checker().violations().empty() && !failed_;
    return sound ? 0 : exit_violation;
  }

  soak::session& session() { return session_; }

 private:
  soak::session session_;
  std::vector<standins::execution_record> executions_;
  bool failed_ = false;
};

// Open connections to one data centre go silent for good under load, while new
// ones work: something between the two ends has lost track of them.
void silent_links(case_run& run) {
  run.send_requests("warm", seconds(2));
  run.session().timers().after(seconds(1), [&run] {
    run.session().checker().on_fault_change(steady_clock::now(), 1);
    run.for_each_leaf_link(
        "b", [](soak::link& link) { link.silence_open_connections(); });
    run.session().checker().on_fault_change(steady_clock::now(), -1);
  });
  const phase_counts during = run.send_requests("silent", seconds(5));
  run.expect_at_most(0, during.lost, "requests lost during the silence");
  const time_point after_silence = steady_clock::now();
  const phase_counts after = run.send_requests("after", seconds(2));
  run.expect_in_use("b", after_silence);
  run.expect(after.answered >= 380, "too few answers after the silence");
  run.expect_at_most(4, after.not_whole(),
                     "answers not whole after the silence");
}

// All leafs of one data centre are cut off under load, and come back.
void cut_data_centre(case_run& run) {
  run.send_requests("warm", seconds(2));
  run.session().checker().on_fault_change(steady_clock::now(), 1);
  run.for_each_leaf_link(
      "c", [](soak::link& link) { link.set_mode(soak::link_mode::silent); });
  const phase_counts during = run.send_requests("cut", seconds(4));
  run.expect_at_most(0, during.lost, "requests lost during the cut");
  run.for_each_leaf_link("c", [](soak::link& link) {
    link.set_mode(soak::link_mode::forwarding);
  });
  run.session().checker().on_fault_change(steady_clock::now(), -1);
  const time_point healed_at = steady_clock::now();
  const phase_counts after = run.send_requests("healed", seconds(3));
  run.expect_in_use("c", healed_at);
  run.expect(after.answered >= 570, "too few answers after the cut");
  run.expect_at_most(6, after.not_whole(), "answers not whole after the cut");
}

bool log_contains(const std::string& path, const std::string& text) {
  std::ifstream file(path);
  std::string line;
  while (std::getline(file, line))
    if (line.find(text) != std::string::npos) return true;
  return false;
}

// A daemon is paused while its own data centre is taken out, and wakes late
// with its old view, in which the leafs there are the nearest. It must not send
// anything there.
void paused_daemon(case_run& run, const std::string& folder) {
  soak::session& session = run.session();
  constexpr std::size_t paused = 1;
  const soak::daemon_process& daemon = session.deployment().daemons()[paused];
  run.send_requests("warm", seconds(2));
  run.start_requests(seconds(7));
  session.run_for(milliseconds(500));
  session.checker().on_fault_change(steady_clock::now(), 1);
  session.deployment().send_signal(paused, SIGSTOP);
  // Nothing may wait for the daemon in its socket buffers.
  session.deployment().set_peer_link_mode(paused, soak::link_mode::silent);
  session.deployment().set_data_centre_out(daemon.data_centre, true);
  session.checker().on_data_centre_out(steady_clock::now(), daemon.data_centre);
  // The others have 3 s to apply it; the rest is for requests in transit.
  session.run_for(milliseconds(3400));
  const time_point woken_at = steady_clock::now();
  session.deployment().set_peer_link_mode(paused, soak::link_mode::forwarding);
  session.deployment().send_signal(paused, SIGCONT);
  session.run_for(milliseconds(2100));
  session.checker().on_fault_change(steady_clock::now(), -1);
  session.run_for(seconds(3));
  run.expect_at_most(0, run.executions_in(daemon.data_centre, woken_at),
                     "requests ran in the data centre that is out");
  run.expect(log_contains(folder + "/" + daemon.id + ".log", "event=woke_late"),
             "the daemon did not notice its pause");
}

}  // namespace

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "Runs one failure of a deployment of daemons and checks its bounds.");
  absl::ParseCommandLine(argc, argv);
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  const std::string name = absl::GetFlag(FLAGS_case);
  const std::string folder = absl::GetFlag(FLAGS_folder);
  const bool known = name == "silent_links" || name == "cut_data_centre" ||
                     name == "paused_daemon";
  if (!known || folder.empty()) {
    std::fprintf(stderr, "--case or --folder: \"%s\", \"%s\"\n", name.c_str(),
                 folder.c_str());
    return exit_invalid;
  }
  // Logs of an earlier run would count as those of this one.
  std::filesystem::remove_all(folder);
  std::filesystem::create_directories(folder);
  case_run run({.daemon_program = absl::GetFlag(FLAGS_daemon),
                .folder = folder,
                .net = absl::GetFlag(FLAGS_net)});
  if (name == "silent_links") silent_links(run);
  if (name == "cut_data_centre") cut_data_centre(run);
  if (name == "paused_daemon") paused_daemon(run, folder);
  return run.finish();
}
