#pragma once

/// Serves one request of a caller: performs the actions that
/// `fanout::execution` decides on, and sends the response.

#include <memory>
#include <set>
#include <unordered_map>

#include "attempt_log.hpp"
#include "connection_pool.hpp"
#include "daemon_metrics.hpp"
#include "event_log.hpp"
#include "medlarloft/tier.hpp"

namespace medlarloft::tier {

class request_task;

/// Shared by all requests of a daemon.
struct traffic_context {
  loop::timer_queue& timers;
  const adapter& platform;
  leafs::leaf_set& leafs;
  connection_pool& pool;
  fanout::retry_budget& budget;
  waiting::wait_queue& queue;
  event_log& log;
  daemon_metrics& metrics;
  /// Called when a timer of a request fires, before anything is decided.
  std::function<void()> check_pause;
  /// Whether the view is current, so that leafs may be picked.
  std::function<bool()> may_send;
  leafs::attempt_id last_attempt_id = 0;
  /// Bytes of requests and responses, without those of headers that are added
  /// or removed.
  std::uint64_t bytes_in = 0;
  std::uint64_t bytes_out = 0;
  /// The requests that have no result yet.
  std::set<std::weak_ptr<request_task>,
           std::owner_less<std::weak_ptr<request_task>>>
      running = {};
};

/// The priority of a request; a higher one is less urgent.
std::uint32_t priority_of(const routes::route& route,
                          const routes::account* account);

/// When the caller or the route stops waiting for a response, whichever is
/// first.
time_point request_deadline(time_point received_at,
                            const request_metadata& metadata,
                            const routes::route& route);

/// A request of a caller that may be sent to leafs.
struct admitted_request {
  std::shared_ptr<http::exchange> exchange;
  request_metadata metadata;
  /// Keeps the configuration alive that `route` and `account` are part of.
  routes::route_table_ptr table;
  const routes::route* route = nullptr;
  /// Null if the request belongs to no account.
  const routes::account* account = nullptr;
  /// The shards of a gather, or the one service chosen for a single request.
  std::vector<std::string> services;
  /// The request is answered by then at the latest; infinite unless the daemon
  /// is stopping.
  time_point stop_deadline = time_point::max();
  /// Called if the request ends before it was sent to a leaf; may be empty.
  std::function<void()> on_not_sent;
};

class request_task : public std::enable_shared_from_this<request_task> {
 public:
  request_task(traffic_context& context, admitted_request request);

  void start();
  /// The daemon ends: the request is answered by then at the latest.
  void limit_deadline(time_point deadline);

 private:
  struct open_attempt {
    leafs::leaf_handle leaf = 0;
    connection_pool::call call;
    time_point sent_at;
    bool abandoned = false;
    /// Closes the connection of an abandoned attempt.
    loop::timer_queue::handle drain_timer;
  };

  fanout::hooks make_hooks();
  void update_wait_queues(const fanout::actions& actions);
  void perform(fanout::actions actions);
  void send(const fanout::send_action& action);
  void on_caller_left();
  void abandon(const fanout::abandon_action& action);
  /// Sets when to close the connection of an abandoned attempt.
  void start_drain_timer(time_point now, leafs::attempt_id attempt,
                         open_attempt& open);
  void on_attempt_ended(leafs::attempt_id attempt, pool_result result);
  void apply_report(time_point now, const open_attempt& open,
                    const leafs::leaf_report& report);
  void on_timer();
  void finish(const fanout::request_result& result);
  http::message make_response(const fanout::request_result& result) const;
  void log_missing_part(const fanout::missing_part& part);
  void log_request_ended(const fanout::request_result& result, int status);

  traffic_context& context_;
  std::shared_ptr<http::exchange> exchange_;
  request_metadata metadata_;
  /// The request to the leafs, without the headers of a single leaf.
  http::message leaf_request_;
  routes::route_table_ptr table_;
  const routes::route& route_;
  const routes::account* account_;
  std::function<void()> on_not_sent_;
  time_point received_at_;
  /// When the caller stops waiting; leafs are sent the remaining time.
  time_point caller_deadline_;
  /// When the caller disconnected before it had a response.
  std::optional<time_point> caller_left_at_;
  fanout::execution execution_;
  waiting::leaf_picker picker_;
  std::unordered_map<leafs::attempt_id, open_attempt> open_attempts_;
  attempt_log attempts_;
  loop::timer_queue::handle timer_;
};

}  // namespace medlarloft::tier
