#pragma once

/// Learns a leaf's lasting speed from its response times: the mean of many of
/// them, so that a leaf 0.8 to 1.3 times as slow as the others differs from one
/// that gave some slow responses. No I/O; time is an argument.

#include "medlarloft/base.hpp"

namespace medlarloft::leafs {

class steady_slowness {
 public:
  /// Adds a processing time, as a multiple of the usual one.
  void add(time_point now, double factor);
  /// Returns the mean processing time, as a multiple of the usual one. It
  /// approaches 1 while no responses arrive.
  double value(time_point now) const;

 private:
  double remaining(time_point now) const;

  double count_ = 0;
  double sum_ = 0;
  time_point updated_at_{};
};

}  // namespace medlarloft::leafs
