#include <algorithm>
#include <set>

#include "medlarloft/membership.hpp"

namespace medlarloft::membership {

outputs group::receive(time_point now, const message& received) {
  outputs out;
  // The ping may be meant for a daemon that had this address before.
  const bool misdirected =
      received.kind == message_kind::ping && received.target != self_.id;
  if (misdirected || received.from == self_.id) return out;
  merge_updates(now, out, received);
  on_direct_contact(now, out, received.from);
  switch (received.kind) {
    case message_kind::ping: {
      const member_record* sender = find(received.from);
      if (sender == nullptr) break;
      message body = make_message(message_kind::ack);
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
      // Also sent without notes: its status tells the sender that it lacks
      // none.
      message body = make_message(message_kind::notes);
      body.notes = notes_reader_(received.version);
      send(out, *sender, std::move(body));
      break;
    }
    case message_kind::notes:
      on_notes(out, received);
      break;
    case message_kind::server_reports:
      out.server_reports = received.server_reports;
      break;
  }
  check_note_version(now, out, received);
  return out;
}

void group::on_join(time_point /*now*/, outputs& out, const message& received) {
  const member_record* sender = find(received.from);
  if (sender == nullptr) return;
  message body = make_message(message_kind::join_response);
  for (const member_record& record : members()) {
    if (record.state != member_state::unheard) body.updates.push_back(record);
  }
  body.notes = notes_reader_(received.version);
  out.messages.push_back({sender->control, sender->id, std::move(body)});
}

void group::on_notes(outputs& out, const message& received) {
  if (received.notes.empty()) return;
  out.notes.push_back({.from = received.from,
                       .root = received.root,
                       .chain = received.notes,
                       .digest = received.digest});
}

// Anti-entropy: a daemon that receives a newer version in any message requests
// the notes that it lacks. Notes whose base is newer than its own version don't
// help: an earlier message to it was lost.
void group::check_note_version(time_point now, outputs& out,
                               const message& received) {
  if (received.version == version_ && version_ != 0 &&
      received.digest != digest_) {
    out.conflicts.push_back({received.from, version_});
    return;
  }
  const bool usable_notes =
      !received.notes.empty() && received.notes.front().base <= version_;
  if (received.version <= version_ || usable_notes) return;
  const member_record* sender = find(received.from);
  if (sender != nullptr) request_notes_from(now, out, *sender);
}

// Several members that are ahead are not all asked for the same notes.
void group::request_notes_from(time_point now, outputs& out,
                               const member_record& member) {
  if (now < next_notes_request_) return;
  next_notes_request_ = now + options_.probe_timeout;
  out.messages.push_back(
      {member.control, member.id, make_message(message_kind::notes_request)});
}

outputs group::request_notes(time_point now) {
  outputs out;
  next_notes_request_ = now;
  std::vector<const member_record*> near;
  std::vector<const member_record*> far;
  for (const auto& [id, known] : members_) {
    if (!reachable(known.record)) continue;
    const bool same_centre = known.record.data_centre == self_.data_centre;
    (same_centre ? near : far).push_back(&known.record);
  }
  for (auto* candidates : {&near, &far}) {
    if (candidates->empty()) continue;
    // The members' order in the map depends on the library.
    std::ranges::sort(*candidates, {}, [](const auto* r) { return r->id; });
    const member_record& chosen =
        *(*candidates)[random_.below(candidates->size())];
    out.messages.push_back(
        {chosen.control, chosen.id, make_message(message_kind::notes_request)});
  }
  return out;
}

outputs group::set_note(time_point /*now*/, note_version version,
                        std::uint64_t digest, const std::string& root,
                        bool read_from_store) {
  outputs out;
  if (version != version_) {
    previous_version_ = version_;
    next_notes_request_ = {};
  }
  version_ = version;
  digest_ = digest;
  // The receivers most likely hold the previous version.
  if (!root.empty())
    send_to_tree(out, root, read_from_store, notes_reader_(previous_version_));
  return out;
}

outputs group::broadcast_status(const std::string& root, bool read_from_store) {
  outputs out;
  send_to_tree(out, root, read_from_store, {});
  return out;
}

// The daemons of a data centre, rotated so that the root comes first, form a
// complete tree in which each daemon forwards to its children. Daemons with
// differing member lists leave gaps, which anti-entropy closes.
std::set<std::string> group::tree_targets(const std::string& root,
                                          bool read_from_store) const {
  const std::vector<std::string> order =
      rendezvous_order(self_.data_centre, "notes");
  const auto root_position = std::ranges::find(order, root);
  const bool local_root = root_position != order.end();
  const std::size_t shift =
      local_root ? static_cast<std::size_t>(root_position - order.begin()) : 0;
  const std::size_t size = order.size();
  const auto self_position = std::ranges::find(order, self_.id);
  if (self_position == order.end()) return {};
  const std::size_t position =
      (static_cast<std::size_t>(self_position - order.begin()) + size - shift) %
      size;
  std::set<std::string> targets;
  for (std::size_t k = 1; k <= options_.tree_fanout; ++k) {
    const std::size_t child = position * options_.tree_fanout + k;
    if (child >= size) break;
    targets.insert(order[(child + shift) % size]);
  }
  // The daemon that read the store also sends to one daemon of each other data
  // centre, since the readers there may get no answer from the store.
  std::set<std::string> centres;
  if (read_from_store) {
    for (const auto& [id, known] : members_) {
      if (reachable(known.record)) centres.insert(known.record.data_centre);
    }
    centres.erase(self_.data_centre);
  }
  for (const std::string& centre : centres) {
    const std::vector<std::string> remote = rendezvous_order(centre, "notes");
    if (!remote.empty()) targets.insert(remote.front());
  }
  targets.erase(self_.id);
  return targets;
}

void group::send_to_tree(outputs& out, const std::string& root,
                         bool read_from_store,
                         const std::vector<notes::release_note>& chain) {
  for (const std::string& id : tree_targets(root, read_from_store)) {
    const member_record* record = find(id);
    if (record == nullptr) continue;
    message body = make_message(message_kind::notes);
    body.notes = chain;
    // A receiver in another data centre is the root of the tree there.
    const bool same_centre = record->data_centre == self_.data_centre;
    body.root = same_centre ? root : id;
    send(out, *record, std::move(body));
  }
}

outputs group::send_server_reports(time_point /*now*/, const std::string& to,
                                   std::vector<server_report> server_reports) {
  outputs out;
  const member_record* record = find(to);
  if (record == nullptr || !reachable(*record)) return out;
  message body = make_message(message_kind::server_reports);
  body.server_reports = std::move(server_reports);
  send(out, *record, std::move(body));
  return out;
}

}  // namespace medlarloft::membership
