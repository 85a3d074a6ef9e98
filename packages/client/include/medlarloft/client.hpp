#pragma once

/// The commands of `medlarloft`, the client for operators. Commands share no
/// state.

#include <functional>
#include <iosfwd>
#include <string>
#include <vector>

#include "medlarloft/base.hpp"
#include "medlarloft/front.hpp"
#include "medlarloft/net.hpp"

namespace medlarloft::client {

/// Exit codes of the client.
inline constexpr int exit_ok = 0;
inline constexpr int exit_failed = 1;
inline constexpr int exit_invalid = 2;

/// Options of all commands, set by the flags.
struct options {
  /// Operator addresses of the daemons to query.
  std::vector<endpoint> daemons;
  duration timeout = std::chrono::seconds(2);
  /// Whether to write JSON lines instead of text.
  bool json = false;
  /// The folder that `note render` writes into.
  std::string output_folder;
};

/// The output streams of a command.
struct console {
  std::ostream& out;
  std::ostream& error;
};

/// Runs a command and returns an exit code.
using command = std::function<int(const options& settings,
                                  const std::vector<std::string>& arguments,
                                  const console& io)>;

/// Finds the command that `arguments` start with, for example {"note",
/// "check"}, and removes its words from them. Returns an empty function if
/// there is none.
command find_command(std::vector<std::string>& arguments);

/// Returns the help text, with one line for each command.
std::string usage();

/// Sends an HTTP request and waits for the response.
net::net_result<net::http_response> fetch(const endpoint& server,
                                          const net::http_request& request,
                                          duration timeout);

/// Sends GET requests to several daemons concurrently and waits for all
/// responses. They have the order of `servers`.
std::vector<net::net_result<net::http_response>> fetch_all(
    const std::vector<endpoint>& servers, const std::string& target,
    duration timeout);

}  // namespace medlarloft::client
