#pragma once

/// JSON forms of the things that a release note lists.

#include <nlohmann/json.hpp>

#include "medlarloft/notes.hpp"

namespace medlarloft::notes::detail {

/// Each reader expects a value that the schema has passed; it checks what the
/// schema cannot (units, addresses) and sets the digest.
note_result<void> read(const nlohmann::json& value, data_centre& into);
note_result<void> read(const nlohmann::json& value, daemon_entry& into);
note_result<void> read(const nlohmann::json& value, leaf& into);
note_result<void> read(const nlohmann::json& value, service& into);

nlohmann::json write(const data_centre& value);
nlohmann::json write(const daemon_entry& value);
nlohmann::json write(const leaf& value);
nlohmann::json write(const service& value);

std::string dump(const nlohmann::json& value);

}  // namespace medlarloft::notes::detail
