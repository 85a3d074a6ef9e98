#pragma once

/// The daemon on a platform that is only read: callers connect by themselves,
/// the store tells the configuration and the backend servers, and daemons
/// tell each other what the store cannot tell in time. One loop, one thread.

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
#include "medlarloft/replica.hpp"
#include "medlarloft/routes.hpp"

namespace medlarloft::tier {

/// How long after a change of the store all daemons must act on it.
struct propagation_deadlines {
  /// A leaf that leaves gets no new request.
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
    /// Daemons among themselves.
    endpoint control;
    /// Where the others reach `control`, if that is another address.
    std::optional<endpoint> control_announced;
    /// Counters and histograms as text; port 0: not served.
    endpoint metrics;
  } listen;
  /// Control addresses of some daemons; they may be stale.
  std::vector<endpoint> seeds;
  /// The platform's store.
  endpoint store;
  /// The whole deployment starts, not only this daemon.
  bool first_deployment = false;
  struct {
    double ratio = 0.2;
    duration window = std::chrono::seconds(10);
    double slack = 0;
  } retries;
  propagation_deadlines act_within;
  /// From the stop signal to the end of the process.
  duration stop_within = std::chrono::seconds(6);
  /// Longest time that callers may keep addresses.
  duration longest_keep = std::chrono::seconds(5);
  struct {
    /// Part of a core that this daemon has.
    double share = 1.0;
    /// Speed of that core, 1 for the usual one.
    double speed = 1.0;
  } processor;
  std::size_t max_descriptors = 1024;
  /// Memory that the process may take.
  std::size_t memory_bytes = std::size_t{256} << 20;
};

/// Reads the settings; an error names the key path, the value and the reason.
documents::document_result<settings> read_settings(std::string_view text);

/// What a record of the store holds.
struct data_centre_out {
  std::string data_centre;
};
/// A record that is none of ours, or cannot be read; it changes nothing.
struct ignored_record {
  std::string reason;
};
using record = std::variant<routes::configuration, leafs::leaf_registration,
                            data_centre_out, ignored_record>;

/// What a key of the store names.
enum class record_kind : std::uint8_t {
  configuration,
  leaf,
  data_centre_out,
  other,
};
struct parsed_key {
  record_kind kind = record_kind::other;
  /// The leaf or the data centre.
  std::string name;
};

/// One page of a listing.
struct listing_page {
  std::vector<replica::change> records;
  replica::revision revision = 0;
  bool has_more = false;
};

struct changes_page {
  std::vector<replica::change> changes;
  replica::revision revision = 0;
};

enum class adapter_errc : std::uint8_t { malformed };
using adapter_error = basic_error<adapter_errc>;

/// What a caller says of its request beside method, path and body.
struct request_metadata {
  std::string request_id;
  std::string host;
  /// How long the caller waits; nothing: it does not say.
  std::optional<duration> remaining;
};

/// What a leaf's answer says beside status and body.
struct response_metadata {
  std::string signature;
  /// The leaf did not run the request.
  bool not_run = false;
  /// Another leaf has the address.
  bool misdirected = false;
};

struct address_request {
  std::string data_centre;
  std::string region;
};

/// The words of a platform, translated. It decides nothing.
struct adapter {
  /// Targets and answers of the store.
  std::function<std::string(std::string_view after_key)> listing_target;
  std::function<std::string(replica::revision after, duration wait)>
      changes_target;
  std::function<result<listing_page, adapter_error>(std::string_view)>
      read_listing;
  std::function<result<changes_page, adapter_error>(std::string_view)>
      read_changes;
  /// Keys under this prefix are the operators'.
  std::string operator_prefix;
  std::function<parsed_key(std::string_view key)> parse_key;
  std::function<record(std::string_view key, std::string_view value)>
      read_record;

  std::function<request_metadata(const http::message&)> read_request_metadata;
  /// What every leaf gets of a caller's request.
  std::function<http::message(const http::message& asked)> make_leaf_request;
  /// The headers that one leaf gets beside it.
  std::function<std::vector<header>(const leafs::leaf_registration& to,
                                    duration left)>
      make_leaf_headers;
  std::function<response_metadata(const http::message&)> read_response_metadata;
  /// Whether a leaf's answer is one to the request with this id.
  std::function<bool(const http::message&, std::string_view request_id)>
      is_response_to;
  std::function<std::vector<header>(const std::string& request_id,
                                    const std::vector<fanout::leaf_response>&,
                                    std::uint32_t missing)>
      make_gather_headers;

  std::function<std::optional<address_request>(const http::message&)>
      read_address_request;
  std::function<std::string(const std::vector<endpoint>&, duration keep)>
      write_addresses;
  std::function<bool(const http::message&)> is_readiness_request;
};

enum class tier_errc : std::uint8_t { cannot_start };
using tier_error = basic_error<tier_errc>;

/// One daemon. `run` returns when the process should end.
class daemon {
 public:
  daemon(settings values, adapter platform);
  ~daemon();
  daemon(const daemon&) = delete;
  daemon& operator=(const daemon&) = delete;

  result<void, tier_error> run();

  /// Reads the settings anew; called at SIGHUP. Returns nothing when the file
  /// cannot be used; the settings in force stay.
  void on_reload(std::function<std::optional<settings>()> reread);

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace medlarloft::tier
