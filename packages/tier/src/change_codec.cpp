#include "change_codec.hpp"

#include <capnp/serialize.h>
#include <wire.capnp.h>

#include <algorithm>

namespace medlarloft::tier {
namespace {

namespace wire = peers::wire;

replica::change read_change(wire::Change::Reader from) {
  const auto key = from.getKey();
  replica::change read{.key = {key.begin(), key.size()},
                       .changed_at = from.getChangedAt()};
  if (from.getRemoved()) return read;
  const auto value = from.getValue();
  read.value.emplace(value.asChars().begin(), value.size());
  return read;
}

}  // namespace

std::string encode_changes(const std::vector<replica::change>& changes) {
  capnp::MallocMessageBuilder builder;
  auto list = builder.initRoot<wire::Changes>().initList(
      static_cast<unsigned>(changes.size()));
  for (unsigned i = 0; i < list.size(); ++i) {
    const replica::change& each = changes[i];
    list[i].setKey(each.key);
    list[i].setChangedAt(each.changed_at);
    list[i].setRemoved(!each.value);
    if (!each.value) continue;
    list[i].setValue(
        kj::arrayPtr(reinterpret_cast<const kj::byte*>(each.value->data()),
                     each.value->size()));
  }
  const auto words = capnp::messageToFlatArray(builder);
  const auto chars = words.asChars();
  return {chars.begin(), chars.size()};
}

std::optional<std::vector<replica::change>> decode_changes(
    std::string_view text) {
  // Words must be aligned, which the text need not be.
  auto words = kj::heapArray<capnp::word>(text.size() / sizeof(capnp::word));
  std::copy_n(text.begin(), words.asBytes().size(),
              reinterpret_cast<char*>(words.begin()));
  try {
    capnp::FlatArrayMessageReader reader(words);
    const auto list = reader.getRoot<wire::Changes>().getList();
    std::vector<replica::change> changes;
    changes.reserve(list.size());
    for (const auto each : list)
      changes.push_back(read_change(each));
    return changes;
  } catch (const kj::Exception&) {
    // A peer's text that is no list of changes; the caller passes it over.
    return std::nullopt;
  }
}

}  // namespace medlarloft::tier
