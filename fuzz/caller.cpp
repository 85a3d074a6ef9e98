/// Reads requests of callers. A query that was read has the same key after
/// writing and reading it again.

#include "input.hpp"
#include "medlarloft/front.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using namespace medlarloft;
  const std::string_view text = fuzz::to_text(data, size);
  (void)front::read_answer(text);
  (void)front::read_addresses(text);
  (void)front::parameter(text, "caller");
  const auto query = front::read_query(text);
  if (!query) return 0;
  const auto reread = front::read_query(front::write_query(query.value()));
  fuzz::require(reread.has_value());
  fuzz::require(reread.value().key == query.value().key);
  return 0;
}
