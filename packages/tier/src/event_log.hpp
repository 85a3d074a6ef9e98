#pragma once

/// The daemon's log on standard output. Writing never blocks: lines are kept
/// in a bounded buffer, and dropped lines are counted and logged.

#include <initializer_list>
#include <string>
#include <string_view>

#include "medlarloft/logs.hpp"
#include "medlarloft/loop.hpp"

namespace medlarloft::tier {

class event_log {
 public:
  struct options {
    std::string id;
    int descriptor = 1;
    std::size_t max_buffered_bytes = std::size_t{256} << 10;
    /// Requests logged a second; failed ones have a limit of their own.
    double failed_per_second = 60;
    double served_per_second = 2;
  };

  event_log(loop::timer_queue& timers, options settings);
  ~event_log();
  event_log(const event_log&) = delete;
  event_log& operator=(const event_log&) = delete;

  void write(std::string_view event, std::initializer_list<logs::field> fields);

  /// Whether a request may be logged under the rate limits. All lines of a
  /// request are written, or none.
  bool admit_request(time_point now, bool failed);

  /// Writes buffered lines until the descriptor would block.
  void flush();

 private:
  void log_dropped();

  loop::timer_queue& timers_;
  options options_;
  std::string buffer_;
  std::uint64_t dropped_lines_ = 0;
  std::uint64_t dropped_requests_ = 0;
  time_point next_drop_report_at_{};
  token_bucket failed_;
  token_bucket served_;
  loop::timer_queue::handle timer_;
};

}  // namespace medlarloft::tier
