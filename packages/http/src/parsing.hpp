#pragma once

/// Beast's parsers turned into the package's own messages.

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>

#include "medlarloft/http.hpp"

namespace medlarloft::http::detail {

namespace beast = boost::beast;
using request_parser = beast::http::request_parser<beast::http::string_body>;
using response_parser = beast::http::response_parser<beast::http::string_body>;

inline std::string text_of(beast::string_view from) {
  return {from.data(), from.size()};
}

template <class Fields>
std::vector<header> headers_of(const Fields& fields) {
  std::vector<header> all;
  for (const auto& field : fields)
    all.push_back({text_of(field.name_string()), text_of(field.value())});
  return all;
}

/// Returns the whole seconds of "Keep-Alive: timeout=N", if they are there.
std::optional<duration> idle_limit_of(std::string_view keep_alive);

}  // namespace medlarloft::http::detail
