/// Reads responses of backend servers and merges them like the product. The
/// merged coverage never exceeds the shard.

#include "input.hpp"
#include "medlarloft/front.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using namespace medlarloft;
  const std::string_view text = fuzz::to_text(data, size);
  (void)front::read_leaf_request(text);
  (void)front::read_health(text);
  auto reply = front::read_leaf_reply(text);
  if (!reply) return 0;
  constexpr notes::key_range shard{0, 1000};
  query::gather merged(reply.value().answer.snapshot, 10);
  (void)merged.add(shard, reply.value().answer);
  (void)merged.add(shard, reply.value().answer);
  fuzz::require(merged.covered().size() <= shard.size());
  return 0;
}
