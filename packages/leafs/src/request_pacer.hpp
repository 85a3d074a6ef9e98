#pragma once

/// Paces the requests that one daemon sends to a leaf, so that many daemons
/// share a rate without coordination. No I/O; time is an argument.

#include "medlarloft/base.hpp"

namespace medlarloft::leafs {

/// Allows one request in each period, within a turn that begins with the
/// period. A turn that is not used lapses: if daemons saved up their turns, an
/// idle fleet could send as many requests at once as it has daemons.
///
///     request_pacer pacer(now, std::chrono::seconds(2), 0.3);
///     if (pacer.admits(now)) pacer.consume(now);
class request_pacer {
 public:
  /// `phase`, in [0, 1), is the part of the first period that has passed; it
  /// must differ between daemons. The turn of that period counts as used.
  request_pacer(time_point now, duration period, double phase);

  /// Changes the period and keeps the part of it that has passed, so that
  /// frequent changes give no additional turns.
  void set_period(time_point now, duration period);
  duration period() const noexcept { return period_; }

  bool admits(time_point now) const;
  /// Uses the current turn.
  void consume(time_point now);
  /// Returns when a request is admitted: now, or at the next turn.
  time_point next_turn(time_point now) const;

 private:
  std::int64_t period_index(time_point now) const;

  time_point begin_;
  duration period_;
  /// Index of the last period whose turn was used.
  std::int64_t used_index_ = 0;
};

}  // namespace medlarloft::leafs
