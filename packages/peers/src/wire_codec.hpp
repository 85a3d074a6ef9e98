#pragma once

/// Turns the packages' own types into Cap'n Proto messages and back. Values
/// out of range throw, as malformed messages do.

#include <string>
#include <string_view>

#include "medlarloft/peers.hpp"
#include "wire.capnp.h"

namespace medlarloft::peers::detail {

void write(const timeline::stamp& from, wire::Stamp::Builder to);
timeline::stamp read(wire::Stamp::Reader from);

void write(const subquery& from, wire::Part::Builder to);
subquery read(wire::Part::Reader from);

void write(const subquery_answer& from, wire::PartAnswer::Builder to);
subquery_answer read(wire::PartAnswer::Reader from);

void write(const membership::message& from, wire::Message::Builder to);
membership::message read(wire::Message::Reader from);

/// Returns the text of a Cap'n Proto text field.
inline std::string text_of(capnp::Text::Reader from) {
  return {from.cStr(), from.size()};
}
inline std::string text_of(capnp::Data::Reader from) {
  return {from.asChars().begin(), from.size()};
}

/// For fields of any bytes; as Text they would end at the first zero.
inline kj::ArrayPtr<const kj::byte> bytes_of(std::string_view text) {
  return {reinterpret_cast<const kj::byte*>(text.data()), text.size()};
}

}  // namespace medlarloft::peers::detail
