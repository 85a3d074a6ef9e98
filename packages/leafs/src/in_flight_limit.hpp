#pragma once

/// Limit on the requests that one daemon has in flight at one leaf, adapted to
/// the leaf's responses: halved when the leaf sheds a request, raised while it
/// answers. A limit below one is a pause between requests, so that many daemons
/// together can have fewer requests in flight at a leaf than there are daemons.

#include "medlarloft/base.hpp"

namespace medlarloft::leafs {

class in_flight_limit {
 public:
  /// The leaf rejected a request because it is full. `in_flight` includes the
  /// request; `expected_time` is how long a request usually takes.
  void on_shed(time_point now, std::size_t in_flight, duration expected_time);
  void on_answered(time_point now, std::size_t in_flight,
                   duration expected_time);

  /// Whether one more request may be sent. `static_limit` is the upper bound
  /// from the leaf's slots, its connections and the number of daemons.
  bool admits(time_point now, std::size_t in_flight,
              std::size_t static_limit) const noexcept;
  /// Mean number of requests in flight if every admitted request is sent.
  double average_in_flight(std::size_t static_limit) const noexcept;

 private:
  void pause(time_point now, duration expected_time);

  double limit_ = max_limit;
  time_point next_decrease_{};
  time_point paused_until_{};

  /// Initial value and upper bound. Meant to be above every static limit, which
  /// the configuration doesn't guarantee.
  static constexpr double max_limit = 64;
};

}  // namespace medlarloft::leafs
