#include "leaf_choice.hpp"

#include <algorithm>

namespace medlarloft::leafs {
namespace {

/// With one preferred leaf, daemons that prefer the same leaf by chance load it
/// more than others; with many, each daemon knows little of their load.
constexpr std::size_t preferred_leafs = 2;
/// Another leaf must be cheaper by this factor.
constexpr double other_leaf_factor = 2.0;

}  // namespace

bool is_contended(const daemon_quota& quota, std::size_t slots) {
  const double choosers =
      std::min(static_cast<double>(quota.daemons), 1 / quota.fraction);
  return choosers > static_cast<double>(slots);
}

leaf_handle choose_leaf(std::span<leaf_candidate> candidates) {
  const auto failing =
      std::partition(candidates.begin(), candidates.end(),
                     [](const leaf_candidate& each) { return !each.failing; });
  const std::span<leaf_candidate> healthy(candidates.begin(), failing);
  const std::size_t preferred = std::min(preferred_leafs, healthy.size());
  std::ranges::nth_element(
      healthy, healthy.begin() + static_cast<std::ptrdiff_t>(preferred), {},
      &leaf_candidate::preference);
  for (leaf_candidate& other : candidates.subspan(preferred))
    other.cost *= other_leaf_factor;
  return std::ranges::min_element(candidates, {}, &leaf_candidate::cost)->leaf;
}

}  // namespace medlarloft::leafs
