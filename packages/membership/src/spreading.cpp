#include <algorithm>
#include <set>

#include "medlarloft/membership.hpp"

namespace medlarloft::membership {

outputs group::receive(time_point now, const message& received) {
  outputs out;
  // A ping for a daemon that had this address before is not for this one.
  const bool misdirected =
      received.kind == message_kind::ping && received.target != self_.id;
  if (misdirected || received.from == self_.id) return out;
  take_updates(now, out, received);
  heard_directly(now, out, received.from);
  switch (received.kind) {
    case message_kind::ping: {
      const member_record* sender = find(received.from);
      if (sender == nullptr) break;
      message body = make(message_kind::ack);
      body.sequence = received.sequence;
      send(out, *sender, std::move(body));
      break;
    }
    case message_kind::ack:
    case message_kind::nack:
      on_ack(now, out, received);
      break;
    case message_kind::ping_req:
      on_ping_req(now, out, received);
      break;
    case message_kind::join:
      on_join(now, out, received);
      break;
    case message_kind::join_response:
      joined_ = true;
      on_notes(out, received);
      break;
    case message_kind::notes_request: {
      const member_record* sender = find(received.from);
      if (sender == nullptr) break;
      message body = make(message_kind::notes);
      body.notes = held_(received.version);
      if (!body.notes.empty()) send(out, *sender, std::move(body));
      break;
    }
    case message_kind::notes:
      on_notes(out, received);
      break;
    case message_kind::server_reports:
      out.server_reports = received.server_reports;
      break;
  }
  compare_note(out, received);
  return out;
}

void group::on_join(time_point /*now*/, outputs& out, const message& received) {
  const member_record* sender = find(received.from);
  if (sender == nullptr) return;
  message body = make(message_kind::join_response);
  for (const member_record& record : members()) {
    if (record.state != member_state::unheard) body.updates.push_back(record);
  }
  body.notes = held_(received.version);
  out.messages.push_back({sender->control, sender->id, std::move(body)});
}

void group::on_notes(outputs& out, const message& received) {
  if (received.notes.empty()) return;
  out.notes.push_back({.from = received.from,
                       .root = received.root,
                       .chain = received.notes,
                       .digest = received.digest});
}

// Anti-entropy: whoever is behind asks, whatever message showed it.
void group::compare_note(outputs& out, const message& received) {
  if (received.version == version_ && version_ != 0 &&
      received.digest != digest_) {
    out.conflicts.push_back({received.from, version_});
    return;
  }
  const bool brings = !received.notes.empty();
  if (received.version <= version_ || brings) return;
  const member_record* sender = find(received.from);
  if (sender == nullptr) return;
  out.messages.push_back(
      {sender->control, sender->id, make(message_kind::notes_request)});
}

outputs group::set_note(time_point /*now*/, note_version version,
                        std::uint64_t digest, const std::string& root,
                        bool read_from_store) {
  outputs out;
  if (version != version_) previous_ = version_;
  version_ = version;
  digest_ = digest;
  // The receiver most likely holds the version before this one.
  if (!root.empty()) push(out, root, read_from_store, held_(previous_));
  return out;
}

outputs group::broadcast_status(const std::string& root, bool read_from_store) {
  outputs out;
  push(out, root, read_from_store, {});
  return out;
}

// The daemons of a data centre, rotated so that the root comes first, form a
// complete tree; each passes the note to its children in it. Views that
// differ leave gaps, which anti-entropy closes.
std::set<std::string> group::below(const std::string& root,
                                   bool read_from_store) const {
  const std::vector<std::string> order =
      rendezvous_order(self_.data_centre, "notes");
  const auto root_at = std::ranges::find(order, root);
  const bool local_root = root_at != order.end();
  const std::size_t shift =
      local_root ? static_cast<std::size_t>(root_at - order.begin()) : 0;
  const std::size_t size = order.size();
  const auto self_at = std::ranges::find(order, self_.id);
  if (self_at == order.end()) return {};
  const std::size_t position =
      (static_cast<std::size_t>(self_at - order.begin()) + size - shift) % size;
  std::set<std::string> targets;
  for (std::size_t k = 1; k <= options_.tree_fanout; ++k) {
    const std::size_t child = position * options_.tree_fanout + k;
    if (child >= size) break;
    targets.insert(order[(child + shift) % size]);
  }
  // The first to read it tells one daemon of each other data centre, which
  // may have no reader of its own that works.
  std::set<std::string> centres;
  if (read_from_store) {
    for (const auto& [id, known] : members_) {
      if (reachable(known.record)) centres.insert(known.record.data_centre);
    }
    centres.erase(self_.data_centre);
  }
  for (const std::string& centre : centres) {
    const std::vector<std::string> there = rendezvous_order(centre, "notes");
    if (!there.empty()) targets.insert(there.front());
  }
  targets.erase(self_.id);
  return targets;
}

void group::push(outputs& out, const std::string& root, bool read_from_store,
                 const std::vector<notes::release_note>& held) {
  for (const std::string& id : below(root, read_from_store)) {
    const member_record* record = find(id);
    if (record == nullptr) continue;
    message body = make(message_kind::notes);
    body.notes = held;
    // In another data centre the receiver is the root of its own tree.
    const bool same = record->data_centre == self_.data_centre;
    body.root = same ? root : id;
    send(out, *record, std::move(body));
  }
}

outputs group::send_server_reports(time_point /*now*/, const std::string& to,
                                   std::vector<server_report> server_reports) {
  outputs out;
  const member_record* record = find(to);
  if (record == nullptr || !reachable(*record)) return out;
  message body = make(message_kind::server_reports);
  body.server_reports = std::move(server_reports);
  send(out, *record, std::move(body));
  return out;
}

}  // namespace medlarloft::membership
