#include <algorithm>
#include <array>

#include "json_fields.hpp"
#include "medlarloft/front.hpp"

namespace medlarloft::front {
namespace {

using detail::json;

constexpr std::size_t max_query_bytes = 1U << 20;
constexpr std::size_t max_answer_bytes = 16U << 20;

constexpr std::array<std::string_view, 4> outcome_names{"answered", "not run",
                                                        "unknown", "invalid"};
constexpr std::array<int, 4> outcome_status{200, 503, 504, 400};

const documents::schema& query_rules() {
  static const documents::schema rules(R"json({
    "type": "object", "additionalProperties": false,
    "required": ["request_id", "service"],
    "properties": {
      "request_id": {"type": "string", "minLength": 1, "maxLength": 128},
      "service": {"type": "string", "minLength": 1, "maxLength": 128},
      "class": {"type": "string",
                "enum": ["critical", "important", "ordinary"]},
      "deadline": {"type": "string", "maxLength": 32},
      "idempotent": {"type": "boolean"},
      "coverage_wanted": {"type": "number", "minimum": 0, "maximum": 1},
      "key": {"type": "string", "maxLength": 1024},
      "issued_at_ms": {"type": "integer", "minimum": 0},
      "repeat": {"type": "boolean"},
      "snapshot": {"type": "integer", "minimum": 0},
      "row_limit": {"type": "integer", "minimum": 1, "maximum": 10000},
      "body": {"type": "string"}}})json");
  return rules;
}

documents::document_result<caller_query> take_query(const json& document) {
  caller_query value;
  value.request_id = document.at("request_id").get<std::string>();
  value.service = document.at("service").get<std::string>();
  if (document.contains("class")) {
    value.priority =
        notes::parse_class(document.at("class").get<std::string>());
  }
  if (document.contains("deadline")) {
    const auto deadline =
        parse_duration(document.at("deadline").get<std::string>());
    if (!deadline || deadline.value() <= duration::zero()) {
      return detail::bad_value(document, "deadline",
                               "is not a positive duration with a unit");
    }
    value.deadline = deadline.value();
  }
  if (document.contains("idempotent")) {
    value.idempotent = document.at("idempotent").get<bool>();
  }
  if (document.contains("coverage_wanted")) {
    value.coverage_wanted = document.at("coverage_wanted").get<double>();
  }
  value.key = document.value("key", "");
  if (document.contains("issued_at_ms")) {
    value.issued_at = wall_time(std::chrono::milliseconds(
        document.at("issued_at_ms").get<std::int64_t>()));
  }
  value.repeat = document.value("repeat", false);
  value.snapshot = document.value("snapshot", notes::snapshot_id{0});
  value.row_limit = document.value("row_limit", value.row_limit);
  value.body = document.value("body", "");
  return value;
}

std::vector<std::string> format_all(const std::vector<endpoint>& addresses) {
  std::vector<std::string> texts;
  std::ranges::transform(addresses, std::back_inserter(texts), format_endpoint);
  return texts;
}

std::vector<endpoint> read_all(const json& list) {
  std::vector<endpoint> addresses;
  for (const json& text : list) {
    const auto address = parse_endpoint(text.get<std::string>());
    if (address) addresses.push_back(address.value());
  }
  return addresses;
}

documents::document_result<caller_answer> take_answer(const json& document) {
  caller_answer value;
  value.request_id = document.value("request_id", "");
  const auto name = document.at("outcome").get<std::string>();
  const auto kind = std::ranges::find(outcome_names, name);
  if (kind == outcome_names.end()) {
    return detail::bad_value(document, "outcome", "is not an outcome");
  }
  value.outcome = static_cast<outcome_kind>(kind - outcome_names.begin());
  value.complete = document.value("complete", false);
  value.snapshot = document.value("snapshot", notes::snapshot_id{0});
  value.reason = document.value("reason", "");
  if (document.contains("coverage")) {
    value.coverage.covered =
        document.at("coverage").at("covered").get<std::uint64_t>();
    value.coverage.total =
        document.at("coverage").at("total").get<std::uint64_t>();
  }
  if (document.contains("rows")) {
    value.rows = detail::read_rows(document.at("rows"));
  }
  if (document.contains("retry_after")) {
    const auto after =
        parse_duration(document.at("retry_after").get<std::string>());
    if (after) value.retry_after = after.value();
  }
  if (document.contains("addresses")) {
    value.addresses = read_all(document.at("addresses"));
  }
  return value;
}

}  // namespace

