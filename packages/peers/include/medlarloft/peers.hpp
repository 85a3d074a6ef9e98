#pragma once

/// Cap'n Proto RPC between daemons on an Asio event loop. Each loop runs on one
/// thread; its clients, servers and callbacks are used on that thread only.

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "medlarloft/base.hpp"
#include "medlarloft/membership.hpp"
#include "medlarloft/query.hpp"
#include "medlarloft/quota.hpp"
#include "medlarloft/timeline.hpp"

namespace medlarloft::peers {

using boost::asio::io_context;

/// An Asio event loop that also runs Cap'n Proto's promises.
class event_loop {
 public:
  event_loop();
  ~event_loop();
  event_loop(const event_loop&) = delete;
  event_loop& operator=(const event_loop&) = delete;

  io_context& context() noexcept { return context_; }

  /// Runs until `stop`. Calls `on_start` first and `on_stop` last: whatever
  /// uses RPC on this loop must be created after the start and destroyed
  /// before `on_stop` returns.
  void run(const std::function<void()>& on_start,
           const std::function<void()>& on_stop);

  /// Makes `run` return; may be called from any thread.
  void stop();

 private:
  io_context context_;
  struct state;
  std::unique_ptr<state> state_;
};

enum class peer_errc : std::uint8_t {
  not_connected,  // nothing was sent
  lost,           // no answer in time, or disconnected after sending
  refused,        // the peer answered with an error
};
using peer_error = basic_error<peer_errc>;
template <class Value>
using peer_result = result<Value, peer_error>;

/// One leaf request that a relay daemon sends on behalf of an entry daemon.
struct subquery_task {
  query::attempt_id attempt = 0;
  std::string leaf;
  std::string shard;
  notes::key_range range;
  notes::snapshot_id snapshot = 0;
};

/// The leaf requests of one query that one relay daemon sends.
struct subquery {
  /// Chosen at random by the entry daemon, which can therefore cancel at any
  /// time.
  std::uint64_t subquery_id = 0;
  std::string request_id;
  std::string service;
  notes::service_class priority{};
  std::string body;
  /// Time left until the deadline.
  duration remaining{};
  bool idempotent = true;
  std::size_t row_limit = 100;
  /// Delay after which the relay answers with the results so far.
  duration flush_after{};
  std::vector<subquery_task> tasks;
};

enum class task_status : std::uint8_t {
  answered,
  not_sent,  // the relay refused; nothing was sent to the leaf
  not_run,   // the leaf refused
  snapshot_gone,
  lost,        // sent, but no usable answer arrived
  overloaded,  // the relay's queue was full or too slow; nothing was sent
};

struct task_result {
  query::attempt_id attempt = 0;
  task_status status{};
  query::leaf_answer answer;
  /// Range of snapshots that the leaf holds; zero when unknown.
  notes::snapshot_id oldest = 0;
  notes::snapshot_id newest = 0;
  duration latency{};
};

/// The results since the last answer. The `pending` open tasks are requested
/// with `collect`.
struct subquery_answer {
  std::uint64_t subquery_id = 0;
  std::uint32_t pending = 0;
  std::vector<task_result> results;
};

/// The answer to a forwarded request, as the owner would send it to the caller.
struct forwarded_answer {
  int status = 0;
  std::string body;
};

/// Hybrid clock of the daemon: `tick` returns the timestamp of a sent message,
/// `merge` advances the clock past that of a received one.
struct clock_callbacks {
  std::function<timeline::hybrid_timestamp()> tick;
  std::function<void(timeline::hybrid_timestamp)> merge;
};

using subquery_callback = std::function<void(peer_result<subquery_answer>)>;
using forward_callback = std::function<void(peer_result<forwarded_answer>)>;

/// Handlers of the requests that peers send. Replies may be sent later.
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

/// A connection to the traffic port of one peer. It is opened on demand, and
/// replaced after a disconnect or an answer timeout.
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

  /// Each call closes the connection after `answer_timeout` without an answer.
  void run(const subquery& work, duration answer_timeout,
           subquery_callback done);
  void collect(std::uint64_t subquery_id, duration answer_timeout,
               subquery_callback done);
  void cancel(std::uint64_t subquery_id,
              const std::vector<query::attempt_id>& attempts);
  void forward(const std::string& request, duration remaining,
               duration answer_timeout, forward_callback done);

  /// Number of calls without an answer in time.
  std::uint64_t timed_out_calls() const noexcept;

 private:
  struct state;
  std::shared_ptr<state> state_;
};

/// Counters of sent control messages.
struct control_counters {
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;
};

/// Sends control messages to any daemon and closes connections that were idle
/// for a while. A message that cannot be sent is dropped, since the membership
/// protocol repeats what matters.
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

/// Accepts connections on the first loop and distributes them over all loops.
/// `loop_index` is the index of a loop in `loops`.
class traffic_server {
 public:
  using hooks_factory = std::function<traffic_hooks(std::size_t loop_index)>;
  traffic_server(std::vector<event_loop*> loops, endpoint listen,
                 hooks_factory make_hooks, clock_callbacks clock);
  ~traffic_server();
  traffic_server(const traffic_server&) = delete;
  traffic_server& operator=(const traffic_server&) = delete;

  peer_result<void> start();
  void close();
  /// Closes the connections that the loop serves; call on its thread.
  void close_connections(std::size_t loop_index);

 private:
  struct state;
  std::shared_ptr<state> state_;
};

/// Receives control messages.
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

/// Encodes one control message.
std::string encode(const membership::message& message);
/// Returns the size of an encoded subquery in bytes.
std::size_t encoded_size(const subquery& work);
enum class wire_errc { malformed };
using wire_error = basic_error<wire_errc>;
/// Decodes one control message of the membership protocol.
result<membership::message, wire_error> decode(std::string_view bytes);

/// Encodes a message about quotas. It travels like a control message, but is of
/// a kind that `decode`, and so every older daemon, refuses.
std::string encode(const quota::quota_message& message);
using any_message = std::variant<membership::message, quota::quota_message>;
/// Decodes one message of either kind.
result<any_message, wire_error> decode_any(std::string_view bytes);

}  // namespace medlarloft::peers
