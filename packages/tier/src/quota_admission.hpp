#pragma once

/// Admits requests of client accounts within the quotas that all daemons share.
/// Connects `quota::node` with the clock, the timers and the configuration.

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "medlarloft/loop.hpp"
#include "medlarloft/quota.hpp"

namespace medlarloft::tier {

class quota_admission {
 public:
  struct hooks {
    std::function<void(const quota::envelope& message)> send;
    /// This daemon uses another coordinator than before.
    std::function<void(const std::string& id, std::string_view reason)>
        on_coordinator_changed;
  };
  struct options {
    std::string id;
    /// Random for each process.
    std::uint64_t process = 1;
    quota::tolerance allowed;
  };

  quota_admission(loop::timer_queue& timers, options settings, hooks callbacks);

  /// Sets the quotas of the configuration in force. Does nothing for the table
  /// that is already in use.
  void set_table(const routes::route_table_ptr& table);
  void set_fraction(double fraction);
  /// Sets the capacities of the daemons that may be coordinator.
  void set_candidates(const std::map<std::string, std::uint32_t>& capacities);

  /// See `quota::client::admit`.
  quota::decision admit(const std::string& account, duration waited);
  void give_back(const std::string& account, time_point created_at);
  void receive(const quota::quota_message& message);
  /// Drops all tokens; for a process that was paused.
  void reset();

  double tokens_held() const;

 private:
  void arm();
  void tick();
  void report_coordinator();

  loop::timer_queue& timers_;
  options options_;
  hooks hooks_;
  quota::node node_;
  routes::route_table_ptr table_;
  std::vector<std::string> coordinators_;
  std::string reported_coordinator_;
  loop::timer_queue::handle timer_;
  time_point armed_for_ = time_point::max();
};

}  // namespace medlarloft::tier
