/// Messages of peers: decoded or refused, and what was decoded encodes again.

#include "input.hpp"
#include "medlarloft/peers.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using namespace medlarloft;
  const auto message = peers::decode(fuzz::text_of(data, size));
  if (!message) return 0;
  const auto again = peers::decode(peers::encode(message.value()));
  fuzz::require(again.has_value());
  fuzz::require(again.value().updates == message.value().updates);
  return 0;
}
