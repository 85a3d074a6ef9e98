#pragma once

/// Group membership of daemons, failure detection, and distribution of release
/// notes. A pure state machine: messages, the time and the random seed are
/// arguments; messages to send and events are returned.
///
/// Failure detection follows SWIM (Das, Gupta, Motivala, 2002) with the
/// refinements of Lifeguard (Dadgar, Phillips, Currey, 2017). Notes are sent
/// down a tree inside a data centre and once to each other data centre.
/// Anti-entropy on every message repairs what the tree missed.
///
/// The text of a note is opaque here. `tier` distributes the changes of the
/// store as notes whose version and digest are the store's revision.

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "medlarloft/base.hpp"
#include "medlarloft/notes.hpp"

namespace medlarloft::membership {

using notes::note_version;

/// State of a member. At the same incarnation a later enumerator overrides an
/// earlier one.
enum class member_state : std::uint8_t {
  unheard,  // published, but no message or update received yet
  alive,
  suspected,
  leaving,  // announced its own shutdown, still serves
  failed,
  left,
};
std::string_view name_of(member_state state) noexcept;

/// The known state of one daemon. Only the daemon itself raises its
/// incarnation.
struct member_record {
  std::string id;
  std::string data_centre;
  endpoint control;
  std::uint64_t incarnation = 0;
  member_state state = member_state::unheard;
  /// Thousandths of a processor core; 0 when unknown.
  std::uint32_t capacity = 0;

  friend bool operator==(const member_record&, const member_record&) = default;
};

enum class message_kind : std::uint8_t {
  ping,
  ack,
  nack,      // an indirect probe has had no answer so far
  ping_req,  // requests an indirect probe of `target`
  join,      // a new daemon requests all members and notes
  join_response,
  notes_request,
  notes,           // without notes it carries only the status of every message
  server_reports,  // sent among the home daemons of the servers
};

/// State of a backend server, as one daemon reports it to another.
struct server_report {
  std::string leaf;
  /// Start id of the server at which the sender saw it warm; empty if none.
  std::string warm_start_id;
  /// Time since the sender last received an answer from the server.
  duration age{};
  /// Whether the host list marks the server as leaving; set only by daemons
  /// that read the list.
  std::optional<bool> leaving;
};

/// `message::store_age` when no daemon is known to have had an answer from the
/// store.
inline constexpr std::chrono::milliseconds unknown_store_age{0xffffffff};

struct message {
  message_kind kind{};
  std::string from;
  std::uint64_t sequence = 0;
  /// Daemon to probe (ping_req), or intended receiver (ping).
  std::string target;
  /// Version and digest of the note in force at the sender.
  note_version version = 0;
  std::uint64_t digest = 0;
  std::vector<member_record> updates;
  std::vector<notes::release_note> notes;
  /// With notes: the root of the tree that distributes them; empty when the
  /// message answers a request and is not forwarded. A daemon that turns away
  /// a request for its notes names another one in `target`.
  std::string root;
  std::vector<server_report> server_reports;
  /// Time since the store is known to have answered some daemon.
  std::chrono::milliseconds store_age = unknown_store_age;
  /// Thousandths of the sender's capacity that are in use.
  std::uint16_t load = 0;
  /// The sender is one of the daemons that read the store, and the store does
  /// not answer it.
  bool store_failing = false;
};

struct envelope {
  endpoint to;
  std::string to_id;
  membership::message message;
};

/// Notes received from a peer, to be offered to the note store.
struct received_notes {
  std::string from;
  std::string root;
  std::vector<notes::release_note> chain;
  std::uint64_t digest = 0;
};

struct member_event {
  std::string id;
  member_state state{};
};

/// A peer whose note of the same version has another digest.
struct digest_conflict {
  std::string peer;
  note_version version = 0;
};

/// Messages to send and events to handle after a call of `group`.
struct outputs {
  std::vector<envelope> messages;
  std::vector<received_notes> notes;
  std::vector<member_event> events;
  std::vector<server_report> server_reports;
  std::vector<digest_conflict> conflicts;
};

struct group_options {
  member_record self;
  /// Control endpoints that receive a join message at the start.
  std::vector<endpoint> seeds;
  duration probe_period = std::chrono::seconds(1);
  duration probe_timeout = std::chrono::milliseconds(300);
  std::size_t indirect_probes = 3;
  /// Minimum suspicion timeout, in probe periods; it grows with log10 of the
  /// group's size.
  double suspicion_min_periods = 3;
  /// Maximum suspicion timeout, as a multiple of the minimum. It shrinks to the
  /// minimum as other daemons confirm the suspicion.
  double suspicion_max_factor = 3;
  /// Confirmations at which the suspicion timeout is shortest.
  std::uint32_t suspicion_confirmations = 3;
  /// Upper bound of Lifeguard's local health score: the probe period and
  /// timeout are multiplied by the score plus one.
  std::uint32_t max_local_health_score = 8;
  std::size_t updates_per_message = 48;
  /// Each update is sent this factor times log2(members) times.
  double retransmit_factor = 3;
  /// Children of each daemon in the distribution tree of a data centre.
  std::size_t tree_fanout = 4;
  /// Larger notes are only offered to the children, which request them from one
  /// daemon.
  std::size_t max_pushed_bytes = std::numeric_limits<std::size_t>::max();
  /// A daemon that hears of newer notes outside of the tree waits this long for
  /// the tree before it requests them.
  duration repair_delay{};
  /// Time until requested notes have usually arrived. They are requested from
  /// another member only after that.
  duration notes_timeout = std::chrono::milliseconds(300);
  /// Notes larger than `max_pushed_bytes` are sent to at most this many daemons
  /// at once that hold none yet. The others are told of a daemon that was
  /// served before.
  std::size_t max_first_transfers = std::numeric_limits<std::size_t>::max();
  /// Time after which a transfer that was not confirmed has ended.
  duration transfer_timeout = std::chrono::seconds(2);
  /// A daemon without notes that was turned away everywhere asks again after
  /// this time.
  duration first_request_retry = std::chrono::milliseconds(50);
  /// Interval between the first two join messages; it doubles up to
  /// `probe_period` until one is answered. Zero: `probe_period`.
  duration first_join_interval{};
  /// Time after which a failed or left daemon that is not published is removed.
  duration removal_delay = std::chrono::minutes(10);
  std::uint64_t random_seed = 1;
};

/// Returns the held notes that are newer than `from`, for peers that lack them.
using notes_reader =
    std::function<std::vector<notes::release_note>(note_version from)>;

/// One daemon's view of all daemons.
class group {
 public:
  group(group_options options, notes_reader reader);

