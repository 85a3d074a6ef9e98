#pragma once

/// What a daemon believes of the fleet: the configuration in force, the
/// leafs, and the data centres that are out. Fed with records of the store;
/// a version never gives way to an older one.

#include <set>
#include <string>

#include "event_log.hpp"
#include "medlarloft/tier.hpp"

namespace medlarloft::tier {

class fleet_state {
 public:
  fleet_state(const adapter& platform, leafs::leaf_set& leafs, event_log& log,
              std::string operator_prefix);

  /// Takes changes from the store or from another daemon.
  void apply(time_point now, const std::vector<replica::change>& changes,
             replica::revision upto, std::string_view source);
  void apply_listing(time_point now,
                     const std::vector<replica::change>& listing,
                     replica::revision from, std::string_view source);
  void store_answers(time_point now, bool answers);
  void tick(time_point now);

  const routes::route_table_ptr& table() const noexcept { return table_; }
  const replica::store_copy& copy() const noexcept { return copy_; }
  /// Whether requests can be served.
  bool ready() const noexcept { return table_ != nullptr; }

 private:
  void take(time_point now, const std::vector<replica::update>& updates,
            std::string_view source);
  void take_record(time_point now, const replica::update& each,
                   std::string_view source);
  void take_removal(const std::string& key, std::string_view source);
  void take_configuration(routes::configuration fresh, std::string_view source);

  const adapter& platform_;
  leafs::leaf_set& leafs_;
  event_log& log_;
  replica::store_copy copy_;
  routes::route_table_ptr table_;
  std::set<std::string> out_;
};

}  // namespace medlarloft::tier
