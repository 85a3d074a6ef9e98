#include "platform.hpp"

namespace medlarloft::server {
namespace {

constexpr duration read_timeout = std::chrono::seconds(2);
constexpr int http_ok = 200;
constexpr int http_not_modified = 304;
constexpr int http_not_found = 404;
/// The first line of a value's answer is its tag; the value follows.
constexpr char tag_end = '\n';

sources::read_answer to_answer(
    const net::net_result<net::http_response>& response) {
  if (!response) {
    return {.status = sources::read_status::failed,
            .reason = response.error().text};
  }
  const net::http_response& got = response.value();
  if (got.status == http_not_modified) {
    return {.status = sources::read_status::unchanged};
  }
  if (got.status == http_not_found) {
    return {.status = sources::read_status::missing};
  }
  const std::size_t end = got.body.find(tag_end);
  if (got.status != http_ok || end == std::string::npos) {
    return {.status = sources::read_status::failed,
            .reason = "status " + std::to_string(got.status)};
  }
  return {.status = sources::read_status::value,
          .text = got.body.substr(end + 1),
          .tag = got.body.substr(0, end)};
}

}  // namespace

platform_hooks http_platform(net::io_context& loop,
                             const settings::platform_settings& where,
                             const std::string& from_ip) {
  platform_hooks hooks;
  hooks.value = [&loop, to = where.configuration, from_ip](
                    const sources::read_request& wanted,
                    const std::function<void(sources::read_answer)>& done) {
    std::string target = "/v1/values/" + wanted.key;
    if (wanted.wait > duration::zero()) {
      target += "?tag=" + wanted.tag + "&wait=" + format_duration(wanted.wait);
    }
    net::http_fetch(loop, {.to = to, .from_ip = from_ip}, {.target = target},
                    wanted.wait + read_timeout,
                    [done](const net::net_result<net::http_response>& got) {
                      done(to_answer(got));
                    });
  };
  hooks.hosts = [&loop, to = where.hosts, from_ip](const auto& done) {
    net::http_fetch(
        loop, {.to = to, .from_ip = from_ip}, {.target = "/v1/hosts"},
        read_timeout, [done](const net::net_result<net::http_response>& got) {
          if (!got) {
            done(sources::host_list_error{sources::host_list_errc::malformed,
                                          got.error().text});
            return;
          }
          done(sources::read_host_list(got.value().body));
        });
  };
  return hooks;
}

}  // namespace medlarloft::server
