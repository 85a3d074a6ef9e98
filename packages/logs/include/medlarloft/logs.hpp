#pragma once

/// Structured logging: one line of key=value pairs per event.

#include <initializer_list>
#include <string>
#include <string_view>

#include "medlarloft/base.hpp"

namespace medlarloft::logs {

enum class level { debug, info, warning, error };

enum class log_errc { unknown_level };
using log_error = basic_error<log_errc>;

/// Parses "debug", "info", "warning" or "error".
result<level, log_error> parse_level(std::string_view text);

/// One key-value pair of a log line; numbers are written in decimal.
struct field {
  field(std::string_view name, std::string_view text)
      : key(name), value(text) {}
  field(std::string_view name, const char* text) : key(name), value(text) {}
  field(std::string_view name, const std::string& text)
      : key(name), value(text) {}
  field(std::string_view name, bool flag)
      : key(name), value(flag ? "true" : "false") {}
  template <class Number>
  requires std::is_arithmetic_v<Number> field(std::string_view name,
                                              Number number)
      : key(name), value(std::to_string(number)) {}
  field(std::string_view name, duration time)
      : key(name), value(format_duration(time)) {}

  std::string key;
  std::string value;
};

/// Sets the minimum level and the process name of each line. Call before
/// threads start.
void configure(level minimum, std::string_view process_name);

/// Writes one line to standard error if `severity` is enabled.
///
///     logs::write(logs::level::info, "note_accepted", {{"version", 7}});
void write(level severity, std::string_view event,
           std::initializer_list<field> fields = {});

/// Returns the pairs of a line. Values with spaces, quotes or control
/// characters are quoted and escaped, so that an event never spans two lines.
std::string format_line(std::string_view event,
                        std::initializer_list<field> fields);

}  // namespace medlarloft::logs
