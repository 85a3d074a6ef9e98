#include <algorithm>
#include <array>
#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <cmath>

#include "medlarloft/base.hpp"

namespace medlarloft {
namespace {

struct unit {
  std::string_view name;
  std::int64_t nanoseconds;
};

// In descending order, as format_duration() takes the first that fits.
constexpr std::array<unit, 6> units{{{"h", 3'600'000'000'000},
                                     {"min", 60'000'000'000},
                                     {"s", 1'000'000'000},
                                     {"ms", 1'000'000},
                                     {"us", 1'000},
                                     {"ns", 1}}};

// Just below the largest 64-bit count of nanoseconds, about 9.22e18.
constexpr double max_nanoseconds = 9.0e18;

parse_error invalid_duration(std::string_view text) {
  return {parse_errc::not_a_duration,
          "\"" + std::string(text) +
              "\" is not a duration such as \"250us\", \"20ms\" or \"3s\""};
}

parse_error invalid_endpoint(std::string_view text) {
  return {parse_errc::not_an_endpoint,
          quote_start(text) + " is not an endpoint such as \"127.0.0.1:7000\""};
}

}  // namespace

std::string quote_start(std::string_view text) {
  constexpr std::size_t max_quoted_bytes = 64;
  const bool cut = text.size() > max_quoted_bytes;
  return "\"" + std::string(text.substr(0, max_quoted_bytes)) + "\"" +
         (cut ? "..." : "");
}

result<duration, parse_error> parse_duration(std::string_view text) {
  double number = 0;
  const char* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc{} || number < 0) return invalid_duration(text);
  const std::string_view name(rest, static_cast<std::size_t>(end - rest));
  const auto matching = std::ranges::find(units, name, &unit::name);
  if (matching == units.end()) return invalid_duration(text);
  const double nanoseconds =
      number * static_cast<double>(matching->nanoseconds);
  if (!(nanoseconds < max_nanoseconds)) return invalid_duration(text);
  return std::chrono::duration_cast<duration>(
      std::chrono::nanoseconds(std::llround(nanoseconds)));
}

std::string format_duration(duration value) {
  const std::int64_t count =
      std::chrono::duration_cast<std::chrono::nanoseconds>(value).count();
  if (count == 0) return "0s";
  const auto largest = std::ranges::find_if(
      units, [count](const unit& u) { return count % u.nanoseconds == 0; });
  return std::to_string(count / largest->nanoseconds) +
         std::string(largest->name);
}

result<endpoint, parse_error> parse_endpoint(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return invalid_endpoint(text);
  std::string_view host = text.substr(0, colon);
  if (host.size() > 1 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  // make_address reads up to the first null character.
  if (host.find('\0') != std::string_view::npos) return invalid_endpoint(text);
  boost::system::error_code invalid;
  const auto address =
      boost::asio::ip::make_address(std::string(host), invalid);
  if (invalid) return invalid_endpoint(text);
  const std::string_view digits = text.substr(colon + 1);
  std::uint16_t port = 0;
  const char* end = digits.data() + digits.size();
  const auto [rest, error] = std::from_chars(digits.data(), end, port);
  if (error != std::errc{} || rest != end || port == 0) {
    return invalid_endpoint(text);
  }
  return endpoint{address.to_string(), port};
}

std::string format_endpoint(const endpoint& value) {
  const bool is_ipv6 = value.ip.find(':') != std::string::npos;
  const std::string host = is_ipv6 ? "[" + value.ip + "]" : value.ip;
  return host + ":" + std::to_string(value.port);
}

}  // namespace medlarloft
