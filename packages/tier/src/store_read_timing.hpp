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
/// before its deadline.
///
///     // 900 ms
///     pause_after_changes({.leaf_leaves = 3s, .configuration = 3s});
duration pause_after_changes(const propagation_deadlines& deadlines) noexcept;

/// Returns the time without a report that the store answers after which a
/// daemon reads the store itself: short enough that a configuration missed by
/// the current readers is still in force before its deadline.
duration stale_after(const propagation_deadlines& deadlines) noexcept;

/// Returns how long the store may hold a call until something changes. A
/// single reader must get an answer before the other daemons consider the
/// store unread.
duration long_poll_timeout(const propagation_deadlines& deadlines) noexcept;

}  // namespace medlarloft::tier
