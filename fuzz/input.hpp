#pragma once

/// Helpers of the fuzz targets.

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

namespace medlarloft::fuzz {

inline std::string_view to_text(const std::uint8_t* data, std::size_t size) {
  return {reinterpret_cast<const char*>(data), size};
}

/// Aborts, which libFuzzer reports as a crash, if the condition is false.
inline void require(bool condition) {
  if (!condition) std::abort();
}

}  // namespace medlarloft::fuzz
