#pragma once

/// Formats durations for HTTP headers.

#include <string>

#include "medlarloft/base.hpp"

namespace medlarloft::tier {

/// Returns seconds with three decimals: "0.250".
std::string format_seconds(duration value);

}  // namespace medlarloft::tier
