#pragma once

/// Parsing of daemon logs, and explaining the outcome of a request from them.

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace medlarloft::client::detail {

/// The key=value pairs of one line, in order.
struct log_line {
  std::vector<std::pair<std::string, std::string>> pairs;

  /// Returns the value of the first pair with the key, or an empty string.
  std::string_view value(std::string_view key) const;
};

/// Parses one line. Returns no pairs if the line has none.
log_line parse_line(std::string_view text);

/// Why a request ended as it did.
struct explanation {
  /// How the request ended, in one sentence; empty if the log does not show it.
  std::string outcome;
  /// The causes of the outcome.
  std::vector<std::string> causes;
  /// State changes of the daemon shortly before the request, then the lines of
  /// the request, in log order.
  std::vector<log_line> lines;
  /// Whether the daemon's clock went back between lines, so that timestamps do
  /// not give the order.
  bool clock_went_back = false;
};

/// Explains the outcome of one request from the log lines of several daemons.
/// Returns no lines if the request is not in the log.
explanation explain_request(std::string_view request_id,
                            const std::vector<log_line>& lines);

}  // namespace medlarloft::client::detail
