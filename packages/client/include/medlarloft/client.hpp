#pragma once

/// The commands of the operators' client. Each takes its arguments and writes
/// to a stream; nothing is kept between commands.

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

/// Options shared by all commands, from the flags.
struct options {
  /// Operator addresses of daemons, to ask each of them.
  std::vector<endpoint> daemons;
  duration timeout = std::chrono::seconds(2);
  /// JSON lines in place of text.
  bool json = false;
  /// Folder for rendered values.
  std::string out;
};

struct console {
  std::ostream& out;
  std::ostream& error;
};

using command = std::function<int(const options& settings,
                                  const std::vector<std::string>& arguments,
                                  const console& io)>;

/// Finds a command by its words, for example {"note", "check"}. Takes the
/// words off the front of `arguments`.
command find_command(std::vector<std::string>& arguments);

/// One line for each command.
std::string usage();

/// Fetches one page and waits for it.
net::net_result<net::http_response> fetch(const endpoint& from,
                                          const net::http_request& request,
                                          duration timeout);

/// Asks several daemons at once; the answers keep the order.
std::vector<net::net_result<net::http_response>> fetch_all(
    const std::vector<endpoint>& from, const std::string& target,
    duration timeout);

}  // namespace medlarloft::client
