#pragma once

/// Release notes and the fleet model that they fold into. A note lists what is
/// added, changed or withdrawn against a base version; versions only rise.

#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

#include "medlarloft/base.hpp"
#include "medlarloft/documents.hpp"

namespace medlarloft::notes {

using note_version = std::uint64_t;
using snapshot_id = std::uint64_t;
/// Position of a backend server in `fleet_model::leafs`.
using leaf_index = std::uint32_t;
/// Position of a daemon in `fleet_model::daemons`.
using daemon_index = std::uint32_t;

/// Keys are hashed to 32 bits; one past the largest key.
inline constexpr std::uint64_t key_space = std::uint64_t{1} << 32;

/// A half-open range of hashed keys.
struct key_range {
  std::uint64_t from = 0;
  std::uint64_t to = 0;

  std::uint64_t size() const noexcept { return to - from; }
  friend auto operator<=>(const key_range&, const key_range&) = default;
};

/// The order in which work is kept under overload.
enum class service_class : std::uint8_t { critical, important, ordinary };
inline constexpr std::size_t service_class_count = 3;
std::string_view name_of(service_class which) noexcept;
std::optional<service_class> parse_class(std::string_view text) noexcept;

struct data_centre {
  std::string id;
  std::string region;
  /// Taken out by the operators: no new work.
  bool out = false;
  std::uint64_t digest = 0;
};

/// One published daemon: an entry host of the firm.
struct daemon_entry {
  std::string id;
  std::string data_centre;
  endpoint callers;
  endpoint peers;
  endpoint control;
  std::uint64_t digest = 0;
};

/// What a backend server bears while it is cold.
struct cold_budget {
  /// Requests at once, over all daemons.
  std::uint32_t concurrent = 1;
  /// Successful requests after which it counts as warm.
  std::uint32_t warm_after = 50;
};

/// One backend server.
struct leaf {
  std::string id;
  std::string data_centre;
  endpoint address;
  std::uint32_t slots = 1;
  std::uint32_t connections = 1;
  duration connection_cost{};
  cold_budget cold;
  bool leaving = false;
  std::uint64_t digest = 0;
};

struct shard {
  std::string id;
  key_range range;
  std::vector<std::string> replicas;
  /// The replicas as positions, filled when a note is folded.
  std::vector<leaf_index> leafs;
};

/// The shards that hold the snapshots from one on, up to the next map's.
struct partition_map {
  snapshot_id from_snapshot = 0;
  std::vector<shard> shards;
};

struct service {
  std::string id;
  service_class priority = service_class::ordinary;
  duration deadline{};
  /// Least share of the key space that makes an answer complete enough.
  double coverage_wanted = 1.0;
  bool idempotent = true;
  /// Once the wanted coverage is met, how long to wait for the rest.
  duration stop_early_after{};
  /// Expected load, used only to check capacity; zero when not stated.
  double queries_per_second = 0;
  duration leaf_time{};
  std::vector<partition_map> maps;
  std::uint64_t digest = 0;

  /// Returns the map that holds the snapshot; maps are never empty.
  const partition_map& map_of(snapshot_id snapshot) const noexcept;
};

/// Everything that the accepted notes say, immutable once published.
struct fleet_model {
  note_version version = 0;
  std::vector<data_centre> data_centres;
  std::vector<daemon_entry> daemons;
  std::vector<leaf> leafs;
  std::vector<service> services;
  /// Order-independent digest of the content and the version.
  std::uint64_t digest = 0;

  const data_centre* find_data_centre(std::string_view id) const noexcept;
  const daemon_entry* find_daemon(std::string_view id) const noexcept;
  const leaf* find_leaf(std::string_view id) const noexcept;
  const service* find_service(std::string_view id) const noexcept;
  std::optional<daemon_index> index_of_daemon(
      std::string_view id) const noexcept;
  bool is_out(std::string_view data_centre_id) const noexcept;
};

using model_ptr = std::shared_ptr<const fleet_model>;

enum class note_errc {
  document,
  unknown_reference,
  already_exists,
  does_not_exist,
  no_replica,
  not_a_partition,
  capacity,
  wrong_base,
  digest_mismatch,
  conflict,
};

/// Why a note was refused: file or key, key path, value and reason.
struct note_error {
  note_errc code{};
  std::string path;
  std::string value;
  std::string reason;

