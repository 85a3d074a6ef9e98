#pragma once

/// A time line of events over all processes: typed events stamped by a hybrid
/// logical clock, kept in a bounded ring, merged in causal order on reading.

#include <compare>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

#include "medlarloft/base.hpp"

namespace medlarloft::timeline {

/// A hybrid logical timestamp: wall microseconds, then a counter.
struct stamp {
  std::uint64_t wall = 0;
  std::uint32_t logical = 0;

  friend auto operator<=>(const stamp&, const stamp&) = default;
};

/// A hybrid logical clock. Messages carry `tick()` and receivers `merge()` it,
/// so that an effect is always stamped after its cause. Thread safe.
class hybrid_clock {
 public:
  /// A remote stamp further ahead than this does not move the clock.
  static constexpr std::chrono::seconds max_drift{60};

  /// Returns the stamp of a local event or of a message to send.
  stamp tick(wall_time now);

  /// Takes in a received stamp; returns false when it was too far ahead.
  bool merge(wall_time now, stamp remote);

 private:
  std::mutex mutex_;
  stamp last_;
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

std::string_view name_of(event_kind kind) noexcept;

/// One event of one process.
struct event {
  stamp at;
  std::string process;
  event_kind kind{};
  /// What the event is about: a server, member, service or data centre.
  std::string subject;
  std::string detail;
};

/// A bounded ring of events; the oldest give way. Thread safe.
class ring {
 public:
  explicit ring(std::size_t capacity) : capacity_(capacity) {}

  void add(event entry);
  /// Returns the events kept, oldest first.
  std::vector<event> events() const;
  /// Returns how many events gave way to newer ones.
  std::uint64_t dropped() const;

 private:
  mutable std::mutex mutex_;
  std::size_t capacity_;
  std::size_t next_ = 0;
  std::uint64_t dropped_ = 0;
  std::vector<event> events_;
};

/// What one process answered when asked for its time line.
struct report {
  std::string process;
  std::vector<event> events;
};

/// Merges reports by stamp, then process; causes come before effects.
std::vector<event> merge(std::vector<report> reports);

std::string to_text(const event& entry);
std::string to_json_line(const event& entry);

/// Writes and reads the JSON array in which a daemon reports its events.
std::string to_json(const std::vector<event>& events);
enum class timeline_errc { malformed };
using timeline_error = basic_error<timeline_errc>;
result<std::vector<event>, timeline_error> from_json(std::string_view text);

}  // namespace medlarloft::timeline