std::uint64_t position_of(std::string_view key) noexcept {
  return hash64(key) % notes::key_space;
}

std::string_view name_of(outcome_kind kind) noexcept {
  return outcome_names[static_cast<std::size_t>(kind)];
}

int status_of(outcome_kind kind) noexcept {
  return outcome_status[static_cast<std::size_t>(kind)];
}

documents::document_result<caller_query> read_query(std::string_view text) {
  return detail::read_with<caller_query>(text, query_rules(), max_query_bytes,
                                         take_query);
}

std::string write_query(const caller_query& value) {
  json document = {{"request_id", value.request_id},
                   {"service", value.service},
                   {"row_limit", value.row_limit},
                   {"body", value.body}};
  if (value.priority) document["class"] = notes::name_of(*value.priority);
  if (value.deadline) document["deadline"] = format_duration(*value.deadline);
  if (value.idempotent) document["idempotent"] = *value.idempotent;
  if (value.coverage_wanted) {
    document["coverage_wanted"] = *value.coverage_wanted;
  }
  if (!value.key.empty()) document["key"] = value.key;
  if (value.issued_at) {
    document["issued_at_ms"] =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            value.issued_at->time_since_epoch())
            .count();
  }
  if (value.repeat) document["repeat"] = true;
  if (value.snapshot != 0) document["snapshot"] = value.snapshot;
  return detail::dump(document);
}

std::string write_answer(const caller_answer& value) {
  json document = {{"request_id", value.request_id},
                   {"outcome", name_of(value.outcome)}};
  if (!value.reason.empty()) document["reason"] = value.reason;
  if (value.outcome == outcome_kind::answered) {
    document["complete"] = value.complete;
    document["coverage"] = {{"covered", value.coverage.covered},
                            {"total", value.coverage.total},
                            {"fraction", value.coverage.fraction()}};
    document["snapshot"] = value.snapshot;
    document["rows"] = detail::write_rows(value.rows);
  }
  if (value.outcome == outcome_kind::not_run) {
    document["retry_after"] = format_duration(value.retry_after);
    document["addresses"] = format_all(value.addresses);
  }
  return detail::dump(document) + "\n";
}

documents::document_result<caller_answer> read_answer(std::string_view text) {
  static const documents::schema rules(R"json({
    "type": "object", "required": ["outcome"],
    "properties": {"outcome": {"type": "string"},
      "coverage": {"type": "object", "required": ["covered", "total"]},
      "rows": {"type": "array", "items": {"type": "object",
        "required": ["id", "position", "score", "body"]}},
      "addresses": {"type": "array", "items": {"type": "string"}}}})json");
  return detail::read_with<caller_answer>(text, rules, max_answer_bytes,
                                          take_answer);
}

std::string write_addresses(const address_answer& value) {
  return detail::dump({{"addresses", format_all(value.addresses)},
                       {"keep_for", format_duration(value.keep_for)}}) +
         "\n";
}

documents::document_result<address_answer> read_addresses(
    std::string_view text) {
  static const documents::schema rules(R"json({
    "type": "object", "required": ["addresses", "keep_for"],
    "properties": {
      "addresses": {"type": "array", "items": {"type": "string"}},
      "keep_for": {"type": "string"}}})json");
  const auto take =
      [](const json& document) -> documents::document_result<address_answer> {
    const auto keep =
        parse_duration(document.at("keep_for").get<std::string>());
    if (!keep) {
      return detail::bad_value(document, "keep_for", "is not a duration");
    }
    return address_answer{read_all(document.at("addresses")), keep.value()};
  };
  return detail::read_with<address_answer>(text, rules, max_query_bytes, take);
}

std::string parameter(std::string_view target, std::string_view name) {
  const std::size_t question = target.find('?');
  if (question == std::string_view::npos) return {};
  std::string_view rest = target.substr(question + 1);
  while (!rest.empty()) {
    const std::size_t end = std::min(rest.find('&'), rest.size());
    const std::string_view pair = rest.substr(0, end);
    const std::size_t equals = pair.find('=');
    if (equals != std::string_view::npos && pair.substr(0, equals) == name) {
      return std::string(pair.substr(equals + 1));
    }
    rest = rest.substr(std::min(end + 1, rest.size()));
  }
  return {};
}

}  // namespace medlarloft::front