  std::string text() const;
};

template <class Value>
using note_result = result<Value, note_error>;

/// A note as read: its version, the version it builds on, and its content.
struct release_note {
  note_version version = 0;
  note_version base = 0;
  /// Canonical JSON text; what daemons pass on to each other.
  std::string text;
};

/// Largest note that is read, over all of its parts.
inline constexpr std::size_t max_note_bytes = 64U << 20;

/// Checks the schema of a note and takes its versions.
note_result<release_note> read_note(std::string_view text);

/// Applies a note to the model that it builds on and checks its meaning.
/// The base of a whole-state note is 0, and it applies to an empty model.
note_result<model_ptr> fold(const fleet_model& base, const release_note& note);

/// What deserves the operators' attention although the note is valid.
std::vector<std::string> warnings(const fleet_model& model);

/// Writes the whole model as one note with base 0.
release_note whole_note(const fleet_model& model);

/// One line for each thing that differs between two models.
std::vector<std::string> difference(const fleet_model& from,
                                    const fleet_model& to);

/// One value for the configuration service.
struct published_value {
  std::string key;
  std::string text;
};

/// Key of the value that commits a version; it names all others.
inline constexpr std::string_view head_key = "medlarloft/head";
/// Values of the configuration service hold at most this many bytes.
inline constexpr std::size_t max_value_bytes = 1'000'000;

/// Splits the notes from a whole one on into values below `max_value_bytes`.
/// The head comes last: publishing it puts the rest in force.
std::vector<published_value> render(const std::vector<release_note>& chain,
                                    const fleet_model& folded);

/// Where the parts of one note are.
struct note_reference {
  note_version version = 0;
  note_version base = 0;
  std::vector<std::string> keys;
};

/// The committing value.
struct head {
  note_version version = 0;
  std::uint64_t digest = 0;
  /// From a whole note to the newest, each building on the one before.
  std::vector<note_reference> chain;
};

note_result<head> read_head(std::string_view text);
std::string write_head(const head& value);

/// Joins the parts of one note.
note_result<release_note> join_parts(const std::vector<std::string>& parts);

/// The notes that must be fetched to go from `have` to the head: the later
/// ones alone, or all from the whole one on.
std::vector<note_reference> missing(const head& value, note_version have);

/// What became of an offered note or model.
enum class verdict : std::uint8_t {
  accepted,
  known,     // the version in force, same content
  older,     // a version below the one in force: ignored
  conflict,  // the version in force, other content: refused loudly
  invalid,   // refused whole, with its reason
  gap,       // builds on a version that is not held
};
std::string_view name_of(verdict which) noexcept;

struct offer_outcome {
  verdict result{};
  std::optional<note_error> error;
  /// When accepted: the model of each version on the way, oldest first. What
  /// daemons owe each other depends on the versions between, too.
  std::vector<model_ptr> steps;
  /// Whether `steps` follows on the model before without a gap; a whole note
  /// skips the versions between.
  bool gapless = false;
};

/// Holds the model in force. Versions only rise, whatever the sources say;
/// a refused note leaves the model as it was.
class note_store {
 public:
  note_store();

  /// Offers one note, from a peer or the configuration service.
  offer_outcome offer(const release_note& note);

  /// Offers a chain of notes whose end must have the digest stated.
  /// Nothing is accepted unless every note of the chain is valid.
  offer_outcome offer_chain(const std::vector<release_note>& chain,
                            std::optional<std::uint64_t> digest);

  const model_ptr& model() const noexcept { return model_; }
  note_version version() const noexcept { return model_->version; }
  std::uint64_t digest() const noexcept { return model_->digest; }

  /// Returns the notes that bring a holder of `from` up to date: the kept
  /// increments if they reach back that far, else one whole note.
  std::vector<release_note> since(note_version from) const;

 private:
  void remember(const release_note& note);

  model_ptr model_;
  /// The newest increments, oldest first, bounded in number and bytes.
  std::vector<release_note> recent_;
  /// The whole note of the model in force, made on first use.
  mutable std::optional<release_note> whole_;
};

}  // namespace medlarloft::notes
