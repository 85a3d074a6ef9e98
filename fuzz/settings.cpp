/// Reads settings: they are valid, or the error has a text.

#include "medlarloft/settings.hpp"
#include "input.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using namespace medlarloft;
  const auto result = settings::parse(fuzz::to_text(data, size));
  fuzz::require(result.has_value() || !result.error().text().empty());
  return 0;
}
