/// The operators' client.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <iostream>
#include <string>
#include <vector>

#include "medlarloft/client.hpp"

ABSL_FLAG(std::vector<std::string>, daemons, {},
          "operator addresses of the daemons to ask, with commas between");
ABSL_FLAG(std::string, timeout, "2s", "how long to wait for each daemon");
ABSL_FLAG(bool, json, false, "write JSON lines");
ABSL_FLAG(std::string, out, "", "folder that note render writes into");

namespace {

namespace client = medlarloft::client;

int refuse(const std::string& text) {
  std::cerr << "medlarloft: " << text << '\n';
  return client::exit_invalid;
}

}  // namespace

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(client::usage());
  const auto rest = absl::ParseCommandLine(argc, argv);
  std::vector<std::string> arguments(rest.begin() + 1, rest.end());
  client::options settings{.json = absl::GetFlag(FLAGS_json),
                           .out = absl::GetFlag(FLAGS_out)};
  const auto timeout = medlarloft::parse_duration(absl::GetFlag(FLAGS_timeout));
  if (!timeout) return refuse("--timeout: " + timeout.error().text);
  settings.timeout = timeout.value();
  for (const std::string& text : absl::GetFlag(FLAGS_daemons)) {
    const auto address = medlarloft::parse_endpoint(text);
    if (!address) return refuse("--daemons: " + address.error().text);
    settings.daemons.push_back(address.value());
  }
  const std::string wanted = arguments.empty() ? "" : arguments.front();
  const client::command run = client::find_command(arguments);
  if (!run) {
    std::cerr << client::usage();
    return refuse("command \"" + wanted + "\" is not known");
  }
  return run(settings, arguments, {std::cout, std::cerr});
}
