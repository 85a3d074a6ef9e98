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

documents::document_result<leaf_request> take_request(const json& document) {
  leaf_request value;
  value.request_id = document.at("request_id").get<std::string>();
  value.attempt = detail::count_at(document, "attempt");
  value.service = document.at("service").get<std::string>();
  value.shard = document.at("shard").get<std::string>();
  value.range = {detail::count_at(document, "from"),
                 detail::count_at(document, "to")};
  value.snapshot = detail::count_at(document, "snapshot");
  const auto priority =
      notes::parse_class(document.at("class").get<std::string>());
  if (!priority) return detail::bad_value(document, "class", "is not a class");
  value.priority = *priority;
  const auto deadline =
      parse_duration(document.at("deadline").get<std::string>());
  if (!deadline) {
    return detail::bad_value(document, "deadline", "is not a duration");
  }
  value.deadline = deadline.value();
  value.idempotent = document.at("idempotent").get<bool>();
  value.row_limit = detail::count_at(document, "row_limit");
  value.body = document.at("body").get<std::string>();
  return value;
}

documents::document_result<leaf_reply> take_reply(const json& document) {
  leaf_reply value;
  value.request_id = document.at("request_id").get<std::string>();
  value.attempt = detail::count_at(document, "attempt");
  const auto name = document.at("outcome").get<std::string>();
  const auto kind = std::ranges::find(outcome_names, name);
  if (kind == outcome_names.end()) {
    return detail::bad_value(document, "outcome", "is not an outcome");
  }
  value.outcome = static_cast<leaf_outcome>(kind - outcome_names.begin());
  value.answer.snapshot = detail::count_or_zero(document, "snapshot");
  value.answer.range = {detail::count_or_zero(document, "from"),
                        detail::count_or_zero(document, "to")};
  if (document.contains("rows")) {
    value.answer.rows = detail::read_rows(document.at("rows"));
  }
  value.start_id = document.at("start_id").get<std::string>();
  value.cold = document.value("cold", false);
  value.leaving = document.value("leaving", false);
  value.oldest = detail::count_or_zero(document, "oldest");
  value.newest = detail::count_or_zero(document, "newest");
  return value;
}

documents::document_result<leaf_health> take_health(const json& document) {
  leaf_health value;
  value.start_id = document.at("start_id").get<std::string>();
  value.cold = document.value("cold", false);
  value.leaving = document.value("leaving", false);
  value.in_flight = document.value("in_flight", 0U);
  value.oldest = detail::count_or_zero(document, "oldest");
  value.newest = detail::count_or_zero(document, "newest");
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
  return detail::read_typed<leaf_request>(text, max_leaf_bytes, take_request);
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
  return detail::read_typed<leaf_reply>(text, max_leaf_bytes, take_reply);
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
  return detail::read_typed<leaf_health>(text, max_leaf_bytes, take_health);
}

}  // namespace medlarloft::front
