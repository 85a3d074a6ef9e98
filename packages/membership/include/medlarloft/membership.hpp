#pragma once

/// Which daemons live and leave, and how release notes reach all of them.
/// A pure state machine: messages, time and randomness are arguments; what it
/// wants sent, accepted and told is returned.
///
/// Failure detection follows SWIM (Das, Gupta, Motivala, 2002) with the
/// refinements of Lifeguard (Dadgar, Phillips, Currey, 2017). Notes travel
/// along a tree inside of a data centre, once to each other data centre, and
/// by anti-entropy on every probe behind that.

#include <cstdint>
#include <functional>
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

/// Ordered by precedence at one incarnation: the later overrides.
enum class member_state : std::uint8_t {
  unheard,  // published, but nothing was heard of it yet
  alive,
  suspected,
  leaving,  // said itself that it stops; still serves
  failed,
  left,
};
std::string_view name_of(member_state state) noexcept;

/// What is known of one daemon. Its own words raise the incarnation.
struct member_record {
  std::string id;
  std::string data_centre;
  endpoint control;
  std::uint64_t incarnation = 0;
  member_state state = member_state::unheard;
  /// Thousandths of a processor core; 0: not said.
  std::uint32_t capacity = 0;

  friend bool operator==(const member_record&, const member_record&) = default;
};

enum class message_kind : std::uint8_t {
  ping,
  ack,
  nack,      // an indirect probe is under way without an answer so far
  ping_req,  // asks to probe `target`
  join,      // a new daemon asks for everything
  members,   // answers a join
  notes_request,
  notes,
  server_reports,  // words about backend servers, between their home daemons
};

/// What one daemon tells another about a backend server.
struct server_report {
  std::string leaf;
  /// Warm, as shown to the sender by this start of the server.
  std::string warm_start_id;
  /// How long ago the sender last had an answer.
  duration age{};
  /// What the host list says, where the sender reads it.
  std::optional<bool> leaving;
};

/// The platform is not known to have answered anybody.
inline constexpr std::chrono::milliseconds unknown_store_age{0xffffffff};

struct message {
  message_kind kind{};
  std::string from;
  std::uint64_t sequence = 0;
  /// With ping_req: whom to probe. With ping: whom the sender means.
  std::string target;
  /// The note in force at the sender.
  note_version version = 0;
  std::uint64_t digest = 0;
  std::vector<member_record> updates;
  std::vector<notes::release_note> notes;
  /// With notes: the daemon at which this spreading began; empty when it is
  /// an answer that goes no further.
  std::string root;
  std::vector<server_report> server_reports;
  /// How long ago the platform was known to answer some daemon.
  std::chrono::milliseconds store_age = unknown_store_age;
  /// Thousandths of the sender's capacity that are in use.
  std::uint16_t load = 0;
  /// The sender reads the platform for others and gets no answer.
  bool store_failing = false;
};

struct envelope {
  endpoint to;
  std::string to_id;
  membership::message message;
};

/// Notes that arrived, to be offered to the note store.
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

/// A peer that holds other content under our version.
struct digest_conflict {
  std::string peer;
  note_version version = 0;
};

struct outputs {
  std::vector<envelope> messages;
  std::vector<received_notes> notes;
  std::vector<member_event> events;
  std::vector<server_report> server_reports;
  std::vector<digest_conflict> conflicts;
};

struct group_options {
  member_record self;
  /// Control endpoints to ask at the start.
  std::vector<endpoint> seeds;
  duration probe_period = std::chrono::seconds(1);
  duration probe_timeout = std::chrono::milliseconds(300);
  std::size_t indirect_probes = 3;
  /// Suspicion lasts at least this many probe periods.
  double suspicion_min_periods = 3;
  /// And at most this many times the least, while few agree.
  double suspicion_max_factor = 3;
  /// Daemons that must agree for the shortest suspicion.
  std::uint32_t suspicion_agreement = 3;
  std::uint32_t max_local_health_score = 8;
  std::size_t updates_per_message = 48;
  /// Each update is sent this many times log2(members).
  double retransmit_factor = 3;
  /// Children of a node in the spreading tree of a data centre.
  std::size_t tree_fanout = 4;
  /// A failed or left daemon that is not published is forgotten after this.
  duration removal_delay = std::chrono::minutes(10);
  std::uint64_t random_seed = 1;
};

/// Read access to the notes held, to answer peers that lack them.
using notes_since =
    std::function<std::vector<notes::release_note>(note_version from)>;

/// The view of all daemons from one of them.
class group {
 public:
  group(group_options options, notes_since held);

