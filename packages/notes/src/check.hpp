#pragma once

/// Checks of meaning over a folded model.

#include "medlarloft/notes.hpp"

namespace medlarloft::notes::detail {

/// Returns the first thing that makes the model unusable.
note_result<void> check_meaning(const fleet_model& model);

}  // namespace medlarloft::notes::detail
