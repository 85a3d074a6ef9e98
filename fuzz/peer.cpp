/// Decodes messages of peers. A decoded message has the same updates after
/// encoding and decoding it.

#include "input.hpp"
#include "medlarloft/peers.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using namespace medlarloft;
  const auto message = peers::decode(fuzz::to_text(data, size));
  if (!message) return 0;
  const auto decoded_again = peers::decode(peers::encode(message.value()));
  fuzz::require(decoded_again.has_value());
  fuzz::require(decoded_again.value().updates == message.value().updates);
  return 0;
}
