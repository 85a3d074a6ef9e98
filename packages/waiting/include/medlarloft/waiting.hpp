#pragma once

/// Queueing of requests while all leafs of a service are busy: the order in
/// which they get free leafs, and an estimate of their wait. State machines
/// without I/O; the time is an argument.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

#include "medlarloft/base.hpp"
#include "medlarloft/leafs.hpp"

namespace medlarloft::waiting {

/// Identifies one entry of a wait queue.
using entry_id = std::uint64_t;

/// Requests that wait for a free leaf of a service, in the order in which they
/// get one: requests that can still meet their soft deadline before late ones,
/// then by priority, then by soft deadline. Every fourth turn ignores the
/// priority, so that none starves.
///
///     const auto id = queue.add("index", {.priority = 1, .wake = send});
///     queue.wake_waiters(now, "index", [] { return a_leaf_is_free(); });
class wait_queue {
 public:
  struct waiter {
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    time_point soft_deadline;
    /// Tries to pick a leaf and, if successful, removes the entry.
    std::function<void()> wake;
  };

  entry_id add(const std::string& service, waiter entry);
  void remove(const std::string& service, entry_id id);

  /// Returns the entry that gets the next free leaf.
  std::optional<entry_id> next(time_point now,
                               const std::string& service) const;
  /// Wakes one waiter after another while there is capacity. Stops at a waiter
  /// that stays in the queue.
  void wake_waiters(time_point now, const std::string& service,
                    const std::function<bool()>& has_capacity);
  /// Returns how many entries would be served before such a request.
  std::size_t count_ahead(time_point now, const std::string& service,
                          std::uint32_t priority,
                          time_point soft_deadline) const;
  /// Number of entries for all services.
  std::size_t size() const noexcept { return size_; }

 private:
  struct entry_key {
    std::uint32_t priority = 0;
    time_point soft_deadline;
    entry_id id = 0;

    friend auto operator<=>(const entry_key&, const entry_key&) = default;
  };
  using entry_map = std::map<entry_key, std::function<void()>>;
  struct service_queue {
    entry_map waiters;
    std::uint32_t served = 0;
  };
  static entry_map::const_iterator next_entry(const service_queue& queue,
                                              time_point now);

  std::unordered_map<std::string, service_queue> queues_;
  entry_id last_id_ = 0;
  std::size_t size_ = 0;
};

/// Estimated time until a request gets a free leaf, and from then to its
/// response.
struct wait_estimate {
  /// Mean wait.
  duration wait{};
  /// Until then no leaf takes a request, whoever is first in the queue.
  duration min_wait{};
  duration response_time{};
};

/// Picks leafs for one request in competition with the other requests of the
/// daemon: a free leaf goes to the first request in the wait queue.
class leaf_picker {
 public:
  struct options {
    /// Class of requests that have similar processing times.
    std::string work_class;
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    time_point soft_deadline;
  };

  leaf_picker(leafs::leaf_set& leafs, wait_queue& queue, options settings)
      : leafs_(leafs), queue_(queue), options_(std::move(settings)) {}
  ~leaf_picker();
  leaf_picker(const leaf_picker&) = delete;
  leaf_picker& operator=(const leaf_picker&) = delete;

  result<leafs::leaf_handle, leafs::unavailable_reason> pick(
      time_point now, const std::string& service,
      const leafs::leaf_filter& filter);
  /// Estimates the wait from now on; the mean is zero if none is known.
  wait_estimate estimate_wait(time_point now, const std::string& service) const;

  void join_queue(const std::string& service, std::function<void()> wake);
  void leave_queue(const std::string& service);

  /// Wakes waiting requests; call after a request to a leaf of the service
  /// ended.
  static void wake_waiters(time_point now, const leafs::leaf_set& leafs,
                           wait_queue& queue, const std::string& service);

 private:
  leafs::leaf_set& leafs_;
  wait_queue& queue_;
  options options_;
  std::map<std::string, entry_id> entries_;
};

}  // namespace medlarloft::waiting
