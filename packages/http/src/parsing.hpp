#pragma once

/// Beast's parsers, and conversions from Beast's types to those of the package.

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>

#include "medlarloft/http.hpp"

namespace medlarloft::http::detail {

namespace beast = boost::beast;
using request_parser = beast::http::request_parser<beast::http::string_body>;
using response_parser = beast::http::response_parser<beast::http::string_body>;

inline std::string to_string(beast::string_view text) {
  return {text.data(), text.size()};
}

template <class Fields>
std::vector<header> to_headers(const Fields& fields) {
  std::vector<header> headers;
  for (const auto& field : fields)
    headers.push_back(
        {to_string(field.name_string()), to_string(field.value())});
  return headers;
}

/// Returns the whole seconds N of a header value such as "timeout=N, max=100",
/// or nothing if it has no timeout.
std::optional<duration> parse_keep_alive_timeout(std::string_view keep_alive);

}  // namespace medlarloft::http::detail
