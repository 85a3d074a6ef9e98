#include "change_codec.hpp"

#include <capnp/serialize.h>
#include <wire.capnp.h>

#include <algorithm>

namespace medlarloft::tier {
namespace {

namespace wire = peers::wire;

replica::change decode_change(wire::Change::Reader reader) {
  const auto key = reader.getKey();
  replica::change change{.key = {key.begin(), key.size()},
                         .changed_at = reader.getChangedAt()};
  if (reader.getRemoved()) return change;
  const auto value = reader.getValue();
  change.value.emplace(value.asChars().begin(), value.size());
  return change;
}

}  // namespace

std::string encode_changes(const std::vector<replica::change>& changes) {
  capnp::MallocMessageBuilder builder;
  auto list = builder.initRoot<wire::Changes>().initList(
      static_cast<unsigned>(changes.size()));
  for (unsigned i = 0; i < list.size(); ++i) {
    const replica::change& change = changes[i];
    list[i].setKey(change.key);
    list[i].setChangedAt(change.changed_at.packed());
    list[i].setRemoved(!change.value);
    if (!change.value) continue;
    list[i].setValue(
        kj::arrayPtr(reinterpret_cast<const kj::byte*>(change.value->data()),
                     change.value->size()));
  }
  const auto words = capnp::messageToFlatArray(builder);
  const auto chars = words.asChars();
  return {chars.begin(), chars.size()};
}

std::optional<std::vector<replica::change>> decode_changes(
    std::string_view bytes) {
  // Cap'n Proto needs aligned words; `bytes` may be unaligned.
  auto words = kj::heapArray<capnp::word>(bytes.size() / sizeof(capnp::word));
  std::copy_n(bytes.begin(), words.asBytes().size(),
              reinterpret_cast<char*>(words.begin()));
  try {
    capnp::FlatArrayMessageReader reader(words);
    const auto list = reader.getRoot<wire::Changes>().getList();
    std::vector<replica::change> changes;
    changes.reserve(list.size());
    for (const auto entry : list)
      changes.push_back(decode_change(entry));
    return changes;
  } catch (const kj::Exception&) {
    // Malformed payload of a peer; the caller ignores it.
    return std::nullopt;
  }
}

}  // namespace medlarloft::tier
