#pragma once

/// Which daemons a caller is told of. Callers pick among them at random, so
/// the choice decides where work goes. Pure.

#include <string>
#include <vector>

#include "medlarloft/base.hpp"

namespace medlarloft::tier {

/// A daemon that serves callers.
struct address_candidate {
  endpoint address;
  std::string data_centre;
  /// Thousandths of a processor core.
  std::uint32_t capacity = 0;
  /// Share of the capacity in use, as last heard.
  double load = 0;
};

struct address_rules {
  /// Addresses in one answer at most.
  std::size_t most = 64;
  /// With this many daemons near the caller no others are named.
  std::size_t enough_near = 2;
  /// Daemons with less than this part of the greatest capacity near the caller
  /// are named only when the others have work enough: each step of a request
  /// takes longer there.
  double small_part = 0.5;
  /// Load at which the large daemons have work enough.
  double busy_load = 0.4;
};

/// Returns the addresses to name, the caller's data centre first.
std::vector<endpoint> choose_addresses(
    const std::vector<address_candidate>& candidates,
    const std::string& data_centre, const address_rules& rules = {});

}  // namespace medlarloft::tier
