#pragma once

/// How often a daemon reads a store that changes all the time. Pure.

#include "medlarloft/tier.hpp"

namespace medlarloft::tier {

/// How long a removed record is used on: one that lapsed by mistake is
/// mostly back within this time.
inline constexpr duration removal_hold = std::chrono::milliseconds(1500);

/// Returns the pause after a call that brought changes. Each heartbeat of a
/// leaf changes the store, so that without a pause every call returns at once;
/// with it, each change is still known to all daemons within its bound when
/// only one of them reads.
///
///     read_pause({.leaf_leaves = 3s, .configuration = 3s});  // 900 ms
duration read_pause(const propagation_deadlines& bounds) noexcept;

/// Returns after how long without word of the store a daemon reads it itself:
/// soon enough that a configuration which the readers missed is in force in
/// time.
duration stale_after(const propagation_deadlines& bounds) noexcept;

/// Returns how long a call waits for changes: a reader alone must answer
/// before the others think that nobody reads.
duration read_wait(const propagation_deadlines& bounds) noexcept;

}  // namespace medlarloft::tier
