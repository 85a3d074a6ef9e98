#include "event_log.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <ctime>

namespace medlarloft::tier {
namespace {

constexpr duration flush_delay = std::chrono::milliseconds(50);
/// Interval between reports of dropped lines; the destructor reports the rest.
constexpr duration drop_report_period = std::chrono::seconds(1);

std::string utc_timestamp() {
  const auto now = std::chrono::floor<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
  const std::time_t seconds = std::chrono::system_clock::to_time_t(now);
  std::tm utc{};
  ::gmtime_r(&seconds, &utc);
  std::array<char, 32> text{};
  const std::size_t length =
      std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S.", &utc);
  const auto ms = now.time_since_epoch().count() % 1000;
  std::string millis = std::to_string(ms);
  return std::string(text.data(), length)
      .append(3 - millis.size(), '0')
      .append(millis)
      .append("Z");
}

}  // namespace

event_log::event_log(loop::timer_queue& timers, options settings)
    : timers_(timers),
      options_(std::move(settings)),
      failed_({.rate_per_second = options_.failed_per_second,
               .burst = options_.failed_per_second,
               .initial = options_.failed_per_second}),
      served_({.rate_per_second = options_.served_per_second,
               .burst = options_.served_per_second,
               .initial = options_.served_per_second}) {
  const int flags = ::fcntl(options_.descriptor, F_GETFL);
  if (flags >= 0) {
    static_cast<void>(
        ::fcntl(options_.descriptor, F_SETFL, flags | O_NONBLOCK));
  }
}

event_log::~event_log() {
  log_dropped();
  flush();
  timers_.cancel(timer_);
}

bool event_log::admit_request(time_point now, bool failed) {
  token_bucket& bucket = failed ? failed_ : served_;
  if (bucket.try_consume(now)) return true;
  ++dropped_requests_;
  return false;
}

void event_log::write(std::string_view event,
                      std::initializer_list<logs::field> fields) {
  std::string line = "time=" + utc_timestamp();
  line.append(" daemon=").append(options_.id).append(" ");
  line.append(logs::format_line(event, fields)).append("\n");
  if (buffer_.size() + line.size() > options_.max_buffered_bytes) {
    ++dropped_lines_;
  } else {
    buffer_ += line;
  }
  if (timer_.id != 0) return;
  timer_ = timers_.after(flush_delay, [this] {
    timer_ = {};
    flush();
  });
}

void event_log::flush() {
  while (!buffer_.empty()) {
    const auto written =
        ::write(options_.descriptor, buffer_.data(), buffer_.size());
    if (written <= 0) return;  // the reader is slow: next flush, or never
    buffer_.erase(0, static_cast<std::size_t>(written));
  }
  if (dropped_lines_ + dropped_requests_ == 0) return;
  const time_point now = steady_clock::now();
  if (now < next_drop_report_at_) return;
  next_drop_report_at_ = now + drop_report_period;
  log_dropped();
}

void event_log::log_dropped() {
  if (dropped_lines_ + dropped_requests_ == 0) return;
  const std::uint64_t lines = std::exchange(dropped_lines_, 0);
  const std::uint64_t requests = std::exchange(dropped_requests_, 0);
  write("log_left_out", {{"lines", lines}, {"requests", requests}});
}

}  // namespace medlarloft::tier
