#include "medlarloft/logs.hpp"

#include <easylogging++.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdio>

INITIALIZE_EASYLOGGINGPP

namespace medlarloft::logs {
namespace {

constexpr std::array<std::string_view, 4> level_names{"debug", "info",
                                                      "warning", "error"};

std::atomic<level> minimum_level{level::info};
std::string logged_process;  // written once by configure, before threads start

bool needs_quotes(std::string_view value) {
  return value.empty() || std::ranges::any_of(value, [](unsigned char c) {
           return c <= ' ' || c == '"' || c == '=' || c == '\\' || c == 0x7f;
         });
}

void append_escaped(std::string& line, std::string_view value) {
  for (const char c : value) {
    const auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
      line += '\\';
      line += c;
    } else if (c == '\n') {
      line += "\\n";
    } else if (byte < ' ' || byte == 0x7f) {
      std::array<char, 8> code{};
      std::snprintf(code.data(), code.size(), "\\x%02x", byte);
      line += code.data();
    } else {
      line += c;
    }
  }
}

void append_pair(std::string& line, std::string_view key,
                 std::string_view value) {
  if (!line.empty()) line += ' ';
  line += key;
  line += '=';
  if (!needs_quotes(value)) {
    line += value;
    return;
  }
  line += '"';
  append_escaped(line, value);
  line += '"';
}

}  // namespace

result<level, log_error> parse_level(std::string_view text) {
  const auto found = std::ranges::find(level_names, text);
  if (found == level_names.end()) {
    return log_error{log_errc::unknown_level,
                     "log level \"" + std::string(text) +
                         "\" is not debug, info, warning or error"};
  }
  return static_cast<level>(found - level_names.begin());
}

void configure(level minimum, std::string_view process_name) {
  minimum_level = minimum;
  logged_process = process_name;
  el::Configurations settings;
  settings.setToDefault();
  settings.setGlobally(el::ConfigurationType::Format,
                       "time=%datetime{%Y-%M-%dT%H:%m:%s.%g} %msg");
  settings.setGlobally(el::ConfigurationType::ToFile, "false");
  settings.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
  el::Loggers::reconfigureLogger("default", settings);
  static std::atomic<bool> installed{false};
  if (installed.exchange(true)) return;
  // Writes each line to standard error with one call, so that lines of
  // several threads never mix; easylogging++ formats and serialises the lines.
  class stderr_sink : public el::LogDispatchCallback {
   protected:
    void handle(const el::LogDispatchData* data) noexcept override {
      const el::LogMessage* message = data->logMessage();
      const std::string line = message->logger()->logBuilder()->build(
          message, /*appendNewLine=*/true);
      const std::lock_guard<std::mutex> guard(mutex_);
      std::fwrite(line.data(), 1, line.size(), stderr);
    }

   private:
    std::mutex mutex_;
  };
  el::Helpers::installLogDispatchCallback<stderr_sink>("stderr_sink");
}

std::string format_line(std::string_view event,
                        std::initializer_list<field> fields) {
  std::string line;
  append_pair(line, "event", event);
  for (const field& pair : fields)
    append_pair(line, pair.key, pair.value);
  return line;
}

void write(level severity, std::string_view event,
           std::initializer_list<field> fields) {
  if (severity < minimum_level.load(std::memory_order_relaxed)) return;
  std::string line(level_names[static_cast<std::size_t>(severity)]);
  line.insert(0, "level=");
  if (!logged_process.empty()) append_pair(line, "process", logged_process);
  line += ' ';
  line += format_line(event, fields);
  LOG(INFO) << line;
}

}  // namespace medlarloft::logs
