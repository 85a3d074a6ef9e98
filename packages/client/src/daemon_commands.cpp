#include <algorithm>
#include <nlohmann/json.hpp>
#include <ostream>

#include "commands.hpp"
#include "medlarloft/timeline.hpp"

namespace medlarloft::client::detail {
namespace {

using nlohmann::json;

bool missing_daemons(const options& settings, const console& io) {
  if (!settings.daemons.empty()) return false;
  io.error << "--daemons must list the operator addresses to query\n";
  return true;
}

// Fetches a page from each daemon and calls `use` with each response. Reports
// daemons that did not answer.
template <class Use>
int for_each_daemon(const options& settings, const std::string& page,
                    const console& io, Use use) {
  if (missing_daemons(settings, io)) return exit_invalid;
  const auto responses = fetch_all(settings.daemons, page, settings.timeout);
  int code = exit_ok;
  for (std::size_t i = 0; i < responses.size(); ++i) {
    const std::string name = format_endpoint(settings.daemons[i]);
    if (!responses[i]) {
      io.error << name << ": did not answer: " << responses[i].error().text
               << '\n';
      code = exit_failed;
      continue;
    }
    use(name, responses[i].value().body);
  }
  return code;
}

// Writes a JSON array of flat objects, one line for each, as key=value pairs.
void write_rows(const std::string& name, const std::string& body,
                const options& settings, const console& io) {
  const json list = json::parse(body, nullptr, /*allow_exceptions=*/false);
  if (!list.is_array()) {
    io.error << name << ": malformed response\n";
    return;
  }
  for (const json& row : list) {
    if (settings.json) {
      io.out << row.dump() << '\n';
      continue;
    }
    io.out << name;
    for (const auto& [key, value] : row.items()) {
      io.out << ' ' << key << '='
             << (value.is_string() ? value.get<std::string>() : value.dump());
    }
    io.out << '\n';
  }
}

std::optional<endpoint> callers_address(const arguments& args,
                                        const console& io) {
  if (args.empty()) {
    io.error << "a daemon's callers address is required\n";
    return std::nullopt;
  }
  const auto address = parse_endpoint(args[0]);
  if (address) return address.value();
  io.error << address.error().text << '\n';
  return std::nullopt;
}

}  // namespace

int note_status(const options& settings, const arguments&, const console& io) {
  return for_each_daemon(settings, "/v1/status", io,
                         [&](const std::string& name, const std::string& body) {
                           write_rows(name, "[" + body + "]", settings, io);
                         });
}

int members(const options& settings, const arguments&, const console& io) {
  return for_each_daemon(settings, "/v1/members", io,
                         [&](const std::string& name, const std::string& body) {
                           write_rows(name, body, settings, io);
                         });
}

int servers(const options& settings, const arguments&, const console& io) {
  return for_each_daemon(settings, "/v1/servers", io,
                         [&](const std::string& name, const std::string& body) {
                           write_rows(name, body, settings, io);
                         });
}

int stats(const options& settings, const arguments&, const console& io) {
  return for_each_daemon(
      settings, "/metrics", io,
      [&](const std::string&, const std::string& body) { io.out << body; });
}

int merged_timeline(const options& settings, const arguments&,
                    const console& io) {
  std::vector<timeline::process_events> processes;
  const int code = for_each_daemon(
      settings, "/v1/timeline", io,
      [&](const std::string& name, const std::string& body) {
        auto events = timeline::from_json(body);
        if (!events) {
          io.error << name << ": " << events.error().text << '\n';
          return;
        }
        processes.push_back({name, std::move(events).value()});
      });
  for (const timeline::event& event : timeline::merge(std::move(processes))) {
    io.out << (settings.json ? timeline::to_json_line(event)
                             : timeline::to_text(event))
           << '\n';
  }
  return code;
}

int addresses(const options& settings, const arguments& args,
              const console& io) {
  const auto server = callers_address(args, io);
  if (!server) return exit_invalid;
  const std::string caller = args.size() > 1 ? args[1] : "operator";
  const auto response = fetch(
      *server, {.target = "/v1/addresses?caller=" + caller}, settings.timeout);
  if (!response) {
    io.error << response.error().text << '\n';
    return exit_failed;
  }
  io.out << response.value().body;
  return response.value().status == 200 ? exit_ok : exit_failed;
}

int ask(const options& settings, const arguments& args, const console& io) {
  const auto server = callers_address(args, io);
  if (!server || args.size() < 2) {
    if (server) io.error << "a service is required\n";
    return exit_invalid;
  }
  const wall_time now = std::chrono::time_point_cast<wall_time::duration>(
      std::chrono::system_clock::now());
  const front::caller_query query{
      .request_id =
          "operator-" + std::to_string(now.time_since_epoch().count()),
      .service = args[1],
      .issued_at = now,
      .body = args.size() > 2 ? args[2] : ""};
  const auto response = fetch(*server,
                              {.method = "POST",
                               .target = "/v1/query",
                               .body = front::write_query(query)},
                              settings.timeout);
  if (!response) {
    io.error << response.error().text << '\n';
    return exit_failed;
  }
  io.out << response.value().body;
  return response.value().status == 200 ? exit_ok : exit_failed;
}

}  // namespace medlarloft::client::detail
