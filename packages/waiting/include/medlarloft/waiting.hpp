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
using ticket = std::uint64_t;

/// Requests that wait for a free leaf of a service, in the order in which they
/// get one: those that can still be in time before those that cannot, then the
/// most urgent rank, then the earliest objective. Each fourth place goes to
/// whoever is due first, so that no rank waits for good.
///
///     const auto place = all.join("index", {.rank = 1, .due = due});
///     all.freed(now, "index", [] { return a_leaf_is_free(); });
class line {
 public:
  struct waiter {
    /// 0 is the most urgent.
    std::uint32_t rank = 0;
    time_point due;
    /// Looks for a leaf; leaves the line if it got one.
    std::function<void()> wake;
  };

  ticket join(const std::string& service, waiter who);
  void leave(const std::string& service, ticket which);

  /// Who gets the next leaf that is free.
  std::optional<ticket> first(time_point now, const std::string& service) const;
  /// Wakes one after the other while there is room and each makes use of it.
  void freed(time_point now, const std::string& service,
             const std::function<bool()>& has_room);
  /// How many would go before one like this.
  std::size_t ahead(time_point now, const std::string& service,
                    std::uint32_t rank, time_point due) const;
  /// Places in the lines of all services.
  std::size_t size() const noexcept { return size_; }

 private:
  struct place {
    std::uint32_t rank = 0;
    time_point due;
    ticket number = 0;

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
  ticket last_ = 0;
  std::size_t size_ = 0;
};

/// How long a request that waits for a free leaf would take.
struct estimate {
  duration wait{};
  duration work{};
};

/// The choice of leafs for one request among all that a daemon runs: a leaf
/// that is free goes to the request whose turn it is.
class leaf_choice {
 public:
  struct options {
    /// What the leafs learn work times for.
    std::string work;
    std::uint32_t rank = 0;
    time_point due;
  };

  leaf_choice(leafs::leaf_set& leafs, line& waiters, options settings)
      : leafs_(leafs), line_(waiters), options_(std::move(settings)) {}
  ~leaf_choice();
  leaf_choice(const leaf_choice&) = delete;
  leaf_choice& operator=(const leaf_choice&) = delete;

  result<leafs::leaf_handle, leafs::no_leaf> pick(
      time_point now, const std::string& service,
      const leafs::pick_options& limits);
  /// Waiting counts from now; zero if nothing is known.
  estimate expect(time_point now, const std::string& service) const;

  void join(const std::string& service, std::function<void()> wake);
  void leave(const std::string& service);

  /// A request to a leaf of the service ended: lets those go on who wait.
  static void freed(time_point now, const leafs::leaf_set& leafs, line& waiters,
                    const std::string& service);

 private:
  leafs::leaf_set& leafs_;
  line& line_;
  options options_;
  std::map<std::string, ticket> tickets_;
};

}  // namespace medlarloft::waiting
