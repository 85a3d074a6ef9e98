/// Note values: heads, notes and host lists. A note that folds can be written
/// whole and folds to the same digest again.

#include "input.hpp"
#include "medlarloft/notes.hpp"
#include "medlarloft/sources.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using namespace medlarloft;
  const std::string_view text = fuzz::text_of(data, size);
  (void)notes::read_head(text);
  (void)sources::read_host_list(text);
  const auto note = notes::read_note(text);
  if (!note) return 0;
  const auto model = notes::fold(notes::fleet_model{}, note.value());
  if (!model) return 0;
  const auto again =
      notes::fold(notes::fleet_model{}, notes::whole_note(*model.value()));
  fuzz::require(again.has_value());
  fuzz::require(again.value()->digest == model.value()->digest);
  return 0;
}
