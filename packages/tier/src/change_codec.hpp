#pragma once

/// Changes of the store as daemons tell them to each other, in Cap'n Proto: a
/// list of key, revision and value.

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "medlarloft/replica.hpp"

namespace medlarloft::tier {

std::string encode_changes(const std::vector<replica::change>& changes);

/// Returns nothing if the text is no list of changes.
std::optional<std::vector<replica::change>> decode_changes(
    std::string_view text);

}  // namespace medlarloft::tier
