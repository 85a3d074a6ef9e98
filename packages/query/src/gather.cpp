#include <algorithm>
#include <iterator>
#include <set>

#include "medlarloft/query.hpp"

namespace medlarloft::query {

bool range_set::overlaps(const key_range& range) const noexcept {
  const auto after =
      std::ranges::lower_bound(ranges_, range.from, {}, &key_range::to);
  // `after` may end exactly where the range begins, which is no overlap.
  return std::any_of(after, ranges_.end(), [&range](const key_range& held) {
    return held.from < range.to && range.from < held.to;
  });
}

bool range_set::add_disjoint(const key_range& range) {
  if (range.from >= range.to || overlaps(range)) return false;
  const auto at =
      std::ranges::upper_bound(ranges_, range.from, {}, &key_range::from);
  ranges_.insert(at, range);
  size_ += range.size();
  return true;
}

std::vector<key_range> range_set::missing_from(const key_range& range) const {
  std::vector<key_range> gaps;
  std::uint64_t next = range.from;
  for (const key_range& held : ranges_) {
    if (held.to <= next) continue;
    if (held.from >= range.to) break;
    if (held.from > next) gaps.push_back({next, held.from});
    next = held.to;
  }
  if (next < range.to) gaps.push_back({next, range.to});
  return gaps;
}

std::optional<merge_problem> gather::add(const key_range& shard,
                                         leaf_answer answer) {
  if (answer.snapshot != pinned_) return merge_problem::other_snapshot;
  const key_range& range = answer.range;
  if (range.from < shard.from || range.to > shard.to) {
    return merge_problem::outside_shard;
  }
  const bool stray = std::ranges::any_of(answer.rows, [&range](const row& r) {
    return r.position < range.from || r.position >= range.to;
  });
  if (stray) return merge_problem::stray_row;
  if (!covered_.add_disjoint(range)) return merge_problem::overlaps;
  // One leaf may repeat a row; two leafs cannot, as their ranges are disjoint.
  std::set<std::string_view> seen;
  std::vector<row> distinct;
  distinct.reserve(answer.rows.size());
  for (row& one : answer.rows) {
    if (!seen.insert(one.id).second) continue;
    distinct.push_back(one);
  }
  std::ranges::move(distinct, std::back_inserter(rows_));
  return std::nullopt;
}

std::vector<row> gather::take_rows() {
  const auto better = [](const row& left, const row& right) {
    if (left.score != right.score) return left.score > right.score;
    return left.id < right.id;
  };
  const std::size_t kept = std::min(row_limit_, rows_.size());
  std::ranges::partial_sort(
      rows_, rows_.begin() + static_cast<std::ptrdiff_t>(kept), better);
  rows_.resize(kept);
  return std::move(rows_);
}

}  // namespace medlarloft::query
