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

// Reads the values of one section; the first problem is kept.
class section_reader {
 public:
  section_reader(const json& root, std::string name)
      : name_(std::move(name)),
        section_(root.contains(name_) ? root.at(name_) : json::object()) {}

  void read(const char* key, endpoint& into) {
    if (!section_.contains(key)) return;
    const auto parsed = parse_endpoint(section_.at(key).get<std::string>());
    if (parsed) {
      into = parsed.value();
    } else {
      fail(key, "is not an IP address and port");
    }
  }

  void read(const char* key, duration& into) {
    if (!section_.contains(key)) return;
    const auto parsed = parse_duration(section_.at(key).get<std::string>());
    if (parsed) {
      into = parsed.value();
    } else {
      fail(key, "is not a non-negative duration with a unit");
    }
  }

  void read_positive(const char* key, duration& into) {
    read(key, into);
    if (into <= duration::zero()) fail(key, "must be longer than zero");
  }

  template <class Value>
  void read_plain(const char* key, Value& into) {
    if (section_.contains(key)) into = section_.at(key).get<Value>();
  }

  void fail(const char* key, const std::string& reason) {
    if (problem_) return;
    const json value = section_.contains(key) ? section_.at(key) : json();
    problem_ = document_error{document_errc::value, name_ + "." + key,
                              value.is_null() ? "" : documents::excerpt(value),
                              reason};
  }

  const json& section() const { return section_; }
  const std::optional<document_error>& problem() const { return problem_; }

 private:
  std::string name_;
  json section_;
  std::optional<document_error> problem_;
};

std::optional<document_error> read_listen(const json& root,
                                          listen_settings& into) {
  section_reader reader(root, "listen");
  reader.read("callers", into.callers);
  reader.read("peers", into.peers);
  reader.read("control", into.control);
  reader.read("operators", into.operators);
  std::set<endpoint> distinct;
  const std::array<std::pair<const char*, endpoint>, 4> all{
      {{"callers", into.callers},
       {"peers", into.peers},
       {"control", into.control},
       {"operators", into.operators}}};
  for (const auto& [key, value] : all) {
    if (!distinct.insert(value).second) {
      reader.fail(key, "is used for another purpose too");
    }
  }
  return reader.problem();
}

std::optional<document_error> read_platform(const json& root,
                                            platform_settings& into) {
  section_reader reader(root, "platform");
  reader.read("configuration", into.configuration);
  reader.read("hosts", into.hosts);
  reader.read_positive("host_list_every", into.host_list_every);
  return reader.problem();
}

std::optional<document_error> read_callers(const json& root,
                                           caller_settings& into) {
  section_reader reader(root, "callers");
  reader.read_plain("max_header_bytes", into.max_header_bytes);
  reader.read_plain("max_body_bytes", into.max_body_bytes);
  reader.read_plain("max_connections", into.max_connections);
  reader.read_positive("request_timeout", into.request_timeout);
  reader.read_positive("idle_timeout", into.idle_timeout);
  reader.read_positive("keep_addresses", into.keep_addresses);
  reader.read("max_clock_skew", into.max_clock_skew);
  reader.read_positive("repeat_window", into.repeat_window);
  return reader.problem();
}

std::optional<document_error> read_query(const json& root,
                                         query_settings& into) {
  section_reader reader(root, "query");
  reader.read_plain("concurrent", into.concurrent);
  reader.read_plain("queue", into.queue);
  reader.read_plain("leaf_queue", into.leaf_queue);
  reader.read_plain("hedging", into.hedging);
  reader.read_plain("extra_share", into.extra_share);
  reader.read_plain("hedge_quantile", into.hedge_quantile);
  reader.read("hedge_after", into.hedge_after);
  reader.read_positive("leaf_timeout", into.leaf_timeout);
  return reader.problem();
}

std::optional<document_error> read_control(const json& root,
                                           control_settings& into) {
  section_reader reader(root, "control");
  reader.read_positive("probe_period", into.probe_period);
  reader.read_positive("probe_timeout", into.probe_timeout);
  reader.read_positive("view_expiry", into.view_expiry);
  reader.read("hold_off", into.hold_off);
  reader.read("takeover_after", into.takeover_after);
  reader.read_positive("sleep_gap", into.sleep_gap);
  if (into.probe_timeout >= into.probe_period) {
    reader.fail("probe_timeout", "must be shorter than probe_period");
  }
  if (into.view_expiry <= into.probe_period) {
    reader.fail("view_expiry", "must be longer than probe_period");
  }
  if (into.takeover_after < into.view_expiry) {
    reader.fail("takeover_after", "must not be shorter than view_expiry");
  }
  if (!reader.section().contains("seeds")) return reader.problem();
  std::set<endpoint> distinct;
  for (const json& seed : reader.section().at("seeds")) {
    const auto parsed = parse_endpoint(seed.get<std::string>());
    if (!parsed) {
      reader.fail("seeds", "holds " + documents::excerpt(seed) +
                               ", which is not an IP address and port");
    } else if (!distinct.insert(parsed.value()).second) {
      reader.fail("seeds", "names " + documents::excerpt(seed) + " twice");
    } else {
      into.seeds.push_back(parsed.value());
    }
  }
  return reader.problem();
}

}  // namespace

documents::document_result<daemon_settings> read(std::string_view text) {
  static const documents::schema rules(detail::settings_schema);
  BOOST_OUTCOME_TRY(document, documents::parse(text));
  BOOST_OUTCOME_TRYV(rules.check(document));
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
  section_reader fleet(document, "fleet");
  fleet.read_plain("expected_daemons", value.fleet.expected_daemons);
  fleet.read_plain("expected_data_centres", value.fleet.expected_data_centres);
  section_reader stop(document, "stop");
  stop.read_positive("limit", value.stop.limit);
  const std::array<std::optional<document_error>, 6> problems{
      read_listen(document, value.listen),
      read_platform(document, value.platform),
      read_callers(document, value.callers),
      read_query(document, value.query),
      read_control(document, value.control),
      stop.problem()};
  const auto found = std::ranges::find_if(
      problems, [](const auto& problem) { return problem.has_value(); });
  if (found != problems.end()) return **found;
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
