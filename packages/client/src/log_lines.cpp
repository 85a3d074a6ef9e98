#include "log_lines.hpp"

#include <algorithm>
#include <array>
#include <map>

namespace medlarloft::client::detail {
namespace {

/// Number of lines before the request that are searched for state changes.
constexpr std::size_t max_lines_before = 400;

/// Events that change the daemon's view of the configuration, of backend
/// servers or of itself.
constexpr std::array<std::string_view, 10> state_changes{
    "configuration_in_force",
    "data_centre_out",
    "data_centre_back",
    "store_lost",
    "store_regained",
    "woke_late",
    "stopping",
    "leaf_gone",
    "leaf_registered",
    "started"};

bool is_state_change(const log_line& line) {
  return std::ranges::find(state_changes, line.value("event")) !=
         state_changes.end();
}

// Whether a state change may have affected the request. The registration of a
// leaf is relevant only if the request used this leaf or its service.
bool is_relevant(const log_line& line,
                 const std::vector<log_line>& request_lines) {
  const std::string_view event = line.value("event");
  const bool is_registration =
      event == "leaf_gone" || event == "leaf_registered";
  if (!is_registration) return true;
  return std::ranges::any_of(request_lines, [&line](const log_line& other) {
    const bool same_leaf = !line.value("leaf").empty() &&
                           other.value("leaf") == line.value("leaf");
    const bool same_service = !line.value("service").empty() &&
                              other.value("service") == line.value("service");
    return same_leaf || same_service;
  });
}

std::string copy_value(const log_line& line, std::string_view key) {
  return std::string(line.value(key));
}

std::string describe_missing_part(const log_line& line) {
  std::string text = "service " + copy_value(line, "service") + ": ";
  const std::string obstacle = copy_value(line, "obstacle");
  if (line.value("sends") == "0") return text + "nothing was sent, " + obstacle;
  text += copy_value(line, "sends") + " sent, " +
          copy_value(line, "unanswered") + " unanswered, last ending " +
          copy_value(line, "last_ending");
  if (obstacle != "none") text += ", no other leaf: " + obstacle;
  if (line.value("budget_empty") == "true") text += ", retry budget empty";
  return text;
}

std::string describe_attempt(const log_line& line) {
  return copy_value(line, "kind") + " request to leaf " +
         copy_value(line, "leaf") + " (" + copy_value(line, "data_centre") +
         ") after " + copy_value(line, "sent_after") + ": " +
         copy_value(line, "ending") + ", took " + copy_value(line, "took") +
         ", expected " + copy_value(line, "expected");
}

}  // namespace

std::string_view log_line::value(std::string_view key) const {
  const auto found = std::ranges::find(
      pairs, key, &std::pair<std::string, std::string>::first);
  return found == pairs.end() ? std::string_view{} : found->second;
}

log_line parse_line(std::string_view text) {
  log_line line;
  while (!text.empty()) {
    const std::size_t equals = text.find('=');
    if (equals == std::string_view::npos) break;
    // Skip text before the key that is not part of a pair.
    const std::size_t space = text.substr(0, equals).rfind(' ');
    const std::size_t begin = space == std::string_view::npos ? 0 : space + 1;
    std::string key(text.substr(begin, equals - begin));
    text.remove_prefix(equals + 1);
    std::string value;
    if (text.starts_with('"')) {
      std::size_t end = 1;
      for (; end < text.size() && text[end] != '"'; ++end) {
        if (text[end] == '\\' && end + 1 < text.size()) ++end;
        value += text[end];
      }
      text.remove_prefix(std::min(end + 1, text.size()));
    } else {
      const std::size_t end = std::min(text.find(' '), text.size());
      value = text.substr(0, end);
      text.remove_prefix(end);
    }
    line.pairs.emplace_back(std::move(key), std::move(value));
  }
  return line;
}

explanation explain_request(std::string_view request_id,
                            const std::vector<log_line>& lines) {
  explanation explained;
  std::vector<log_line> request_lines;
  std::ranges::copy_if(lines, std::back_inserter(request_lines),
                       [request_id](const log_line& line) {
                         return line.value("request") == request_id;
                       });
  if (request_lines.empty()) return explained;
  const std::string daemon = copy_value(request_lines.front(), "daemon");
  const auto first =
      std::ranges::find_if(lines, [request_id](const log_line& line) {
        return line.value("request") == request_id;
      });
  const auto first_index = static_cast<std::size_t>(first - lines.begin());
  std::string_view last_time;
  for (std::size_t i =
           first_index > max_lines_before ? first_index - max_lines_before : 0;
       i < first_index; ++i) {
    const log_line& line = lines[i];
    if (line.value("daemon") != daemon) continue;
    explained.clock_went_back =
        explained.clock_went_back || line.value("time") < last_time;
    last_time = line.value("time");
    if (is_state_change(line) && is_relevant(line, request_lines))
      explained.lines.push_back(line);
  }
  for (const log_line& line : request_lines) {
    const std::string_view event = line.value("event");
    if (event == "part_missing")
      explained.causes.push_back(describe_missing_part(line));
    if (event == "attempt") explained.causes.push_back(describe_attempt(line));
    if (event == "no_route") {
      explained.outcome = "no route for host " + copy_value(line, "host") +
                          " in version " + copy_value(line, "version");
    }
    if (event == "request_ended") {
      explained.outcome = copy_value(line, "outcome") + " (" +
                          copy_value(line, "reason") + "), status " +
                          copy_value(line, "status") + " after " +
                          copy_value(line, "took") + " at daemon " + daemon +
                          ", configuration " + copy_value(line, "version") +
                          ", " + copy_value(line, "missing") + " parts missing";
    }
  }
  explained.lines.insert(explained.lines.end(), request_lines.begin(),
                         request_lines.end());
  return explained;
}

}  // namespace medlarloft::client::detail
