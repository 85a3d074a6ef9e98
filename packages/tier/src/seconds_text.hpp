#pragma once

/// Durations as HTTP tells them.

#include <string>

#include "medlarloft/base.hpp"

namespace medlarloft::tier {

/// Returns whole seconds and a fraction of three digits: "0.250".
std::string seconds_text(duration value);

}  // namespace medlarloft::tier
