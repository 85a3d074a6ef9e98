#pragma once

/// Encodes changes of the store for the messages between daemons, as a Cap'n
/// Proto list of key, revision and value.

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "medlarloft/replica.hpp"

namespace medlarloft::tier {

std::string encode_changes(const std::vector<replica::change>& changes);

/// Returns nothing if `bytes` is not a valid list of changes.
std::optional<std::vector<replica::change>> decode_changes(
    std::string_view bytes);

}  // namespace medlarloft::tier
