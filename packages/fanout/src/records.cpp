#include <algorithm>
#include <cstring>

#include "medlarloft/fanout.hpp"

namespace medlarloft::fanout {

std::string greatest_records(const std::vector<leaf_answer>& parts,
                             std::size_t limit) {
  std::vector<std::string_view> records;
  for (const leaf_answer& part : parts) {
    const std::string_view body = part.body;
    for (std::size_t at = 0; at + record_bytes <= body.size();
         at += record_bytes) {
      records.push_back(body.substr(at, record_bytes));
    }
  }
  const std::size_t kept = std::min(limit, records.size());
  const auto greater = [](std::string_view left, std::string_view right) {
    return std::memcmp(left.data(), right.data(), record_bytes) > 0;
  };
  std::ranges::partial_sort(
      records, records.begin() + static_cast<std::ptrdiff_t>(kept), greater);
  std::string merged;
  merged.reserve(kept * record_bytes);
  std::ranges::for_each_n(records.begin(), static_cast<std::ptrdiff_t>(kept),
                          [&merged](std::string_view one) { merged += one; });
  return merged;
}

}  // namespace medlarloft::fanout
