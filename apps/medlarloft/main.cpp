/// The command-line client for operators.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <iostream>
#include <string>
#include <vector>

#include "medlarloft/client.hpp"

ABSL_FLAG(std::vector<std::string>, daemons, {},
          "comma-separated operator addresses of the daemons to query");
ABSL_FLAG(std::string, timeout, "2s", "how long to wait for each daemon");
ABSL_FLAG(bool, json, false, "print JSON lines");
ABSL_FLAG(std::string, out, "", "output folder of the command note render");

namespace {

namespace client = medlarloft::client;

int usage_error(const std::string& text) {
  std::cerr << "medlarloft: " << text << '\n';
  return client::exit_invalid;
}

}  // namespace

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(client::usage());
  const auto parsed = absl::ParseCommandLine(argc, argv);
  std::vector<std::string> arguments(parsed.begin() + 1, parsed.end());
  client::options options{.json = absl::GetFlag(FLAGS_json),
                          .output_folder = absl::GetFlag(FLAGS_out)};
  const auto timeout = medlarloft::parse_duration(absl::GetFlag(FLAGS_timeout));
  if (!timeout) return usage_error("--timeout: " + timeout.error().text);
  options.timeout = timeout.value();
  for (const std::string& text : absl::GetFlag(FLAGS_daemons)) {
    const auto address = medlarloft::parse_endpoint(text);
    if (!address) return usage_error("--daemons: " + address.error().text);
    options.daemons.push_back(address.value());
  }
  const std::string name = arguments.empty() ? "" : arguments.front();
  const client::command command = client::find_command(arguments);
  if (!command) {
    std::cerr << client::usage();
    return usage_error("unknown command \"" + name + "\"");
  }
  return command(options, arguments, {std::cout, std::cerr});
}
