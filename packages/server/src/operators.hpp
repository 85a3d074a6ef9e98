#pragma once

/// What operators see of a daemon: status, members, servers, time line and
/// metrics, over HTTP on the control loop.

#include <functional>
#include <string>
#include <vector>

#include "context.hpp"
#include "control.hpp"
#include "medlarloft/metrics.hpp"
#include "medlarloft/net.hpp"

namespace medlarloft::server {

/// Reads the merged metrics of all threads.
using read_metrics = std::function<metrics::summary()>;
/// Reads the state of all server pools.
using read_servers =
    std::function<void(std::function<void(std::vector<leaf_status>)>)>;

class operators {
 public:
  operators(daemon_context& context, control& state, read_metrics figures,
            read_servers servers);

  void handle(const net::http_request& request, net::respond answer);

 private:
  std::string status() const;
  std::string members() const;
  std::string prometheus() const;
  void servers(net::respond answer);

  daemon_context& context_;
  control& control_;
  read_metrics figures_;
  read_servers servers_;
};

}  // namespace medlarloft::server
