#pragma once

/// Stand-ins for the cases of the review: a store, leafs, callers, and the
/// start of daemons as separate processes. They use blocking sockets and one
/// thread for each connection, and only loopback addresses. A case decides
/// byte by byte what a leaf sends, which the project's own stand-ins, built on
/// the project's HTTP server, can't do.

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace review {

using std::chrono::milliseconds;
using steady_clock = std::chrono::steady_clock;
using time_point = steady_clock::time_point;

/// Exit codes of a case.
inline constexpr int exit_held = 0;
inline constexpr int exit_broken = 1;
inline constexpr int exit_could_not_run = 2;

/// Whether the case shall cause its disruption: TROUBLE is not 0.
bool with_trouble();

/// The file record.txt of a case: one line for each event, with the
/// milliseconds since the start of the case. Safe for several threads.
class event_record {
 public:
  explicit event_record(const std::string& path);
  void write(const std::string& line);

 private:
  std::mutex mutex_;
  std::ofstream file_;
  time_point started_at_ = steady_clock::now();
};

/// An HTTP request or response as it was read.
struct message {
  /// Request line or status line.
  std::string start_line;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  std::string header(std::string_view name) const;
  std::string method() const;
  std::string target() const;
  /// The status of a response.
  int status() const;
};

/// A connected stream socket.
class stream {
 public:
  explicit stream(int descriptor) : descriptor_(descriptor) {}
  ~stream();
  stream(const stream&) = delete;
  stream& operator=(const stream&) = delete;

  /// Connects to a loopback address; null if that fails.
  static std::unique_ptr<stream> connect(std::uint16_t port,
                                         const std::string& ip = "127.0.0.1");

  bool write(std::string_view bytes);
  /// Reads one message with a Content-Length or without a body; nothing at the
  /// end of the stream, after an error, or at `deadline`.
  std::optional<message> read(time_point deadline = time_point::max());
  /// Whether the peer has closed the connection. Does not wait.
  bool closed_by_peer();

 private:
  bool fill(time_point deadline);

  int descriptor_;
  std::string buffer_;
};

/// Listens on a free port of 127.0.0.1 and runs `serve` for each connection in
/// a thread of its own.
class listener {
 public:
  explicit listener(std::function<void(std::shared_ptr<stream>)> serve);
  std::uint16_t port() const { return port_; }

 private:
  std::uint16_t port_ = 0;
};

/// Returns a port of 127.0.0.1 that was free just now.
std::uint16_t free_port();

/// The platform's store: listings and watches. It answers at once and loses
/// nothing.
class store {
 public:
  store();
  std::uint16_t port() const { return listener_->port(); }
  void put(const std::string& key, const nlohmann::json& value);
  void remove(const std::string& key);

 private:
  struct item {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    bool deleted = false;
  };
  void serve(stream& connection);
  std::string listing();
  std::string changes(std::uint64_t after, milliseconds wait);

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, item> items_;
  std::uint64_t revision_ = 100;
  std::unique_ptr<listener> listener_;
};

/// Text of a response with the length of its body.
std::string response_text(
    int status, const std::vector<std::pair<std::string, std::string>>& headers,
    const std::string& body = {});

/// A leaf: an address, and the handler of its connections.
class leaf {
 public:
  struct options {
    std::string id;
    std::string service;
    unsigned slots = 4;
    std::string zone = "a";
  };
  leaf(options settings, std::function<void(leaf&, stream&)> serve);

  const std::string& id() const { return options_.id; }
  std::uint16_t port() const { return listener_.port(); }
  nlohmann::json registration() const;
  /// The receipt of a request that this leaf ran.
  std::string receipt(const std::string& request_id) const;
  /// A complete answer to a request that this leaf ran.
  std::string answer(const message& request, const std::string& body) const;
  /// The answer of a leaf that does not run the request.
  std::string rejection(const message& request, int status) const;
  bool addressed_by(const message& request) const {
    return request.header("Expect-Instance") == options_.id;
  }

 private:
  options options_;
  listener listener_;
};

/// Ports of the daemons, the same for all of them: each daemon has an address
/// of its own.
struct daemon_ports {
  std::uint16_t callers = free_port();
  std::uint16_t readiness = free_port();
  std::uint16_t addresses = free_port();
  std::uint16_t control = free_port();
  std::uint16_t metrics = free_port();
};

/// One daemon as a separate process, started as the deploy file says.
class daemon_process {
 public:
  struct options {
    std::string id = "edge-a-1";
    std::string zone = "a";
    std::string ip = "127.0.1.1";
    daemon_ports ports{};
    /// Addresses of at most three daemons, this one included.
    std::vector<std::string> seeds{"127.0.1.1"};
    std::uint16_t store_port = 0;
    /// Folder for the settings and the daemon's log.
    std::string folder;
    /// Whether the whole system starts for the first time.
    bool first_deployment = true;
  };
  explicit daemon_process(options settings);
  ~daemon_process();
  daemon_process(const daemon_process&) = delete;
  daemon_process& operator=(const daemon_process&) = delete;

  void start();
  /// Ends the process at once.
  void kill();
  /// Waits until the daemon says that it is ready.
  bool await_ready(milliseconds limit) const;
  /// Connects to the address for callers.
  std::unique_ptr<stream> connect() const;
  void signal(int number) const;
  /// Whether the process still runs.
  bool running();
  const options& settings() const { return options_; }

 private:
  options options_;
  pid_t process_ = -1;
};

/// A temporary folder, removed at the end.
class temporary_folder {
 public:
  temporary_folder();
  ~temporary_folder();
  temporary_folder(const temporary_folder&) = delete;
  temporary_folder& operator=(const temporary_folder&) = delete;
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

/// Route of the operator's configuration that sends requests to one service.
struct route {
  std::string name;
  std::string prefix;
  std::string service;
  std::string kind = "idempotent";
  int attempts = 2;
  int timeout_ms = 4000;
  int objective_ms = 600;
};

/// Returns the operator's configuration with these routes, all for the host
/// "host.example".
nlohmann::json configuration(const std::vector<route>& routes);

/// Text of a request to the host "host.example".
std::string request_text(const std::string& method, const std::string& target,
                         const std::string& id, int deadline_ms,
                         const std::string& body = {});

}  // namespace review
