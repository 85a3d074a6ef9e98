#pragma once

/// Who gets the next leaf that is free when there are more requests than
/// places: the order of those that wait, and what to expect of waiting. Pure
/// state machines; time is an argument.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

#include "medlarloft/base.hpp"
#include "medlarloft/leafs.hpp"

namespace medlarloft::waiting {

/// Names one place in a line.
using entry_id = std::uint64_t;

/// Requests that wait for a free leaf of a service, in the order in which they
/// get one: those that can still be in time before those that cannot, then the
/// most urgent rank, then the earliest objective. Each fourth place goes to
/// whoever is due first, so that no rank waits for good.
///
///     const auto place = all.join("index", {.rank = 1, .due = due});
///     all.freed(now, "index", [] { return a_leaf_is_free(); });
class wait_queue {
 public:
  struct waiter {
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    time_point soft_deadline;
    /// Looks for a leaf; leaves the line if it got one.
    std::function<void()> wake;
  };

  entry_id add(const std::string& service, waiter who);
  void remove(const std::string& service, entry_id id);

  /// Who gets the next leaf that is free.
  std::optional<entry_id> next(time_point now,
                               const std::string& service) const;
  /// Wakes one after the other while there is room and each makes use of it.
  void wake_waiters(time_point now, const std::string& service,
                    const std::function<bool()>& has_room);
  /// How many would go before one like this.
  std::size_t count_ahead(time_point now, const std::string& service,
                          std::uint32_t priority,
                          time_point soft_deadline) const;
  /// Places in the lines of all services.
  std::size_t size() const noexcept { return size_; }

 private:
  struct place {
    std::uint32_t priority = 0;
    time_point soft_deadline;
    entry_id number = 0;

    friend auto operator<=>(const place&, const place&) = default;
  };
  using place_map = std::map<place, std::function<void()>>;
  struct service_line {
    place_map waiters;
    std::uint32_t turns = 0;
  };
  static place_map::const_iterator next_of(const service_line& of,
                                           time_point now);

  std::unordered_map<std::string, service_line> lines_;
  entry_id last_ = 0;
  std::size_t size_ = 0;
};

/// How long a request that waits for a free leaf would take.
struct wait_estimate {
  duration wait{};
  duration work_time{};
};

/// The choice of leafs for one request among all that a daemon runs: a leaf
/// that is free goes to the request whose turn it is.
class leaf_picker {
 public:
  struct options {
    /// What the leafs learn work times for.
    std::string work_class;
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
      const leafs::pick_options& limits);
  /// Waiting counts from now; zero if nothing is known.
  wait_estimate estimate_wait(time_point now, const std::string& service) const;

  void join_queue(const std::string& service, std::function<void()> wake);
  void leave_queue(const std::string& service);

  /// A request to a leaf of the service ended: lets those go on who wait.
  static void wake_waiters(time_point now, const leafs::leaf_set& leafs,
                           wait_queue& queue, const std::string& service);

 private:
  leafs::leaf_set& leafs_;
  wait_queue& queue_;
  options options_;
  std::map<std::string, entry_id> entries_;
};

}  // namespace medlarloft::waiting
