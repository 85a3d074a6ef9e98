#pragma once

/// The daemon's log on standard output. Writing never blocks: lines wait in a
/// bounded buffer, and what does not fit is counted and said.

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
    /// Lines of requests a second; those that failed have their own part.
    double failed_per_second = 60;
    double served_per_second = 2;
  };

  event_log(loop::timer_queue& timers, options settings);
  ~event_log();
  event_log(const event_log&) = delete;
  event_log& operator=(const event_log&) = delete;

  /// Writes one line.
  void write(std::string_view event, std::initializer_list<logs::field> fields);

  /// Whether the lines of a request with this end may be written; a request is
  /// logged whole or not at all.
  bool admits(time_point now, bool failed);

  /// Writes what is buffered, as far as the reader takes it.
  void flush();

 private:
  void tell_left_out();

  loop::timer_queue& timers_;
  options options_;
  std::string buffer_;
  std::uint64_t dropped_lines_ = 0;
  std::uint64_t dropped_requests_ = 0;
  time_point tell_left_out_at_{};
  token_bucket failed_;
  token_bucket served_;
  loop::timer_queue::handle timer_;
};

}  // namespace medlarloft::tier
