#pragma once

/// JSON documents from outside: parsing with limits and validation by schema.
/// Every problem names the key path and the offending value.

#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "medlarloft/base.hpp"

namespace medlarloft::documents {

enum class document_errc { too_large, syntax, duplicate_key, schema, value };

/// Where in a document a value is wrong, the value, and why.
struct document_error {
  document_errc code{};
  /// Dotted key path, for example "listen.callers"; empty for the root.
  std::string path;
  /// The offending value as JSON text, shortened.
  std::string value;
  std::string reason;

  /// Returns "path: reason, got value" on one line.
  std::string text() const;
};

template <class Value>
using document_result = result<Value, document_error>;

struct parse_limits {
  std::size_t max_bytes = 1 << 20;
  std::size_t max_depth = 32;
};

/// Parses one JSON document; duplicate keys and deep nesting are errors.
document_result<nlohmann::json> parse(std::string_view text,
                                      parse_limits limits = {});

/// Parses a document that a program of our own systems wrote: the same limits,
/// but keys that stand twice are not looked for.
document_result<nlohmann::json> parse_trusted(std::string_view text,
                                              parse_limits limits = {});

/// A compiled JSON Schema (draft 7).
class schema {
 public:
  /// `text` is the project's own schema; a malformed one throws.
  explicit schema(std::string_view text);

  /// Returns the first problem of the document, or success.
  document_result<void> check(const nlohmann::json& document) const;

 private:
  struct compiled;
  std::shared_ptr<const compiled> compiled_;
};

/// Returns the value as JSON text, cut to a length fit for one log line.
std::string excerpt(const nlohmann::json& value);

}  // namespace medlarloft::documents
