/// Settings of the daemon and the changes that daemons tell each other:
/// whatever comes is read whole or refused.

#include "medlarloft/tier.hpp"
#include "change_codec.hpp"
#include "input.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using namespace medlarloft;
  const std::string_view text = fuzz::text_of(data, size);
  const auto values = tier::read_settings(text);
  fuzz::require(values.has_value() || !values.error().text().empty());
  const auto changes = tier::decode_changes(text);
  if (!changes) return 0;
  fuzz::require(tier::decode_changes(tier::encode_changes(*changes)) ==
                changes);
  return 0;
}
