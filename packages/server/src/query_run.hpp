#pragma once

/// Carries one query's execution out: sends parts to relays, feeds answers
/// and time back, and ends it.

#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>

#include "entry.hpp"

namespace medlarloft::server {

class query_run : public std::enable_shared_from_this<query_run> {
 public:
  /// `overloaded`: some relay's queue was full or too slow.
  using finished =
      std::function<void(const query::final_outcome& outcome,
                         const query::tally& tally, bool overloaded)>;

  query_run(entry& owner, view_ptr current, query::request request,
            query::policy policy, std::string body, finished done);

  void start();
  void abort(const std::string& reason);

 private:
  struct attempt_info {
    query::route route;
    std::uint64_t part_id = 0;
    time_point sent_at;
  };

  query::hooks make_hooks();
  std::optional<query::route> pick(const notes::shard& shard,
                                   const query::tried_routes& tried,
                                   notes::snapshot_id snapshot);
  void carry_out(query::actions wanted);
  void cancel(const std::vector<query::cancel_action>& cancels);
  void send(const std::vector<query::send_action>& sends);
  void send_part(notes::daemon_index relay, const peers::subquery& work);
  void part_answered(notes::daemon_index relay, std::uint64_t part_id,
                     peers::peer_result<peers::subquery_answer> answer);
  void collect(notes::daemon_index relay, std::uint64_t part_id);
  void part_failed(std::uint64_t part_id, const peers::peer_error& error);
  /// `hop`: what the way to the relay and back added to the leaf's own time.
  void task_ended(const peers::task_result& result, duration hop);
  duration hop_of(const peers::subquery_answer& answer) const;
  void arm(time_point wake_at);
  duration silence() const;

  entry& owner_;
  view_ptr view_;
  query::execution execution_;
  query::policy policy_;
  std::string body_;
  finished done_;
  bool overloaded_ = false;
  boost::asio::steady_timer timer_;
  std::map<query::attempt_id, attempt_info> attempts_;
};

}  // namespace medlarloft::server
