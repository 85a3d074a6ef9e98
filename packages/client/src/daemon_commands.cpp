#include <algorithm>
#include <nlohmann/json.hpp>
#include <ostream>

#include "commands.hpp"
#include "medlarloft/timeline.hpp"

namespace medlarloft::client::detail {
namespace {

using nlohmann::json;

bool needs_daemons(const options& settings, const console& io) {
  if (!settings.daemons.empty()) return false;
  io.error << "needs --daemons with the operator addresses to ask\n";
  return true;
}

// Fetches a page of each daemon and hands the readable ones on; names those
// that did not answer.
template <class Use>
int for_each_daemon(const options& settings, const std::string& page,
                    const console& io, Use use) {
  if (needs_daemons(settings, io)) return exit_invalid;
  const auto answers = fetch_all(settings.daemons, page, settings.timeout);
  int code = exit_ok;
  for (std::size_t i = 0; i < answers.size(); ++i) {
    const std::string name = format_endpoint(settings.daemons[i]);
    if (!answers[i]) {
      io.error << name << ": did not answer: " << answers[i].error().text
               << '\n';
      code = exit_failed;
      continue;
    }
    use(name, answers[i].value().body);
  }
  return code;
}

// Writes a list of flat objects as lines of key=value.
void write_rows(const std::string& name, const std::string& body,
                const options& settings, const console& io) {
  const json list = json::parse(body, nullptr, /*allow_exceptions=*/false);
  if (!list.is_array()) {
    io.error << name << ": malformed answer\n";
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

std::optional<endpoint> first_address(const arguments& words,
                                      const console& io) {
  if (words.empty()) {
    io.error << "needs the callers address of a daemon\n";
    return std::nullopt;
  }
  const auto address = parse_endpoint(words[0]);
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

int timeline_of_all(const options& settings, const arguments&,
                    const console& io) {
  std::vector<timeline::report> reports;
  const int code = for_each_daemon(
      settings, "/v1/timeline", io,
      [&](const std::string& name, const std::string& body) {
        auto events = timeline::from_json(body);
        if (!events) {
          io.error << name << ": " << events.error().text << '\n';
          return;
        }
        reports.push_back({name, std::move(events).value()});
      });
  for (const timeline::event& event : timeline::merge(std::move(reports))) {
    io.out << (settings.json ? timeline::to_json_line(event)
                             : timeline::to_text(event))
           << '\n';
  }
  return code;
}

int addresses(const options& settings, const arguments& words,
              const console& io) {
  const auto from = first_address(words, io);
  if (!from) return exit_invalid;
  const std::string caller = words.size() > 1 ? words[1] : "operator";
  const auto answer = fetch(*from, {.target = "/v1/addresses?caller=" + caller},
                            settings.timeout);
  if (!answer) {
    io.error << answer.error().text << '\n';
    return exit_failed;
  }
  io.out << answer.value().body;
  return answer.value().status == 200 ? exit_ok : exit_failed;
}

int ask(const options& settings, const arguments& words, const console& io) {
  const auto from = first_address(words, io);
  if (!from || words.size() < 2) {
    if (from) io.error << "needs a service\n";
    return exit_invalid;
  }
  const wall_time now = std::chrono::time_point_cast<wall_time::duration>(
      std::chrono::system_clock::now());
  const front::caller_query query{
      .request_id =
          "operator-" + std::to_string(now.time_since_epoch().count()),
      .service = words[1],
      .issued_at = now,
      .body = words.size() > 2 ? words[2] : ""};
  const auto answer = fetch(*from,
                            {.method = "POST",
                             .target = "/v1/query",
                             .body = front::write_query(query)},
                            settings.timeout);
  if (!answer) {
    io.error << answer.error().text << '\n';
    return exit_failed;
  }
  io.out << answer.value().body;
  return answer.value().status == 200 ? exit_ok : exit_failed;
}

}  // namespace medlarloft::client::detail
