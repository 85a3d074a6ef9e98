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
  /// False if it last reported that it has no configuration.
  bool ready = true;
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
  /// In a fleet of uneven hosts, small daemons are named in rising numbers
  /// between these average loads of the large ones; beyond, all are named in
  /// proportion to their capacity. Simulated with callers that keep an answer
  /// for 5 to 15 s: a later start overloads the large ones before the small
  /// ones are used.
  double grading_begins = 0.2;
  double grading_ends = 0.5;
};

/// Whether some hosts have less than a fifth of the capacity of others. With
/// equal shares of the callers, such small hosts would be overloaded while the
/// large ones are hardly used.
bool has_uneven_hosts(const std::vector<address_candidate>& candidates);

/// Returns the addresses for a caller in `data_centre`, preferring daemons of
/// the same data centre. Daemons that are not ready are returned only if none
/// is. `seed` should differ from call to call: it decides which of the small
/// hosts of an uneven fleet are named.
std::vector<endpoint> choose_addresses(
    const std::vector<address_candidate>& candidates,
    const std::string& data_centre, const address_choice_options& options = {},
    std::uint64_t seed = 0);

}  // namespace medlarloft::tier
