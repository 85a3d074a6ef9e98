#include <algorithm>
#include <cmath>

#include "medlarloft/query.hpp"

namespace medlarloft::query {
namespace {

// Step of the quantile estimate relative to its value.
constexpr double first_step = 0.5;
constexpr double least_step = 0.02;

}  // namespace

void extra_budget::earn(std::uint32_t answered) noexcept {
  tokens_ = std::min(options_.reserve, tokens_ + options_.share * answered);
}

bool extra_budget::take() noexcept {
  if (tokens_ < 1.0) return false;
  tokens_ -= 1.0;
  return true;
}

latency_quantile::latency_quantile(options settings)
    : options_(settings),
      estimate_(static_cast<double>(
          std::chrono::nanoseconds(settings.initial).count())) {}

void latency_quantile::add(duration sample) noexcept {
  const double value =
      static_cast<double>(std::chrono::nanoseconds(sample).count());
  ++samples_;
  const double step =
      std::max(least_step, first_step / static_cast<double>(samples_));
  const double moved = estimate_ * step;
  estimate_ += value > estimate_ ? moved * options_.quantile
                                 : -moved * (1.0 - options_.quantile);
}

duration latency_quantile::value() const noexcept {
  if (samples_ < options_.min_samples) return options_.initial;
  const auto learnt = std::chrono::duration_cast<duration>(
      std::chrono::nanoseconds(std::llround(estimate_)));
  return std::clamp(learnt, options_.floor, options_.ceiling);
}

void snapshot_tracker::heard(leaf_index leaf, snapshot_id oldest,
                             snapshot_id newest) {
  held_[leaf] = {oldest, newest};
}

snapshot_id snapshot_tracker::best(const notes::service& service) const {
  snapshot_id best = UINT64_MAX;
  for (const notes::shard& part : service.maps.back().shards) {
    snapshot_id newest = 0;
    for (const leaf_index leaf : part.leafs) {
      const auto found = held_.find(leaf);
      if (found != held_.end()) newest = std::max(newest, found->second.newest);
    }
    best = std::min(best, newest);
  }
  return best == UINT64_MAX ? 0 : best;
}

bool snapshot_tracker::lacks(leaf_index leaf, snapshot_id snapshot) const {
  const auto found = held_.find(leaf);
  if (found == held_.end() || snapshot == 0) return false;
  return snapshot > found->second.newest || snapshot < found->second.oldest;
}

}  // namespace medlarloft::query
