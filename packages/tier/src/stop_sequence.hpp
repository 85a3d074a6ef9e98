#pragma once

/// The phases of a stopping daemon. Callers may use cached addresses for a
/// while, so it continues to serve at first; it refuses new requests early
/// enough that no request is interrupted. No I/O; time is an argument.

#include "medlarloft/base.hpp"

namespace medlarloft::tier {

enum class stop_phase : std::uint8_t {
  running,   // no stop was requested
  serving,   // requests are served; the address is no longer given to callers
  refusing,  // new requests are refused; open ones are completed
  ended,
};

class stop_sequence {
 public:
  struct options {
    /// From the stop signal to the end of the process at the latest.
    duration stop_within = std::chrono::seconds(6);
    /// How long callers may use an address that they received.
    duration address_ttl = std::chrono::seconds(4);
  };

  explicit stop_sequence(options settings) : options_(settings) {}

  void begin(time_point now);
  bool begun() const noexcept { return begun_; }

  /// `active_requests` is the number of requests not yet answered.
  stop_phase phase(time_point now, std::size_t active_requests) const;

  /// The time by which every request must be answered.
  time_point answer_deadline() const;

 private:
  time_point refuse_at() const;

  options options_;
  bool begun_ = false;
  time_point began_at_{};
};

}  // namespace medlarloft::tier
