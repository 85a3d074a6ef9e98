#pragma once

/// Which daemons read the store, and when. A few watch it for all; the others
/// hear from them. Whoever hears from nobody that the store answers reads it
/// itself. Pure; time is an argument.

#include <map>
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
    /// Longer than a call to the store lasts and word of it travels.
    duration stale_after = std::chrono::milliseconds(4500);
    /// One that reads for that reason goes on for at least so long.
    duration stand_in_time = std::chrono::seconds(10);
    /// The same at the start, when others are only not heard yet.
    duration first_stand_in_time = std::chrono::milliseconds(1500);
    /// A reader is passed over for so long after it said that it gets no
    /// answer.
    duration passed_over_for = std::chrono::seconds(5);
    /// It says so again after this.
    duration told_again_after = std::chrono::seconds(1);
    /// At the start others are heard first for so long, unless this daemon is
    /// one that others ask.
    duration first_wait{};
  };

  watch_duty(options settings, time_point started)
      : options_(settings), started_(started) {}

  /// Takes what another daemon says: how long ago the store was known to
  /// answer. Returns whether that is worth passing on.
  bool heard(time_point now, std::chrono::milliseconds age);
  /// This daemon's own reading works.
  void answered(time_point now);
  /// The store does not answer a daemon that reads it, or answers it again;
  /// meanwhile the next one in its data centre reads. Returns whether that is
  /// worth passing on.
  bool failing(time_point now, const std::string& reader, bool fails);

  /// How long ago the store was known to answer, to be told to others.
  std::chrono::milliseconds age(time_point now) const;
  /// Whether somebody has word of the store.
  bool fresh(time_point now) const;

  /// Whether this daemon reads the store now.
  bool reads(time_point now, const membership::group& members,
             const std::string& data_centre, const std::string& id,
             std::size_t data_centres);

 private:
  options options_;
  time_point started_;
  std::optional<time_point> answered_at_;
  std::optional<time_point> stand_in_until_;
  /// Readers that the store did not answer when they were heard last.
  std::map<std::string, time_point> failing_;
};

}  // namespace medlarloft::tier
