#pragma once

/// Remembers the starts of leafs that no record names any more. A record can
/// return while its leaf runs on, for example by a write that the store carries
/// out late; what the leaf said of itself holds until it ends, not until its
/// record is removed. No I/O; time is an argument.

#include <list>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "medlarloft/leafs.hpp"

namespace medlarloft::leafs {

/// Whether both registrations describe the same start of the same leaf, which
/// never changes its address or service.
bool same_start(const leaf_registration& a, const leaf_registration& b);

class departed_leafs {
 public:
  struct options {
    /// Longer than a leaf runs on without a record, and than a write is late.
    duration kept_for = std::chrono::minutes(10);
    /// More than the leafs of the largest deployment. Beyond that the start
    /// that departed first is forgotten.
    std::size_t max_count = 40'000;
  };

  explicit departed_leafs(options settings) : options_(settings) {}

  void add(time_point now, leaf_handle leaf,
           std::shared_ptr<const leaf_registration> registration);
  /// Removes and returns the leaf that the registration describes. Nothing if
  /// none is remembered, or if the registration does not tell its start.
  std::optional<leaf_handle> take(const leaf_registration& registration);
  /// Removes and returns the leafs that are no longer remembered.
  std::vector<leaf_handle> take_expired(time_point now);

  std::size_t size() const noexcept { return entries_.size(); }

 private:
  struct entry {
    time_point departed_at;
    leaf_handle leaf = 0;
    std::shared_ptr<const leaf_registration> registration;
  };
  /// In the order of departure.
  using entry_list = std::list<entry>;
  using index = std::unordered_multimap<std::string, entry_list::iterator>;

  index::iterator find(const leaf_registration& registration);

  options options_;
  entry_list entries_;
  index by_id_;
};

}  // namespace medlarloft::leafs
