#pragma once

/// The load of each daemon's host: estimated for this daemon, reported by
/// the others. No I/O; time is an argument.

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "medlarloft/base.hpp"

namespace medlarloft::tier {

class fleet_load {
 public:
  struct options {
    std::string id;
    /// Thousandths of a core of usual speed.
    std::uint32_t capacity = 1;
    /// Bytes per second in each direction; 0: not known, so that only processor
    /// time counts.
    double link_rate = 0;
    time_point started_at{};
  };

  explicit fleet_load(options settings)
      : options_(std::move(settings)), measured_at_(options_.started_at) {}

  /// What this daemon has used since its start.
  struct usage {
    std::uint64_t leaf_requests = 0;
    /// Bytes of requests and responses, in either direction.
    std::uint64_t bytes_in = 0;
    std::uint64_t bytes_out = 0;
  };

  /// Estimates this daemon's load from what it has used so far: that of its
  /// processor or of its link, whichever is higher. The process's processor
  /// time would mislead on hosts that give a process only a share of a core.
  void update_own(time_point now, const usage& used);

  /// Sets the load that another daemon reported.
  void set_reported(const std::string& id, std::uint16_t thousandths);
  /// This daemon's load, as reported to others.
  std::uint16_t own_thousandths() const;
  /// From 0 to 1; 0 when nothing was reported.
  double of(const std::string& id) const;
  /// Removes the daemons that `is_known` rejects.
  void retain(const std::function<bool(const std::string& id)>& is_known);

 private:
  options options_;
  std::map<std::string, double> loads_;
  usage measured_;
  time_point measured_at_;
};

}  // namespace medlarloft::tier
