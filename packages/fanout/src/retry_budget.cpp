#include <algorithm>
#include <numeric>

#include "medlarloft/fanout.hpp"

namespace medlarloft::fanout {
namespace {

/// A sliding window is counted in slices of this length.
constexpr duration slice_length = std::chrono::milliseconds(500);

}  // namespace

std::deque<retry_budget::slice>& retry_budget::current(
    time_point now, const std::string& service) {
  std::deque<slice>& slices = slices_[service];
  const std::int64_t number = now.time_since_epoch() / slice_length;
  if (slices.empty() || slices.back().number < number)
    slices.push_back({number});
  const std::int64_t window_slices = options_.window / slice_length;
  // Keep one slice more than fits into the window, as the newest slice is not
  // complete.
  while (slices.front().number < number - window_slices)
    slices.pop_front();
  return slices;
}

void retry_budget::add_request(time_point now, const std::string& service) {
  ++current(now, service).back().requests;
}

bool retry_budget::try_consume(time_point now, const std::string& service) {
  std::deque<slice>& slices = current(now, service);
  // Count extras in all slices but requests only in slices that lie entirely
  // within the window, so that the limit holds for every position of it.
  const auto extras = std::accumulate(
      slices.begin(), slices.end(), 0.0,
      [](double sum, const slice& each) { return sum + each.extras; });
  const std::int64_t window_start =
      slices.back().number - options_.window / slice_length;
  const auto requests = std::accumulate(
      slices.begin(), slices.end(), 0.0,
      [window_start](double sum, const slice& each) {
        return each.number > window_start ? sum + each.requests : sum;
      });
  const double slack = options_.slack * options_.slack_fraction;
  const double limit =
      options_.safety_factor * (options_.ratio * requests + slack);
  if (extras + 1 > limit) return false;
  ++slices.back().extras;
  return true;
}

}  // namespace medlarloft::fanout
