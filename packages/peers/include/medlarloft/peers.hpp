#pragma once

/// Cap'n Proto RPC between daemons, on an Asio loop. Each loop runs on one
/// thread; clients, servers and callbacks of a loop stay on its thread.

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "medlarloft/base.hpp"
#include "medlarloft/membership.hpp"
#include "medlarloft/query.hpp"
#include "medlarloft/timeline.hpp"

namespace medlarloft::peers {

using boost::asio::io_context;

/// An Asio loop that also runs Cap'n Proto's promises.
class event_loop {
 public:
  event_loop();
  ~event_loop();
  event_loop(const event_loop&) = delete;
  event_loop& operator=(const event_loop&) = delete;

  io_context& context() noexcept { return context_; }

  /// Runs until `stop`, calling `ready` first. Everything that uses this
  /// loop's RPC must be made after the start and be gone when `finished`
  /// returns.
  void run(const std::function<void()>& ready,
           const std::function<void()>& finished);

  /// Ends `run`; may be called from any thread.
  void stop();

 private:
  io_context context_;
  struct state;
  std::unique_ptr<state> state_;
};

enum class peer_errc : std::uint8_t {
  not_connected,  // nothing was sent
  lost,           // the connection died or went silent after sending
  refused,        // the peer answered with an error
};
using peer_error = basic_error<peer_errc>;
template <class Value>
using peer_result = result<Value, peer_error>;

/// One leaf request that a relay makes for an entry daemon.
struct subquery_task {
  query::attempt_id attempt = 0;
  std::string leaf;
  std::string shard;
  notes::key_range range;
  notes::snapshot_id snapshot = 0;
};

/// The share of a query that one relay carries.
struct subquery {
  /// Chosen by the entry daemon at random, so that it can cancel at any time.
  std::uint64_t subquery_id = 0;
  std::string request_id;
  std::string service;
  notes::service_class priority{};
  std::string body;
  /// Time left until the deadline.
  duration remaining{};
  bool idempotent = true;
  std::size_t row_limit = 100;
  /// When to answer with what has ended so far, if not all has.
  duration flush_after{};
  std::vector<subquery_task> tasks;
};

enum class task_status : std::uint8_t {
  answered,
  not_sent,  // the relay refused; the leaf saw nothing
  not_run,   // the leaf refused
  snapshot_gone,
  lost,
  overloaded,  // the relay's queue was full or too slow; the leaf saw nothing
};

struct task_result {
  query::attempt_id attempt = 0;
  task_status status{};
  query::leaf_answer answer;
  /// The snapshots that the leaf holds; zero when unknown.
  notes::snapshot_id oldest = 0;
  notes::snapshot_id newest = 0;
  duration latency{};
};

/// What has ended since the last answer; `pending` tasks are still open and
/// are asked for by `collect`.
struct subquery_answer {
  std::uint64_t subquery_id = 0;
  std::uint32_t pending = 0;
  std::vector<task_result> results;
};

/// The answer to a forwarded request, as its owner would give the caller.
struct forwarded_answer {
  int status = 0;
  std::string body;
};

/// Stamps messages and takes in received stamps.
struct clock_callbacks {
  std::function<timeline::stamp()> tick;
  std::function<void(timeline::stamp)> merge;
};

using subquery_callback = std::function<void(peer_result<subquery_answer>)>;
using forward_callback = std::function<void(peer_result<forwarded_answer>)>;

/// What a daemon does for its peers' traffic.
struct traffic_hooks {
  std::function<void(subquery work, std::function<void(subquery_answer)> reply)>
      run;
  std::function<void(std::uint64_t subquery_id,
                     std::function<void(subquery_answer)> reply)>
      collect;
  std::function<void(std::uint64_t subquery_id,
                     std::vector<query::attempt_id> attempts)>
      cancel;
  std::function<void(std::string request, duration remaining,
                     std::function<void(forwarded_answer)> reply)>
      forward;
};

/// A connection to one peer's traffic port, opened when needed and replaced
/// when it dies or goes silent.
class traffic_client {
 public:
  struct options {
    endpoint to;
    std::string from_ip;
    duration connect_timeout = std::chrono::milliseconds(500);
  };
  traffic_client(event_loop& loop, const options& settings,
                 clock_callbacks clock);
  ~traffic_client();
  traffic_client(const traffic_client&) = delete;
  traffic_client& operator=(const traffic_client&) = delete;

  /// `silence`: without an answer for this long the connection is replaced.
  void run(const subquery& work, duration silence, subquery_callback done);
  void collect(std::uint64_t subquery_id, duration silence,
               subquery_callback done);
  void cancel(std::uint64_t subquery_id,
              const std::vector<query::attempt_id>& attempts);
  void forward(const std::string& request, duration remaining, duration silence,
               forward_callback done);

  /// How often a silent or dead connection was replaced.
  std::uint64_t replaced_connections() const noexcept;

 private:
  struct state;
  std::shared_ptr<state> state_;
};

/// Counts what control sends.
struct control_counters {
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;
};

/// Sends control messages to any daemon, over connections that are kept while
/// they are used. A message that cannot be sent is dropped: its sender asks
/// again by itself.
class control_client {
 public:
  control_client(event_loop& loop, std::string from_ip, clock_callbacks clock);
  ~control_client();
  control_client(const control_client&) = delete;
  control_client& operator=(const control_client&) = delete;

  void send(const endpoint& to, const membership::message& message);
  control_counters sent() const noexcept;

 private:
  struct state;
  std::shared_ptr<state> state_;
};

/// Accepts peers on one loop and serves each on its own. The first loop
/// accepts for all; `worker` names the loop that serves.
class traffic_server {
 public:
  using hooks_factory = std::function<traffic_hooks(std::size_t worker)>;
  traffic_server(std::vector<event_loop*> loops, endpoint listen,
                 hooks_factory hooks, clock_callbacks clock);
  ~traffic_server();
  traffic_server(const traffic_server&) = delete;
  traffic_server& operator=(const traffic_server&) = delete;

  peer_result<void> start();
  void close();
  /// Drops the connections that the loop serves; call on its thread.
  void close_connections(std::size_t worker);

 private:
  struct state;
  std::shared_ptr<state> state_;
};

class control_server {
 public:
  using message_handler = std::function<void(membership::message)>;
  control_server(event_loop& loop, endpoint listen, message_handler on_message,
                 clock_callbacks clock);
  ~control_server();
  control_server(const control_server&) = delete;
  control_server& operator=(const control_server&) = delete;

  peer_result<void> start();
  void close();

 private:
  struct state;
  std::shared_ptr<state> state_;
};

/// Encodes and decodes one control message, for measurements and fuzzing.
std::string encode(const membership::message& message);
/// Returns the bytes of one encoded part, for measurements.
std::size_t encoded_size(const subquery& work);
enum class wire_errc { malformed };
using wire_error = basic_error<wire_errc>;
result<membership::message, wire_error> decode(std::string_view bytes);

}  // namespace medlarloft::peers
