#pragma once

/// Parsing of untrusted JSON documents within limits, and schema validation.
/// Errors contain the key path and the invalid value.

#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "medlarloft/base.hpp"

namespace medlarloft::documents {

enum class document_errc { too_large, syntax, duplicate_key, schema, value };

/// Why a document was rejected: key path, invalid value and reason.
struct document_error {
  document_errc code{};
  /// Dotted key path such as "listen.callers"; empty for the root.
  std::string path;
  /// The invalid value as JSON text, truncated.
  std::string value;
  std::string reason;

  /// Returns "path: reason, got value".
  std::string text() const;
};

template <class Value>
using document_result = result<Value, document_error>;

struct parse_limits {
  std::size_t max_bytes = 1 << 20;
  std::size_t max_depth = 32;
};

/// Parses a JSON document. Duplicate keys are an error, and so is a document
/// that exceeds the limits.
document_result<nlohmann::json> parse(std::string_view text,
                                      parse_limits limits = {});

/// Parses a document from a trusted program. The limits apply, but duplicate
/// keys are not detected.
document_result<nlohmann::json> parse_trusted(std::string_view text,
                                              parse_limits limits = {});

/// A compiled JSON Schema (draft 7).
class schema {
 public:
  /// Throws if `text`, which is part of the program, is malformed.
  explicit schema(std::string_view text);

  /// Returns success, or the error of the most deeply nested invalid value.
  document_result<void> check(const nlohmann::json& document) const;

 private:
  struct compiled;
  std::shared_ptr<const compiled> compiled_;
};

/// Returns the value as JSON text, truncated to fit into a log line.
std::string excerpt(const nlohmann::json& value);

}  // namespace medlarloft::documents
