#pragma once

/// Converts the packages' types to Cap'n Proto messages and back. `read` throws
/// on enumerators out of range and on malformed messages.

#include <string>
#include <string_view>

#include "medlarloft/peers.hpp"
#include "wire.capnp.h"

namespace medlarloft::peers::detail {

void write(const timeline::hybrid_timestamp& from, wire::Stamp::Builder to);
timeline::hybrid_timestamp read(wire::Stamp::Reader from);

void write(const subquery& from, wire::Part::Builder to);
subquery read(wire::Part::Reader from);

void write(const subquery_answer& from, wire::PartAnswer::Builder to);
subquery_answer read(wire::PartAnswer::Reader from);

void write(const membership::message& from, wire::Message::Builder to);
membership::message read(wire::Message::Reader from);

/// `wire::Message::kind` of messages about quotas, beyond those of membership.
inline constexpr std::uint8_t quota_kind = 9;
static_assert(quota_kind >
              static_cast<int>(membership::message_kind::server_reports));
void write(const quota::quota_message& from, wire::Message::Builder to);
quota::quota_message read_quota(wire::Message::Reader from);

/// Returns the text of a Cap'n Proto text field.
inline std::string text_of(capnp::Text::Reader from) {
  return {from.cStr(), from.size()};
}
inline std::string text_of(capnp::Data::Reader from) {
  return {from.asChars().begin(), from.size()};
}

/// Returns bytes for a Data field; a Text field would end at the first zero.
inline kj::ArrayPtr<const kj::byte> bytes_of(std::string_view text) {
  return {reinterpret_cast<const kj::byte*>(text.data()), text.size()};
}

}  // namespace medlarloft::peers::detail
