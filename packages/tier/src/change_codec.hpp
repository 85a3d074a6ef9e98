#pragma once

/// Changes of the store as daemons tell them to each other: a list of key,
/// revision and value.

#include <optional>
#include <string>
#include <vector>

#include "medlarloft/replica.hpp"

namespace medlarloft::tier {

std::string write_changes(const std::vector<replica::change>& changes);

/// Returns nothing if the text is no list of changes.
std::optional<std::vector<replica::change>> read_changes(
    const std::string& text);

}  // namespace medlarloft::tier
