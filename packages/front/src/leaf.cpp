#include <algorithm>
#include <array>

#include "json_fields.hpp"
#include "medlarloft/front.hpp"

namespace medlarloft::front {
namespace {

using detail::json;

constexpr std::size_t max_leaf_bytes = 8U << 20;

constexpr std::array<std::string_view, 6> outcome_names{
    "answered", "shed", "leaving", "gone", "cancelled", "late"};

const documents::schema& request_rules() {
  static const documents::schema rules(R"json({
    "type": "object",
    "required": ["request_id", "attempt", "service", "shard", "from", "to",
                 "snapshot", "class", "deadline", "idempotent", "row_limit",
                 "body"],
    "properties": {
      "request_id": {"type": "string"}, "attempt": {"type": "integer"},
      "service": {"type": "string"}, "shard": {"type": "string"},
      "from": {"type": "integer"}, "to": {"type": "integer"},
      "snapshot": {"type": "integer"}, "class": {"type": "string",
        "enum": ["critical", "important", "ordinary"]},
      "deadline": {"type": "string"}, "idempotent": {"type": "boolean"},
      "row_limit": {"type": "integer"}, "body": {"type": "string"}}})json");
  return rules;
}

const documents::schema& reply_rules() {
  static const documents::schema rules(R"json({
    "type": "object",
    "required": ["request_id", "attempt", "outcome", "start_id"],
    "properties": {
      "request_id": {"type": "string"},
      "attempt": {"type": "integer", "minimum": 0},
      "outcome": {"type": "string", "enum": ["answered", "shed", "leaving",
        "gone", "cancelled", "late"]},
      "snapshot": {"type": "integer", "minimum": 0},
      "from": {"type": "integer", "minimum": 0},
      "to": {"type": "integer", "minimum": 0, "maximum": 4294967296},
      "oldest": {"type": "integer", "minimum": 0},
      "newest": {"type": "integer", "minimum": 0},
      "start_id": {"type": "string", "maxLength": 128},
      "cold": {"type": "boolean"}, "leaving": {"type": "boolean"},
      "rows": {"type": "array", "items": {"type": "object",
        "required": ["id", "position", "score", "body"],
        "properties": {
          "id": {"type": "string"},
          "position": {"type": "integer", "minimum": 0},
          "score": {"type": "number"}, "body": {"type": "string"}}}}}})json");
  return rules;
}

documents::document_result<leaf_request> take_request(const json& document) {
  leaf_request value;
  value.request_id = document.at("request_id").get<std::string>();
  value.attempt = document.at("attempt").get<std::uint64_t>();
  value.service = document.at("service").get<std::string>();
  value.shard = document.at("shard").get<std::string>();
  value.range = {document.at("from").get<std::uint64_t>(),
                 document.at("to").get<std::uint64_t>()};
  value.snapshot = document.at("snapshot").get<std::uint64_t>();
  value.priority = *notes::parse_class(document.at("class").get<std::string>());
  const auto deadline =
      parse_duration(document.at("deadline").get<std::string>());
  if (!deadline) {
    return detail::bad_value(document, "deadline", "is not a duration");
  }
  value.deadline = deadline.value();
  value.idempotent = document.at("idempotent").get<bool>();
  value.row_limit = document.at("row_limit").get<std::size_t>();
  value.body = document.at("body").get<std::string>();
  return value;
}

documents::document_result<leaf_reply> take_reply(const json& document) {
  leaf_reply value;
  value.request_id = document.at("request_id").get<std::string>();
  value.attempt = document.at("attempt").get<std::uint64_t>();
  const auto name = document.at("outcome").get<std::string>();
  const auto kind = std::ranges::find(outcome_names, name);
  value.outcome = static_cast<leaf_outcome>(kind - outcome_names.begin());
  value.answer.snapshot = document.value("snapshot", std::uint64_t{0});
  value.answer.range = {document.value("from", std::uint64_t{0}),
                        document.value("to", std::uint64_t{0})};
  if (document.contains("rows")) {
    value.answer.rows = detail::read_rows(document.at("rows"));
  }
  value.start_id = document.at("start_id").get<std::string>();
  value.cold = document.value("cold", false);
  value.leaving = document.value("leaving", false);
  value.oldest = document.value("oldest", std::uint64_t{0});
  value.newest = document.value("newest", std::uint64_t{0});
  return value;
}

documents::document_result<leaf_health> take_health(const json& document) {
  leaf_health value;
  value.start_id = document.at("start_id").get<std::string>();
  value.cold = document.value("cold", false);
  value.leaving = document.value("leaving", false);
  value.in_flight = document.value("in_flight", 0U);
  value.oldest = document.value("oldest", std::uint64_t{0});
  value.newest = document.value("newest", std::uint64_t{0});
  return value;
}

}  // namespace

std::string write_leaf_request(const leaf_request& value) {
  return detail::dump({{"request_id", value.request_id},
                       {"attempt", value.attempt},
                       {"service", value.service},
                       {"shard", value.shard},
                       {"from", value.range.from},
                       {"to", value.range.to},
                       {"snapshot", value.snapshot},
                       {"class", notes::name_of(value.priority)},
                       {"deadline", format_duration(value.deadline)},
                       {"idempotent", value.idempotent},
                       {"row_limit", value.row_limit},
                       {"body", value.body}});
}

documents::document_result<leaf_request> read_leaf_request(
    std::string_view text) {
  return detail::read_with<leaf_request>(text, request_rules(), max_leaf_bytes,
                                         take_request);
}

std::string write_leaf_reply(const leaf_reply& value) {
  json document = {
      {"request_id", value.request_id},
      {"attempt", value.attempt},
      {"outcome", outcome_names[static_cast<std::size_t>(value.outcome)]},
      {"start_id", value.start_id},
      {"oldest", value.oldest},
      {"newest", value.newest}};
  if (value.cold) document["cold"] = true;
  if (value.leaving) document["leaving"] = true;
  if (value.outcome == leaf_outcome::answered) {
    document["snapshot"] = value.answer.snapshot;
    document["from"] = value.answer.range.from;
    document["to"] = value.answer.range.to;
    document["rows"] = detail::write_rows(value.answer.rows);
  }
  return detail::dump(document);
}

documents::document_result<leaf_reply> read_leaf_reply(std::string_view text) {
  return detail::read_with<leaf_reply>(text, reply_rules(), max_leaf_bytes,
                                       take_reply);
}

std::string write_health(const leaf_health& value) {
  return detail::dump({{"start_id", value.start_id},
                       {"cold", value.cold},
                       {"leaving", value.leaving},
                       {"in_flight", value.in_flight},
                       {"oldest", value.oldest},
                       {"newest", value.newest}});
}

documents::document_result<leaf_health> read_health(std::string_view text) {
  static const documents::schema rules(R"json({
    "type": "object", "required": ["start_id"],
    "properties": {"start_id": {"type": "string", "maxLength": 128},
      "cold": {"type": "boolean"}, "leaving": {"type": "boolean"},
      "in_flight": {"type": "integer", "minimum": 0},
      "oldest": {"type": "integer", "minimum": 0},
      "newest": {"type": "integer", "minimum": 0}}})json");
  return detail::read_with<leaf_health>(text, rules, max_leaf_bytes,
                                        take_health);
}

}  // namespace medlarloft::front
