#pragma once

/// Helpers over JSON values that a schema has passed.

#include <nlohmann/json.hpp>
#include <stdexcept>

#include "medlarloft/documents.hpp"
#include "medlarloft/query.hpp"

namespace medlarloft::front::detail {

using nlohmann::json;

inline std::string dump(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

/// Parses and checks a document, then hands it to `read`.
template <class Value, class Read>
documents::document_result<Value> read_with(std::string_view text,
                                            const documents::schema& rules,
                                            std::size_t max_bytes, Read read) {
  BOOST_OUTCOME_TRY(document, documents::parse(text, {.max_bytes = max_bytes}));
  BOOST_OUTCOME_TRYV(rules.check(document));
  return read(document);
}

/// Returns the text of a field that must be there.
inline std::string text_at(const json& document, const char* key) {
  return document.at(key).get_ref<const std::string&>();
}

/// Returns a whole number that is not negative; others throw.
inline std::uint64_t count_at(const json& document, const char* key) {
  const json& value = document.at(key);
  if (!value.is_number_unsigned()) {
    throw std::invalid_argument(std::string(key) + " is no whole number, got " +
                                documents::excerpt(value));
  }
  return value.get<std::uint64_t>();
}

/// As above, but 0 when the field is absent.
inline std::uint64_t count_or_zero(const json& document, const char* key) {
  return document.contains(key) ? count_at(document, key) : 0;
}

/// Parses a document of the hot path: `read` checks each field's type by
/// reading it, and unknown fields are ignored. A schema costs ten times more.
template <class Value, class Read>
documents::document_result<Value> read_typed(std::string_view text,
                                             std::size_t max_bytes, Read read) {
  BOOST_OUTCOME_TRY(document,
                    documents::parse_trusted(text, {.max_bytes = max_bytes}));
  try {
    return read(document);
  } catch (const std::exception& error) {
    return documents::document_error{documents::document_errc::schema, "", "",
                                     error.what()};
  }
}

inline documents::document_error bad_value(const json& document,
                                           const char* key,
                                           std::string reason) {
  return {documents::document_errc::value, key,
          documents::excerpt(document.at(key)), std::move(reason)};
}

inline json write_rows(const std::vector<query::row>& rows) {
  json list = json::array();
  for (const query::row& row : rows) {
    list.push_back({{"id", row.id},
                    {"position", row.position},
                    {"score", row.score},
                    {"body", row.body}});
  }
  return list;
}

inline std::vector<query::row> read_rows(const json& list) {
  std::vector<query::row> rows;
  rows.reserve(list.size());
  for (const json& row : list) {
    rows.push_back({text_at(row, "id"), count_at(row, "position"),
                    row.at("score").get<double>(), text_at(row, "body")});
  }
  return rows;
}

}  // namespace medlarloft::front::detail
