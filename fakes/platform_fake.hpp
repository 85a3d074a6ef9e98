#pragma once

/// A stand-in for the platform: a configuration service and a host list over
/// a folder of files. Publishing is writing a file.

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>

#include "medlarloft/net.hpp"

namespace medlarloft::fakes {

/// How the configuration service misbehaves.
enum class fault : std::uint8_t { none, down, stale, slow };

class platform_fake {
 public:
  platform_fake(net::io_context& loop, std::string folder,
                const endpoint& configuration, const endpoint& hosts);

  net::net_result<void> start();
  /// `stale` freezes the values as they are now.
  void set_fault(fault kind);
  std::uint64_t reads() const noexcept { return reads_; }

 private:
  struct watch;
  void value(const net::http_request& request, net::respond answer);
  void watch_value(const std::shared_ptr<watch>& pending);
  std::string load(const std::string& key);
  void hosts(const net::respond& answer);

  net::io_context& loop_;
  std::string folder_;
  std::string frozen_folder_;
  fault fault_ = fault::none;
  std::uint64_t reads_ = 0;
  net::http_server configuration_server_;
  net::http_server host_server_;
};

}  // namespace medlarloft::fakes
