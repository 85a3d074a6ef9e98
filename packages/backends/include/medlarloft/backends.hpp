#pragma once

/// What a daemon knows of one backend server and what it may send there:
/// warmth, concurrency limit, leaving, and connections. Pure state machines;
/// time is an argument.

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "medlarloft/base.hpp"
#include "medlarloft/notes.hpp"
#include "medlarloft/placement.hpp"

namespace medlarloft::backends {

using placement::share;

/// How warm a server has shown itself to be to this daemon.
enum class warmth : std::uint8_t { cold, warm };

/// Why a server counts as cold again.
enum class cold_evidence : std::uint8_t {
  start_identity,   // another start identity in an answer
  lost_connection,  // the server closed or reset a connection
  slow_answers,     // several answers far slower than usual
  own_word,         // the server's answer says that it is cold
};
std::string_view name_of(cold_evidence why) noexcept;

/// Who said that a server leaves. Each source is kept apart: one that still
/// says "alive" does not take back what another said.
enum class leaving_source : std::uint8_t { note, host_list, drain, answer };
inline constexpr std::size_t leaving_source_count = 4;

/// How one request to a server ended.
enum class ending : std::uint8_t {
  answered,
  shed,             // refused, surely not run
  refused_leaving,  // refused because it leaves, surely not run
  lost,             // the connection died
  timed_out,
  other,  // says nothing about the server's state
};

/// What an answer tells about its server.
struct answer_facts {
  ending how{};
  duration latency{};
  /// Identity of the server's start; empty when nothing was heard.
  std::string start_id;
  bool says_cold = false;
  bool says_leaving = false;
};

/// Another home daemon's report that a server is warm.
struct warm_report {
  std::string start_id;
  /// When the reporter last had an answer from it, on the receiver's clock.
  time_point heard_at;
};

/// Limits and warmth of one server as one daemon sees it.
///
///     server_state server({.warm_after = 50});
///     server.set_share(share);
///     if (server.may_start(now)) { server.started(now); send(); }
class server_state {
 public:
  struct options {
    /// Answers in a row, from one start, after which a server counts as warm.
    std::uint32_t warm_after = 50;
    /// An answer slower than this many times the usual is sudden slowness.
    double slow_factor = 8.0;
    /// Slow answers in a row that count as evidence of cold.
    std::uint32_t slow_in_a_row = 3;
    /// Answers shorter than this are never slow.
    duration slow_floor = std::chrono::milliseconds(20);
    /// What the limit is multiplied by when the server sheds.
    double shed_factor = 0.7;
    /// A report counts only if it is newer than the last evidence of cold by
    /// this much, which covers its time on the way.
    duration report_margin = std::chrono::seconds(1);
    /// After a shed answer nothing is sent for this long.
    duration shed_pause = std::chrono::milliseconds(20);
  };

  explicit server_state(options settings) : options_(settings) {}

  void set_share(const share& granted);
  const share& granted() const noexcept { return share_; }

  /// Returns whether a request may be sent now.
  bool may_start(time_point now) const noexcept;
  void started(time_point now) noexcept;

  /// Takes the end of a request. Returns evidence of cold, if it was any.
  std::optional<cold_evidence> finished(time_point now,
                                        const answer_facts& facts);

  /// Takes the loss of an idle connection by the server's doing.
  std::optional<cold_evidence> connection_lost(time_point now);

  /// Takes what the health endpoint says. It lags and may mislead, so only
  /// its bad news counts: another start, or leaving.
  std::optional<cold_evidence> heard_health(time_point now,
                                            const std::string& start_id,
                                            bool says_leaving);

  /// Takes another home daemon's word; only word newer than the last evidence
  /// of cold, about the start that is known, counts. Returns whether the
  /// server became warm by it.
  bool take_report(const warm_report& report);

  void set_leaving(leaving_source source, bool leaves);
  bool leaving() const noexcept;

  backends::warmth warmth() const noexcept { return warmth_; }
  const std::string& start_id() const noexcept { return start_id_; }
  time_point last_answer() const noexcept { return last_answer_; }
  std::uint32_t in_flight() const noexcept { return in_flight_; }
  /// Requests at once that are allowed now.
  std::uint32_t limit() const noexcept;
  /// Usual latency; zero before the first answer.
  duration usual_latency() const noexcept { return usual_; }

 private:
  cold_evidence turn_cold(time_point now, cold_evidence why);
  bool is_slow(duration latency);
  void learn(const answer_facts& facts);

  options options_;
  share share_;
  backends::warmth warmth_ = warmth::cold;
  std::uint32_t answers_since_cold_ = 0;
  std::uint32_t slow_seen_ = 0;
  std::uint32_t in_flight_ = 0;
  double adaptive_limit_ = 0;
  duration usual_{};
  std::string start_id_;
  time_point cold_since_{};
  time_point last_answer_{};
  time_point paused_until_{};
  std::array<bool, leaving_source_count> leaving_{};
};

/// Decides how many connections a daemon holds to one server and when it
/// opens them. Connections that went silent still count against the share
/// for a while, since the server may still hold them.
class connection_policy {
 public:
  struct options {
    duration connection_cost = std::chrono::milliseconds(1);
    /// Open connections kept ready beyond those in use.
    std::uint32_t spare = 1;
    /// How long a lost connection is counted as still held by the server.
    duration lost_counts_for = std::chrono::seconds(30);
    /// Openings are spaced by this many times the connection's cost.
    double spacing = 2.0;
  };

  explicit connection_policy(options settings) : options_(settings) {}

  void set_limit(std::uint32_t connections) { limit_ = connections; }

  /// Returns whether a connection should be opened now, given those open (in
  /// use and idle) and those being opened.
  bool should_open(time_point now, std::uint32_t in_use, std::uint32_t idle,
                   std::uint32_t opening);
  void opened(time_point now);
  /// A connection was given up while the server may still count it.
  void went_silent(time_point now);

  /// Connections that this daemon still owes the server's count.
  std::uint32_t counted_lost(time_point now);

 private:
  options options_;
  std::uint32_t limit_ = 0;
  time_point next_opening_{};
  std::vector<time_point> lost_until_;
};

/// One request that waits for a free slot of a server.
struct waiting_request {
  std::uint64_t id = 0;
  notes::service_class priority{};
  time_point deadline;
};

/// A bounded queue by class, then deadline. When it is full the least urgent
/// request of the lowest class gives way.
class wait_queue {
 public:
  explicit wait_queue(std::size_t capacity) : capacity_(capacity) {}

  /// Adds a request; returns the id of the one that had to give way, which
  /// may be the new one.
  std::optional<std::uint64_t> push(const waiting_request& request);

  /// Takes the most urgent request.
  std::optional<waiting_request> pop();

  /// Removes the requests whose deadline has passed and returns their ids.
  std::vector<std::uint64_t> expire(time_point now);

  bool remove(std::uint64_t id);
  std::size_t size() const noexcept { return waiting_.size(); }

 private:
  std::size_t capacity_;
  /// Sorted, the most urgent first.
  std::vector<waiting_request> waiting_;
};

}  // namespace medlarloft::backends