  /// Sends a join message to the seeds.
  outputs start(time_point now);
  outputs tick(time_point now);
  outputs receive(time_point now, const message& received);

  /// Announces that this daemon is leaving (it still serves) or has left.
  outputs leave(time_point now, member_state new_state);

  /// Sets the published daemons; unknown ones are added and probed.
  void set_published(const std::vector<member_record>& published);

  /// Sets the note in force. With `root`, which is passed where the note was
  /// read from the store and where it arrived through the tree, sends it to
  /// this daemon's children in the tree of `root`. Only a daemon that read it
  /// from the store also sends it to the other data centres.
  outputs set_note(time_point now, note_version version, std::uint64_t digest,
                   const std::string& root, bool read_from_store = false);

  /// Sends a message without notes along the tree of `root`, as `set_note`
  /// does, for the status that every message carries, such as `store_age`.
  outputs broadcast_status(const std::string& root, bool read_from_store);

  /// Sends a message without notes to each member of this data centre, for its
  /// status.
  outputs send_status();

  /// Requests newer notes from one random member, in turn of this data centre
  /// and of another. It answers also if it has none. Does nothing while a
  /// request is open.
  outputs request_notes(time_point now);

  /// The notes that this daemon sent to another one at its request arrived.
  void on_notes_delivered(const std::string& id);

  /// Sends reports about backend servers to another daemon.
  outputs send_server_reports(time_point now, const std::string& to,
                              std::vector<server_report> server_reports);

  /// Returns when `tick` must be called next.
  time_point next_tick() const;

  /// Call after the process was paused: discards probes in progress, restarts
  /// suspicion timeouts and joins again.
  outputs reset_after_pause(time_point now);

  const member_record* find(std::string_view id) const;
  std::vector<member_record> members() const;
  /// Returns the number of members that are alive, suspected or leaving, this
  /// daemon included.
  std::size_t reachable_count() const noexcept;
  /// Returns when the last message of another daemon arrived.
  std::optional<time_point> last_message_at() const noexcept {
    return last_message_at_;
  }
  /// Returns since when the member has been failed, left or unheard: nothing
  /// while it is reachable, the epoch when it is unknown.
  std::optional<time_point> unreachable_since(std::string_view id) const;
  /// Whether a peer answered a join message.
  bool joined() const noexcept { return joined_; }

  /// Returns the alive and suspected daemons of a data centre ordered by
  /// rendezvous hashing with `purpose`. The first ones take the role that it
  /// names; daemons with the same view agree on them.
  std::vector<std::string> rendezvous_order(std::string_view data_centre,
                                            std::string_view purpose) const;

