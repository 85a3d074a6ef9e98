#pragma once

/// The processor load of each daemon: estimated for this daemon, reported by
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
    time_point started_at{};
  };

  explicit fleet_load(options settings)
      : options_(std::move(settings)), measured_at_(options_.started_at) {}

  /// Estimates this daemon's load from the number of requests that it has sent
  /// to leafs so far. The process's processor time would mislead on hosts that
  /// give a process only a share of a core.
  void update_own(time_point now, std::uint64_t leaf_requests);

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
  std::uint64_t measured_requests_ = 0;
  time_point measured_at_;
};

}  // namespace medlarloft::tier
