#include <nlohmann/json.hpp>
#include <optional>
#include <set>

#include "medlarloft/documents.hpp"

namespace medlarloft::documents {
namespace {

constexpr std::size_t max_excerpt_bytes = 80;

// Parser callback that collects the keys of every object that is still open and
// records the last duplicate key.
class duplicate_key_detector {
 public:
  explicit duplicate_key_detector(std::size_t max_depth)
      : max_depth_(max_depth) {}

  bool operator()(int depth, nlohmann::json::parse_event_t event,
                  nlohmann::json& parsed) {
    using event_t = nlohmann::json::parse_event_t;
    if (static_cast<std::size_t>(depth) > max_depth_) too_deep_ = true;
    if (event == event_t::object_start) open_objects_.emplace_back();
    if (event == event_t::object_end && !open_objects_.empty())
      open_objects_.pop_back();
    if (event == event_t::key && !open_objects_.empty()) {
      const auto& key = parsed.get_ref<const std::string&>();
      if (!open_objects_.back().insert(key).second) duplicate_ = key;
    }
    return true;
  }

  bool too_deep() const noexcept { return too_deep_; }
  const std::string& duplicate() const noexcept { return duplicate_; }

 private:
  std::size_t max_depth_;
  std::vector<std::set<std::string>> open_objects_;
  std::string duplicate_;
  bool too_deep_ = false;
};

// Whether no value is nested deeper than the limit. Checked before parsing, so
// that a malicious document cannot exhaust the stack.
bool is_depth_within(std::string_view text, std::size_t limit) {
  std::size_t depth = 0;
  bool quoted = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (quoted) {
      if (c == '\\') ++i;
      if (c == '"') quoted = false;
      continue;
    }
    if (c == '"') quoted = true;
    if ((c == '{' || c == '[') && ++depth > limit) return false;
    if ((c == '}' || c == ']') && depth > 0) --depth;
  }
  return true;
}

}  // namespace

std::string document_error::text() const {
  std::string line = path.empty() ? "document" : path;
  line += ": " + reason;
  if (!value.empty()) line += ", got " + value;
  return line;
}

std::string excerpt(const nlohmann::json& value) {
  std::string text =
      value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  if (text.size() > max_excerpt_bytes) {
    text.resize(max_excerpt_bytes);
    text += "...";
  }
  return text;
}

namespace {

std::optional<document_error> check_limits(std::string_view text,
                                           const parse_limits& limits) {
  if (text.size() > limits.max_bytes) {
    return document_error{
        document_errc::too_large, "", std::to_string(text.size()) + " bytes",
        "is larger than " + std::to_string(limits.max_bytes) + " bytes"};
  }
  if (!is_depth_within(text, limits.max_depth)) {
    return document_error{
        document_errc::syntax, "", "",
        "is nested deeper than " + std::to_string(limits.max_depth)};
  }
  return std::nullopt;
}

// Calls a parser and converts its exceptions to errors.
template <class Parse>
document_result<nlohmann::json> catch_parse_errors(Parse parser) {
  try {
    return parser();
  } catch (const nlohmann::json::parse_error& error) {
    return document_error{
        document_errc::syntax, "", "",
        "is not valid JSON at byte " + std::to_string(error.byte)};
  } catch (const nlohmann::json::exception& error) {
    return document_error{document_errc::syntax, "", "", error.what()};
  }
}

}  // namespace

document_result<nlohmann::json> parse(std::string_view text,
                                      parse_limits limits) {
  if (auto error = check_limits(text, limits)) return *error;
  duplicate_key_detector detector(limits.max_depth);
  auto parsed = catch_parse_errors(
      [&] { return nlohmann::json::parse(text, std::ref(detector)); });
  if (parsed && !detector.duplicate().empty()) {
    return document_error{document_errc::duplicate_key, detector.duplicate(),
                          "", "key appears twice in one object"};
  }
  return parsed;
}

document_result<nlohmann::json> parse_trusted(std::string_view text,
                                              parse_limits limits) {
  if (auto error = check_limits(text, limits)) return *error;
  return catch_parse_errors([text] { return nlohmann::json::parse(text); });
}

}  // namespace medlarloft::documents
