#include "log_lines.hpp"

#include <algorithm>
#include <array>
#include <map>

namespace medlarloft::client::detail {
namespace {

/// Lines of the same daemon that are looked at before the request's first.
constexpr std::size_t lines_before = 400;

/// What a daemon came to believe; named by the event of the line.
constexpr std::array<std::string_view, 10> beliefs{"configuration_in_force",
                                                   "data_centre_out",
                                                   "data_centre_back",
                                                   "store_lost",
                                                   "store_regained",
                                                   "woke_late",
                                                   "stopping",
                                                   "leaf_gone",
                                                   "leaf_registered",
                                                   "started"};

bool is_belief(const log_line& line) {
  return std::ranges::find(beliefs, line.value("event")) != beliefs.end();
}

// A leaf's record matters only if the request met the leaf or its service.
bool concerns(const log_line& line, const std::vector<log_line>& own) {
  const std::string_view event = line.value("event");
  const bool of_leaf = event == "leaf_gone" || event == "leaf_registered";
  if (!of_leaf) return true;
  return std::ranges::any_of(own, [&line](const log_line& mine) {
    const bool same_leaf =
        !line.value("leaf").empty() && mine.value("leaf") == line.value("leaf");
    const bool same_service = !line.value("service").empty() &&
                              mine.value("service") == line.value("service");
    return same_leaf || same_service;
  });
}

std::string text_of(const log_line& line, std::string_view key) {
  return std::string(line.value(key));
}

std::string cause_of_part(const log_line& part) {
  std::string text = "service " + text_of(part, "service") + ": ";
  const std::string obstacle = text_of(part, "obstacle");
  if (part.value("sends") == "0") return text + "nothing was sent, " + obstacle;
  text += text_of(part, "sends") + " sent, " + text_of(part, "unanswered") +
          " unanswered, last ending " + text_of(part, "last_ending");
  if (obstacle != "none") text += ", no other leaf: " + obstacle;
  if (part.value("budget_empty") == "true") text += ", retry budget empty";
  return text;
}

std::string cause_of_attempt(const log_line& attempt) {
  return text_of(attempt, "kind") + " request to leaf " +
         text_of(attempt, "leaf") + " (" + text_of(attempt, "data_centre") +
         ") after " + text_of(attempt, "sent_after") + ": " +
         text_of(attempt, "ending") + ", took " + text_of(attempt, "took") +
         ", expected " + text_of(attempt, "expected");
}

}  // namespace

std::string_view log_line::value(std::string_view key) const {
  const auto found = std::ranges::find(
      pairs, key, &std::pair<std::string, std::string>::first);
  return found == pairs.end() ? std::string_view{} : found->second;
}

log_line read_line(std::string_view text) {
  log_line line;
  while (!text.empty()) {
    const std::size_t equals = text.find('=');
    if (equals == std::string_view::npos) break;
    // Whatever stands before the key on the line is no pair.
    const std::size_t space = text.substr(0, equals).rfind(' ');
    const std::size_t begin = space == std::string_view::npos ? 0 : space + 1;
    std::string key(text.substr(begin, equals - begin));
    text.remove_prefix(equals + 1);
    std::string value;
    if (text.starts_with('"')) {
      std::size_t at = 1;
      for (; at < text.size() && text[at] != '"'; ++at) {
        if (text[at] == '\\' && at + 1 < text.size()) ++at;
        value += text[at];
      }
      text.remove_prefix(std::min(at + 1, text.size()));
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
  explanation found;
  std::vector<log_line> own;
  std::ranges::copy_if(lines, std::back_inserter(own),
                       [request_id](const log_line& line) {
                         return line.value("request") == request_id;
                       });
  if (own.empty()) return found;
  const std::string daemon = text_of(own.front(), "daemon");
  const auto first =
      std::ranges::find_if(lines, [request_id](const log_line& line) {
        return line.value("request") == request_id;
      });
  const auto at = static_cast<std::size_t>(first - lines.begin());
  std::string_view last_time;
  for (std::size_t i = at > lines_before ? at - lines_before : 0; i < at; ++i) {
    const log_line& line = lines[i];
    if (line.value("daemon") != daemon) continue;
    found.clock_went_back =
        found.clock_went_back || line.value("time") < last_time;
    last_time = line.value("time");
    if (is_belief(line) && concerns(line, own)) found.lines.push_back(line);
  }
  for (const log_line& line : own) {
    const std::string_view event = line.value("event");
    if (event == "part_missing") found.causes.push_back(cause_of_part(line));
    if (event == "attempt") found.causes.push_back(cause_of_attempt(line));
    if (event == "no_route") {
      found.outcome = "no route for host " + text_of(line, "host") +
                      " in version " + text_of(line, "version");
    }
    if (event == "request_ended") {
      found.outcome = text_of(line, "outcome") + " (" +
                      text_of(line, "reason") + "), status " +
                      text_of(line, "status") + " after " +
                      text_of(line, "took") + " at daemon " + daemon +
                      ", configuration " + text_of(line, "version") + ", " +
                      text_of(line, "missing") + " parts missing";
    }
  }
  found.lines.insert(found.lines.end(), own.begin(), own.end());
  return found;
}

}  // namespace medlarloft::client::detail
