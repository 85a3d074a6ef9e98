#pragma once

/// Vocabulary shared by every package: clocks, results, hashing, randomness,
/// durations written with units, and network endpoints.

#include <boost/outcome/outcome.hpp>
#include <boost/outcome/try.hpp>
#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace medlarloft {

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

/// The value of a successful operation or the error of its layer.
template <class Value, class Error>
using result = outcome::unchecked<Value, Error>;

/// An error of one layer: a code that programs compare and a text for people.
template <class Code>
struct basic_error {
  Code code{};
  std::string text;
};

/// The steady clock measures every delay, expiry and deadline.
using steady_clock = std::chrono::steady_clock;
using time_point = steady_clock::time_point;
using duration = steady_clock::duration;

/// The wall clock only stamps events and logs.
using wall_time = std::chrono::sys_time<std::chrono::microseconds>;

/// Returns a 64-bit hash (XXH3) of the text, equal on every machine.
std::uint64_t hash64(std::string_view text, std::uint64_t seed = 0) noexcept;

/// Combines two hashes into one, order dependent.
std::uint64_t mix64(std::uint64_t left, std::uint64_t right) noexcept;

/// A small seeded generator (SplitMix64); equal seeds give equal streams.
///
///     random_stream random(7);
///     std::size_t pick = random.below(10);
class random_stream {
 public:
  using result_type = std::uint64_t;

  explicit random_stream(std::uint64_t seed) noexcept : state_(seed) {}

  static constexpr result_type min() noexcept { return 0; }
  static constexpr result_type max() noexcept { return UINT64_MAX; }

  result_type operator()() noexcept;

  /// Returns a number in [0, limit); `limit` must not be zero.
  std::uint64_t below(std::uint64_t limit) noexcept;

  /// Returns a number in [0, 1).
  double unit() noexcept;

  /// Returns a duration in [0, limit).
  duration below(duration limit) noexcept;

 private:
  std::uint64_t state_;
};

/// Why a text is not a duration or an endpoint.
enum class text_errc { not_a_duration, not_an_endpoint };
using text_error = basic_error<text_errc>;

/// Reads a non-negative duration with its unit: "250us", "20ms", "3s", "2min".
result<duration, text_error> parse_duration(std::string_view text);

/// Writes a duration with the largest unit that keeps it exact.
std::string format_duration(duration value);

/// A TCP endpoint named by an IP address.
struct endpoint {
  std::string ip;
  std::uint16_t port = 0;

  friend auto operator<=>(const endpoint&, const endpoint&) = default;
};

/// Reads "127.0.0.1:7000" or "[::1]:7000"; names do not resolve.
result<endpoint, text_error> parse_endpoint(std::string_view text);
std::string format_endpoint(const endpoint& value);

/// One HTTP header field.
struct header {
  std::string name;
  std::string value;

  friend bool operator==(const header&, const header&) = default;
};

/// A token bucket that refills continuously; pure, time is an argument.
///
///     token_bucket bucket({.rate_per_second = 10, .burst = 5});
///     if (bucket.take(now)) send();
class token_bucket {
 public:
  struct options {
    double rate_per_second = 1.0;
    double burst = 1.0;
    /// Tokens held when the bucket is created.
    double initial = 0.0;
  };

  explicit token_bucket(options settings) noexcept;

  /// Takes `count` tokens, or none and returns false.
  bool take(time_point now, double count = 1.0) noexcept;

  /// Adds tokens outside of the steady refill.
  void add(double count) noexcept;

  /// Returns the time after which `count` tokens are there.
  time_point ready_at(time_point now, double count = 1.0) noexcept;

 private:
  void refill(time_point now) noexcept;

  options options_;
  double tokens_;
  time_point last_{};
};

}  // namespace medlarloft
