#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <iterator>

#include "medlarloft/http.hpp"

namespace medlarloft::http {
namespace {

bool names_equal(std::string_view left, std::string_view right) {
  return boost::beast::iequals({left.data(), left.size()},
                               {right.data(), right.size()});
}

}  // namespace

std::optional<std::string_view> message::find(std::string_view name) const {
  const auto found = std::ranges::find_if(headers, [name](const header& field) {
    return names_equal(field.name, name);
  });
  if (found == headers.end()) return std::nullopt;
  return found->value;
}

bool is_hop_by_hop(std::string_view name) noexcept {
  constexpr std::array<std::string_view, 11> names{"connection",
                                                   "keep-alive",
                                                   "proxy-authenticate",
                                                   "proxy-authorization",
                                                   "proxy-connection",
                                                   "te",
                                                   "trailer",
                                                   "transfer-encoding",
                                                   "upgrade",
                                                   "content-length",
                                                   "expect"};
  return std::ranges::any_of(names, [name](std::string_view hop_by_hop) {
    return names_equal(hop_by_hop, name);
  });
}

std::vector<header> end_to_end_headers(const message& received) {
  // The options of the Connection header are names of hop-by-hop headers.
  std::vector<std::string_view> connection_options;
  for (const header& field : received.headers) {
    if (!names_equal(field.name, "connection")) continue;
    std::string_view rest = field.value;
    while (!rest.empty()) {
      const std::size_t comma = std::min(rest.find(','), rest.size());
      std::string_view token = rest.substr(0, comma);
      while (token.starts_with(' '))
        token.remove_prefix(1);
      while (token.ends_with(' '))
        token.remove_suffix(1);
      connection_options.push_back(token);
      rest.remove_prefix(std::min(comma + 1, rest.size()));
    }
  }
  std::vector<header> forwarded;
  std::ranges::copy_if(received.headers, std::back_inserter(forwarded),
                       [&connection_options](const header& field) {
                         return !is_hop_by_hop(field.name) &&
                                std::ranges::none_of(
                                    connection_options,
                                    [&field](std::string_view token) {
                                      return names_equal(token, field.name);
                                    });
                       });
  return forwarded;
}

std::string serialize_request(const message& request,
                              std::span<const header> extra_headers) {
  std::string text;
  text.reserve(256 + request.body.size());
  text.append(request.method).append(" ").append(request.target);
  text.append(" HTTP/1.1\r\n");
  const auto write = [&text](const header& field) {
    text.append(field.name).append(": ").append(field.value).append("\r\n");
  };
  std::ranges::for_each(request.headers, write);
  std::ranges::for_each(extra_headers, write);
  const bool has_body = !request.body.empty() || request.method == "POST" ||
                        request.method == "PUT" || request.method == "PATCH";
  if (has_body) {
    text.append("Content-Length: ")
        .append(std::to_string(request.body.size()))
        .append("\r\n");
  }
  return text.append("\r\n").append(request.body);
}

}  // namespace medlarloft::http
