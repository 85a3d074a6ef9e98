#include "daemon_metrics.hpp"

#include <nlohmann/json.hpp>

namespace medlarloft::tier {
namespace {

constexpr std::array<std::string_view,
                     static_cast<std::size_t>(counter::counter_count)>
    counter_names{"requests",
                  "answered_whole",
                  "answered_partial",
                  "refused_not_run",
                  "failed",
                  "out_of_time",
                  "callers_left",
                  "no_route",
                  "not_ready",
                  "leaf_requests",
                  "hedges",
                  "retries",
                  "budget_empty",
                  "connections_opened",
                  "store_calls",
                  "peer_bytes",
                  "address_answers",
                  "unauthorized",
                  "reports_ignored",
                  "refused_overloaded",
                  "requests_over_quota",
                  "quota_messages"};

constexpr std::array<std::string_view,
                     static_cast<std::size_t>(gauge::gauge_count)>
    gauge_names{"configuration_version",
                "store_revision",
                "store_era",
                "store_age_seconds",
                "members",
                "leafs_usable",
                "leafs_ejected",
                "leafs_limited",
                "leafs_paused",
                "leafs_leaving",
                "leaf_requests_open",
                "requests_running",
                "requests_waiting",
                "loop_lag_seconds",
                "leaf_in_flight_ratio",
                "leaf_slowness_ratio",
                "services_contended",
                "overload_level",
                "load",
                "quota_tokens_held"};

}  // namespace

std::string_view name_of(gauge which) noexcept {
  return gauge_names[static_cast<std::size_t>(which)];
}

std::string_view name_of(counter which) noexcept {
  return counter_names[static_cast<std::size_t>(which)];
}

std::string daemon_metrics::to_prometheus(std::string_view daemon) const {
  const std::string label = "{daemon=\"" + std::string(daemon) + "\"";
  std::string out;
  for (std::size_t i = 0; i < counters_.size(); ++i) {
    const std::string name =
        "medlarloft_" + std::string(counter_names[i]) + "_total";
    out.append("# TYPE ").append(name).append(" counter\n");
    out.append(name).append(label).append("} ");
    out.append(std::to_string(counters_[i])).append("\n");
  }
  for (std::size_t i = 0; i < gauges_.size(); ++i) {
    const std::string name = "medlarloft_" + std::string(gauge_names[i]);
    out.append("# TYPE ").append(name).append(" gauge\n");
    out.append(name).append(label).append("} ");
    out.append(nlohmann::json(gauges_[i]).dump()).append("\n");
  }
  out += "# TYPE medlarloft_leaf_endings_total counter\n";
  for (std::size_t i = 0; i < attempts_.size(); ++i) {
    const auto outcome = static_cast<leafs::attempt_outcome>(i);
    out += "medlarloft_leaf_endings_total" + label + ",ending=\"" +
           std::string(leafs::name_of(outcome)) + "\"} " +
           std::to_string(attempts_[i]) + "\n";
  }
  return out + metrics::latencies_to_prometheus(metrics::merge({&latencies_}),
                                                daemon);
}

}  // namespace medlarloft::tier
