#include "format_seconds.hpp"

namespace medlarloft::tier {

std::string format_seconds(duration value) {
  const auto ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
  std::string fraction = std::to_string(ms % 1000);
  fraction.insert(0, 3 - fraction.size(), '0');
  return std::to_string(ms / 1000) + "." + fraction;
}

}  // namespace medlarloft::tier
