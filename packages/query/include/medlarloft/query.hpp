#pragma once

/// One query from fan-out to answer: snapshot, hedges, retries, merge and
/// coverage. The execution is a pure state machine: it is fed events and
/// returns actions; it never sends, waits or reads a clock.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "medlarloft/base.hpp"
#include "medlarloft/notes.hpp"

namespace medlarloft::query {

using notes::daemon_index;
using notes::key_range;
using notes::leaf_index;
using notes::snapshot_id;

/// One result row of a leaf. `position` is the hash of the row's key.
struct row {
  std::string id;
  std::uint64_t position = 0;
  double score = 0;
  std::string body;

  friend bool operator==(const row&, const row&) = default;
};

/// A set of keys kept as disjoint ranges in order.
class range_set {
 public:
  /// Adds the range if none of its keys is there; else changes nothing.
  bool add_disjoint(const key_range& range);
  bool overlaps(const key_range& range) const noexcept;
  std::uint64_t size() const noexcept { return size_; }
  /// Returns the parts of `range` that are not in the set.
  std::vector<key_range> missing_from(const key_range& range) const;

 private:
  std::vector<key_range> ranges_;
  std::uint64_t size_ = 0;
};

/// An exact share of the key space.
struct coverage {
  std::uint64_t covered = 0;
  std::uint64_t total = notes::key_space;

  double fraction() const noexcept {
    return static_cast<double>(covered) / static_cast<double>(total);
  }
};

/// What a leaf answered, as it came from outside.
struct leaf_answer {
  snapshot_id snapshot = 0;
  key_range range;
  std::vector<row> rows;
};

/// Why an answer was not merged.
enum class merge_problem : std::uint8_t {
  other_snapshot,
  overlaps,       // keys already answered
  outside_shard,  // claims keys that its shard does not hold
  stray_row,      // a row outside of the range it claims
};

/// Merges answers of one snapshot; a mix is impossible by construction.
class gather {
 public:
  gather(snapshot_id pinned, std::size_t row_limit)
      : pinned_(pinned), row_limit_(row_limit) {}

  /// Takes the answer of one shard or returns why it is dropped whole.
  std::optional<merge_problem> add(const key_range& shard, leaf_answer answer);

  snapshot_id pinned() const noexcept { return pinned_; }
  const range_set& covered() const noexcept { return covered_; }
  /// Returns the rows, best score first, at most the limit.
  std::vector<row> take_rows();

 private:
  snapshot_id pinned_;
  std::size_t row_limit_;
  range_set covered_;
  std::vector<row> rows_;
};

/// What a caller asked for, with the service's defaults filled in.
struct request {
  std::string id;
  const notes::service* service = nullptr;
  notes::service_class priority{};
  time_point deadline;
  double coverage_wanted = 1.0;
  bool idempotent = true;
  std::size_t row_limit = 100;
  /// Single keys asked for; empty for the whole key space.
  std::optional<key_range> keys;
  /// Zero: the newest that the leafs have.
  snapshot_id snapshot = 0;
};

/// Names one attempt at one leaf. A random tag: an answer to any other
/// attempt, of this process or an earlier one, cannot match it.
using attempt_id = std::uint64_t;

/// Where one attempt goes.
struct route {
  leaf_index leaf = 0;
  /// The home daemon that talks to the leaf.
  daemon_index relay = 0;

  friend bool operator==(const route&, const route&) = default;
};

enum class attempt_kind : std::uint8_t { first, retry, hedge };

struct send_action {
  attempt_id attempt = 0;
  /// The shard asked for; lives as long as the model.
  const notes::shard* shard = nullptr;
  query::route route;
  snapshot_id snapshot = 0;
  attempt_kind kind{};
};

struct cancel_action {
  attempt_id attempt = 0;
  query::route route;
};

enum class outcome_kind : std::uint8_t {
  answered,         // coverage may still be short, see `complete`
  not_run,          // surely nothing ran
  unknown_outcome,  // a non-idempotent request may have run
};

struct final_outcome {
  outcome_kind kind{};
  snapshot_id snapshot = 0;
  query::coverage coverage;
  /// Whether the coverage meets what was wanted.
  bool complete = false;
  std::vector<row> rows;
  std::string reason;
  /// The deadline passed while attempts were open.
  bool out_of_time = false;
};

/// What the execution wants done, in order.
struct actions {
  std::vector<cancel_action> cancels;
  std::vector<send_action> sends;
  std::optional<final_outcome> done;
  /// When `on_timer` must be called at the latest.
  time_point wake_at = time_point::max();
};

/// How an attempt failed.
enum class failure : std::uint8_t {
  not_sent,       // refused by the relay; the leaf saw nothing
  not_run,        // refused by the leaf before anything ran
  snapshot_gone,  // the leaf does not hold the snapshot; nothing ran
  lost,           // nobody knows whether it ran
};

struct attempt_failure {
  failure how{};
  /// With `snapshot_gone`: what the leaf holds; zero when unknown.
  snapshot_id oldest = 0;
  snapshot_id newest = 0;
};

/// What a shard need not be tried at again.
struct tried_routes {
  /// Leafs that were asked and have answered, or still may.
  std::vector<leaf_index> leafs;
  /// Ways that were refused before the leaf saw anything.
  std::vector<route> refused;
};

/// Choices made outside of the execution.
struct hooks {
  /// Picks a replica and relay for a shard, none of those tried; `snapshot` is
  /// the pinned one, or 0.
  std::function<std::optional<route>(const notes::shard& shard,
                                     const tried_routes& tried,
                                     snapshot_id snapshot)>
      pick;
  /// Takes a token for one more leaf request than needed; false: go without.
  std::function<bool(attempt_kind)> take_extra;
  /// Returns a fresh random attempt tag.
  std::function<attempt_id()> new_attempt;
};

struct policy {
  /// How long an attempt may take before a hedge; none when not set.
  std::optional<duration> hedge_after;
  /// How long an attempt is waited for before it is counted as lost.
  duration attempt_timeout = std::chrono::seconds(1);
  std::size_t max_attempts_per_shard = 4;
  /// Attempts at one shard that may be open at once: the first and hedges.
  std::size_t max_open_per_shard = 3;
  /// Ways that may refuse before the shard is given up.
  std::size_t max_refusals_per_shard = 8;
  /// How often the query may start again on a newer snapshot.
  std::size_t max_reruns = 1;
  /// A rerun needs at least this much time before the deadline.
  duration rerun_needs{};
};

/// Counts what happened, for metrics.
struct tally {
  std::uint32_t needed = 0;
  std::uint32_t sent = 0;
  std::uint32_t hedges = 0;
  std::uint32_t retries = 0;
  std::uint32_t reruns = 0;
  std::uint32_t mixed_dropped = 0;
  std::uint32_t foreign_dropped = 0;
};

/// One query. Every exit is one of answered, not run, or unknown.
class execution {
 public:
  execution(request asked, policy rules, hooks choices);

