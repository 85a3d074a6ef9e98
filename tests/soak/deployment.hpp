#pragma once

/// A whole deployment on loopback addresses: fakes of the store and the leafs,
/// daemons as separate processes, and proxies between them.

#include <sys/types.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "callers.hpp"
#include "leaf.hpp"
#include "link.hpp"
#include "store.hpp"

namespace medlarloft::soak {

struct deployment_options {
  std::string daemon_program;
  /// Holds settings and logs of the daemons.
  std::string folder;
  std::size_t daemons = 7;
  std::size_t shards = 10;
  std::uint64_t seed = 1;
  /// First NET of the five networks 127.NET.x.y that are used.
  int net = 60;
  /// Whether requests need accounts, one of which exceeds its quota.
  bool accounts = false;
};

inline constexpr std::size_t data_centres = 3;
inline constexpr std::size_t replicas = 3;
/// Bounds that are set in the daemons' settings.
inline constexpr duration stop_within = std::chrono::seconds(6);
inline constexpr duration drain_bound = std::chrono::seconds(3);
inline constexpr duration configuration_bound = std::chrono::seconds(3);
inline constexpr duration evacuation_bound = std::chrono::seconds(5);
/// Bounds apply again this long after the last fault.
inline constexpr duration recovery_time = std::chrono::seconds(4);
inline constexpr double retry_ratio = 0.2;
inline constexpr double retry_slack = 54;
inline constexpr duration retry_window = std::chrono::seconds(10);
/// The quota of the account that exceeds it.
inline constexpr double account_rate = 8;
inline constexpr double account_burst = 8;
inline constexpr duration quota_window = std::chrono::seconds(5);
inline constexpr double quota_excess = 0.25;
inline constexpr double quota_slack = 20;

/// A daemon and its process, which may be restarted.
struct daemon_process {
  std::string id;
  std::string data_centre;
  std::string ip;
  std::string settings_path;
  pid_t pid = -1;
  bool paused = false;
  /// When SIGTERM was sent; the process must then exit by itself.
  std::optional<time_point> stop_requested_at;
  /// Whether the soak sent SIGKILL to it.
  bool killed = false;
  std::uint32_t starts = 0;

  bool running() const noexcept { return pid > 0; }
};

/// Which daemon's process ended, and how.
struct process_end {
  std::size_t daemon = 0;
  bool exited = false;
  /// Exit code, or the number of the signal that ended the process.
  int code = 0;
};

class deployment {
 public:
  deployment(loop::io_context& loop, loop::timer_queue& timers,
             deployment_options options);
  /// Kills the daemons that this object started, by their process ids.
  ~deployment();
  deployment(const deployment&) = delete;
  deployment& operator=(const deployment&) = delete;

  void start_daemon(std::size_t index);
  void send_signal(std::size_t index, int signal_number);
  /// Called before a signal is sent to a daemon's process.
  std::function<void(const daemon_process&)> on_signal;
  /// Returns the CPU time that the running daemons have used.
  duration processor_time() const;
  /// Returns a daemon process that ended and was not yet returned, if any.
  std::optional<process_end> reap();

  /// Publishes the next version of the configuration and returns its number.
  /// The service of the route `changing` depends on the version; the set of
  /// shards depends on `second_shards`.
  std::uint64_t publish_configuration(bool second_shards);
  std::uint64_t version() const noexcept { return version_; }
  void register_leaf(const standins::leaf& leaf);
  void deregister_leaf(const standins::leaf& leaf);
  void set_data_centre_out(const std::string& data_centre, bool out);
  /// Returns the keys that leafs and operators have written or removed.
  std::vector<std::string> written_keys() const;
  /// Writes or removes a record again as it was last, after a restore of the
  /// store. A leaf that does not run writes nothing.
  void write_again(const std::string& key);

  std::vector<standins::request_kind> request_kinds() const;
  /// Returns an empty text if there is no such leaf.
  std::string service_of(const std::string& leaf) const;
  std::vector<endpoint> address_servers() const;
  std::string settings_json(std::size_t index) const;

  standins::store& store() { return store_; }
  standins::execution_log& execution_log() { return execution_log_; }
  std::vector<daemon_process>& daemons() { return daemons_; }
  std::vector<std::unique_ptr<standins::leaf>>& leafs() { return leafs_; }
  /// Returns the link from all daemons to the leaf.
  link& leaf_link(std::size_t index) { return *leaf_links_[index]; }
  /// Whether responses of the leaf reach the daemons.
  bool responses_arrive(const std::string& leaf) const;
  /// Returns the link from the daemon to the store.
  link& store_link(std::size_t index) { return *store_links_[index]; }
  /// Sets the mode of the links from the other daemons to this one. Messages
  /// that it sends itself are not affected.
  void set_peer_link_mode(std::size_t index, link_mode mode);

 private:
  void add_service(const std::string& name, std::size_t count);
  void put(const std::string& key, const nlohmann::json& value);
  void remove(const std::string& key);

  loop::io_context& loop_;
  loop::timer_queue& timers_;
  deployment_options options_;
  standins::execution_log execution_log_;
  standins::store store_;
  /// What was last written to each key; null if it was removed.
  std::map<std::string, nlohmann::json> written_;
  std::vector<std::unique_ptr<standins::leaf>> leafs_;
  std::vector<std::unique_ptr<link>> leaf_links_;
  std::vector<std::unique_ptr<link>> store_links_;
  /// Links from the other daemons to each daemon.
  std::vector<std::unique_ptr<link>> peer_links_;
  std::vector<std::unique_ptr<datagram_link>> peer_datagram_links_;
  std::vector<daemon_process> daemons_;
  std::vector<std::string> services_;
  std::vector<std::string> first_shards_;
  std::vector<std::string> second_shards_;
  std::uint64_t version_ = 0;
};

/// Returns the service of the route `changing` in a version.
inline std::string changing_service(std::uint64_t version) {
  return version % 2 == 0 ? "even" : "odd";
}

}  // namespace medlarloft::soak
