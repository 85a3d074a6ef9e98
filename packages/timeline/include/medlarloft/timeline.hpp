#pragma once

/// The event timeline of a deployment. Each process stamps its events with a
/// hybrid logical clock and keeps the latest in a ring buffer; a reader merges
/// the events of all processes in causal order.

#include <compare>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

#include "medlarloft/base.hpp"

namespace medlarloft::timeline {

/// A hybrid logical timestamp, ordered by wall time, then by counter.
struct hybrid_timestamp {
  /// Microseconds since the epoch.
  std::uint64_t wall = 0;
  std::uint32_t logical = 0;

  friend auto operator<=>(const hybrid_timestamp&,
                          const hybrid_timestamp&) = default;
};

/// A hybrid logical clock. Senders put `tick()` into each message and receivers
/// `merge()` it, so the timestamp of an effect is always later than that of its
/// cause. Thread-safe.
class hybrid_clock {
 public:
  /// Limit on how far a remote timestamp may be ahead of the local wall clock.
  static constexpr std::chrono::seconds max_drift{60};

  /// Returns the timestamp for a local event or an outgoing message.
  hybrid_timestamp tick(wall_time now);

  /// Advances the clock past a received timestamp. Returns false, and leaves
  /// the clock unchanged, if the timestamp is more than `max_drift` ahead.
  bool merge(wall_time now, hybrid_timestamp remote);

 private:
  std::mutex mutex_;
  hybrid_timestamp last_;
};

enum class event_kind : std::uint8_t {
  note_accepted,
  note_refused,
  source_failed,
  source_recovered,
  member_joined,
  member_suspected,
  member_left,
  member_failed,
  data_centre_out,
  data_centre_in,
  server_cold,
  server_warm,
  server_leaving,
  server_back,
  connection_silent,
  query_refused,
  hedge_sent,
  snapshot_rerun,
  view_expired,
  view_renewed,
  stop_began,
  stop_finished,
};

/// Returns the name written to logs and JSON.
std::string_view name_of(event_kind kind) noexcept;

/// One event of one process.
struct event {
  hybrid_timestamp timestamp;
  std::string process;
  event_kind kind{};
  /// The backend server, member, service or data centre concerned.
  std::string subject;
  std::string detail;
};

/// A ring buffer that overwrites the oldest events. Thread-safe.
class event_ring {
 public:
  explicit event_ring(std::size_t capacity) : capacity_(capacity) {}

  void add(event entry);
  /// Returns the buffered events, oldest first.
  std::vector<event> events() const;
  /// Returns the number of events overwritten.
  std::uint64_t dropped() const;

 private:
  mutable std::mutex mutex_;
  std::size_t capacity_;
  std::size_t next_ = 0;
  std::uint64_t dropped_ = 0;
  std::vector<event> events_;
};

/// The events reported by one process.
struct process_events {
  std::string process;
  std::vector<event> events;
};

/// Merges the events of several processes, ordered by timestamp, then by
/// process. Causes come before their effects.
std::vector<event> merge(std::vector<process_events> processes);

std::string to_text(const event& entry);
std::string to_json_line(const event& entry);

/// Converts to and from the JSON array in which a daemon reports its events.
std::string to_json(const std::vector<event>& events);
enum class timeline_errc { malformed };
using timeline_error = basic_error<timeline_errc>;
result<std::vector<event>, timeline_error> from_json(std::string_view text);

}  // namespace medlarloft::timeline
