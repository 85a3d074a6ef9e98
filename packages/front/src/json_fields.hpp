#pragma once

/// Helpers over JSON values that a schema has passed.

#include <nlohmann/json.hpp>

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
    rows.push_back({row.at("id").get<std::string>(),
                    row.at("position").get<std::uint64_t>(),
                    row.at("score").get<double>(),
                    row.at("body").get<std::string>()});
  }
  return rows;
}

}  // namespace medlarloft::front::detail
