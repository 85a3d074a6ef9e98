#pragma once

/// Takes callers' queries on one traffic thread: admission, ownership of
/// non-idempotent requests, and one run for each query.

#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "context.hpp"
#include "medlarloft/front.hpp"
#include "medlarloft/metrics.hpp"
#include "medlarloft/net.hpp"
#include "medlarloft/query.hpp"
#include "relay.hpp"
#include "replica_choice.hpp"

namespace medlarloft::server {

using answer_done = std::function<void(front::caller_answer)>;

/// What this thread has learnt about one service.
struct service_experience {
  query::latency_quantile latency;
  query::snapshot_tracker snapshots;
  admission::throttle throttle;
};

class query_run;

class entry {
 public:
  entry(daemon_context& context, peers::event_loop& loop,
        metrics::recorder& figures, relay& own_relay, std::size_t workers,
        std::uint64_t seed);
  ~entry();

  /// Handles `POST /v1/query`.
  void query(const net::http_request& request, net::respond answer);
  /// Handles `GET /v1/addresses`.
  void addresses(const net::http_request& request, const net::respond& answer);
  /// Handles a request that another daemon forwards to its owner.
  void forwarded(const std::string& text, duration remaining,
                 std::function<void(peers::forwarded_answer)> reply);
  void close();

 private:
  friend class query_run;

  struct pending {
    front::caller_query asked;
    query::request request;
    view_ptr current;
    answer_done done;
    time_point began;
  };

  void accept(front::caller_query asked, bool is_forwarded, duration allowed,
              answer_done done);
  void run_once(pending work, bool is_forwarded);
  void forward_to(notes::daemon_index owner, const pending& work);
  void admit(pending work);
  void start(std::uint64_t id, pending work);
  void ended(std::uint64_t id, const pending& work,
             const query::final_outcome& outcome, const query::tally& tally,
             bool overloaded);
  void refuse(const pending& work, front::outcome_kind kind, std::string reason,
              duration retry_after = {});
  query::policy policy_for(const notes::service& service, bool idempotent);
  service_experience& experience(const std::string& service);
  peers::traffic_client& client(const view& current,
                                notes::daemon_index daemon);
  bool take_extra(query::attempt_kind kind);

  daemon_context& context_;
  peers::event_loop& loop_;
  metrics::recorder& figures_;
  relay& relay_;
  random_generator random_;
  admission::concurrency_limiter gate_;
  replica_choice choice_;
  query::extra_budget hedges_;
  query::extra_budget retries_;
  std::map<std::string, service_experience> services_;
  std::unordered_map<std::string, std::unique_ptr<peers::traffic_client>>
      clients_;
  std::map<std::uint64_t, pending> waiting_;
  std::map<std::uint64_t, std::shared_ptr<query_run>> runs_;
  std::uint64_t next_id_ = 0;
  notes::note_version known_version_ = 0;
};

}  // namespace medlarloft::server
