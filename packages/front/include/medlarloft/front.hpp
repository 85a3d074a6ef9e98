#pragma once

/// The texts that callers and backend servers see: JSON requests and answers.
/// Parsing and writing only; no decisions.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "medlarloft/base.hpp"
#include "medlarloft/documents.hpp"
#include "medlarloft/notes.hpp"
#include "medlarloft/query.hpp"

namespace medlarloft::front {

/// A caller's query as written; absent fields take the service's defaults.
struct caller_query {
  std::string request_id;
  std::string service;
  std::optional<notes::service_class> priority;
  std::optional<duration> deadline;
  std::optional<bool> idempotent;
  std::optional<double> coverage_wanted;
  /// A single key, hashed to its position; empty for all keys.
  std::string key;
  /// When the caller issued the request; needed if it is not idempotent.
  std::optional<wall_time> issued_at;
  /// Whether this request id was sent before; then "not run" cannot be said
  /// by a daemon that does not know what became of it.
  bool repeat = false;
  notes::snapshot_id snapshot = 0;
  std::size_t row_limit = 100;
  std::string body;
};

documents::document_result<caller_query> read_query(std::string_view text);
std::string write_query(const caller_query& value);

/// Returns the position of a key in the key space.
std::uint64_t position_of(std::string_view key) noexcept;

/// The distinct ends of a request, as a caller sees them.
enum class outcome_kind : std::uint8_t { answered, not_run, unknown, invalid };
std::string_view name_of(outcome_kind kind) noexcept;
/// HTTP status of each kind.
int status_of(outcome_kind kind) noexcept;

struct caller_answer {
  std::string request_id;
  outcome_kind outcome{};
  bool complete = false;
  query::coverage coverage;
  notes::snapshot_id snapshot = 0;
  std::vector<query::row> rows;
  std::string reason;
  /// With not_run: when to try again, and where else.
  duration retry_after{};
  std::vector<endpoint> addresses;
};

std::string write_answer(const caller_answer& value);
documents::document_result<caller_answer> read_answer(std::string_view text);

struct address_answer {
  std::vector<endpoint> addresses;
  duration keep_for{};
};
std::string write_addresses(const address_answer& value);
documents::document_result<address_answer> read_addresses(
    std::string_view text);

/// Returns the value of a parameter in a target such as "/a?x=1&y=2".
std::string parameter(std::string_view target, std::string_view name);

/// One request to a backend server.
struct leaf_request {
  std::string request_id;
  query::attempt_id attempt = 0;
  std::string service;
  std::string shard;
  notes::key_range range;
  notes::snapshot_id snapshot = 0;
  notes::service_class priority{};
  duration deadline{};
  bool idempotent = true;
  std::size_t row_limit = 100;
  std::string body;
};

std::string write_leaf_request(const leaf_request& value);
documents::document_result<leaf_request> read_leaf_request(
    std::string_view text);

enum class leaf_outcome : std::uint8_t {
  answered,
  shed,       // not run
  leaving,    // not run
  gone,       // not run: the snapshot is not there
  cancelled,  // may have run
  late,       // the deadline passed; may have run
};

/// One answer of a backend server.
struct leaf_reply {
  std::string request_id;
  query::attempt_id attempt = 0;
  leaf_outcome outcome{};
  query::leaf_answer answer;
  std::string start_id;
  bool cold = false;
  bool leaving = false;
  notes::snapshot_id oldest = 0;
  notes::snapshot_id newest = 0;
};

std::string write_leaf_reply(const leaf_reply& value);
documents::document_result<leaf_reply> read_leaf_reply(std::string_view text);

/// What a backend server says of itself; it lags and may mislead.
struct leaf_health {
  std::string start_id;
  bool cold = false;
  bool leaving = false;
  std::uint32_t in_flight = 0;
  notes::snapshot_id oldest = 0;
  notes::snapshot_id newest = 0;
};

std::string write_health(const leaf_health& value);
documents::document_result<leaf_health> read_health(std::string_view text);

}  // namespace medlarloft::front
