#include <array>

#include "medlarloft/leafs.hpp"

namespace medlarloft::leafs {

std::string_view name_of(attempt_outcome outcome) noexcept {
  constexpr std::array<std::string_view, 8> names{
      "answered", "failed", "shed",          "misdirected",
      "lost",     "silent", "no_connection", "abandoned"};
  return names[static_cast<std::size_t>(outcome)];
}

std::string_view name_of(unavailable_reason reason) noexcept {
  constexpr std::array<std::string_view, 6> names{
      "none_registered", "all_tried",   "all_dark",
      "all_paused",      "all_limited", "all_busy"};
  return names[static_cast<std::size_t>(reason)];
}

}  // namespace medlarloft::leafs
