#pragma once

/// Adapters to the platform: the configuration service and the host list,
/// both read over HTTP. Another format changes only these functions.

#include <functional>

#include "medlarloft/net.hpp"
#include "medlarloft/settings.hpp"
#include "medlarloft/sources.hpp"

namespace medlarloft::server {

/// Reads one value of the configuration service, or watches it.
using read_value =
    std::function<void(const sources::read_request& wanted,
                       std::function<void(sources::read_answer)> done)>;

/// Reads the host list.
using read_hosts = std::function<void(
    std::function<void(
        result<std::vector<sources::host_entry>, sources::host_list_error>)>
        done)>;

struct platform_hooks {
  read_value value;
  read_hosts hosts;
};

/// The platform behind `GET /v1/values/KEY?tag=TAG&wait=20s` and
/// `GET /v1/hosts`.
platform_hooks http_platform(net::io_context& loop,
                             const settings::platform_settings& where,
                             const std::string& from_ip);

}  // namespace medlarloft::server
