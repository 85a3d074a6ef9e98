#include "change_distribution.hpp"

#include <iterator>
#include <utility>

#include "change_codec.hpp"

namespace medlarloft::tier {
namespace {

/// How long messages may be delivered late after a pause.
constexpr duration late_delivery_time = std::chrono::seconds(1);

/// Larger changes, such as a configuration of hundreds of routes, take longer
/// than a round trip, so that copies of them would delay the first one.
constexpr std::size_t max_pushed_bytes = std::size_t{16} << 10;
/// How long changes usually take down the tree.
constexpr duration repair_delay = std::chrono::milliseconds(300);
/// How long the largest changes take from one daemon to another.
constexpr duration notes_timeout = std::chrono::milliseconds(1000);
/// First listings that a daemon sends at once. In simulations of 110 daemons on
/// links of 14 Mbit/s, a single one left a tenth of them waiting for 1.3 s and
/// more, and four delayed the last one with listings of 325 KB.
constexpr std::size_t max_first_transfers = 3;
/// Seeds that start together with this daemon miss its first join message.
constexpr duration first_join_interval = std::chrono::milliseconds(100);

/// Base of a note that holds a full listing instead of changes.
constexpr notes::note_version listing_base = 0;

std::vector<notes::release_note> make_notes(
    const replica::store_copy::delta& delta, notes::note_version from) {
  if (delta.last_position <= replica::position(from)) return {};
  return {{.version = delta.last_position.packed(),
           .base = delta.listing ? listing_base : from,
           .text = encode_changes(delta.changes)}};
}

// Sets how the group distributes and repairs large changes.
membership::group_options with_repair(membership::group_options group) {
  group.max_pushed_bytes = max_pushed_bytes;
  group.repair_delay = repair_delay;
  group.notes_timeout = notes_timeout;
  group.max_first_transfers = max_first_transfers;
  group.first_join_interval = first_join_interval;
  return group;
}

}  // namespace

change_distribution::change_distribution(options settings, hooks callbacks)
    : id_(settings.group.self.id),
      data_centre_(settings.group.self.data_centre),
      hooks_(std::move(callbacks)),
      readers_(settings.readers, settings.started_at),
      members_(with_repair(std::move(settings.group)),
               [this](notes::note_version from) {
                 return make_notes(hooks_.changes_since(from), from);
               }) {}

change_distribution::outputs change_distribution::start(time_point now) {
  outputs out;
  collect(now, out, members_.start(now));
  return out;
}

change_distribution::outputs change_distribution::tick(time_point now) {
  outputs out;
  collect(now, out, members_.tick(now));
  return out;
}

change_distribution::outputs change_distribution::reset_after_pause(
    time_point now) {
  readers_.reset_after_pause(now);
  ignore_reports_until_ = now + late_delivery_time;
  outputs out;
  collect(now, out, members_.reset_after_pause(now));
  return out;
}

change_distribution::outputs change_distribution::leave(
    time_point now, membership::member_state state) {
  outputs out;
  collect(now, out, members_.leave(now, state));
  return out;
}

change_distribution::outputs change_distribution::send_status(time_point now) {
  outputs out;
  collect(now, out, members_.send_status());
  return out;
}

// Every message carries the sender's report of its copy. A report that came
// down the distribution tree is forwarded along the same tree.
change_distribution::outputs change_distribution::receive(
    time_point now, const membership::message& received) {
  outputs out;
  const bool answers_join =
      received.kind == membership::message_kind::join_response;
  const bool newer_report =
      (answers_join || now >= ignore_reports_until_) &&
      readers_.handle_report(
          now, {.position = received.version, .age = received.store_age});
  const bool reader_failing =
      readers_.set_failing(now, received.from, received.store_failing);
  membership::outputs from_group = members_.receive(now, received);
  const auto notes = std::exchange(from_group.notes, {});
  collect(now, out, std::move(from_group));
  for (const membership::received_notes& each : notes)
    apply_notes(now, out, each);
  const bool only_report = received.kind == membership::message_kind::notes &&
                           received.notes.empty() && !received.root.empty();
  if ((newer_report || reader_failing) && only_report) {
    collect(now, out, members_.broadcast_status(received.root, false));
  }
  return out;
}

void change_distribution::apply_notes(
    time_point now, outputs& out, const membership::received_notes& received) {
  for (const notes::release_note& note : received.chain) {
    const replica::position held = hooks_.copy_position();
    const replica::position base = note.base;
    const replica::position version = note.version;
    const bool listing = note.base == listing_base;
    // Changes after a position that this copy lacks would leave a gap, and
    // those of another era than the copy's say nothing about it.
    const bool follows = base <= held && base.era() == version.era() &&
                         held.era() == version.era();
    if (version <= held || (!listing && !follows)) continue;
    auto changes = decode_changes(note.text);
    if (!changes) {
      hooks_.on_malformed(received.from, note.version);
      continue;
    }
    hooks_.apply(now,
                 {.last_position = note.version,
                  .listing = listing,
                  .changes = std::move(*changes)},
                 received.from);
    publish(now, out, received.root);
  }
}

change_distribution::outputs change_distribution::on_store_read(
    time_point now, replica::position position, bool is_latest) {
  outputs out;
  if (position.era() != hooks_.copy_position().era()) return out;
  if (is_latest) readers_.confirm_copy(now, position);
  publish(now, out, id_);
  return out;
}

// Sends the changes of this daemon's copy to the group. `root` is the daemon at
// which their distribution began.
void change_distribution::publish(time_point now, outputs& out,
                                  const std::string& root) {
  const replica::position position = hooks_.copy_position();
  readers_.set_copy_position(position);
  const bool read_from_store = root == id_;
  // The store answered without changes; only that is reported to the others.
  if (position == published_position_) {
    collect(now, out, members_.broadcast_status(root, read_from_store));
    return;
  }
  published_position_ = position;
  // A position has exactly one content, so it also serves as the digest.
  collect(now, out,
          members_.set_note(now, position.packed(), position.packed(), root,
                            read_from_store));
}

// A reader without an answer reports this repeatedly, so that another daemon
// reads at once.
change_distribution::outputs change_distribution::set_store_failing(
    time_point now, bool failing) {
  store_failing_ = failing;
  outputs out;
  if (!readers_.set_failing(now, id_, failing)) return out;
  collect(now, out, members_.broadcast_status(id_, true));
  return out;
}

change_distribution::outputs change_distribution::request_missing_changes(
    time_point now) {
  outputs out;
  if (!readers_.should_request_changes(now)) return out;
  collect(now, out, members_.request_notes(now));
  return out;
}

bool change_distribution::should_read_store(time_point now,
                                            std::size_t data_centres) {
  return readers_.should_read(now, members_, data_centre_, id_, data_centres);
}

// Messages are stamped while the copy still has the revision that they state:
// a later confirmation is about a later revision.
void change_distribution::collect(time_point now, outputs& out,
                                  membership::outputs&& from_group) {
  const auto age = readers_.copy_age(now);
  for (membership::envelope& envelope : from_group.messages) {
    envelope.message.store_age = age;
    envelope.message.store_failing = store_failing_;
    out.messages.push_back(std::move(envelope));
  }
  std::ranges::move(from_group.events, std::back_inserter(out.events));
}

}  // namespace medlarloft::tier
