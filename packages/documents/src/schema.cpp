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

// Takes the quoted key out of a message such as
// "Object contains a property ... constraints: 'extra'".
std::string quoted_key(const std::string& message) {
  const std::size_t last = message.rfind('\'');
  if (last == std::string::npos || last == 0) return {};
  const std::size_t first = message.rfind('\'', last - 1);
  if (first == std::string::npos) return {};
  return message.substr(first + 1, last - first - 1);
}

// Turns a context such as "<root>", "[listen]", "[0]" into a key path.
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

const nlohmann::json* lookup(const nlohmann::json& document,
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

document_error translate(const valijson::ValidationResults::Error& error,
                         const nlohmann::json& document) {
  document_error problem{document_errc::schema, join_path(error.context), "",
                         error.description};
  if (const nlohmann::json* value = lookup(document, error.context)) {
    problem.value = excerpt(*value);
  }
  const std::string key = quoted_key(error.description);
  const bool unknown =
      error.description.find("could not be validated") != std::string::npos;
  if (unknown && !key.empty()) {
    problem.path += (problem.path.empty() ? "" : ".") + key;
    problem.reason = "key is not known";
    problem.value.clear();
  }
  return problem;
}

// Prefers the deepest problem: outer ones only say that an inner one exists.
document_error deepest(valijson::ValidationResults& results,
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
    best = translate(error, document);
  }
  return best;
}

}  // namespace

struct schema::compiled {
  valijson::Schema value;
};

schema::schema(std::string_view text) {
  const nlohmann::json document = nlohmann::json::parse(text);
  auto made = std::make_shared<compiled>();
  valijson::SchemaParser parser;
  parser.populateSchema(adapter(document), made->value);
  compiled_ = std::move(made);
}

document_result<void> schema::check(const nlohmann::json& document) const {
  valijson::Validator validator;
  valijson::ValidationResults results;
  if (validator.validate(compiled_->value, adapter(document), &results)) {
    return outcome::success();
  }
  return deepest(results, document);
}

}  // namespace medlarloft::documents
