#pragma once

/// Chooses the daemon addresses returned to a caller. Callers pick one of them
/// at random, so this choice distributes the load. No I/O.

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
  /// Fraction of the capacity in use, as last reported.
  double load = 0;
};

struct address_choice_options {
  std::size_t max_addresses = 64;
  /// Daemons of other data centres are included only when the caller's data
  /// centre has fewer daemons than this.
  std::size_t min_local_daemons = 2;
  /// Daemons with less than this fraction of the greatest capacity in the
  /// caller's data centre are included only when the large ones are busy or
  /// fewer than `min_local_daemons`: each step of a request takes longer on
  /// them.
  double small_capacity_ratio = 0.5;
  /// Average load from which the large daemons count as busy.
  double busy_load = 0.4;
};

/// Returns the addresses for a caller in `data_centre`, preferring daemons of
/// the same data centre.
std::vector<endpoint> choose_addresses(
    const std::vector<address_candidate>& candidates,
    const std::string& data_centre, const address_choice_options& options = {});

}  // namespace medlarloft::tier
