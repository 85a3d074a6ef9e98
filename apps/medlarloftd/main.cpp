/// The daemon program: parses flags and settings, then runs one daemon.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <optional>
#include <string>

#include "medlarloft/logs.hpp"
#include "medlarloft/platform.hpp"
#include "medlarloft/server.hpp"
#include "medlarloft/settings.hpp"
#include "medlarloft/tier.hpp"

ABSL_FLAG(std::string, settings, "", "path of the JSON settings file");
ABSL_FLAG(bool, check, false, "check the settings and exit");
ABSL_FLAG(std::string, log_level, "",
          "debug, info, warning or error; overrides the settings");
ABSL_FLAG(int, traffic_threads, 0,
          "number of traffic threads; overrides the settings when above 0");

ABSL_FLAG(std::string, settings_from, "",
          "environment variable with the path of the settings file; runs a "
          "daemon on the users' platform");

namespace {

constexpr int exit_failed = 1;
constexpr int exit_invalid = 2;

int usage_error(const std::string& text) {
  std::cerr << "medlarloftd: " << text << '\n';
  return exit_invalid;
}

// Runs a daemon on the users' platform.
int run_on_platform(const std::string& variable) {
  const char* path = std::getenv(variable.c_str());
  if (path == nullptr) {
    return usage_error("--settings_from: " + variable + " is not set");
  }
  const auto read = [path]() -> std::optional<medlarloft::tier::settings> {
    const auto text = medlarloft::settings::read_file(path);
    if (!text) {
      usage_error(text.error().text());
      return std::nullopt;
    }
    auto values = medlarloft::tier::read_settings(text.value());
    if (values) return std::move(values).value();
    usage_error(std::string(path) + ": " + values.error().text());
    return std::nullopt;
  };
  auto values = read();
  if (!values) return exit_invalid;
  if (absl::GetFlag(FLAGS_check)) {
    std::cout << path << ": valid\n";
    return 0;
  }
  // A write to a connection closed by the peer must fail instead of ending the
  // process.
  static_cast<void>(std::signal(SIGPIPE, SIG_IGN));
  medlarloft::tier::daemon daemon(std::move(*values),
                                  medlarloft::platform::make_adapter());
  daemon.on_reload(read);
  if (const auto finished = daemon.run(); !finished) {
    std::cerr << "medlarloftd: " << finished.error().text << '\n';
    return exit_failed;
  }
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  medlarloft::tier::set_signals_blocked(true);
  absl::SetProgramUsageMessage(
      "medlarloftd --settings FILE [--check]\n\n"
      "One daemon of the medlarloft query tier. SIGTERM stops it gracefully;\n"
      "a second signal ends it at once.");
  const auto arguments = absl::ParseCommandLine(argc, argv);
  if (arguments.size() > 1) {
    return usage_error("unknown argument \"" + std::string(arguments[1]) +
                       "\"");
  }
  if (const std::string variable = absl::GetFlag(FLAGS_settings_from);
      !variable.empty()) {
    return run_on_platform(variable);
  }
  const std::string path = absl::GetFlag(FLAGS_settings);
  if (path.empty()) return usage_error("--settings: no file given");
  const auto text = medlarloft::settings::read_file(path);
  if (!text) return usage_error(text.error().text());
  auto read = medlarloft::settings::parse(text.value());
  if (!read) return usage_error(path + ": " + read.error().text());
  medlarloft::settings::daemon_settings settings = std::move(read).value();
  if (const std::string level = absl::GetFlag(FLAGS_log_level);
      !level.empty()) {
    const auto parsed = medlarloft::logs::parse_level(level);
    if (!parsed) return usage_error("--log_level: " + parsed.error().text);
    settings.log_level = parsed.value();
  }
  if (const int threads = absl::GetFlag(FLAGS_traffic_threads); threads > 0) {
    settings.traffic_threads = static_cast<std::size_t>(threads);
  }
  if (absl::GetFlag(FLAGS_check)) {
    std::cout << path << ": valid\n";
    return 0;
  }
  medlarloft::tier::set_signals_blocked(false);
  medlarloft::logs::configure(settings.log_level, settings.id);
  medlarloft::server::daemon daemon(std::move(settings));
  const auto finished = daemon.run();
  if (!finished) {
    std::cerr << "medlarloftd: " << finished.error().text << '\n';
    return exit_failed;
  }
  return 0;
}