  actions start(time_point now);
  actions on_answer(time_point now, attempt_id attempt, leaf_answer answer);
  actions on_failure(time_point now, attempt_id attempt,
                     const attempt_failure& how);
  actions on_timer(time_point now);
  /// The caller went away or the daemon must stop.
  actions abort(time_point now, std::string reason);

  bool finished() const noexcept { return finished_; }
  const query::tally& tally() const noexcept { return tally_; }
  const request& asked() const noexcept { return request_; }

 private:
  struct attempt {
    attempt_id id = 0;
    query::route route;
    time_point sent_at;
    time_point hedge_at;
    time_point expires_at;
  };
  struct shard_state {
    const notes::shard* shard = nullptr;
    std::vector<attempt> open;
    tried_routes tried;
    bool settled = false;
    bool may_have_run = false;
  };
  struct located {
    shard_state* shard = nullptr;
    std::size_t position = 0;
  };

  void select_shards();
  void send(time_point now, std::size_t index, attempt_kind kind);
  void settle_without(std::size_t index);
  void retry_or_settle(time_point now, std::size_t index, bool costs = true);
  std::optional<located> find(attempt_id id);
  void drop_attempt(located where);
  void cancel_open(shard_state& state);
  void pin(snapshot_id snapshot);
  bool rerun_on(time_point now, snapshot_id newer);
  void note_gone(const attempt_failure& how);
  void check_done(time_point now);
  void finish(time_point now, std::string reason);
  bool may_repeat(const shard_state& state) const noexcept;
  bool enough() const noexcept;
  time_point next_wake() const;
  actions take(time_point now);

  request request_;
  policy policy_;
  hooks hooks_;
  std::optional<gather> gather_;
  std::uint64_t total_ = 0;
  std::vector<shard_state> shards_;
  std::map<attempt_id, std::size_t> shard_of_;
  snapshot_id newer_seen_ = 0;
  bool ran_ = false;
  bool finished_ = false;
  std::optional<time_point> enough_since_;
  std::string last_reason_;
  query::tally tally_;
  actions pending_;
};

/// A budget for extra leaf requests: a share of those needed, and a small
/// reserve for idle times. It fades out by itself under overload, because
/// refused and failed requests earn nothing.
class extra_budget {
 public:
  struct options {
    double share = 0.05;
    double reserve = 10;
  };
  explicit extra_budget(options settings)
      : options_(settings), tokens_(settings.reserve) {}

  void earn(std::uint32_t answered) noexcept;
  bool take() noexcept;

 private:
  options options_;
  double tokens_;
};

/// Learns a quantile of the leaf latency of one service, from which the hedge
/// delay follows. A stochastic estimate: constant memory and time.
class latency_quantile {
 public:
  struct options {
    double quantile = 0.95;
    duration initial = std::chrono::milliseconds(20);
    duration floor = std::chrono::milliseconds(1);
    duration ceiling = std::chrono::seconds(5);
    std::uint32_t min_samples = 20;
  };
  explicit latency_quantile(options settings);

  void add(duration sample) noexcept;
  duration value() const noexcept;
  std::uint64_t samples() const noexcept { return samples_; }

 private:
  options options_;
  double estimate_;  // nanoseconds
  std::uint64_t samples_ = 0;
};

/// Knows the newest snapshot that each shard of a service can serve, from the
/// answers seen, and names the one to pin.
class snapshot_tracker {
 public:
  /// A leaf says which snapshots it holds.
  void heard(leaf_index leaf, snapshot_id oldest, snapshot_id newest);

  /// Returns the newest snapshot that some replica of every shard of the map
  /// is known to hold; zero when one shard is unknown.
  snapshot_id best(const notes::service& service) const;

  /// Returns whether the leaf is known not to hold the snapshot.
  bool lacks(leaf_index leaf, snapshot_id snapshot) const;

  /// Forgets everything, since positions changed with the model.
  void reset() { held_.clear(); }

 private:
  struct held {
    snapshot_id oldest = 0;
    snapshot_id newest = 0;
  };
  std::map<leaf_index, held> held_;
};

}  // namespace medlarloft::query
