#include <fstream>
#include <nlohmann/json.hpp>
#include <ostream>

#include "commands.hpp"
#include "log_lines.hpp"

namespace medlarloft::client::detail {
namespace {

std::string to_text(const log_line& line) {
  std::string text;
  for (const auto& [key, value] : line.pairs)
    text.append(text.empty() ? "" : " ").append(key).append("=").append(value);
  return text;
}

void write_json(const explanation& explained, std::ostream& out) {
  nlohmann::json lines = nlohmann::json::array();
  for (const log_line& line : explained.lines) {
    nlohmann::json object = nlohmann::json::object();
    for (const auto& [key, value] : line.pairs)
      object[key] = value;
    lines.push_back(std::move(object));
  }
  out << nlohmann::json{{"outcome", explained.outcome},
                        {"causes", explained.causes},
                        {"clock_went_back", explained.clock_went_back},
                        {"lines", std::move(lines)}}
             .dump()
      << '\n';
}

void write_text(const explanation& explained, std::ostream& out) {
  out << "outcome: "
      << (explained.outcome.empty() ? "not in these files" : explained.outcome)
      << '\n';
  for (const std::string& cause : explained.causes)
    out << "cause: " << cause << '\n';
  if (explained.clock_went_back) {
    out << "note: the daemon's clock went back; lines are in log order\n";
  }
  for (const log_line& line : explained.lines)
    out << "  " << to_text(line) << '\n';
}

}  // namespace

int explain(const options& settings, const arguments& args, const console& io) {
  if (args.size() < 2) {
    io.error
        << "medlarloft: explain: a request id and log files are required\n";
    return exit_invalid;
  }
  std::vector<log_line> lines;
  for (std::size_t i = 1; i < args.size(); ++i) {
    std::ifstream file(args[i]);
    if (!file) {
      io.error << "medlarloft: " << args[i] << ": cannot be read\n";
      return exit_invalid;
    }
    for (std::string text; std::getline(file, text);)
      lines.push_back(parse_line(text));
  }
  const explanation explained = explain_request(args.front(), lines);
  if (explained.lines.empty()) {
    io.error << "medlarloft: request \"" << args.front()
             << "\" was not found in the files\n";
    return exit_failed;
  }
  if (settings.json) {
    write_json(explained, io.out);
  } else {
    write_text(explained, io.out);
  }
  return exit_ok;
}

}  // namespace medlarloft::client::detail
