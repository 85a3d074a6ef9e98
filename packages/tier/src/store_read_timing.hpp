#pragma once

/// How often and for how long a daemon calls a store that changes all the
/// time. No I/O.

#include "medlarloft/tier.hpp"

namespace medlarloft::tier {

/// How long a removed record stays in use: a record that expired by mistake is
/// usually registered again within this time.
inline constexpr duration record_removal_delay =
    std::chrono::milliseconds(1500);

/// Returns the pause after a call that returned changes. Each heartbeat of a
/// leaf changes the store, so without a pause every call would return at once.
/// With the pause, and a single reader, every change still reaches all daemons
/// within its limit.
///
///     // 900 ms
///     pause_after_changes({.leaf_leaves = 3s, .configuration = 3s});
duration pause_after_changes(const propagation_limits& limits) noexcept;

/// Returns the time without a report that the store answers after which a
/// daemon reads the store itself: short enough that a configuration missed by
/// the current readers is still in force within its limit.
duration stale_after(const propagation_limits& limits) noexcept;

/// Returns how long the store may hold a call until something changes. A
/// single reader must get a response before `stale_after` ends and the other
/// daemons take over reading.
duration long_poll_timeout(const propagation_limits& limits) noexcept;

}  // namespace medlarloft::tier
