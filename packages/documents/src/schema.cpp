#include <nlohmann/json.hpp>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

#include "medlarloft/documents.hpp"

namespace medlarloft::documents {
namespace {

using adapter = valijson::adapters::NlohmannJsonAdapter;

// Extracts the quoted key from a valijson message such as
// "Object contains a property ... constraints: 'extra'".
std::string quoted_key(const std::string& message) {
  const std::size_t last = message.rfind('\'');
  if (last == std::string::npos || last == 0) return {};
  const std::size_t first = message.rfind('\'', last - 1);
  if (first == std::string::npos) return {};
  return message.substr(first + 1, last - first - 1);
}

// Converts a valijson context such as "<root>", "[listen]", "[0]" to a key
// path.
std::string join_path(const std::vector<std::string>& context) {
  std::string path;
  for (const std::string& step : context) {
    if (step == "<root>") continue;
    std::string name = step;
    if (name.size() > 1 && name.front() == '[') {
      name = name.substr(1, name.size() - 2);
    }
    if (!path.empty()) path += '.';
    path += name;
  }
  return path;
}

// Returns the value at a valijson context, or null if there is none.
const nlohmann::json* find_value(const nlohmann::json& document,
                                 const std::vector<std::string>& context) {
  const nlohmann::json* value = &document;
  for (const std::string& step : context) {
    if (step == "<root>") continue;
    std::string name = step;
    if (name.size() > 1 && name.front() == '[') {
      name = name.substr(1, name.size() - 2);
    }
    if (value->is_object() && value->contains(name)) {
      value = &(*value)[name];
    } else if (value->is_array()) {
      const std::size_t index = std::strtoul(name.c_str(), nullptr, 10);
      if (index >= value->size()) return nullptr;
      value = &(*value)[index];
    } else {
      return nullptr;
    }
  }
  return value;
}

document_error to_document_error(
    const valijson::ValidationResults::Error& error,
    const nlohmann::json& document) {
  document_error converted{document_errc::schema, join_path(error.context), "",
                           error.description};
  if (const nlohmann::json* value = find_value(document, error.context)) {
    converted.value = excerpt(*value);
  }
  const std::string key = quoted_key(error.description);
  const bool unknown_key =
      error.description.find("could not be validated") != std::string::npos;
  if (unknown_key && !key.empty()) {
    converted.path += (converted.path.empty() ? "" : ".") + key;
    converted.reason = "key is not known";
    converted.value.clear();
  }
  return converted;
}

// Returns the error at the deepest path. Errors above it only report that a
// nested value is invalid.
document_error most_specific_error(valijson::ValidationResults& results,
                                   const nlohmann::json& document) {
  valijson::ValidationResults::Error error;
  document_error best;
  std::size_t best_depth = 0;
  while (results.popError(error)) {
    if (error.context.size() <= best_depth) continue;
    if (error.description.rfind("Failed to validate", 0) == 0 &&
        best_depth > 0) {
      continue;
    }
    best_depth = error.context.size();
    best = to_document_error(error, document);
  }
  return best;
}

}  // namespace

struct schema::compiled {
  valijson::Schema value;
};

schema::schema(std::string_view text) {
  const nlohmann::json document = nlohmann::json::parse(text);
  auto parsed = std::make_shared<compiled>();
  valijson::SchemaParser parser;
  parser.populateSchema(adapter(document), parsed->value);
  compiled_ = std::move(parsed);
}

document_result<void> schema::check(const nlohmann::json& document) const {
  valijson::Validator validator;
  valijson::ValidationResults results;
  if (validator.validate(compiled_->value, adapter(document), &results)) {
    return outcome::success();
  }
  return most_specific_error(results, document);
}

}  // namespace medlarloft::documents
