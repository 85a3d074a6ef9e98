#pragma once

/// The daemon: one control thread, and traffic threads that read the view
/// which control publishes.

#include <memory>
#include <string>

#include "medlarloft/base.hpp"
#include "medlarloft/settings.hpp"

namespace medlarloft::server {

enum class server_errc : std::uint8_t { cannot_start, stop_limit };
using server_error = basic_error<server_errc>;

/// One daemon of the tier.
///
///     daemon server(settings);
///     auto ended = server.run();  // until SIGTERM or SIGINT
class daemon {
 public:
  explicit daemon(settings::daemon_settings settings);
  ~daemon();
  daemon(const daemon&) = delete;
  daemon& operator=(const daemon&) = delete;

  /// Serves until a signal asks to stop and everything has ended. A second
  /// signal, or the stop limit, ends at once with an error.
  result<void, server_error> run();

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace medlarloft::server
