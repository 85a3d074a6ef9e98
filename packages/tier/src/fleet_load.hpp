#pragma once

/// How much of its processor each daemon uses, as estimated here and as heard
/// from the others. Pure; time is an argument.

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
    time_point started{};
  };

  explicit fleet_load(options settings)
      : options_(std::move(settings)), measured_at_(options_.started) {}

  /// Takes how many requests to leafs this daemon has sent so far. The clock
  /// of the processor is no measure on hosts that give a process a share of a
  /// core.
  void measure(time_point now, std::uint64_t leaf_requests);

  /// Takes what another daemon tells of itself, in thousandths.
  void heard(const std::string& id, std::uint16_t thousandths);
  /// What this daemon tells of itself.
  std::uint16_t told() const;
  /// From 0 to 1; 0 when nothing was heard.
  double of(const std::string& id) const;
  /// Forgets the daemons that are not known any more.
  void keep(const std::function<bool(const std::string& id)>& known);

 private:
  options options_;
  std::map<std::string, double> loads_;
  std::uint64_t measured_ = 0;
  time_point measured_at_;
};

}  // namespace medlarloft::tier
