#pragma once

/// What control publishes for the traffic threads.

#include <atomic>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "medlarloft/base.hpp"
#include "medlarloft/notes.hpp"
#include "medlarloft/placement.hpp"

namespace medlarloft::server {

/// Immutable once published; traffic holds it for the time of a query.
struct view {
  notes::model_ptr model = std::make_shared<notes::fleet_model>();
  std::shared_ptr<const placement::home_table> homes =
      std::make_shared<placement::home_table>();
  std::shared_ptr<const placement::address_book> addresses =
      std::make_shared<placement::address_book>();
  /// Aligned with the model's daemons.
  std::vector<placement::daemon_status> status;
  std::optional<notes::daemon_index> self;
  /// Own shares that may be used now, sorted by leaf.
  std::vector<placement::leaf_share> shares;
  /// Backend servers that leave, as the host list says; sorted.
  std::vector<std::string> leaving_hosts;
  bool ready = false;
  bool stopping = false;
};

using view_ptr = std::shared_ptr<const view>;

/// Where control puts the view and traffic takes it.
class view_board {
 public:
  view_board() : view_(std::make_shared<view>()) {}

  void publish(view_ptr fresh) { view_.store(std::move(fresh)); }
  view_ptr current() const { return view_.load(); }

  /// Control renews the view for as long as it hears the fleet. The expiry is
  /// on the steady clock, so that a process that slept finds it passed.
  void renew(time_point until) { expires_.store(until); }
  bool expired(time_point now) const { return now >= expires_.load(); }

 private:
  std::atomic<view_ptr> view_;
  std::atomic<time_point> expires_{time_point{}};
};

}  // namespace medlarloft::server
