#include <algorithm>
#include <cstring>

#include "medlarloft/fanout.hpp"

namespace medlarloft::fanout {

std::string merge_top_records(const std::vector<leaf_response>& parts,
                              std::size_t limit) {
  std::vector<std::string_view> records;
  for (const leaf_response& part : parts) {
    const std::string_view body = part.body;
    for (std::size_t at = 0; at + record_size <= body.size();
         at += record_size) {
      records.push_back(body.substr(at, record_size));
    }
  }
  const std::size_t kept = std::min(limit, records.size());
  const auto greater = [](std::string_view left, std::string_view right) {
    return std::memcmp(left.data(), right.data(), record_size) > 0;
  };
  std::ranges::partial_sort(
      records, records.begin() + static_cast<std::ptrdiff_t>(kept), greater);
  std::string merged;
  merged.reserve(kept * record_size);
  std::ranges::for_each_n(records.begin(), static_cast<std::ptrdiff_t>(kept),
                          [&merged](std::string_view one) { merged += one; });
  return merged;
}

}  // namespace medlarloft::fanout
