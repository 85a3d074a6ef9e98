#pragma once

/// What one daemon consists of. Its members are defined by duty: daemon.cpp
/// starts and stops it, daemon_traffic.cpp serves callers, daemon_group.cpp
/// speaks with the other daemons and decides who reads the store.

#include <boost/asio/signal_set.hpp>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "event_log.hpp"
#include "figures.hpp"
#include "fleet_load.hpp"
#include "fleet_share.hpp"
#include "fleet_state.hpp"
#include "leaf_pool.hpp"
#include "medlarloft/tier.hpp"
#include "peer_link.hpp"
#include "request_run.hpp"
#include "stop_sequence.hpp"
#include "store_reader.hpp"
#include "watch_duty.hpp"

namespace medlarloft::tier {

struct daemon::state {
  state(settings given, adapter given_platform);

  result<void, tier_error> start();
  void start_store();
  void serve(std::shared_ptr<http::exchange> asked);
  void serve_addresses(const std::shared_ptr<http::exchange>& asked);
  void serve_readiness(const std::shared_ptr<http::exchange>& asked);
  std::vector<endpoint> addresses_for(const address_request& asked) const;
  void take_members(const membership::outputs& wanted);
  void take_message(const membership::message& message);
  void tell_store_fails(time_point now);
  void note_progress(const std::string& root);
  void check_duty();
  void send(const membership::envelope& each);
  void tick_members();
  void sweep();
  /// Sets the counters and gauges that others keep.
  void measure(time_point now);
  void set_shares(time_point now);
  void await_signal();
  void on_signal(int number);
  void begin_stop();
  void await_end();
  http::limits caller_limits() const;
  duration not_ready_retry(time_point now) const;
  duration address_keep() const;
  bool ready() const { return !stop.begun() && fleet.ready(); }

  time_point started_at = steady_clock::now();
  settings values;
  adapter platform;
  std::uint64_t seed;
  // One thread runs it, so that it needs no locks.
  http::io_context loop{BOOST_ASIO_CONCURRENCY_HINT_UNSAFE};
  loop::timer_queue timers{loop};
  event_log log;
  figures counts;
  leafs::leaf_set leafs;
  fleet_state fleet;
  leaf_pool pool;
  fleet_share share;
  fleet_load loads;
  fanout::retry_budget budget;
  waiting::wait_queue queue;
  traffic_context traffic;
  std::unique_ptr<membership::group> members;
  std::shared_ptr<peer_link> link;
  std::unique_ptr<store_reader> store;
  watch_duty duty;
  std::set<std::string> data_centres;
  std::unique_ptr<http::server> callers;
  std::unique_ptr<http::server> readiness;
  std::unique_ptr<http::server> addresses;
  std::unique_ptr<http::server> metrics_page;
  boost::asio::signal_set signals{loop};
  std::map<std::string, routes::weighted_round_robin> splits;
  std::function<std::optional<settings>()> reread;
  loop::timer_queue::handle member_timer;
  time_point last_sweep{};
  /// The store did not answer this daemon's last call.
  bool store_fails = false;
  /// As of which the others were told the last time.
  replica::revision told_revision = 0;
  /// By how much the last sweep was late.
  duration loop_lag{};
  stop_sequence stop;
};

}  // namespace medlarloft::tier
