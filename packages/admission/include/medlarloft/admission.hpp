#pragma once

/// What a daemon takes on: classes and deadlines under overload, and requests
/// that run at most once. Pure state machines; time is an argument.

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "medlarloft/base.hpp"
#include "medlarloft/notes.hpp"

namespace medlarloft::admission {

using notes::service_class;

enum class verdict : std::uint8_t { run, wait, refuse };

/// Why a query was refused before any work.
enum class refusal : std::uint8_t {
  none,
  queue_full,
  would_be_late,
  throttled,
  deadline_passed,
};
std::string_view name_of(refusal reason) noexcept;

struct decision {
  verdict action{};
  refusal reason = refusal::none;
  /// When a caller may try again.
  duration retry_after{};
  /// A waiting query of a lower class that gives way to this one.
  std::optional<std::uint64_t> evicted;
};

/// Lets a bounded number of queries run and queues the rest by class, then
/// deadline. Lower classes may use only a part of the places, so that a
/// higher one always finds room; what would be late is refused at once.
class concurrency_limiter {
 public:
  struct options {
    std::uint32_t max_running = 64;
    std::uint32_t max_queued = 256;
    /// Share of the places that each class may take, by class.
    std::array<double, notes::service_class_count> running_fraction{1.0, 0.9,
                                                                    0.7};
    /// Share of the queue that each class may fill.
    std::array<double, notes::service_class_count> queue_fraction{1.0, 0.75,
                                                                  0.5};
  };

  explicit concurrency_limiter(options settings) : options_(settings) {}

  decision submit(time_point now, std::uint64_t id, service_class priority,
                  time_point deadline);

  /// A running query ended after `took`; returns the waiting queries that run
  /// now and those that are refused since their deadline cannot be met.
  struct released {
    std::vector<std::uint64_t> run;
    std::vector<std::uint64_t> refused;
  };
  released finish(time_point now, duration took);

  /// A waiting query's caller went away.
  void remove_waiting(std::uint64_t id);

  std::uint32_t running() const noexcept { return running_; }
  std::size_t waiting() const noexcept { return waiting_.size(); }
  /// Usual time that a query runs; zero before the first has ended.
  duration average_run_time() const noexcept { return average_run_time_; }

 private:
  struct waiter {
    std::uint64_t id = 0;
    service_class priority{};
    time_point deadline;
  };

  bool has_place(service_class priority) const noexcept;
  duration expected_wait(service_class priority) const noexcept;

  options options_;
  std::uint32_t running_ = 0;
  /// Sorted, the most urgent first.
  std::vector<waiter> waiting_;
  duration average_run_time_{};
};

/// Refuses a share of a service's queries by itself while its backend servers
/// are overloaded, so that refused work costs nothing further down. For each
/// class the share follows from its tries, refused ones included, and its
/// successes; lower classes fail first, since servers serve them last.
class throttle {
 public:
  struct options {
    /// Tries per success that each class may cause before it is throttled.
    std::array<double, notes::service_class_count> tries_per_success{2.0, 1.3,
                                                                     1.1};
    /// Greatest share of each class that is refused, so that recovery shows.
    std::array<double, notes::service_class_count> max_refused_fraction{
        0.6, 0.8, 0.95};
    duration half_life = std::chrono::seconds(2);
    /// Below this many tries of a class nothing is refused.
    double min_tries = 20;
  };

  explicit throttle(options settings) : options_(settings) {}

  /// `draw` is uniform in [0, 1).
  bool admit(time_point now, service_class priority, double draw);
  /// Takes the end of an admitted query.
  void record(time_point now, service_class priority, bool success);

 private:
  struct counts {
    double tries = 0;
    double successes = 0;
    time_point last{};
  };

  counts& decayed(time_point now, service_class priority);

  options options_;
  std::array<counts, notes::service_class_count> counts_{};
};

/// What is known of a non-idempotent request id.
enum class request_state : std::uint8_t { running, answered, unknown, not_run };

/// What to do with a non-idempotent request.
enum class dedup_verdict : std::uint8_t {
  run,      // never seen here: run it now
  repeat,   // ended here before: give the same answer
  running,  // runs here now
  unknown,  // an earlier owner may have run it
  expired,  // issued too long ago to be told from a repetition
  early,    // issued in the future, beyond the allowed skew
  full,     // no room to remember it; surely not run
};
std::string_view name_of(dedup_verdict what) noexcept;

/// Remembers the non-idempotent requests of which this daemon is the owner.
/// A request is run only if it was issued inside of this daemon's time as the
/// owner, so that no earlier owner can have run it, and is remembered for
/// longer than it may be repeated.
class dedup_table {
 public:
  struct options {
    /// A request may be shown again for this long after it was issued.
    duration repeat_window = std::chrono::seconds(60);
    /// Greatest error of a caller's clock.
    duration max_skew = std::chrono::seconds(1);
    std::size_t capacity = 100'000;
  };

  /// `remembers_since`: when this ledger began; earlier ends are not known.
  dedup_table(options settings, wall_time remembers_since)
      : options_(settings), remembers_since_(remembers_since) {}

  /// Shows a request; `run` enters it, and the caller must report its end.
  /// `owner_since`: from when on no other daemon can have run the id.
  dedup_verdict try_start(wall_time now, const std::string& id,
                          wall_time issued, wall_time owner_since);

  /// Reports the end. A request that surely did not run may be shown again.
  void finish(const std::string& id, request_state how, std::string answer);

  /// Returns the kept answer of a request that ended.
  std::optional<std::string> answer(const std::string& id) const;

  std::size_t size() const noexcept { return known_.size(); }

 private:
  struct entry {
    request_state state = request_state::running;
    wall_time issued;
    std::string answer;
  };
  void expire(wall_time now);

  options options_;
  wall_time remembers_since_;
  std::map<std::string, entry> known_;
};

}  // namespace medlarloft::admission
