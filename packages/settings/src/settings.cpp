#include "medlarloft/settings.hpp"

#include <algorithm>
#include <array>
#include <fstream>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <sstream>

#include "settings_schema.hpp"

namespace medlarloft::settings {
namespace {

using documents::document_errc;
using documents::document_error;
using documents::document_result;
using nlohmann::json;

// Reads the values of one section and keeps the first error. A missing key
// leaves the default value.
class section_reader {
 public:
  section_reader(const json& root, std::string name)
      : name_(std::move(name)),
        section_(root.contains(name_) ? root.at(name_) : json::object()) {}

  void read(const char* key, endpoint& target) {
    if (!section_.contains(key)) return;
    const auto parsed = parse_endpoint(section_.at(key).get<std::string>());
    if (parsed) {
      target = parsed.value();
    } else {
      set_error(key, "is not an IP address and port");
    }
  }

  void read(const char* key, duration& target) {
    if (!section_.contains(key)) return;
    const auto parsed = parse_duration(section_.at(key).get<std::string>());
    if (parsed) {
      target = parsed.value();
    } else {
      set_error(key, "is not a non-negative duration with a unit");
    }
  }

  void read_positive(const char* key, duration& target) {
    read(key, target);
    if (target <= duration::zero()) set_error(key, "must be longer than zero");
  }

  template <class Value>
  void read_value(const char* key, Value& target) {
    if (section_.contains(key)) target = section_.at(key).get<Value>();
  }

  void set_error(const char* key, const std::string& reason) {
    if (error_) return;
    const json value = section_.contains(key) ? section_.at(key) : json();
    error_ = document_error{document_errc::value, name_ + "." + key,
                            value.is_null() ? "" : documents::excerpt(value),
                            reason};
  }

  const json& section() const { return section_; }
  const std::optional<document_error>& error() const { return error_; }

 private:
  std::string name_;
  json section_;
  std::optional<document_error> error_;
};

std::optional<document_error> read_listen(const json& root,
                                          listen_settings& target) {
  section_reader reader(root, "listen");
  reader.read("callers", target.callers);
  reader.read("peers", target.peers);
  reader.read("control", target.control);
  reader.read("operators", target.operators);
  std::set<endpoint> used;
  const std::array<std::pair<const char*, endpoint>, 4> endpoints{
      {{"callers", target.callers},
       {"peers", target.peers},
       {"control", target.control},
       {"operators", target.operators}}};
  for (const auto& [key, value] : endpoints) {
    if (!used.insert(value).second) {
      reader.set_error(key, "is the same as another listen address");
    }
  }
  return reader.error();
}

std::optional<document_error> read_platform(const json& root,
                                            platform_settings& target) {
  section_reader reader(root, "platform");
  reader.read("configuration", target.configuration);
  reader.read("hosts", target.hosts);
  reader.read_positive("host_list_every", target.host_list_every);
  return reader.error();
}

std::optional<document_error> read_callers(const json& root,
                                           caller_settings& target) {
  section_reader reader(root, "callers");
  reader.read_value("max_header_bytes", target.max_header_bytes);
  reader.read_value("max_body_bytes", target.max_body_bytes);
  reader.read_value("max_connections", target.max_connections);
  reader.read_positive("request_timeout", target.request_timeout);
  reader.read_positive("idle_timeout", target.idle_timeout);
  reader.read_positive("keep_addresses", target.keep_addresses);
  reader.read("max_clock_skew", target.max_clock_skew);
  reader.read_positive("repeat_window", target.repeat_window);
  return reader.error();
}

std::optional<document_error> read_query(const json& root,
                                         query_settings& target) {
  section_reader reader(root, "query");
  reader.read_value("concurrent", target.concurrent);
  reader.read_value("queue", target.queue);
  reader.read_value("leaf_queue", target.leaf_queue);
  reader.read_value("hedging", target.hedging);
  reader.read_value("extra_share", target.extra_share);
  reader.read_value("hedge_quantile", target.hedge_quantile);
  reader.read("hedge_after", target.hedge_after);
  reader.read_positive("leaf_timeout", target.leaf_timeout);
  return reader.error();
}

std::optional<document_error> read_control(const json& root,
                                           control_settings& target) {
  section_reader reader(root, "control");
  reader.read_positive("probe_period", target.probe_period);
  reader.read_positive("probe_timeout", target.probe_timeout);
  reader.read_positive("view_expiry", target.view_expiry);
  reader.read("hold_off", target.hold_off);
  reader.read("takeover_after", target.takeover_after);
  reader.read_positive("sleep_gap", target.sleep_gap);
  if (target.probe_timeout >= target.probe_period) {
    reader.set_error("probe_timeout", "must be shorter than probe_period");
  }
  if (target.view_expiry <= target.probe_period) {
    reader.set_error("view_expiry", "must be longer than probe_period");
  }
  if (target.takeover_after < target.view_expiry) {
    reader.set_error("takeover_after", "must not be shorter than view_expiry");
  }
  if (!reader.section().contains("seeds")) return reader.error();
  std::set<endpoint> known;
  for (const json& seed : reader.section().at("seeds")) {
    const auto parsed = parse_endpoint(seed.get<std::string>());
    if (!parsed) {
      reader.set_error("seeds", "contains " + documents::excerpt(seed) +
                                    ", which is not an IP address and port");
    } else if (!known.insert(parsed.value()).second) {
      reader.set_error("seeds",
                       "contains " + documents::excerpt(seed) + " twice");
    } else {
      target.seeds.push_back(parsed.value());
    }
  }
  return reader.error();
}

}  // namespace

documents::document_result<daemon_settings> parse(std::string_view text) {
  static const documents::schema schema(detail::settings_schema);
  BOOST_OUTCOME_TRY(document, documents::parse(text));
  BOOST_OUTCOME_TRYV(schema.check(document));
  daemon_settings value;
  value.id = document.at("id").get<std::string>();
  value.data_centre = document.at("data_centre").get<std::string>();
  value.traffic_threads =
      document.value("traffic_threads", value.traffic_threads);
  value.timeline_events =
      document.value("timeline_events", value.timeline_events);
  if (document.contains("log_level")) {
    value.log_level =
        logs::parse_level(document.at("log_level").get<std::string>()).value();
  }
  section_reader fleet_reader(document, "fleet");
  fleet_reader.read_value("expected_daemons", value.fleet.expected_daemons);
  fleet_reader.read_value("expected_data_centres",
                          value.fleet.expected_data_centres);
  section_reader stop_reader(document, "stop");
  stop_reader.read_positive("limit", value.stop.limit);
  const std::array<std::optional<document_error>, 6> errors{
      read_listen(document, value.listen),
      read_platform(document, value.platform),
      read_callers(document, value.callers),
      read_query(document, value.query),
      read_control(document, value.control),
      stop_reader.error()};
  const auto first_error = std::ranges::find_if(
      errors, [](const auto& error) { return error.has_value(); });
  if (first_error != errors.end()) return **first_error;
  return value;
}

documents::document_result<std::string> read_file(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return document_error{document_errc::value, path, "", "cannot be read"};
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace medlarloft::settings
