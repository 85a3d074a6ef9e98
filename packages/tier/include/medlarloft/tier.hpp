#pragma once

/// A daemon on a platform that is only read. Callers connect on their own; the
/// configuration and the backend servers come from the platform's store; and
/// daemons send each other what the store cannot provide in time. Everything
/// runs on one event loop in one thread.

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "medlarloft/base.hpp"
#include "medlarloft/documents.hpp"
#include "medlarloft/fanout.hpp"
#include "medlarloft/http.hpp"
#include "medlarloft/leafs.hpp"
#include "medlarloft/quota.hpp"
#include "medlarloft/replica.hpp"
#include "medlarloft/routes.hpp"

namespace medlarloft::tier {

/// How soon after a change in the store all daemons must have applied it.
struct propagation_limits {
  /// For a leaf that leaves: it gets no new requests from then on.
  duration leaf_leaves = std::chrono::seconds(3);
  duration configuration = std::chrono::seconds(3);
};

/// Settings of one daemon. Every value comes from the settings file.
struct settings {
  std::string id;
  std::string data_centre;
  std::string region;
  struct {
    endpoint callers;
    endpoint readiness;
    endpoint addresses;
    /// For messages between daemons.
    endpoint control;
    /// The address at which other daemons reach `control`, if it differs.
    std::optional<endpoint> control_announced;
    /// Metrics in the Prometheus text format; not served if the port is 0.
    endpoint metrics;
  } listen;
  /// Control addresses of some daemons; they may be out of date.
  std::vector<endpoint> seeds;
  /// The platform's store.
  endpoint store;
  /// Whether the whole deployment starts for the first time.
  bool first_deployment = false;
  /// Limits of retries and hedges; see `fanout::retry_budget`.
  struct {
    double ratio = 0.2;
    duration window = std::chrono::seconds(10);
    double slack = 0;
  } retries;
  /// How far the requests of an account may exceed its quota in a window.
  quota::tolerance quota;
  propagation_limits act_within;
  /// From the stop signal to the end of the process.
  duration stop_within = std::chrono::seconds(6);
  /// How long callers may cache addresses at most.
  duration longest_keep = std::chrono::seconds(5);
  struct {
    /// Fraction of a core that this daemon has.
    double share = 1.0;
    /// Speed of that core relative to the usual one.
    double speed = 1.0;
  } processor;
  /// Bandwidth of the host's link in each direction, in Mbit/s; 0: not known.
  double link_mbps = 0;
  std::size_t max_descriptors = 1024;
  /// Memory limit of the process.
  std::size_t memory_bytes = std::size_t{256} << 20;
};

/// Parses the settings file. An error names the key path, the value and the
/// reason.
documents::document_result<settings> read_settings(std::string_view text);

/// A record of operators that takes a data centre out of service.
struct data_centre_out {
  std::string data_centre;
};
/// A record with an unknown key, or a malformed one. A malformed record of a
/// leaf removes the leaf; all others change nothing.
struct ignored_record {
  std::string reason;
};
/// The decoded value of a record of the store.
using record = std::variant<routes::configuration, leafs::leaf_registration,
                            data_centre_out, ignored_record>;

enum class record_kind : std::uint8_t {
  configuration,
  leaf,
  data_centre_out,
  other,
};
/// What a key of the store identifies.
struct parsed_key {
  record_kind kind = record_kind::other;
  /// The leaf or the data centre.
  std::string name;
};

/// One page of the listing of all records. The era of the positions in a page
/// is 0; the reader of the store sets it.
struct listing_page {
  std::vector<replica::change> records;
  /// The store's revision when it was read.
  replica::revision revision = 0;
  bool has_more = false;
};

/// The changes after a revision, or the first of them.
struct changes_page {
  std::vector<replica::change> changes;
  /// The store's revision, or that of the last change if the page is full.
  replica::revision revision = 0;
  /// Whether the store may have later changes that did not fit into the page.
  bool may_have_more = false;
};

enum class adapter_errc : std::uint8_t { malformed };
using adapter_error = basic_error<adapter_errc>;

/// The values of a caller's request that the daemon uses itself.
struct request_metadata {
  std::string request_id;
  std::string host;
  /// Shows to which client account the caller belongs; empty if the request has
  /// no key, or several.
  std::string key;
  /// How long the caller still waits; nothing if the request does not state it.
  std::optional<duration> remaining;
};

/// The client account for which a request is sent to leafs.
struct account_identity {
  /// Whether the configuration names accounts. If not, what the request itself
  /// says about accounts and keys passes through unchanged.
  bool accounts_configured = false;
  /// Empty if the request belongs to no account.
  std::string name;
};

/// The values of a leaf's response that the daemon uses itself.
struct response_metadata {
  std::string signature;
  /// The leaf did not run the request.
  bool not_run = false;
  /// The request was meant for another leaf that had this address.
  bool misdirected = false;
  leafs::leaf_report report;
};

/// A caller's request for the addresses of daemons.
struct address_request {
  std::string data_centre;
  std::string region;
};

/// Translates between a platform's formats and the daemon's types. It makes no
/// decisions.
struct adapter {
  /// Request targets and responses of the store.
  std::function<std::string(std::string_view after_key)> listing_target;
  std::function<std::string(replica::revision after, duration timeout)>
      changes_target;
  std::function<result<listing_page, adapter_error>(std::string_view)>
      read_listing;
  std::function<result<changes_page, adapter_error>(std::string_view)>
      read_changes;
  /// Returns the era that a response of the store states, or nothing if it
  /// states none.
  std::function<result<std::optional<replica::era>, adapter_error>(
      const http::message&)>
      read_store_era;
  /// Prefix of the keys that operators write.
  std::string operator_prefix;
  std::function<parsed_key(std::string_view key)> parse_key;
  std::function<record(std::string_view key, std::string_view value)>
      read_record;

