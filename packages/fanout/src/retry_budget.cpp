#include <algorithm>
#include <numeric>

#include "medlarloft/fanout.hpp"

namespace medlarloft::fanout {
namespace {

/// A window is counted in slices of this length.
constexpr duration slice_length = std::chrono::milliseconds(500);

}  // namespace

std::deque<retry_budget::slice>& retry_budget::current(
    time_point now, const std::string& service) {
  std::deque<slice>& kept = slices_[service];
  const std::int64_t number = now.time_since_epoch() / slice_length;
  if (kept.empty() || kept.back().number < number) kept.push_back({number});
  const std::int64_t slices = options_.window / slice_length;
  // One more than the window holds, since the newest slice is not full.
  while (kept.front().number < number - slices)
    kept.pop_front();
  return kept;
}

void retry_budget::add_request(time_point now, const std::string& service) {
  ++current(now, service).back().requests;
}

bool retry_budget::try_consume(time_point now, const std::string& service) {
  std::deque<slice>& kept = current(now, service);
  // Extras are counted in all slices, requests only in those that lie wholly
  // inside of the window: the limit holds wherever the window begins.
  const auto extras = std::accumulate(
      kept.begin(), kept.end(), 0.0,
      [](double sum, const slice& each) { return sum + each.extras; });
  const std::int64_t whole =
      kept.back().number - options_.window / slice_length;
  const auto requests = std::accumulate(
      kept.begin(), kept.end(), 0.0, [whole](double sum, const slice& each) {
        return each.number > whole ? sum + each.requests : sum;
      });
  const double shared = options_.slack * options_.slack_fraction;
  const double limit =
      options_.safety_factor * (options_.ratio * requests + shared);
  if (extras + 1 > limit) return false;
  ++kept.back().extras;
  return true;
}

}  // namespace medlarloft::fanout
