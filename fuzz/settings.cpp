/// Settings: whatever comes is read whole or refused with a text.

#include "medlarloft/settings.hpp"
#include "input.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using namespace medlarloft;
  const auto value = settings::read(fuzz::text_of(data, size));
  fuzz::require(value.has_value() || !value.error().text().empty());
  return 0;
}
