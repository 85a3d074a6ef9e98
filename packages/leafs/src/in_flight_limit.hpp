#pragma once

/// How many requests one daemon may have in flight at one leaf, learnt from
/// the leaf's answers: halved when it sheds, raised while it answers. Below one
/// it is a pause between requests, so that many daemons together can send a
/// leaf less than one each.

#include "medlarloft/base.hpp"

namespace medlarloft::leafs {

class in_flight_limit {
 public:
  /// The leaf did not run a request since it was full. `usual` is how long a
  /// request mostly takes.
  void shed(time_point now, std::size_t in_flight, duration usual);
  void answered(time_point now, std::size_t in_flight, duration usual);

  /// Whether one more may be sent; `most` is the limit that is known.
  bool admits(time_point now, std::size_t in_flight,
              std::size_t most) const noexcept;
  /// Requests in flight on the mean when all that is admitted is sent.
  double places(std::size_t most) const noexcept;

 private:
  void rest(time_point now, duration usual);

  double value_ = most_value;
  time_point next_cut_{};
  time_point rests_until_{};

  /// Above any limit that is known beforehand.
  static constexpr double most_value = 64;
};

}  // namespace medlarloft::leafs
