/// Callers' requests. What was read writes and reads again to the same.

#include "input.hpp"
#include "medlarloft/front.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using namespace medlarloft;
  const std::string_view text = fuzz::text_of(data, size);
  (void)front::read_answer(text);
  (void)front::read_addresses(text);
  (void)front::parameter(text, "caller");
  const auto query = front::read_query(text);
  if (!query) return 0;
  const auto again = front::read_query(front::write_query(query.value()));
  fuzz::require(again.has_value());
  fuzz::require(again.value().key == query.value().key);
  return 0;
}
