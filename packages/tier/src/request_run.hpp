#pragma once

/// One request of a caller in this process: the decisions of `execution`
/// carried out on connections, and its answer.

#include <memory>
#include <unordered_map>

#include "event_log.hpp"
#include "figures.hpp"
#include "leaf_pool.hpp"
#include "medlarloft/tier.hpp"

namespace medlarloft::tier {

/// What all requests of a daemon share.
struct traffic_context {
  loop::timer_queue& timers;
  const adapter& platform;
  leafs::leaf_set& leafs;
  leaf_pool& pool;
  fanout::retry_budget& budget;
  waiting::wait_queue& queue;
  event_log& log;
  figures& counts;
  leafs::attempt_id next_attempt = 0;
};

class request_run : public std::enable_shared_from_this<request_run> {
 public:
  /// `table` keeps the version alive under which the request began. It is
  /// answered by `last_answer` at the latest.
  request_run(traffic_context& context, std::shared_ptr<http::exchange> asked,
              request_metadata facts, routes::route_table_ptr table,
              const routes::route& route, std::vector<std::string> services,
              time_point last_answer);

  void start();

 private:
  struct open_attempt {
    leafs::leaf_handle leaf = 0;
    leaf_pool::call call;
    time_point sent_at;
    bool abandoned = false;
    loop::timer_queue::handle give_up;
  };

  /// One request to a leaf, for the log.
  struct attempt_record {
    leafs::attempt_id attempt = 0;
    std::size_t shard = 0;
    leafs::leaf_handle leaf = 0;
    fanout::attempt_kind kind{};
    time_point sent_at;
    duration expected{};
    /// Nothing: still open when the request ended.
    std::optional<leafs::attempt_outcome> ending;
    duration took{};
  };

  fanout::hooks choices();
  void follow_waits(const fanout::actions& wanted);
  void carry_out(fanout::actions wanted);
  void send(const fanout::send_action& wanted);
  void abandon(const fanout::abandon_action& wanted);
  void on_result(leafs::attempt_id attempt, leaf_result result);
  void on_timer();
  void finish(const fanout::request_result& done);
  http::message answer_for(const fanout::request_result& done) const;
  void log_attempt(const attempt_record& attempt);
  void log_missing(const fanout::missing_part& part);
  void log_end(const fanout::request_result& done, int status);

  traffic_context& context_;
  std::shared_ptr<http::exchange> asked_;
  request_metadata facts_;
  /// The request as every leaf gets it.
  http::message passed_;
  routes::route_table_ptr table_;
  const routes::route& route_;
  time_point began_;
  /// Until then the caller waits; leafs are told what is left of it.
  time_point caller_deadline_;
  fanout::execution execution_;
  waiting::leaf_picker choice_;
  std::unordered_map<leafs::attempt_id, open_attempt> attempts_;
  std::vector<attempt_record> history_;
  loop::timer_queue::handle timer_;
};

}  // namespace medlarloft::tier