  std::function<request_metadata(const http::message&)> read_request_metadata;
  /// Returns the request that is sent to every leaf, without the headers of a
  /// single leaf.
  std::function<http::message(const http::message& request,
                              const account_identity& account)>
      make_leaf_request;
  /// Returns the headers added for one leaf; `remaining` is the time until the
  /// caller's deadline.
  std::function<std::vector<header>(const leafs::leaf_registration& to,
                                    duration remaining)>
      make_leaf_headers;
  std::function<response_metadata(const http::message&)> read_response_metadata;
  /// Tells whether a leaf's response belongs to the request with this id.
  std::function<http::response_match(const http::message&,
                                     std::string_view request_id)>
      match_response;
  /// Returns the headers of the merged response of a gather.
  std::function<std::vector<header>(const std::string& request_id,
                                    const std::vector<fanout::leaf_response>&,
                                    std::uint32_t missing)>
      make_gather_headers;

  std::function<std::optional<address_request>(const http::message&)>
      read_address_request;
  std::function<std::string(const std::vector<endpoint>&, duration ttl)>
      write_addresses;
  std::function<bool(const http::message&)> is_readiness_request;
};

enum class tier_errc : std::uint8_t { cannot_start };
using tier_error = basic_error<tier_errc>;

/// Blocks or unblocks the signals that a daemon handles, for this thread. A
/// program blocks them at its start, so that none ends it before the daemon can
/// handle them; a daemon unblocks them once it can.
void set_signals_blocked(bool blocked);

/// One daemon. `run` blocks until the daemon has stopped after a signal, and
/// returns an error at once if it cannot start.
class daemon {
 public:
  daemon(settings initial_settings, adapter platform);
  ~daemon();
  daemon(const daemon&) = delete;
  daemon& operator=(const daemon&) = delete;

  result<void, tier_error> run();

  /// Sets the function that reads the settings file again on SIGHUP; it returns
  /// nothing if the file is invalid. Only its validity is logged; the settings
  /// in use stay.
  void on_reload(std::function<std::optional<settings>()> reload);

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace medlarloft::tier
