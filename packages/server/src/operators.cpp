#include "operators.hpp"

#include <nlohmann/json.hpp>

namespace medlarloft::server {
namespace {

using nlohmann::json;

constexpr int http_not_found = 404;

std::string hex(std::uint64_t value) {
  std::string text(16, '0');
  for (std::size_t i = 16; i > 0; --i, value >>= 4) {
    text[i - 1] = "0123456789abcdef"[value & 15];
  }
  return text;
}

json server_json(const leaf_status& server) {
  return {{"leaf", server.leaf},
          {"warm", server.warm},
          {"leaving", server.leaving},
          {"limit", server.limit},
          {"in_flight", server.in_flight},
          {"queued", server.queued},
          {"connections", server.connections}};
}

}  // namespace

operators::operators(daemon_context& context, control& state,
                     read_metrics figures, read_servers servers)
    : context_(context),
      control_(state),
      figures_(std::move(figures)),
      servers_(std::move(servers)) {}

std::string operators::status() const {
  const view_ptr current = context_.board.current();
  const auto out = [&] {
    json list = json::array();
    for (const notes::data_centre& centre : current->model->data_centres) {
      if (centre.out) list.push_back(centre.id);
    }
    return list;
  }();
  const json document = {
      {"id", context_.settings.id},
      {"data_centre", context_.settings.data_centre},
      {"ready", current->ready},
      {"stopping", current->stopping},
      {"view_expired", context_.board.expired(steady_clock::now())},
      {"note_version", current->model->version},
      {"note_digest", hex(current->model->digest)},
      {"data_centres_out", out},
      {"watching", control_.watching()},
      {"home_of", current->shares.size()},
      {"configuration_reads", control_.reads()}};
  return document.dump() + "\n";
}

std::string operators::members() const {
  json list = json::array();
  for (const membership::member_record& member : control_.members()) {
    list.push_back({{"id", member.id},
                    {"data_centre", member.data_centre},
                    {"state", membership::name_of(member.state)},
                    {"control", format_endpoint(member.control)}});
  }
  return list.dump() + "\n";
}

std::string operators::prometheus() const {
  metrics::summary figures = figures_();
  const auto set = [&figures](metrics::counter which, std::uint64_t value) {
    figures.counters[static_cast<std::size_t>(which)] = value;
  };
  set(metrics::counter::configuration_reads, control_.reads());
  set(metrics::counter::control_messages_sent, control_.sent().messages);
  set(metrics::counter::control_bytes_sent, control_.sent().bytes);
  return metrics::to_prometheus(figures, context_.settings.id);
}

void operators::servers(net::respond answer) {
  servers_(
      [answer = std::move(answer)](const std::vector<leaf_status>& servers) {
        json list = json::array();
        for (const leaf_status& server : servers) {
          list.push_back(server_json(server));
        }
        answer({.body = list.dump() + "\n"});
      });
}

void operators::handle(const net::http_request& request, net::respond answer) {
  if (request.target == "/v1/status") {
    answer({.body = status()});
  } else if (request.target == "/v1/members") {
    answer({.body = members()});
  } else if (request.target == "/v1/servers") {
    servers(std::move(answer));
  } else if (request.target == "/v1/timeline") {
    answer({.body = timeline::to_json(context_.events.events()) + "\n"});
  } else if (request.target == "/v1/note") {
    answer({.body = notes::whole_note(*context_.board.current()->model).text +
                    "\n"});
  } else if (request.target == "/metrics") {
    answer({.content_type = "text/plain; version=0.0.4", .body = prometheus()});
  } else {
    answer(
        {.status = http_not_found, .body = "{\"error\":\"no such page\"}\n"});
  }
}

}  // namespace medlarloft::server
