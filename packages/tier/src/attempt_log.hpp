#pragma once

/// The requests to leafs that serve one request of a caller: the connections
/// that they took, how they ended, and the lines about them in the log.

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "connection_pool.hpp"
#include "event_log.hpp"
#include "medlarloft/fanout.hpp"

namespace medlarloft::tier {

/// Durations are logged in whole microseconds.
duration to_whole_us(duration value);

struct attempt_record {
  leafs::attempt_id attempt = 0;
  std::size_t shard = 0;
  leafs::leaf_handle leaf = 0;
  std::shared_ptr<const leafs::leaf_registration> registration;
  connection_id connection = 0;
  fanout::attempt_kind kind{};
  time_point sent_at;
  duration expected_time{};
  /// Nothing while the attempt is open.
  std::optional<leafs::attempt_outcome> outcome;
  duration elapsed{};
};

class attempt_log {
 public:
  void add(attempt_record started) { records_.push_back(std::move(started)); }
  /// Sets the outcome of an attempt, which must have been added.
  const attempt_record& end(time_point now, leafs::attempt_id attempt,
                            leafs::attempt_outcome outcome);

  /// Returns the connections on which the request was sent to the leaf.
  std::vector<connection_id> connections_to(leafs::leaf_handle leaf) const;

  /// Writes a line for each attempt but the first ones that were answered.
  /// `services` holds the service of each shard; the lines give times since
  /// `received_at`.
  void write(event_log& log, const std::string& request_id,
             time_point received_at,
             const std::vector<std::string>& services) const;

 private:
  std::vector<attempt_record> records_;
};

}  // namespace medlarloft::tier
