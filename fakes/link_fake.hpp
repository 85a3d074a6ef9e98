#pragma once

/// A stand-in for the network between data centres: forwards TCP connections
/// with a delay that depends on where they come from, and can cut or silence
/// them.

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "medlarloft/base.hpp"

namespace medlarloft::fakes {

/// What happens to the bytes between two ends.
struct link_state {
  duration delay{};
  /// New connections are refused and open ones cut.
  bool cut = false;
  /// Open connections carry nothing any more, but stay open.
  bool silent = false;
};

/// Says what holds for a connection from an IP address to a target.
using link_rule =
    std::function<link_state(const std::string& from_ip, const endpoint& to)>;

class link_fake {
 public:
  link_fake(boost::asio::io_context& loop, endpoint listen, endpoint target,
            link_rule rule);

  result<void, std::string> start();
  /// Applies the rule to open connections; silenced ones stay silent.
  void apply();

 private:
  struct pair;
  void accept_next();

  boost::asio::io_context& loop_;
  endpoint listen_;
  endpoint target_;
  link_rule rule_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::vector<std::weak_ptr<pair>> pairs_;
};

}  // namespace medlarloft::fakes
