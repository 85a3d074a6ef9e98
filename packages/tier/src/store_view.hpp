#pragma once

/// What a daemon knows from the store's records: the configuration in force,
/// the leafs, and the data centres taken out of service. A configuration is
/// never replaced by an older version.

#include <set>
#include <string>

#include "event_log.hpp"
#include "medlarloft/tier.hpp"

namespace medlarloft::tier {

class store_view {
 public:
  store_view(const adapter& platform, leafs::leaf_set& leafs, event_log& log,
             std::string operator_prefix);

  /// Applies changes that came from the store or from another daemon.
  void apply(time_point now, const std::vector<replica::change>& changes,
             replica::position position, std::string_view source);
  void apply_listing(time_point now,
                     const std::vector<replica::change>& listing,
                     replica::position position, std::string_view source);
  void set_store_state(time_point now, replica::store_state state);
  void tick(time_point now);

  const routes::route_table_ptr& table() const noexcept { return table_; }
  const replica::store_copy& records() const noexcept { return records_; }
  /// Whether a configuration is in force, so that requests can be served.
  bool ready() const noexcept { return table_ != nullptr; }

 private:
  void apply_updates(time_point now,
                     const std::vector<replica::update>& updates,
                     std::string_view source);
  void apply_record(time_point now, const replica::update& update,
                    std::string_view source);
  void apply_removal(time_point now, const std::string& key,
                     std::string_view source);
  void apply_configuration(time_point now, routes::configuration configuration,
                           std::string_view source);

  const adapter& platform_;
  leafs::leaf_set& leafs_;
  event_log& log_;
  replica::store_copy records_;
  routes::route_table_ptr table_;
  std::set<std::string> data_centres_out_;
};

}  // namespace medlarloft::tier
