#pragma once

/// Shared by the fuzz targets.

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

namespace medlarloft::fuzz {

inline std::string_view text_of(const std::uint8_t* data, std::size_t size) {
  return {reinterpret_cast<const char*>(data), size};
}

/// Ends the run when something that must hold does not.
inline void require(bool holds) {
  if (!holds) std::abort();
}

}  // namespace medlarloft::fuzz
