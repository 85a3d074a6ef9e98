#pragma once

/// The state of one daemon. Its member functions are defined in three files, by
/// topic: daemon.cpp starts and stops the daemon, daemon_traffic.cpp serves
/// callers, and daemon_group.cpp exchanges messages with other daemons and
/// decides which of them read the store.

#include <boost/asio/signal_set.hpp>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "address_choice.hpp"
#include "change_distribution.hpp"
#include "connection_pool.hpp"
#include "daemon_metrics.hpp"
#include "event_log.hpp"
#include "fleet_load.hpp"
#include "medlarloft/tier.hpp"
#include "overload_guard.hpp"
#include "pause_guard.hpp"
#include "peer_link.hpp"
#include "quota_admission.hpp"
#include "quota_calculator.hpp"
#include "request_task.hpp"
#include "stop_sequence.hpp"
#include "store_reader.hpp"
#include "store_view.hpp"

namespace medlarloft::tier {

struct daemon::state {
  state(settings initial_settings, adapter platform_adapter);

  result<void, tier_error> start();
  void start_store_reader();
  void serve(std::shared_ptr<http::exchange> exchange);
  void serve_addresses(const std::shared_ptr<http::exchange>& exchange);
  void serve_readiness(const std::shared_ptr<http::exchange>& exchange);
  std::vector<endpoint> addresses_for(const address_request& request) const;
  void apply_group_outputs(const change_distribution::outputs& outputs);
  void log_large_changes(const membership::envelope& envelope);
  void apply_peer_changes(time_point now,
                          const replica::store_copy::delta& delta,
                          std::string_view source);
  void handle_message(const membership::message& message);
  void report_store_failure(time_point now);
  void update_reader_selection();
  void schedule_membership_tick();
  void sweep();
  /// Starts or stops what only fleets of uneven hosts need.
  void update_unevenness(const std::vector<address_candidate>& hosts);
  void measure_lag();
  /// Tells the daemons of the data centre this one's load if it is a large host
  /// on which they rely.
  void announce_load(time_point now);
  /// Notices that the process was paused; must be called before the view is
  /// used.
  void check_pause();
  /// Whether the view may be outdated, since the process was paused.
  bool holds_requests();
  void hold(const std::shared_ptr<http::exchange>& exchange);
  void refuse_while_stopping(http::exchange& exchange);
  /// Refuses the request if this daemon is overloaded; returns whether it did.
  bool refuse_overloaded(http::exchange& exchange,
                         const request_metadata& metadata,
                         const admitted_request& request);
  void refuse_without_account(http::exchange& exchange,
                              const request_metadata& metadata,
                              const routes::route& route);
  /// Starts the request once its account's quota admits it, or refuses it.
  void admit_by_quota(const std::shared_ptr<admitted_request>& request,
                      duration waited);
  void refuse_over_quota(const admitted_request& request, duration retry_after);
  void start_request(const std::shared_ptr<admitted_request>& request);
  void send_quota_message(const quota::envelope& message);
  void handle_quota_message(const quota::quota_message& message);
  void update_quota_coordinators();
  /// Whether the daemon may end before the request does, which must not be
  /// repeated then.
  bool may_outlast_stop(const http::exchange& exchange,
                        const request_metadata& metadata,
                        const routes::route& route) const;
  /// Sets the counters and gauges whose values other parts hold.
  void update_metrics(time_point now);
  void update_quotas(time_point now);
  void await_signal();
  void on_signal(int number);
  void begin_stop();
  void continue_stop();
  http::limits caller_limits() const;
  duration not_ready_retry_delay(time_point now) const;
  duration address_ttl() const;
  bool ready() const { return !stop.begun() && view.ready(); }

  time_point started_at = steady_clock::now();
  settings daemon_settings;
  adapter platform;
  std::uint64_t seed;
  // A single thread runs it, so it needs no locks.
  http::io_context loop{BOOST_ASIO_CONCURRENCY_HINT_UNSAFE};
  loop::timer_queue timers{loop};
  event_log log;
  daemon_metrics metrics;
  leafs::leaf_set leafs;
  store_view view;
  connection_pool pool;
  quota_calculator quota;
  quota_admission account_quotas;
  fleet_load loads;
  overload_guard overload{{}};
  pause_guard pauses;
  fanout::retry_budget budget;
  waiting::wait_queue queue;
  traffic_context traffic;
  std::unique_ptr<change_distribution> distribution;
  std::shared_ptr<peer_link> link;
  std::unique_ptr<store_reader> store;
  std::set<std::string> data_centres;
  std::unique_ptr<http::server> caller_server;
  std::unique_ptr<http::server> readiness_server;
  std::unique_ptr<http::server> address_server;
  std::unique_ptr<http::server> metrics_server;
  boost::asio::signal_set signals{loop};
  std::map<std::string, routes::weighted_round_robin> splits;
  std::function<std::optional<settings>()> reload;
  loop::timer_queue::handle membership_timer;
  loop::timer_queue::handle lag_timer;
  time_point lag_due{};
  std::uint32_t overload_level = 0;
  /// Whether the fleet's hosts differ so much that callers are directed by
  /// load; see `has_uneven_hosts`.
  bool uneven = false;
  std::uint32_t greatest_capacity = 0;
  std::uint16_t announced_load = 0;
  time_point announced_at{};
  /// Daemons that last reported that they hold no records.
  std::set<std::string> not_ready;
  /// Number of address requests, which seeds the choice of addresses.
  mutable std::uint64_t address_choices = 0;
  /// The least urgent priority of the configuration version.
  std::optional<std::pair<std::int64_t, std::uint32_t>> lowest_priority;
  time_point last_sweep{};
  /// The store did not answer the last call of this daemon.
  bool store_failing = false;
  /// Delay of the last sweep.
  duration loop_lag{};
  stop_sequence stop;
};

}  // namespace medlarloft::tier
