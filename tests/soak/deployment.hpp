#pragma once

/// A whole deployment on loopback addresses: the store, leafs, links between
/// them and the daemons, and the daemons as processes of their own.

#include <sys/types.h>

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
  /// Settings and logs of the daemons.
  std::string folder;
  std::size_t daemons = 7;
  std::size_t shards = 10;
  std::uint64_t seed = 1;
  /// Addresses are 127.NET.x.y, of five networks from here on.
  int net = 60;
};

inline constexpr std::size_t data_centres = 3;
inline constexpr std::size_t replicas = 3;
/// Bounds that the daemons' settings name.
inline constexpr duration stop_within = std::chrono::seconds(6);
inline constexpr duration drain_bound = std::chrono::seconds(3);
inline constexpr duration configuration_bound = std::chrono::seconds(3);
inline constexpr duration evacuation_bound = std::chrono::seconds(5);
/// After a fault, bounds hold again for those that were calm for so long.
inline constexpr duration contact = std::chrono::seconds(4);
inline constexpr double retry_ratio = 0.2;
inline constexpr double retry_slack = 54;
inline constexpr duration retry_window = std::chrono::seconds(10);

/// One daemon as a process; it may be restarted.
struct daemon_process {
  std::string id;
  std::string data_centre;
  std::string ip;
  std::string settings_path;
  pid_t pid = -1;
  bool paused = false;
  /// It was told to stop, and must end by itself.
  std::optional<time_point> stop_asked;
  /// It was ended by a signal of ours.
  bool killed = false;
  std::uint32_t starts = 0;

  bool runs() const noexcept { return pid > 0; }
};

/// How a process ended.
struct process_end {
  std::size_t daemon = 0;
  bool exited = false;
  int code = 0;
};

class deployment {
 public:
  deployment(loop::io_context& loop, loop::timer_queue& timers,
             deployment_options values);
  /// Ends the daemons that it started, by their process ids.
  ~deployment();
  deployment(const deployment&) = delete;
  deployment& operator=(const deployment&) = delete;

  void start_daemon(std::size_t index);
  void signal(std::size_t index, int number);
  /// Processor time that the running daemons have used.
  duration processor_time() const;
  /// Returns a process that ended since the last call.
  std::optional<process_end> reap();

  /// Writes the next version; the service of one route depends on it, and
  /// `second_shards` chooses the set of shards. Returns the version.
  std::uint64_t configure(bool second_shards);
  std::uint64_t version() const noexcept { return version_; }
  void announce(const standins::leaf& each);
  void withdraw(const standins::leaf& each);
  void set_out(const std::string& data_centre, bool out);

  std::vector<standins::request_kind> kinds() const;
  std::string service_of(const std::string& leaf) const;
  std::vector<endpoint> directories() const;
  std::string settings_text(std::size_t index) const;

  standins::store& store() { return store_; }
  standins::execution_log& execution_log() { return execution_log_; }
  std::vector<daemon_process>& daemons() { return daemons_; }
  std::vector<std::unique_ptr<standins::leaf>>& leafs() { return leafs_; }
  /// Between a leaf and all daemons, by the leaf's place.
  link& leaf_link(std::size_t index) { return *leaf_links_[index]; }
  /// Between a daemon and the store.
  link& store_link(std::size_t index) { return *store_links_[index]; }
  /// Sets how what the other daemons send to this one gets there; what it
  /// sends itself goes on.
  void set_peers_link(std::size_t index, link_mode mode);

 private:
  void add_service(const std::string& name, std::size_t count);

  loop::io_context& loop_;
  loop::timer_queue& timers_;
  deployment_options options_;
  standins::execution_log execution_log_;
  standins::store store_;
  std::vector<std::unique_ptr<standins::leaf>> leafs_;
  std::vector<std::unique_ptr<link>> leaf_links_;
  std::vector<std::unique_ptr<link>> store_links_;
  /// From the other daemons to each.
  std::vector<std::unique_ptr<link>> peer_links_;
  std::vector<std::unique_ptr<datagram_link>> peer_datagrams_;
  std::vector<daemon_process> daemons_;
  std::vector<std::string> services_;
  std::vector<std::string> first_shards_;
  std::vector<std::string> second_shards_;
  std::uint64_t version_ = 0;
};

/// The service that runs requests of the changing route in a version.
inline std::string changing_service(std::uint64_t version) {
  return version % 2 == 0 ? "even" : "odd";
}

}  // namespace medlarloft::soak
