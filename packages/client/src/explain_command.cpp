#include <fstream>
#include <nlohmann/json.hpp>
#include <ostream>

#include "commands.hpp"
#include "log_lines.hpp"

namespace medlarloft::client::detail {
namespace {

std::string joined(const log_line& line) {
  std::string text;
  for (const auto& [key, value] : line.pairs)
    text.append(text.empty() ? "" : " ").append(key).append("=").append(value);
  return text;
}

void write_json(const explanation& found, std::ostream& out) {
  nlohmann::json lines = nlohmann::json::array();
  for (const log_line& line : found.lines) {
    nlohmann::json object = nlohmann::json::object();
    for (const auto& [key, value] : line.pairs)
      object[key] = value;
    lines.push_back(std::move(object));
  }
  out << nlohmann::json{{"outcome", found.outcome},
                        {"causes", found.causes},
                        {"clock_went_back", found.clock_went_back},
                        {"lines", std::move(lines)}}
             .dump()
      << '\n';
}

void write_text(const explanation& found, std::ostream& out) {
  out << "outcome: "
      << (found.outcome.empty() ? "not in these files" : found.outcome) << '\n';
  for (const std::string& cause : found.causes)
    out << "cause: " << cause << '\n';
  if (found.clock_went_back) {
    out << "note: the daemon's clock went back; lines are in the log's order\n";
  }
  for (const log_line& line : found.lines)
    out << "  " << joined(line) << '\n';
}

}  // namespace

int explain(const options& settings, const arguments& words,
            const console& io) {
  if (words.size() < 2) {
    io.error << "medlarloft: explain: names no request id and log files\n";
    return exit_invalid;
  }
  std::vector<log_line> lines;
  for (std::size_t i = 1; i < words.size(); ++i) {
    std::ifstream file(words[i]);
    if (!file) {
      io.error << "medlarloft: " << words[i] << ": cannot be read\n";
      return exit_invalid;
    }
    for (std::string text; std::getline(file, text);)
      lines.push_back(read_line(text));
  }
  const explanation found = explain_request(words.front(), lines);
  if (found.lines.empty()) {
    io.error << "medlarloft: request \"" << words.front()
             << "\" is in none of the files\n";
    return exit_failed;
  }
  if (settings.json) {
    write_json(found, io.out);
  } else {
    write_text(found, io.out);
  }
  return exit_ok;
}

}  // namespace medlarloft::client::detail
