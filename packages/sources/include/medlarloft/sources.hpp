#pragma once

/// Reading what the platform publishes: release notes from the configuration
/// service and the list of hosts. Pure state machines decide when to read
/// what, within a budget for all readers together; adapters behind hooks do
/// the reading.

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "medlarloft/base.hpp"
#include "medlarloft/notes.hpp"

namespace medlarloft::sources {

using notes::note_version;

/// What the platform's service bears, over all readers of the fleet.
inline constexpr double service_reads_per_second = 2000;
/// Share of it that daemons without the watching duty may use together.
inline constexpr double common_share = 0.5;
/// Share of it that the watchers may use together.
inline constexpr double watcher_share = 0.25;
/// Daemons of each data centre that watch the configuration.
inline constexpr std::size_t watchers_per_data_centre = 2;

/// Returns the reads per second of one daemon, such that all together stay
/// under the service's rate even if every daemon restarts at once.
double reads_per_second(std::size_t expected_daemons,
                        std::size_t expected_data_centres, bool watcher);

enum class read_status : std::uint8_t {
  value,      // the value, new or not
  unchanged,  // a watch ended without news
  missing,    // the service answers, but has no such value
  failed,     // down, slow, or nonsense
};

struct read_request {
  std::string key;
  /// A watch returns when the value differs from this tag, or after `wait`.
  std::string tag;
  duration wait{};
};

struct read_answer {
  read_status status{};
  std::string text;
  std::string tag;
  std::string reason;
};

/// Notes that were read whole, to be offered to the note store.
struct read_notes {
  std::vector<notes::release_note> chain;
  std::uint64_t digest = 0;
};

struct reader_outputs {
  /// The one read to start now; answered by `on_answer`.
  std::optional<read_request> read;
  std::optional<read_notes> notes;
  /// A value that is refused: corrupt, half written, too large.
  std::optional<std::string> refused;
  /// Set when the service begins to fail, or works again.
  std::optional<bool> healthy;
  time_point wake_at = time_point::max();
};

struct reader_options {
  std::size_t expected_daemons = 8;
  std::size_t expected_data_centres = 3;
  duration watch_wait = std::chrono::seconds(20);
  /// After a failure the pause doubles between these.
  duration retry_least = std::chrono::milliseconds(250);
  duration retry_most = std::chrono::seconds(10);
  /// A daemon that takes over the watch waits up to this long first.
  duration takeover_jitter = std::chrono::seconds(1);
  /// Without any peer, a daemon reads by itself after this long.
  duration alone_after = std::chrono::seconds(2);
  std::uint64_t random_seed = 1;
};

/// Decides on reads of the configuration: one at a time, within the budget.
class note_reader {
 public:
  explicit note_reader(reader_options options);

  /// `watcher`: whether this daemon has the duty to watch. `bootstrap`:
  /// whether it must read by itself because no peer told it anything.
  reader_outputs tick(time_point now, bool watcher, bool bootstrap,
                      note_version have);
  reader_outputs on_answer(time_point now, note_version have,
                           const read_answer& answer);

  /// When the service last answered.
  std::optional<time_point> last_success() const noexcept {
    return last_success_;
  }
  std::uint64_t reads() const noexcept { return reads_; }

 private:
  void start_read(time_point now, reader_outputs& out);
  void failed(time_point now, reader_outputs& out);
  void on_head(time_point now, note_version have, const read_answer& answer,
               reader_outputs& out);
  void on_part(time_point now, const read_answer& answer, reader_outputs& out);
  void next_note(time_point now, reader_outputs& out);
  void refuse(time_point now, std::string reason, reader_outputs& out);
  bool take_token(time_point now);
  token_bucket common_budget();

  reader_options options_;
  random_generator random_;
  token_bucket common_;
  token_bucket watching_;
  bool watcher_ = false;
  bool bootstrap_ = false;
  bool reading_ = false;
  bool healthy_ = true;
  std::string tag_;
  time_point not_before_{};
  time_point watch_from_{};
  std::optional<time_point> alone_since_;
  duration pause_;
  std::optional<time_point> last_success_;
  std::uint64_t reads_ = 0;
  /// The notes of a head that are being fetched, part by part.
  std::optional<notes::head> head_;
  std::string head_tag_;
  std::vector<notes::note_reference> wanted_;
  std::vector<std::string> parts_;
  std::vector<notes::release_note> chain_;
};

/// One host of the platform's list.
struct host_entry {
  std::string id;
  bool leaving = false;
};

enum class host_list_errc { malformed };
using host_list_error = basic_error<host_list_errc>;

/// Reads the host list: {"hosts": [{"id": ..., "leaving": ...}]}.
result<std::vector<host_entry>, host_list_error> read_host_list(
    std::string_view text);

/// What changed in the host list about known backend servers. A host that
/// vanishes is not leaving: the list lags, and running requests go on.
class host_list_state {
 public:
  /// Takes a list; returns the hosts whose state differs from before.
  std::vector<host_entry> take(std::vector<host_entry> list);
  /// Returns the hosts that leave.
  std::vector<std::string> leaving() const;

 private:
  std::vector<host_entry> hosts_;
};

}  // namespace medlarloft::sources
