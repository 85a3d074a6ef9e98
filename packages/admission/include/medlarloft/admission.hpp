#pragma once

/// Admission control under overload by service class and deadline, and
/// at-most-once execution of non-idempotent requests. Pure state machines; the
/// time is an argument.

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

/// Why a query was refused before it ran.
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
  /// Delay after which the caller may retry.
  duration retry_after{};
  /// A queued query of a lower class that was removed in favour of this one.
  std::optional<std::uint64_t> evicted;
};

/// Bounds the number of running queries and queues the rest by class, then by
/// deadline. Lower classes may use only a fraction of the capacity, which
/// leaves room for higher ones. Queries that would miss their deadline are
/// refused at once.
class concurrency_limiter {
 public:
  struct options {
    std::uint32_t max_running = 64;
    std::uint32_t max_queued = 256;
    /// Fraction of `max_running` that each class may use.
    std::array<double, notes::service_class_count> running_fraction{1.0, 0.9,
                                                                    0.7};
    /// Fraction of `max_queued` that each class may use.
    std::array<double, notes::service_class_count> queue_fraction{1.0, 0.75,
                                                                  0.5};
  };

  explicit concurrency_limiter(options settings) : options_(settings) {}

  decision submit(time_point now, std::uint64_t id, service_class priority,
                  time_point deadline);

  /// Waiting queries to run now, and those to refuse because their deadline has
  /// passed.
  struct released {
    std::vector<std::uint64_t> run;
    std::vector<std::uint64_t> refused;
  };
  /// Records that a running query ended after `run_time`.
  released finish(time_point now, duration run_time);

  /// Removes a waiting query, for example because its caller disconnected.
  void remove_waiting(std::uint64_t id);

  std::uint32_t running() const noexcept { return running_; }
  std::size_t waiting() const noexcept { return waiting_.size(); }
  /// Moving average of the run time; zero before the first query has ended.
  duration average_run_time() const noexcept { return average_run_time_; }

 private:
  struct waiter {
    std::uint64_t id = 0;
    service_class priority{};
    time_point deadline;
  };

  bool has_capacity(service_class priority) const noexcept;
  duration expected_wait(service_class priority) const noexcept;

  options options_;
  std::uint32_t running_ = 0;
  /// Sorted by class, then by deadline.
  std::vector<waiter> waiting_;
  duration average_run_time_{};
};

/// Adaptive throttling of one service: refuses a fraction of its queries while
/// its backend servers are overloaded, which spares them the work of refusing.
/// The fraction of each class follows from its tries, refused ones included,
/// and its successes. Lower classes are throttled first, since servers serve
/// them last.
class throttle {
 public:
  struct options {
    /// Ratio of tries to successes above which each class is throttled.
    std::array<double, notes::service_class_count> tries_per_success{2.0, 1.3,
                                                                     1.1};
    /// Maximum refused fraction of each class. Below 1, since admitted queries
    /// show when the servers have recovered.
    std::array<double, notes::service_class_count> max_refused_fraction{
        0.6, 0.8, 0.95};
    duration half_life = std::chrono::seconds(2);
    /// Minimum number of tries in a class before any is refused.
    double min_tries = 20;
  };

  explicit throttle(options settings) : options_(settings) {}

  /// Whether to admit a query. `random_unit` is uniform in [0, 1).
  bool admit(time_point now, service_class priority, double random_unit);
  /// Records whether an admitted query succeeded.
  void record(time_point now, service_class priority, bool success);

 private:
  struct counters {
    double tries = 0;
    double successes = 0;
    time_point updated_at{};
  };

  counters& decayed(time_point now, service_class priority);

  options options_;
  std::array<counters, notes::service_class_count> counters_{};
};

/// Execution state of a non-idempotent request.
enum class request_state : std::uint8_t { running, answered, unknown, not_run };

/// How to handle a non-idempotent request.
enum class dedup_verdict : std::uint8_t {
  run,      // not seen before: run it now
  repeat,   // has ended here: return the stored answer
  running,  // is running here
  unknown,  // an earlier owner may have run it
  expired,  // issued too long ago to detect a repetition
  early,    // issued in the future, beyond the allowed skew
  full,     // the table is full; certainly not run
};
std::string_view name_of(dedup_verdict value) noexcept;

/// Deduplicates the non-idempotent requests that this daemon owns. A request
/// runs only if it was issued after this daemon became the owner of its id, so
/// that no earlier owner can have run it. It is stored for longer than callers
/// may repeat it.
class dedup_table {
 public:
  struct options {
    /// Callers may repeat a request for this long after it was issued.
    duration repeat_window = std::chrono::seconds(60);
    /// Maximum clock skew between a caller and this daemon.
    duration max_skew = std::chrono::seconds(1);
    std::size_t capacity = 100'000;
  };

  /// `created_at`: requests issued before are unknown to this table.
  dedup_table(options settings, wall_time created_at)
      : options_(settings), created_at_(created_at) {}

  /// Returns how to handle a request. After `run`, `finish` must be called.
  /// `owner_since`: no other daemon can have run the id after this time.
  dedup_verdict try_start(wall_time now, const std::string& id,
                          wall_time issued, wall_time owner_since);

  /// Records how a request ended. One that did not run may start again.
  void finish(const std::string& id, request_state state, std::string answer);

  /// Returns the stored answer of a request that ended.
  std::optional<std::string> answer(const std::string& id) const;

  std::size_t size() const noexcept { return requests_.size(); }

 private:
  struct entry {
    request_state state = request_state::running;
    wall_time issued;
    std::string answer;
  };
  void remove_expired(wall_time now);

  options options_;
  wall_time created_at_;
  std::map<std::string, entry> requests_;
};

}  // namespace medlarloft::admission
