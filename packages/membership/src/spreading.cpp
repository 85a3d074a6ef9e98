#include <algorithm>
#include <numeric>
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
      if (received.root.empty() && received.from == requested_from_)
        next_notes_request_ = {};
      break;
    case message_kind::server_reports:
      out.server_reports = received.server_reports;
      break;
  }
  check_note_version(now, out, received);
  if (received.notes.empty()) request_offered(now, out);
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

// Requested notes are forwarded along the tree in which they were offered.
void group::on_notes(outputs& out, const message& received) {
  if (received.notes.empty()) return;
  const bool offered = offer_ && offer_->version <= received.version;
  const std::string& root =
      received.root.empty() && offered ? offer_->root : received.root;
  out.notes.push_back({.from = received.from,
                       .root = root,
                       .chain = received.notes,
                       .digest = received.digest});
}

void group::take_offer(const message& received) {
  if (offer_ && received.version < offer_->version) return;
  offer_ = {.version = received.version,
            .from = received.from,
            .root = received.root};
}

// Anti-entropy: a daemon that receives a newer version in any message requests
// the notes that it lacks, unless they are likely to be on their way. Notes
// whose base is newer than its own version don't help: an earlier message to it
// was lost.
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
  if (!behind_since_) behind_since_ = now;
  const bool offered = received.kind == message_kind::notes &&
                       received.notes.empty() && !received.root.empty();
  if (offered) take_offer(received);
  if (offered || now < *behind_since_ + options_.repair_delay) return;
  const member_record* sender = find(received.from);
  if (sender != nullptr) request_notes_from(now, out, *sender);
}

// Several members that are ahead are not all asked for the same notes.
void group::request_notes_from(time_point now, outputs& out,
                               const member_record& member) {
  if (now < next_notes_request_) return;
  next_notes_request_ = now + options_.notes_timeout;
  requested_from_ = member.id;
  out.messages.push_back(
      {member.control, member.id, make_message(message_kind::notes_request)});
}

outputs group::request_notes(time_point now) {
  outputs out;
  // What was requested may still be on its way.
  if (now < next_notes_request_) return out;
  std::vector<const member_record*> near;
  std::vector<const member_record*> far;
  for (const auto& [id, known] : members_) {
    if (!reachable(known.record)) continue;
    const bool same_centre = known.record.data_centre == self_.data_centre;
    (same_centre ? near : far).push_back(&known.record);
  }
  request_far_next_ = !request_far_next_;
  const bool ask_far = near.empty() || (!request_far_next_ && !far.empty());
  auto& candidates = ask_far ? far : near;
  if (candidates.empty()) return out;
  // The members' order in the map depends on the library.
  std::ranges::sort(candidates, {}, [](const auto* r) { return r->id; });
  request_notes_from(now, out, *candidates[random_.below(candidates.size())]);
  return out;
}

outputs group::set_note(time_point now, note_version version,
                        std::uint64_t digest, const std::string& root,
                        bool read_from_store) {
  outputs out;
  if (version != version_) {
    previous_version_ = version_;
    next_notes_request_ = {};
    behind_since_.reset();
  }
  version_ = version;
  digest_ = digest;
  // The receivers most likely hold the previous version.
  if (!root.empty())
    send_to_tree(out, root, read_from_store, notes_reader_(previous_version_));
  request_offered(now, out);
  return out;
}

// Notes may have been offered while others were requested.
void group::request_offered(time_point now, outputs& out) {
  if (!offer_ || offer_->version <= version_) return;
  const member_record* member = find(offer_->from);
  if (member != nullptr) request_notes_from(now, out, *member);
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
  const auto bytes = std::accumulate(
      chain.begin(), chain.end(), std::size_t{0},
      [](std::size_t sum, const auto& note) { return sum + note.text.size(); });
  const bool push = bytes <= options_.max_pushed_bytes;
  for (const std::string& id : tree_targets(root, read_from_store)) {
    const member_record* record = find(id);
    if (record == nullptr) continue;
    message body = make_message(message_kind::notes);
    if (push) body.notes = chain;
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
