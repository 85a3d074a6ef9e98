#pragma once

/// Which daemons read the store, and when. A few watch it for all; the others
/// hear from them. Whoever hears from nobody that the store answers reads it
/// itself. Pure; time is an argument.

#include <optional>
#include <string>

#include "medlarloft/membership.hpp"

namespace medlarloft::tier {

class watch_duty {
 public:
  struct options {
    /// Watchers over all data centres at least; each has one or more.
    std::size_t least_watchers = 3;
    /// Without word of the store for so long a daemon reads it itself.
    /// Longer than a call to the store lasts and word of it travels among a
    /// few daemons.
    duration stale_after = std::chrono::milliseconds(4500);
    /// Word takes so much longer each time that the daemons are twice as many.
    duration longer_per_doubling = std::chrono::milliseconds(500);
    /// One that reads for that reason goes on for at least so long.
    duration stand_in_time = std::chrono::seconds(10);
    /// The same at the start, when others are only not heard yet.
    duration first_stand_in_time = std::chrono::milliseconds(1500);
    /// At the start others are heard first for so long, unless this daemon is
    /// one that others ask.
    duration first_wait{};
  };

  watch_duty(options settings, time_point started)
      : options_(settings), started_(started) {}

  /// Takes what another daemon says: how long ago the store was known to
  /// answer. `travel` is how long the word may have been on its way.
  void heard(time_point now, std::chrono::milliseconds age);
  /// This daemon's own reading works.
  void answered(time_point now);

  /// How long ago the store was known to answer, to be told to others.
  std::chrono::milliseconds age(time_point now) const;
  /// Whether somebody has word of the store.
  bool fresh(time_point now) const;
  /// Takes the number of daemons among which word of the store travels.
  void set_daemons(std::size_t count) noexcept;

  /// Whether this daemon reads the store now.
  bool reads(time_point now, const membership::group& members,
             const std::string& data_centre, const std::string& id,
             std::size_t data_centres);

 private:
  options options_;
  duration stale_after_ = options_.stale_after;
  time_point started_;
  std::optional<time_point> answered_at_;
  std::optional<time_point> stand_in_until_;
};

}  // namespace medlarloft::tier
