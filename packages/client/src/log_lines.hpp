#pragma once

/// Lines of daemons' logs, and the way from a request's id to its cause.

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace medlarloft::client::detail {

/// One line: key=value pairs in their order.
struct log_line {
  std::vector<std::pair<std::string, std::string>> pairs;

  /// Returns the value of the first pair with the key, or an empty text.
  std::string_view value(std::string_view key) const;
};

/// Reads one line; a line without pairs is empty.
log_line read_line(std::string_view text);

struct explanation {
  /// One sentence on the end of the request; empty: no line tells its end.
  std::string outcome;
  /// What decided it, one reason a line.
  std::vector<std::string> causes;
  /// The request's own lines and what its daemon came to believe shortly
  /// before, in the order of the log.
  std::vector<log_line> lines;
  /// A daemon's clock went back between lines; the order is the log's.
  bool clock_went_back = false;
};

/// Explains one request from the lines of many daemons.
explanation explain_request(std::string_view request_id,
                            const std::vector<log_line>& lines);

}  // namespace medlarloft::client::detail
