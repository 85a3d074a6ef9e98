#include "medlarloft/client.hpp"

#include <algorithm>
#include <array>
#include <optional>

#include "commands.hpp"

namespace medlarloft::client {
namespace {

struct command_entry {
  std::string_view name;
  std::string_view arguments;
  std::string_view help;
  int (*run)(const options&, const detail::arguments&, const console&);
};

constexpr std::array<command_entry, 13> commands{
    {{"note check", "FILE...", "check notes, each based on the previous one",
      detail::note_check},
     {"note diff", "FILE FILE...", "show the changes made by the last note",
      detail::note_diff},
     {"note render", "FILE...",
      "write the values to publish to --out, the head last",
      detail::note_render},
     {"note status", "", "active note, readiness and drains of each daemon",
      detail::note_status},
     {"take-out", "DATA_CENTRE", "print a note that takes it out of service",
      detail::take_out},
     {"bring-back", "DATA_CENTRE",
      "print a note that brings it back into service", detail::bring_back},
     {"members", "", "group members as seen by each daemon", detail::members},
     {"servers", "", "backend servers of each daemon", detail::servers},
     {"stats", "", "merged metrics of each daemon", detail::stats},
     {"timeline", "", "events of all daemons in causal order",
      detail::merged_timeline},
     {"explain", "REQUEST-ID LOG...", "explain the outcome of a request",
      detail::explain},
     {"addresses", "CALLERS_ADDRESS [CALLER]",
      "show the daemons assigned to a caller", detail::addresses},
     {"ask", "CALLERS_ADDRESS SERVICE [BODY]", "run one query", detail::ask}}};

std::size_t count_words(std::string_view text) {
  return static_cast<std::size_t>(std::ranges::count(text, ' ')) + 1;
}

std::string join(const std::vector<std::string>& words, std::size_t count) {
  std::string text;
  for (std::size_t i = 0; i < std::min(count, words.size()); ++i) {
    text += (i == 0 ? "" : " ") + words[i];
  }
  return text;
}

}  // namespace

command find_command(std::vector<std::string>& arguments) {
  const auto found =
      std::ranges::find_if(commands, [&arguments](const command_entry& entry) {
        return join(arguments, count_words(entry.name)) == entry.name;
      });
  if (found == commands.end()) return nullptr;
  const auto name_words = static_cast<std::ptrdiff_t>(count_words(found->name));
  arguments.erase(arguments.begin(), arguments.begin() + name_words);
  return found->run;
}

std::string usage() {
  std::string text = "medlarloft [flags] COMMAND\n\n";
  for (const command_entry& entry : commands) {
    std::string synopsis = "  " + std::string(entry.name);
    if (!entry.arguments.empty())
      synopsis += " " + std::string(entry.arguments);
    synopsis.resize(std::max<std::size_t>(synopsis.size() + 2, 44), ' ');
    text += synopsis + std::string(entry.help) + "\n";
  }
  return text;
}

net::net_result<net::http_response> fetch(const endpoint& server,
                                          const net::http_request& request,
                                          duration timeout) {
  net::io_context loop;
  std::optional<net::net_result<net::http_response>> response;
  net::http_fetch(loop, {.to = server, .connect_timeout = timeout}, request,
                  timeout,
                  [&response](net::net_result<net::http_response> received) {
                    response = std::move(received);
                  });
  loop.run();
  return *response;
}

std::vector<net::net_result<net::http_response>> fetch_all(
    const std::vector<endpoint>& servers, const std::string& target,
    duration timeout) {
  net::io_context loop;
  std::vector<net::net_result<net::http_response>> responses(
      servers.size(), net::net_error{net::net_errc::timed_out, "no response"});
  for (std::size_t i = 0; i < servers.size(); ++i) {
    net::http_fetch(
        loop, {.to = servers[i], .connect_timeout = timeout},
        {.target = target}, timeout,
        [&responses, i](net::net_result<net::http_response> received) {
          responses[i] = std::move(received);
        });
  }
  loop.run();
  return responses;
}

}  // namespace medlarloft::client
