#pragma once

/// Chooses a leaf where many daemons compete for the slots of a service, from
/// costs that show little of what the other daemons have sent. Each daemon
/// prefers a few leafs, in an order of its own: it knows more of their load, as
/// more of it are its own requests, and learns sooner that one turns slow. No
/// I/O; docs/design/leaf-choice.md compares the rule with others.

#include <cstdint>
#include <span>

#include "medlarloft/leafs.hpp"

namespace medlarloft::leafs {

/// A leaf that may be used.
struct leaf_candidate {
  leaf_handle leaf = 0;
  /// Position in the daemon's order of preference; lower values come first.
  std::uint64_t preference = 0;
  double cost = 0;
  /// A leaf that failed lately is not preferred: a low failure rate costs less
  /// than what a leaf has to be cheaper by to replace a preferred one.
  bool failing = false;
};

/// Whether more daemons choose than the leafs of a service have slots. Large
/// daemons serve most requests, so that a daemon with a large part of the
/// capacity competes with fewer than there are.
bool is_contended(const daemon_quota& quota, std::size_t slots);

/// Returns the cheapest candidate, where one that is not among the first in the
/// order of preference must be clearly cheaper. `candidates` must not be empty.
leaf_handle choose_leaf(std::span<leaf_candidate> candidates);

}  // namespace medlarloft::leafs
