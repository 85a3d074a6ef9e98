/// Reads settings of the daemon, and the changes that daemons send to each
/// other. Settings are valid or the error has a text; changes are the same
/// after writing and reading them.

#include "medlarloft/tier.hpp"
#include "change_codec.hpp"
#include "input.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using namespace medlarloft;
  const std::string_view text = fuzz::to_text(data, size);
  const auto settings = tier::read_settings(text);
  fuzz::require(settings.has_value() || !settings.error().text().empty());
  const auto changes = tier::decode_changes(text);
  if (!changes) return 0;
  fuzz::require(tier::decode_changes(tier::encode_changes(*changes)) ==
                changes);
  return 0;
}
