#pragma once

/// The connections, queue and limits of one backend server in one of its home
/// daemons. Lives on the loop of one traffic thread.

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "context.hpp"
#include "medlarloft/backends.hpp"
#include "medlarloft/front.hpp"
#include "medlarloft/metrics.hpp"
#include "medlarloft/net.hpp"
#include "medlarloft/peers.hpp"

namespace medlarloft::server {

/// One request for the leaf. The deadline in `request` is set when it is sent.
struct leaf_task {
  front::leaf_request request;
  time_point deadline;
};
using leaf_done = std::function<void(peers::task_result)>;

/// What operators see of one server.
struct leaf_status {
  std::string leaf;
  bool warm = false;
  bool leaving = false;
  std::uint32_t limit = 0;
  std::uint32_t in_flight = 0;
  std::size_t queued = 0;
  std::size_t connections = 0;
  std::string start_id;
  time_point last_answer;
};

class leaf_pool : public std::enable_shared_from_this<leaf_pool> {
 public:
  leaf_pool(daemon_context& context, net::io_context& loop,
            metrics::recorder& figures, notes::leaf config);

  /// Takes new limits; `leaving` is what the note and the host list say.
  void configure(const notes::leaf& config, const placement::share& share,
                 bool note_leaving, bool list_leaving);

  void submit(leaf_task task, leaf_done done);
  void cancel(query::attempt_id attempt);
  /// Asks the server's health, expires what waits, opens what is due.
  void tick();
  void take_report(const backends::warm_report& report);
  void close();

  leaf_status status() const;

 private:
  using connection_ptr = std::shared_ptr<net::http_connection>;
  struct waiting {
    leaf_task task;
    leaf_done done;
  };
  struct running {
    waiting work;
    connection_ptr connection;
    time_point sent_at;
  };

  void pump();
  void maintain();
  void opened(net::net_result<connection_ptr> result);
  connection_ptr take_idle();
  void give_back(const connection_ptr& connection);
  void send(std::uint64_t id, waiting work, const connection_ptr& connection);
  void answered(std::uint64_t id,
                const net::net_result<net::http_response>& answer);
  peers::task_result take_reply(const running& run,
                                const net::http_response& response,
                                backends::answer_facts& facts);
  void connection_failed(const net::net_error& error,
                         backends::answer_facts& facts);
  void fail(const waiting& work, peers::task_status how);
  void fail_queued();
  void report(std::optional<backends::cold_evidence> evidence);
  void arm_timer();
  void check_health();

  daemon_context& context_;
  net::io_context& loop_;
  metrics::recorder& figures_;
  notes::leaf config_;
  backends::server_state state_;
  backends::connection_policy connections_;
  backends::wait_queue queue_;
  std::map<std::uint64_t, waiting> waiting_;
  std::map<std::uint64_t, running> running_;
  std::vector<connection_ptr> idle_;
  std::uint32_t opening_ = 0;
  std::uint32_t checking_ = 0;
  std::uint64_t next_id_ = 0;
  time_point unreachable_until_{};
  boost::asio::steady_timer timer_;
  bool timer_armed_ = false;
  bool closed_ = false;
};

}  // namespace medlarloft::server