 private:
  struct member {
    member_record record;
    time_point changed_at;
  };
  struct suspicion {
    time_point started_at;
    std::vector<std::string> confirmers;
  };
  struct probe {
    std::uint64_t sequence = 0;
    std::string target;
    time_point indirect_at;
    bool indirect_sent = false;
    bool acked = false;
    std::uint32_t helpers_requested = 0;
    std::uint32_t helpers_responded = 0;
  };
  struct relayed_probe {
    std::string requester;
    std::uint64_t sequence = 0;
    std::uint64_t ping_sequence = 0;
    time_point nack_at;
    time_point expires_at;
  };
  /// Notes that a member of the distribution tree holds.
  struct offer {
    note_version version = 0;
    std::string from;
    std::string root;
  };
  struct queued_update {
    std::string id;
    std::uint32_t remaining_sends = 0;
  };

  message make_message(message_kind kind) const;
  void send(outputs& out, const member_record& to, message body);
  void append_updates(message& body, const std::string& to);
  void merge_updates(time_point now, outputs& out, const message& received);
  void merge(time_point now, outputs& out, const member_record& update,
             const std::string& reporter, bool pass_on);
  void refute(const member_record& update);
  void apply(time_point now, outputs& out, const member_record& update,
             bool pass_on = true);
  void enqueue(const std::string& id);
  void on_direct_contact(time_point now, outputs& out, const std::string& id);
  void check_note_version(time_point now, outputs& out,
                          const message& received);
  void request_notes_from(time_point now, outputs& out,
                          const member_record& member);
  void take_offer(const message& received);
  void request_offered(time_point now, outputs& out);
  void on_notes_request(time_point now, outputs& out, const message& received);
  bool begin_first_transfer(time_point now, const std::string& id);
  void add_named_holder(const std::string& id);
  void name_holder(message& body, const std::string& requester);
  void add_holder(const std::string& id);
  void on_turned_away(time_point now, const message& received);
  void request_first_notes(time_point now, outputs& out);
  void send_joins(time_point now, outputs& out);
  void on_ping_req(time_point now, outputs& out, const message& received);
  void on_ack(time_point now, outputs& out, const message& received);
  void on_join(time_point now, outputs& out, const message& received);
  void on_notes(outputs& out, const message& received);
  void update_probe(time_point now, outputs& out);
  void begin_probe(time_point now, outputs& out);
  void finish_probe(time_point now, outputs& out);
  void send_indirect_probes(time_point now, outputs& out);
  void update_relayed_probes(time_point now, outputs& out);
  void expire_suspicions(time_point now, outputs& out);
  void suspect(time_point now, outputs& out, const std::string& id);
  void remove_expired_members(time_point now);
  /// Sends `chain` to this daemon's children in the tree of `root`.
  void send_to_tree(outputs& out, const std::string& root, bool read_from_store,
                    const std::vector<notes::release_note>& chain);
  std::set<std::string> tree_targets(const std::string& root,
                                     bool read_from_store) const;
  std::optional<std::string> next_target();
  duration scaled(duration base) const;
  duration suspicion_time(const suspicion& entry) const;
  std::uint32_t transmit_limit() const;
  bool reachable(const member_record& record) const noexcept;

  group_options options_;
  notes_reader notes_reader_;
  random_generator random_;
  member_record self_;
  std::unordered_map<std::string, member> members_;
  /// Pointers to the keys of `members_`, which are stable until erased.
  std::vector<const std::string*> probe_order_;
  std::size_t probe_next_ = 0;
  std::map<std::string, suspicion> suspicions_;
  std::vector<queued_update> queue_;
  std::vector<std::string> published_;
  std::optional<probe> probe_;
  std::vector<relayed_probe> relayed_;
  std::uint64_t sequence_ = 0;
  std::uint32_t local_health_score_ = 0;
  time_point next_probe_{};
  time_point next_join_{};
  duration join_interval_{};
  std::optional<time_point> last_message_at_;
  bool joined_ = false;
  note_version version_ = 0;
  /// The version before `version_`, which other daemons most likely hold.
  note_version previous_version_ = 0;
  std::uint64_t digest_ = 0;
  /// No notes are requested before this time, unless the member that was asked
  /// last answers.
  time_point next_notes_request_{};
  std::string requested_from_;
  /// Whether `request_notes` asks a member of another data centre next.
  bool request_far_next_ = false;
  /// Since when this daemon knows that it lacks notes.
  std::optional<time_point> behind_since_;
  /// The latest notes that were offered to this daemon.
  std::optional<offer> offer_;
  /// While this daemon holds no notes: members that hold some.
  std::vector<std::string> holders_;
  /// The holders that turned this daemon away since it last waited.
  std::set<std::string> busy_holders_;
  /// Daemons without notes to which this one is sending them, and since when.
  std::map<std::string, time_point> first_transfers_;
  /// The daemons that were served or heard of with notes last.
  std::vector<std::string> named_holders_;
  /// Whether all notes together were larger than `max_pushed_bytes` when they
  /// were last read.
  bool notes_are_large_ = false;
};

}  // namespace medlarloft::membership
