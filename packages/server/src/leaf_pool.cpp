#include "leaf_pool.hpp"

#include <algorithm>

namespace medlarloft::server {
namespace {

constexpr duration connect_timeout = std::chrono::seconds(1);
constexpr duration health_timeout = std::chrono::seconds(1);
/// After a refused connection nothing is queued for this long.
constexpr duration unreachable_pause = std::chrono::milliseconds(200);
constexpr duration pump_interval = std::chrono::milliseconds(2);
/// A leaf that keeps its deadline answers by then; a connection that is still
/// silent after this much more is given up.
constexpr duration answer_grace = std::chrono::milliseconds(50);
constexpr std::uint32_t spare_connections = 1;

duration until(time_point deadline) {
  return std::max<duration>(duration::zero(), deadline - steady_clock::now());
}

}  // namespace

leaf_pool::leaf_pool(daemon_context& context, net::io_context& loop,
                     metrics::recorder& figures, notes::leaf config)
    : context_(context),
      loop_(loop),
      figures_(figures),
      config_(std::move(config)),
      state_({.warm_after = config_.cold.warm_after}),
      connections_({.connection_cost = config_.connection_cost,
                    .spare = spare_connections}),
      queue_(context.settings.query.leaf_queue),
      timer_(loop) {}

void leaf_pool::configure(const notes::leaf& config,
                          const placement::share& share, bool note_leaving,
                          bool list_leaving) {
  const bool left_before = state_.leaving();
  config_ = config;
  state_.set_share(share);
  connections_.set_limit(share.connections);
  state_.set_leaving(backends::leaving_source::note, note_leaving);
  state_.set_leaving(backends::leaving_source::host_list, list_leaving);
  if (state_.leaving() && !left_before) {
    context_.event(timeline::event_kind::server_leaving, config_.id,
                   note_leaving ? "note" : "host list");
    fail_queued();
  }
  maintain();
  pump();
}

void leaf_pool::submit(leaf_task task, leaf_done done) {
  const time_point now = steady_clock::now();
  waiting work{std::move(task), std::move(done)};
  const bool hopeless = closed_ || state_.leaving() || state_.limit() == 0 ||
                        now < unreachable_until_;
  if (hopeless) {
    fail(work, peers::task_status::not_sent);
    return;
  }
  const std::uint64_t id = ++next_id_;
  const backends::waiting_request place{id, work.task.request.priority,
                                        work.task.deadline};
  waiting_.emplace(id, std::move(work));
  const std::optional<std::uint64_t> dropped = queue_.push(place);
  if (dropped) {
    const auto gone = waiting_.extract(*dropped);
    fail(gone.mapped(), peers::task_status::overloaded);
  }
  pump();
}

void leaf_pool::cancel(query::attempt_id attempt) {
  const auto queued = std::ranges::find_if(waiting_, [&](const auto& entry) {
    return entry.second.task.request.attempt == attempt;
  });
  if (queued != waiting_.end()) {
    queue_.remove(queued->first);
    const auto gone = waiting_.extract(queued);
    fail(gone.mapped(), peers::task_status::not_sent);
    return;
  }
  const auto run = std::ranges::find_if(running_, [&](const auto& entry) {
    return entry.second.work.task.request.attempt == attempt;
  });
  if (run == running_.end()) return;
  const connection_ptr connection = take_idle();
  if (!connection) return;
  ++checking_;
  connection->exchange(
      {.method = "POST",
       .target = "/v1/cancel",
       .body = "{\"attempt\":" + std::to_string(attempt) + "}"},
      health_timeout, [self = shared_from_this(), connection](const auto&) {
        --self->checking_;
        self->give_back(connection);
      });
}

leaf_pool::connection_ptr leaf_pool::take_idle() {
  while (!idle_.empty()) {
    connection_ptr connection = std::move(idle_.back());
    idle_.pop_back();
    if (connection->usable()) return connection;
  }
  return nullptr;
}

void leaf_pool::give_back(const connection_ptr& connection) {
  if (connection->usable() && !closed_) {
    idle_.push_back(connection);
  } else {
    connection->close();
  }
  maintain();
  pump();
}

void leaf_pool::pump() {
  const time_point now = steady_clock::now();
  for (const std::uint64_t late : queue_.expire(now)) {
    const auto gone = waiting_.extract(late);
    fail(gone.mapped(), peers::task_status::overloaded);
  }
  while (queue_.size() > 0 && state_.may_start(now)) {
    const connection_ptr connection = take_idle();
    if (!connection) break;
    const auto next = queue_.pop();
    auto work = waiting_.extract(next->id);
    send(next->id, std::move(work.mapped()), connection);
  }
  if (queue_.size() > 0) {
    maintain();
    arm_timer();
  }
}

void leaf_pool::arm_timer() {
  if (timer_armed_ || closed_) return;
  timer_armed_ = true;
  timer_.expires_after(pump_interval);
  timer_.async_wait([self = shared_from_this()](const auto& cancelled) {
    self->timer_armed_ = false;
    if (!cancelled) self->pump();
  });
}

void leaf_pool::maintain() {
  if (closed_ || state_.leaving()) return;
  std::erase_if(idle_, [](const connection_ptr& c) { return !c->usable(); });
  const time_point now = steady_clock::now();
  const auto in_use = static_cast<std::uint32_t>(running_.size()) + checking_;
  const auto idle = static_cast<std::uint32_t>(idle_.size());
  const bool useful = in_use < std::max(1U, state_.granted().slots) + 1;
  if (!useful || now < unreachable_until_) return;
  if (!connections_.should_open(now, in_use, idle, opening_)) return;
  connections_.opened(now);
  ++opening_;
  figures_.increment(metrics::counter::connections_opened);
  net::http_connection::open(
      loop_,
      {.to = config_.address,
       .from_ip = context_.settings.listen.peers.ip,
       .connect_timeout = connect_timeout},
      [self = shared_from_this()](net::net_result<connection_ptr> result) {
        self->opened(std::move(result));
      });
}

void leaf_pool::opened(net::net_result<connection_ptr> result) {
  --opening_;
  if (!result) {
    unreachable_until_ = steady_clock::now() + unreachable_pause;
    if (running_.empty() && idle_.empty()) fail_queued();
    return;
  }
  const connection_ptr connection = std::move(result).value();
  if (closed_) {
    connection->close();
    return;
  }
  connection->watch([self = shared_from_this()] {
    self->report(self->state_.connection_lost(steady_clock::now()));
  });
  idle_.push_back(connection);
  pump();
}

void leaf_pool::send(std::uint64_t id, waiting work,
                     const connection_ptr& connection) {
  const time_point now = steady_clock::now();
  state_.started(now);
  work.task.request.deadline = until(work.task.deadline);
  figures_.increment(metrics::counter::leaf_requests_sent);
  net::http_request message{
      .method = "POST",
      .target = "/v1/query",
      .body = front::write_leaf_request(work.task.request)};
  const duration limit = std::min(context_.settings.query.leaf_timeout,
                                  work.task.request.deadline + answer_grace);
  running_.emplace(id, running{std::move(work), connection, now});
  connection->exchange(std::move(message), limit,
                       [self = shared_from_this(), id](const auto& answer) {
                         self->answered(id, answer);
                       });
}

void leaf_pool::answered(std::uint64_t id,
                         const net::net_result<net::http_response>& answer) {
  const auto ended = running_.extract(id);
  const running& run = ended.mapped();
  const time_point now = steady_clock::now();
  backends::answer_facts facts{.latency = now - run.sent_at};
  peers::task_result result{.attempt = run.work.task.request.attempt,
                            .status = peers::task_status::lost};
  if (answer) {
    result = take_reply(run, answer.value(), facts);
  } else {
    connection_failed(answer.error(), facts);
  }
  result.latency = facts.latency;
  const bool left_before = state_.leaving();
  report(state_.finished(now, facts));
  if (state_.leaving() && !left_before) {
    context_.event(timeline::event_kind::server_leaving, config_.id,
                   "its own answer");
    fail_queued();
  }
  give_back(run.connection);
  run.work.done(std::move(result));
}

void leaf_pool::connection_failed(const net::net_error& error,
                                  backends::answer_facts& facts) {
  const bool silent = error.code == net::net_errc::timed_out;
  facts.how = silent ? backends::ending::timed_out : backends::ending::lost;
  if (!silent) return;
  connections_.went_silent(steady_clock::now());
  figures_.increment(metrics::counter::connections_replaced);
  context_.event(timeline::event_kind::connection_silent, config_.id,
                 "replaced");
}

peers::task_result leaf_pool::take_reply(const running& run,
                                         const net::http_response& response,
                                         backends::answer_facts& facts) {
  const front::leaf_request& asked = run.work.task.request;
  peers::task_result result{.attempt = asked.attempt,
                            .status = peers::task_status::lost};
  facts.how = backends::ending::other;
  auto read = front::read_leaf_reply(response.body);
  const bool own = read && read.value().attempt == asked.attempt &&
                   read.value().request_id == asked.request_id;
  if (!own) {
    // Not the answer to this request: nothing on this connection can be
    // trusted any more.
    figures_.increment(metrics::counter::foreign_answers_dropped);
    run.connection->close();
    return result;
  }
  front::leaf_reply reply = std::move(read).value();
  facts.start_id = reply.start_id;
  facts.says_cold = reply.cold;
  facts.says_leaving = reply.leaving;
  result.oldest = reply.oldest;
  result.newest = reply.newest;
  switch (reply.outcome) {
    case front::leaf_outcome::answered:
      facts.how = backends::ending::answered;
      result.status = peers::task_status::answered;
      result.answer = std::move(reply.answer);
      break;
    case front::leaf_outcome::shed:
      facts.how = backends::ending::shed;
      result.status = peers::task_status::not_run;
      break;
    case front::leaf_outcome::leaving:
      facts.how = backends::ending::refused_leaving;
      result.status = peers::task_status::not_run;
      break;
    case front::leaf_outcome::gone:
      result.status = peers::task_status::snapshot_gone;
      break;
    case front::leaf_outcome::cancelled:
    case front::leaf_outcome::late:
      break;
  }
  return result;
}

void leaf_pool::fail(const waiting& work, peers::task_status how) {
  work.done({.attempt = work.task.request.attempt, .status = how});
}

void leaf_pool::fail_queued() {
  while (const auto next = queue_.pop()) {
    const auto gone = waiting_.extract(next->id);
    fail(gone.mapped(), peers::task_status::not_sent);
  }
}

void leaf_pool::report(std::optional<backends::cold_evidence> evidence) {
  if (!evidence) return;
  context_.event(timeline::event_kind::server_cold, config_.id,
                 std::string(backends::name_of(*evidence)));
}

void leaf_pool::tick() {
  maintain();
  pump();
  check_health();
}

void leaf_pool::check_health() {
  // One connection is left for queries.
  if (closed_ || idle_.empty() || checking_ > 0) return;
  const connection_ptr connection = take_idle();
  if (!connection) return;
  ++checking_;
  connection->exchange(
      {.method = "GET", .target = "/v1/health"}, health_timeout,
      [self = shared_from_this(),
       connection](const net::net_result<net::http_response>& answer) {
        --self->checking_;
        const time_point now = steady_clock::now();
        if (!answer && answer.error().code == net::net_errc::timed_out) {
          self->connections_.went_silent(now);
          self->figures_.increment(metrics::counter::connections_replaced);
        }
        if (answer) {
          const auto health = front::read_health(answer.value().body);
          if (health) {
            const bool left_before = self->state_.leaving();
            self->report(self->state_.heard_health(now, health.value().start_id,
                                                   health.value().leaving));
            if (self->state_.leaving() && !left_before) {
              self->context_.event(timeline::event_kind::server_leaving,
                                   self->config_.id, "drain signal");
              self->fail_queued();
            }
          }
        }
        self->give_back(connection);
      });
}

void leaf_pool::take_report(const backends::warm_report& report) {
  if (!state_.take_report(report)) return;
  context_.event(timeline::event_kind::server_warm, config_.id,
                 "another home's word");
  pump();
}

void leaf_pool::close() {
  closed_ = true;
  timer_.cancel();
  fail_queued();
  for (const connection_ptr& connection : idle_)
    connection->close();
  idle_.clear();
}

leaf_status leaf_pool::status() const {
  return {.leaf = config_.id,
          .warm = state_.warmth() == backends::warmth::warm,
          .leaving = state_.leaving(),
          .limit = state_.limit(),
          .in_flight = state_.in_flight(),
          .queued = queue_.size(),
          .connections = idle_.size() + running_.size() + checking_,
          .start_id = state_.start_id(),
          .last_answer = state_.last_answer()};
}

}  // namespace medlarloft::server