  /// Asks the seeds for everything.
  outputs start(time_point now);
  outputs tick(time_point now);
  outputs receive(time_point now, const message& received);

  /// Says that this daemon leaves (it still serves), or has left.
  outputs leave(time_point now, member_state how);

  /// Takes the published daemons; those unheard of are probed.
  void set_published(const std::vector<member_record>& published);

  /// Takes the note in force. Spreads it when `root` is set: at the daemon
  /// that read it first-hand, and at each that got it down the tree. Only the
  /// first-hand reader tells the other data centres.
  outputs set_note(time_point now, note_version version, std::uint64_t digest,
                   const std::string& root, bool read_from_store = false);

  /// Sends a message without notes to those that a note of `root` would go to:
  /// they hear what every message tells.
  outputs broadcast_status(const std::string& root, bool read_from_store);

  /// Sends words about backend servers to another daemon.
  outputs send_server_reports(time_point now, const std::string& to,
                              std::vector<server_report> server_reports);

  /// When `tick` must be called next.
  time_point next_tick() const;

  /// Notices that this process slept: nothing of what was awaited counts.
  outputs reset_after_pause(time_point now);

  const member_record* find(std::string_view id) const;
  std::vector<member_record> members() const;
  std::size_t alive_count() const noexcept;
  /// When a daemon other than this one was last heard.
  std::optional<time_point> last_message_at() const noexcept {
    return last_message_at_;
  }
  /// Since when the member has been failed or left or unheard.
  std::optional<time_point> unreachable_since(std::string_view id) const;
  /// Whether some peer answered with its members and its note.
  bool joined() const noexcept { return joined_; }

  /// Live daemons of a data centre in the order of their hash with `purpose`;
  /// the first ones hold the duty that it names.
  std::vector<std::string> rendezvous_order(std::string_view data_centre,
                                            std::string_view purpose) const;

 private:
  struct member {
    member_record record;
    time_point changed_at;
  };
  struct suspicion {
    time_point began;
    std::vector<std::string> accusers;
  };
  struct probe {
    std::uint64_t sequence = 0;
    std::string target;
    time_point indirect_at;
    bool indirect_sent = false;
    bool acked = false;
    std::uint32_t helpers_asked = 0;
    std::uint32_t helpers_heard = 0;
  };
  struct relayed_probe {
    std::string requester;
    std::uint64_t sequence = 0;
    std::uint64_t own_sequence = 0;
    time_point nack_at;
    time_point expires_at;
  };
  struct queued_update {
    std::string id;
    std::uint32_t left = 0;
  };

  message make(message_kind kind) const;
  void send(outputs& out, const member_record& to, message body);
  void fill_updates(message& body, const std::string& to);
  void take_updates(time_point now, outputs& out, const message& received);
  void merge(time_point now, outputs& out, const member_record& told,
             const std::string& teller, bool pass_on);
  void refute(const member_record& told);
  void apply(time_point now, outputs& out, const member_record& told,
             bool pass_on = true);
  void enqueue(const std::string& id);
  void heard_directly(time_point now, outputs& out, const std::string& id);
  void compare_note(outputs& out, const message& received);
  void on_ping_req(time_point now, outputs& out, const message& received);
  void on_ack(time_point now, outputs& out, const message& received);
  void on_join(time_point now, outputs& out, const message& received);
  void on_notes(outputs& out, const message& received);
  void run_probe(time_point now, outputs& out);
  void begin_probe(time_point now, outputs& out);
  void finish_probe(time_point now, outputs& out);
  void ask_helpers(time_point now, outputs& out);
  void run_relayed(time_point now, outputs& out);
  void run_suspicions(time_point now, outputs& out);
  void suspect(time_point now, outputs& out, const std::string& id);
  void forget_old(time_point now);
  /// Sends the notes to those below this daemon in the tree of `root`.
  void push(outputs& out, const std::string& root, bool read_from_store,
            const std::vector<notes::release_note>& held);
  std::set<std::string> below(const std::string& root,
                              bool read_from_store) const;
  std::optional<std::string> next_target();
  duration scaled(duration base) const;
  duration suspicion_time(const suspicion& entry) const;
  std::uint32_t transmissions() const;
  bool reachable(const member_record& record) const noexcept;

  group_options options_;
  notes_since held_;
  random_stream random_;
  member_record self_;
  std::unordered_map<std::string, member> members_;
  /// Keys of `members_`, which stay where they are until they are erased.
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
  std::optional<time_point> last_message_at_;
  bool joined_ = false;
  note_version version_ = 0;
  /// The version before, which others most likely hold.
  note_version previous_ = 0;
  std::uint64_t digest_ = 0;
};

}  // namespace medlarloft::membership
