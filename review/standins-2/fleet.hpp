#pragma once

/// A small deployment on loopback addresses for the cases of the second review:
/// the project's stand-in of the store, leafs and callers of this folder, and
/// the daemons as processes of their own. One event loop, one thread.

#include <sys/types.h>

#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "../../platform/standins/store.hpp"
#include "../../tests/soak/link.hpp"
#include "medlarloft/http.hpp"

namespace medlarloft::review {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Exit codes of a case.
inline constexpr int rule_held = 0;
inline constexpr int rule_broken = 1;
inline constexpr int could_not_run = 2;

/// Flags of a driver; the scripts pass all of them.
struct case_options {
  std::string daemon_program;
  /// Settings and logs of the daemons.
  std::string folder;
  /// What was sent, answered and run.
  std::string record;
  /// Whether the disruption happens.
  bool trouble = true;
  /// First NET of the networks 127.NET.x.y that are used.
  int net = 60;
};
case_options parse_options(int argc, char** argv);

/// Forwards datagrams to a daemon's control address, but for those that `drops`
/// selects.
class datagram_proxy {
 public:
  datagram_proxy(http::io_context& loop, const endpoint& listen,
                 const endpoint& target);
  /// Called for each datagram; it is lost if the result is true.
  std::function<bool(std::string_view bytes)> drops;

 private:
  void receive();

  boost::asio::ip::udp::endpoint target_;
  boost::asio::ip::udp::socket socket_;
  boost::asio::ip::udp::endpoint sender_;
  std::string buffer_;
};

class fleet;

/// A leaf: answers 421 to requests for another instance, and runs the others
/// at once, each for `work`.
class leaf {
 public:
  struct options {
    std::string id;
    std::string service;
    std::string zone;
    endpoint listen;
    duration work = milliseconds(10);
    std::uint32_t slots = 4;
    std::int64_t born = 1;
  };
  leaf(fleet& owner, options settings);
  ~leaf();
  leaf(const leaf&) = delete;
  leaf& operator=(const leaf&) = delete;

  /// Writes its entry of the store.
  void write_entry();
  /// Removes the entry: the leaf leaves without a word.
  void remove_entry();
  /// Ends the process of the leaf: requests that it runs are cut.
  void end();
  /// Starts again under the same id and address.
  void start_again(std::int64_t born);
  bool running() const noexcept { return server_ != nullptr; }
  /// The entry as the next write of this start would have it.
  nlohmann::json next_entry();
  const options& settings() const noexcept { return options_; }

  /// Called when a request for this leaf arrives, before it runs.
  std::function<void(const std::string& request_id)> on_arrival;
  duration cold_for{};
  bool draining = false;
  /// Requests that were cut when the leaf ended.
  std::uint64_t cut = 0;

 private:
  void listen();
  void serve(const std::shared_ptr<http::exchange>& exchange);

  fleet& owner_;
  options options_;
  std::uint64_t writes_ = 0;
  std::uint64_t running_requests_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::unique_ptr<http::server> server_;
};

/// One request of a caller and its answer.
struct call {
  std::string id;
  std::string path;
  std::size_t daemon = 0;
  time_point sent_at;
  /// 0: the connection failed or was closed without an answer.
  int status = 0;
};

/// Callers that send requests to one daemon at a constant rate, on kept
/// connections.
class callers {
 public:
  struct options {
    std::size_t daemon = 0;
    std::string method = "GET";
    std::string path;
    double rate = 50;
    duration deadline = milliseconds(1500);
  };
  callers(fleet& owner, options settings);
  void start(duration length);
  std::function<void(const call&)> on_answer;

 private:
  void send_next();
  void send(const std::shared_ptr<http::connection>& connection,
            const std::shared_ptr<call>& request);
  void finish(const std::shared_ptr<call>& request, int status);

  fleet& owner_;
  options options_;
  time_point started_at_;
  time_point ends_at_;
  std::uint64_t sent_ = 0;
  std::vector<std::shared_ptr<http::connection>> idle_;
};

class fleet {
 public:
  /// The bounds of a small deployment, as DEPLOY.md shows them.
  static constexpr duration drain_bound = milliseconds(3000);
  static constexpr duration contact_time = milliseconds(4000);

  fleet(case_options options, std::size_t daemons);
  ~fleet();
  fleet(const fleet&) = delete;
  fleet& operator=(const fleet&) = delete;

  void start_daemon(std::size_t index);
  void signal_daemon(std::size_t index, int number);
  /// Reaps the daemons that ended; returns how many ended unasked.
  std::size_t ended_daemons();
  leaf& add_leaf(const std::string& id, const std::string& service,
                 std::size_t zone, duration work = milliseconds(10));
  callers& add_callers(const callers::options& settings);
  void write_configuration(const nlohmann::json& routes,
                           const nlohmann::json& services,
                           std::size_t max_body_bytes = 262144);
  /// Runs the event loop for this long.
  void run_for(duration length);
  /// Runs it until every daemon is ready; returns false if they are not in
  /// time.
  bool await_ready(duration longest);
  /// Whether the daemon reads the store itself, by the last line of its log
  /// that tells.
  bool reads_store(std::size_t index) const;

  /// Writes one line, with the time since the start.
  void record(const std::string& line);
  std::string next_request_id();
  /// Notes when a caller sent a request, and writes a line.
  void record_sent(const std::string& id, const std::string& what);
  time_point sent_at(const std::string& id) const { return sent_.at(id); }
  endpoint front(std::size_t index) const;
  static std::string zone_name(std::size_t index);

  const case_options& options() const noexcept { return options_; }
  http::io_context& loop() noexcept { return loop_; }
  loop::timer_queue& timers() noexcept { return timers_; }
  standins::store& store() noexcept { return store_; }
  /// The link from all daemons to the store.
  soak::link& store_link() noexcept { return store_link_; }
  datagram_proxy& datagrams_to(std::size_t index) {
    return *daemons_[index].datagrams;
  }

 private:
  struct daemon {
    std::string id;
    std::string ip;
    std::string settings_path;
    std::string log_path;
    pid_t pid = -1;
    bool signalled = false;
    std::unique_ptr<soak::link> control;
    std::unique_ptr<datagram_proxy> datagrams;
  };
  std::string address(int network, std::size_t index) const;
  void write_settings(const daemon& which, const std::string& zone);
  void probe_ready(std::size_t index);

  case_options options_;
  http::io_context loop_{BOOST_ASIO_CONCURRENCY_HINT_UNSAFE};
  loop::timer_queue timers_{loop_};
  standins::store store_;
  soak::link store_link_;
  time_point started_at_ = steady_clock::now();
  std::ofstream record_;
  std::vector<daemon> daemons_;
  std::vector<bool> ready_;
  std::vector<std::unique_ptr<leaf>> leafs_;
  std::vector<std::unique_ptr<callers>> callers_;
  std::uint64_t requests_ = 0;
  std::map<std::string, time_point> sent_;
  std::uint64_t version_ = 0;
};

/// A request that reached a leaf.
struct arrival {
  /// When the caller sent it.
  time_point sent_at;
  time_point arrived_at;
};

/// Returns the most requests that were sent and arrived inside the same span of
/// this length. The arrivals are in the order of time.
std::size_t most_in_span(const std::vector<arrival>& arrivals, duration span);

/// A route as the store holds it.
nlohmann::json make_route(const std::string& name, const std::string& kind,
                          const std::string& service);

}  // namespace medlarloft::review
