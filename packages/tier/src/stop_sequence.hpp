#pragma once

/// When a stopping daemon serves, refuses and ends. Callers may use addresses
/// for a while that they were given before, so it goes on serving; it refuses
/// early enough that no request is cut. Pure; time is an argument.

#include "medlarloft/base.hpp"

namespace medlarloft::tier {

enum class stop_phase : std::uint8_t {
  running,   // no stop was asked for
  serving,   // named nowhere any more; requests are served
  refusing,  // new requests are refused, running ones end
  ended,
};

class stop_sequence {
 public:
  struct options {
    /// From the stop signal to the end of the process at the latest.
    duration within = std::chrono::seconds(6);
    /// How long callers may use addresses that they were given.
    duration kept_addresses = std::chrono::seconds(4);
  };

  explicit stop_sequence(options settings) : options_(settings) {}

  void begin(time_point now);
  bool begun() const noexcept { return begun_; }

  /// `open` is the number of requests that are not answered.
  stop_phase phase(time_point now, std::size_t open) const;

  /// Every request must be answered by then.
  time_point last_answer() const;

 private:
  time_point refuse_at() const;

  options options_;
  bool begun_ = false;
  time_point began_{};
};

}  // namespace medlarloft::tier
