#include "request_pacer.hpp"

#include <algorithm>

namespace medlarloft::leafs {
namespace {

/// Daemons that were idle can use their turns together for this long.
constexpr duration max_turn = std::chrono::seconds(2);

duration scaled(duration value, double factor) {
  return std::chrono::duration_cast<duration>(value * factor);
}

}  // namespace

request_pacer::request_pacer(time_point now, duration period, double phase)
    : begin_(now - scaled(period, phase)), period_(period) {}

std::int64_t request_pacer::period_index(time_point now) const {
  return std::max<std::int64_t>((now - begin_) / period_, 0);
}

void request_pacer::set_period(time_point now, duration period) {
  if (period == period_) return;
  const std::int64_t index = period_index(now);
  const bool used = used_index_ >= index;
  const double passed =
      std::chrono::duration<double>(now - begin_ - index * period_) / period_;
  begin_ = now - scaled(period, passed);
  period_ = period;
  used_index_ = used ? 0 : -1;
}

bool request_pacer::admits(time_point now) const {
  const std::int64_t index = period_index(now);
  return used_index_ < index &&
         now - begin_ - index * period_ < std::min(period_, max_turn);
}

void request_pacer::consume(time_point now) {
  used_index_ = std::max(used_index_, period_index(now));
}

time_point request_pacer::next_turn(time_point now) const {
  if (admits(now)) return now;
  return begin_ + (period_index(now) + 1) * period_;
}

}  // namespace medlarloft::leafs
