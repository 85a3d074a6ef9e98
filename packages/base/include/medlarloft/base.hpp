#pragma once

/// Types shared by every package: clocks, results, hashes, random numbers,
/// durations with units, network endpoints and token buckets.

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

/// The value of a successful operation, or an error.
template <class Value, class Error>
using result = outcome::unchecked<Value, Error>;

/// An error: a code for programs to compare and a text for people to read.
template <class Code>
struct basic_error {
  Code code{};
  std::string text;
};

/// The monotonic clock of all delays, expiry times and deadlines.
using steady_clock = std::chrono::steady_clock;
using time_point = steady_clock::time_point;
using duration = steady_clock::duration;

/// Returns the time since the host started. Unlike the steady clock, it counts
/// the time in which the host was suspended.
duration uptime() noexcept;

/// Wall clock time, used only for timestamps.
using wall_time = std::chrono::sys_time<std::chrono::microseconds>;

/// Returns a 64-bit hash (XXH3) of the text, the same on every host.
std::uint64_t hash64(std::string_view text, std::uint64_t seed = 0) noexcept;

/// Combines two hashes into one; their order matters.
std::uint64_t hash_combine(std::uint64_t left, std::uint64_t right) noexcept;

/// A small pseudo-random generator (SplitMix64). Equal seeds give equal
/// sequences.
///
///     random_generator random(7);
///     std::size_t index = random.below(10);
class random_generator {
 public:
  using result_type = std::uint64_t;

  explicit random_generator(std::uint64_t seed) noexcept : state_(seed) {}

  static constexpr result_type min() noexcept { return 0; }
  static constexpr result_type max() noexcept { return UINT64_MAX; }

  result_type operator()() noexcept;

  /// Returns a number in [0, limit); `limit` must not be zero.
  std::uint64_t below(std::uint64_t limit) noexcept;

  /// Returns a number in [0, 1).
  double uniform() noexcept;

  /// Returns a duration in [0, limit).
  duration below(duration limit) noexcept;

 private:
  std::uint64_t state_;
};

/// Returns the first bytes of a text in quotes, for an error or a log line.
std::string quote_start(std::string_view text);

/// Why parsing a text failed.
enum class parse_errc { not_a_duration, not_an_endpoint };
using parse_error = basic_error<parse_errc>;

/// Parses a non-negative duration with a unit: "250us", "20ms", "3s", "2min".
result<duration, parse_error> parse_duration(std::string_view text);

/// Formats a duration in the largest unit that represents it exactly.
std::string format_duration(duration value);

/// The IP address and port of a TCP endpoint.
struct endpoint {
  std::string ip;
  std::uint16_t port = 0;

  friend auto operator<=>(const endpoint&, const endpoint&) = default;
};

/// Parses "127.0.0.1:7000" or "[::1]:7000". Host names are not resolved.
result<endpoint, parse_error> parse_endpoint(std::string_view text);
std::string format_endpoint(const endpoint& value);

/// One HTTP header field.
struct header {
  std::string name;
  std::string value;

  friend bool operator==(const header&, const header&) = default;
};

/// A token bucket that refills continuously. It reads no clock: callers pass
/// the time.
///
///     token_bucket bucket({.rate_per_second = 10, .burst = 5});
///     if (bucket.try_consume(now)) send();
class token_bucket {
 public:
  struct options {
    double rate_per_second = 1.0;
    double burst = 1.0;
    /// Number of tokens at the start.
    double initial = 0.0;
  };

  explicit token_bucket(options settings) noexcept;

  /// Consumes `count` tokens; returns false, and consumes none, if there are
  /// fewer.
  bool try_consume(time_point now, double count = 1.0) noexcept;

  /// Changes the rate of the refill from now on.
  void set_rate(time_point now, double rate_per_second) noexcept;

  /// Adds tokens in addition to the refill, up to `burst`.
  void add(double count) noexcept;

  /// Returns the time from which `count` tokens are available; the maximum if
  /// the bucket has fewer and never refills.
  time_point ready_at(time_point now, double count = 1.0) noexcept;

 private:
  void refill(time_point now) noexcept;

  options options_;
  double tokens_;
  time_point last_refill_{};
};

}  // namespace medlarloft
