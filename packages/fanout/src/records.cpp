#include <algorithm>
#include <cstring>

#include "medlarloft/fanout.hpp"

namespace medlarloft::fanout {

std::string merge_top_records(const std::vector<leaf_response>& responses,
                              std::size_t limit) {
  std::vector<std::string_view> records;
  for (const leaf_response& response : responses) {
    const std::string_view body = response.body;
    for (std::size_t offset = 0; offset + record_size <= body.size();
         offset += record_size) {
      records.push_back(body.substr(offset, record_size));
    }
  }
  const std::size_t count = std::min(limit, records.size());
  const auto greater = [](std::string_view left, std::string_view right) {
    return std::memcmp(left.data(), right.data(), record_size) > 0;
  };
  std::ranges::partial_sort(
      records, records.begin() + static_cast<std::ptrdiff_t>(count), greater);
  std::string merged;
  merged.reserve(count * record_size);
  std::ranges::for_each_n(
      records.begin(), static_cast<std::ptrdiff_t>(count),
      [&merged](std::string_view record) { merged += record; });
  return merged;
}

}  // namespace medlarloft::fanout
