#include <algorithm>
#include <numeric>
#include <set>

#include "medlarloft/membership.hpp"

namespace medlarloft::membership {
namespace {

/// Members with notes that are named to others. More would not help: each of
/// them names further ones.
constexpr std::size_t max_named_holders = 16;

std::size_t text_bytes(const std::vector<notes::release_note>& chain) {
  return std::accumulate(
      chain.begin(), chain.end(), std::size_t{0},
      [](std::size_t sum, const auto& note) { return sum + note.text.size(); });
}

}  // namespace

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
    case message_kind::notes_request:
      on_notes_request(now, out, received);
      break;
    case message_kind::notes:
      on_notes(out, received);
      if (received.root.empty() && received.from == requested_from_) {
        next_notes_request_ = {};
        if (received.notes.empty()) on_turned_away(now, received);
      }
      break;
    case message_kind::server_reports:
      out.server_reports = received.server_reports;
      break;
  }
  if (received.version != 0) add_named_holder(received.from);
  check_note_version(now, out, received);
  if (received.notes.empty()) {
    request_offered(now, out);
    request_first_notes(now, out);
  }
  return out;
}

// Large notes in the response would be sent to a new daemon by each seed, and
// by each seed to all daemons when all start at once. The new daemon requests
// them from one member. A daemon that joins again after a pause lacks only a
// few.
void group::on_join(time_point /*now*/, outputs& out, const message& received) {
  const member_record* sender = find(received.from);
  if (sender == nullptr) return;
  message body = make_message(message_kind::join_response);
  for (const member_record& record : members()) {
    if (record.state != member_state::unheard) body.updates.push_back(record);
  }
  const bool first = received.version == 0;
  if (!first || !notes_are_large_) body.notes = notes_reader_(received.version);
  if (first && text_bytes(body.notes) > options_.max_pushed_bytes) {
    notes_are_large_ = true;
    body.notes.clear();
  }
  out.messages.push_back({sender->control, sender->id, std::move(body)});
}

// Also answered without notes: the status tells the sender that it lacks none,
// or that it must ask another member.
void group::on_notes_request(time_point now, outputs& out,
                             const message& received) {
  const member_record* sender = find(received.from);
  if (sender == nullptr) return;
  message body = make_message(message_kind::notes);
  const bool first = received.version == 0 && version_ != 0;
  if (first && !begin_first_transfer(now, received.from)) {
    name_holder(body, received.from);
  } else {
    body.notes = notes_reader_(received.version);
  }
  if (first && !body.notes.empty()) {
    notes_are_large_ = text_bytes(body.notes) > options_.max_pushed_bytes;
    // Small notes need no transfer.
    if (!notes_are_large_) first_transfers_.erase(received.from);
  }
  send(out, *sender, std::move(body));
}

// Transfers to many daemons share the link, so that none of them ends in time.
bool group::begin_first_transfer(time_point now, const std::string& id) {
  std::erase_if(first_transfers_, [&](const auto& transfer) {
    return now - transfer.second >= options_.transfer_timeout;
  });
  const bool free = first_transfers_.contains(id) ||
                    first_transfers_.size() < options_.max_first_transfers;
  if (free) first_transfers_[id] = now;
  return free;
}

void group::on_notes_delivered(const std::string& id) {
  if (first_transfers_.erase(id) != 0) add_named_holder(id);
}

void group::add_named_holder(const std::string& id) {
  std::erase(named_holders_, id);
  if (named_holders_.size() >= max_named_holders)
    named_holders_.erase(named_holders_.begin());
  named_holders_.push_back(id);
}

void group::name_holder(message& body, const std::string& requester) {
  std::vector<const member_record*> candidates;
  for (const std::string& id : named_holders_) {
    const member_record* record = find(id);
    const bool usable =
        record != nullptr && record->state == member_state::alive;
    if (usable && id != requester) candidates.push_back(record);
  }
  if (candidates.empty()) return;
  const member_record& named = *candidates[random_.below(candidates.size())];
  body.target = named.id;
  body.updates.push_back(named);
}

void group::add_holder(const std::string& id) {
  if (id.empty() || id == self_.id) return;
  if (std::ranges::find(holders_, id) == holders_.end()) holders_.push_back(id);
}

void group::on_turned_away(time_point now, const message& received) {
  if (version_ != 0) return;
  busy_holders_.insert(received.from);
  add_holder(received.target);
  const bool all_busy = std::ranges::all_of(
      holders_, [this](const auto& id) { return busy_holders_.contains(id); });
  if (!all_busy) return;
  busy_holders_.clear();
  next_notes_request_ = now + options_.first_request_retry;
}

// A daemon without notes cannot serve, so it asks the first member of which it
// knows that it has some, and others in turn while those are busy.
void group::request_first_notes(time_point now, outputs& out) {
  if (version_ != 0 || holders_.empty() || now < next_notes_request_) return;
  std::vector<const member_record*> candidates;
  for (const std::string& id : holders_) {
    const member_record* record = find(id);
    const bool usable = record != nullptr && reachable(*record);
    if (usable && !busy_holders_.contains(id)) candidates.push_back(record);
  }
  if (candidates.empty()) {
    busy_holders_.clear();
    next_notes_request_ = now + options_.first_request_retry;
    return;
  }
  request_notes_from(now, out, *candidates[random_.below(candidates.size())]);
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
  if (version_ == 0) add_holder(received.from);
  const bool offered = received.kind == message_kind::notes &&
                       received.notes.empty() && !received.root.empty();
  if (offered) take_offer(received);
  if (offered || version_ == 0 || now < *behind_since_ + options_.repair_delay)
    return;
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
    holders_.clear();
    busy_holders_.clear();
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
  if (version_ == 0 || !offer_ || offer_->version <= version_) return;
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
  const bool push = text_bytes(chain) <= options_.max_pushed_bytes;
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

outputs group::send_status() {
  outputs out;
  for (const auto& [id, known] : members_) {
    const member_record& record = known.record;
    if (record.data_centre == self_.data_centre && reachable(record))
      send(out, record, make_message(message_kind::server_reports));
  }
  return out;
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
