#include "medlarloft/client.hpp"

#include <algorithm>
#include <array>
#include <optional>

#include "commands.hpp"

namespace medlarloft::client {
namespace {

struct entry {
  std::string_view words;
  std::string_view arguments;
  std::string_view help;
  int (*run)(const options&, const detail::arguments&, const console&);
};

constexpr std::array<entry, 13> commands{
    {{"note check", "FILE...", "check notes, each building on the one before",
      detail::note_check},
     {"note diff", "FILE FILE...", "what the last note changes",
      detail::note_diff},
     {"note render", "FILE...",
      "write the values to publish into --out, the head last",
      detail::note_render},
     {"note status", "", "note in force, readiness and drains of each daemon",
      detail::note_status},
     {"take-out", "DATA_CENTRE", "print the note that takes it out",
      detail::take_out},
     {"bring-back", "DATA_CENTRE", "print the note that brings it back",
      detail::bring_back},
     {"members", "", "members as each daemon sees them", detail::members},
     {"servers", "", "backend servers of each daemon", detail::servers},
     {"stats", "", "merged metrics of each daemon", detail::stats},
     {"timeline", "", "events of all daemons in causal order",
      detail::timeline_of_all},
     {"explain", "REQUEST-ID LOG...", "why a request ended as it did",
      detail::explain},
     {"addresses", "CALLERS_ADDRESS [CALLER]", "which daemons a caller gets",
      detail::addresses},
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
      std::ranges::find_if(commands, [&arguments](const entry& one) {
        return join(arguments, count_words(one.words)) == one.words;
      });
  if (found == commands.end()) return nullptr;
  const auto taken = static_cast<std::ptrdiff_t>(count_words(found->words));
  arguments.erase(arguments.begin(), arguments.begin() + taken);
  return found->run;
}

std::string usage() {
  std::string text = "medlarloft [flags] COMMAND\n\n";
  for (const entry& one : commands) {
    std::string left = "  " + std::string(one.words);
    if (!one.arguments.empty()) left += " " + std::string(one.arguments);
    left.resize(std::max<std::size_t>(left.size() + 2, 44), ' ');
    text += left + std::string(one.help) + "\n";
  }
  return text;
}

net::net_result<net::http_response> fetch(const endpoint& from,
                                          const net::http_request& request,
                                          duration timeout) {
  net::io_context loop;
  std::optional<net::net_result<net::http_response>> got;
  net::http_fetch(loop, {.to = from, .connect_timeout = timeout}, request,
                  timeout, [&got](net::net_result<net::http_response> answer) {
                    got = std::move(answer);
                  });
  loop.run();
  return *got;
}

std::vector<net::net_result<net::http_response>> fetch_all(
    const std::vector<endpoint>& from, const std::string& target,
    duration timeout) {
  net::io_context loop;
  std::vector<net::net_result<net::http_response>> answers(
      from.size(), net::net_error{net::net_errc::timed_out, "no answer"});
  for (std::size_t i = 0; i < from.size(); ++i) {
    net::http_fetch(loop, {.to = from[i], .connect_timeout = timeout},
                    {.target = target}, timeout,
                    [&answers, i](net::net_result<net::http_response> answer) {
                      answers[i] = std::move(answer);
                    });
  }
  loop.run();
  return answers;
}

}  // namespace medlarloft::client
