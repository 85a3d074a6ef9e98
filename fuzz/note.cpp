/// Reads heads, notes and host lists. A note that can be folded into a model
/// has the same digest after writing the model as a whole note and folding
/// that.

#include "input.hpp"
#include "medlarloft/notes.hpp"
#include "medlarloft/sources.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using namespace medlarloft;
  const std::string_view text = fuzz::to_text(data, size);
  (void)notes::read_head(text);
  (void)sources::read_host_list(text);
  const auto note = notes::read_note(text);
  if (!note) return 0;
  const auto model = notes::fold(notes::fleet_model{}, note.value());
  if (!model) return 0;
  const auto refolded =
      notes::fold(notes::fleet_model{}, notes::whole_note(*model.value()));
  fuzz::require(refolded.has_value());
  fuzz::require(refolded.value()->digest == model.value()->digest);
  return 0;
}
