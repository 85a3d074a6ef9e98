#include "entry.hpp"

#include <algorithm>

#include "query_run.hpp"

namespace medlarloft::server {
namespace {

constexpr std::size_t addresses_given = 3;
constexpr double retry_share = 0.1;
constexpr double retry_reserve = 20;
/// The hedge delay is the learnt quantile times this: beyond the usual spread,
/// where an attempt is more likely to straggle than to be a little late.
constexpr double hedge_margin = 4.0;
/// A forwarding daemon waits this much longer than the owner may take.
constexpr duration forward_grace = std::chrono::milliseconds(100);
constexpr duration forward_cost = std::chrono::milliseconds(2);
/// Part of the deadline that the way back to the caller may take.
constexpr duration answer_cost = std::chrono::milliseconds(3);
constexpr duration default_retry_after = std::chrono::milliseconds(100);

admission::concurrency_limiter::options gate_options(
    const settings::query_settings& values, std::size_t workers) {
  const auto share = [workers](std::size_t total) {
    return static_cast<std::uint32_t>(
        std::max<std::size_t>(1, total / workers));
  };
  return {.max_running = share(values.concurrent),
          .max_queued = share(values.queue)};
}

}  // namespace

entry::entry(daemon_context& context, peers::event_loop& loop,
             metrics::recorder& figures, relay& own_relay, std::size_t workers,
             std::uint64_t seed)
    : context_(context),
      loop_(loop),
      figures_(figures),
      relay_(own_relay),
      random_(seed),
      gate_(gate_options(context.settings.query, workers)),
      choice_({}, hash_combine(seed, 1)),
      hedges_({.share = context.settings.query.extra_share}),
      retries_({.share = retry_share, .reserve = retry_reserve}) {}

entry::~entry() = default;

void entry::close() {
  const auto runs = runs_;
  for (const auto& [id, run] : runs)
    run->abort("daemon stops");
  clients_.clear();
}

service_experience& entry::experience(const std::string& service) {
  const auto found = services_.find(service);
  if (found != services_.end()) return found->second;
  return services_
      .emplace(service,
               service_experience{
                   query::latency_quantile(
                       {.quantile = context_.settings.query.hedge_quantile}),
                   {},
                   admission::throttle({})})
      .first->second;
}

peers::traffic_client& entry::client(const view& current,
                                     notes::daemon_index daemon) {
  const notes::daemon_entry& peer = current.model->daemons[daemon];
  const std::string key = peer.id + "@" + format_endpoint(peer.peers);
  auto& client = clients_[key];
  if (!client) {
    client = std::make_unique<peers::traffic_client>(
        loop_,
        peers::traffic_client::options{
            .to = peer.peers, .from_ip = context_.settings.listen.peers.ip},
        context_.stamping());
  }
  return *client;
}

bool entry::take_extra(query::attempt_kind kind) {
  if (kind == query::attempt_kind::retry) return retries_.take();
  // Hedges fade out while queries wait for a place here.
  if (!context_.settings.query.hedging || gate_.waiting() > 0) return false;
  return hedges_.take();
}

void entry::addresses(const net::http_request& request,
                      const net::respond& answer) {
  const view_ptr current = context_.board.current();
  if (!current->ready || context_.board.expired(steady_clock::now())) {
    answer({.status = front::status_of(front::outcome_kind::not_run),
            .body = R"({"outcome":"not run","reason":"not ready"})"
                    "\n"});
    return;
  }
  std::string caller = front::parameter(request.target, "caller");
  if (caller.empty()) caller = request.remote;
  const auto chosen = current->addresses->addresses_for(
      current->status,
      {.data_centre = front::parameter(request.target, "data_centre"),
       .caller = caller,
       .count = addresses_given});
  front::address_answer given{.keep_for =
                                  context_.settings.callers.keep_addresses};
  for (const notes::daemon_index daemon : chosen) {
    given.addresses.push_back(current->model->daemons[daemon].callers);
  }
  answer({.body = front::write_addresses(given)});
}

void entry::query(const net::http_request& request, net::respond answer) {
  figures_.increment(metrics::counter::queries);
  auto asked = front::read_query(request.body);
  if (!asked) {
    figures_.increment(metrics::counter::refused_invalid);
    answer(
        {.status = front::status_of(front::outcome_kind::invalid),
         .body = front::write_answer({.outcome = front::outcome_kind::invalid,
                                      .reason = asked.error().text()})});
    return;
  }
  accept(std::move(asked).value(), false, duration::max(),
         [answer = std::move(answer)](const front::caller_answer& ready) {
           answer({.status = front::status_of(ready.outcome),
                   .body = front::write_answer(ready)});
         });
}

void entry::forwarded(const std::string& text, duration remaining,
                      std::function<void(peers::forwarded_answer)> reply) {
  auto asked = front::read_query(text);
  if (!asked) {
    reply({front::status_of(front::outcome_kind::invalid),
           front::write_answer({.outcome = front::outcome_kind::invalid,
                                .reason = asked.error().text()})});
    return;
  }
  accept(std::move(asked).value(), true, remaining,
         [reply = std::move(reply)](const front::caller_answer& ready) {
           reply({front::status_of(ready.outcome), front::write_answer(ready)});
         });
}

void entry::accept(front::caller_query asked, bool is_forwarded,
                   duration allowed, answer_done done) {
  const time_point now = steady_clock::now();
  pending work{.asked = std::move(asked),
               .current = context_.board.current(),
               .done = std::move(done),
               .began = now};
  const view& current = *work.current;
  if (!current.ready || context_.board.expired(now)) {
    figures_.increment(metrics::counter::view_refusals);
    refuse(work, front::outcome_kind::not_run,
           current.ready ? "no word from the fleet" : "not ready",
           default_retry_after);
    return;
  }
  const std::string centre = context_.settings.data_centre;
  if (current.model->is_out(centre)) {
    refuse(work, front::outcome_kind::not_run,
           "data centre " + centre + " is out", default_retry_after);
    return;
  }
  const notes::service* service =
      current.model->find_service(work.asked.service);
  if (service == nullptr) {
    refuse(work, front::outcome_kind::invalid,
           "service \"" + work.asked.service + "\" does not exist");
    return;
  }
  query::request& request = work.request;
  request.id = work.asked.request_id;
  request.service = service;
  request.priority = work.asked.priority.value_or(service->priority);
  const duration wanted = work.asked.deadline.value_or(service->deadline);
  request.deadline = now + std::min(wanted, allowed) - answer_cost;
  request.coverage_wanted =
      work.asked.coverage_wanted.value_or(service->coverage_wanted);
  request.idempotent =
      work.asked.idempotent.value_or(true) && service->idempotent;
  request.row_limit = work.asked.row_limit;
  request.snapshot = work.asked.snapshot;
  if (!work.asked.key.empty()) {
    const std::uint64_t at = front::position_of(work.asked.key);
    request.keys = notes::key_range{at, at + 1};
  }
  if (request.idempotent) {
    admit(std::move(work));
  } else {
    run_once(std::move(work), is_forwarded);
  }
}

void entry::run_once(pending work, bool is_forwarded) {
  if (!work.asked.issued_at) {
    refuse(work, front::outcome_kind::invalid,
           "issued_at_ms: is needed for a request that is not idempotent");
    return;
  }
  const auto owner = placement::owner_of(*work.current->model, work.request.id);
  if (!owner) {
    refuse(work, front::outcome_kind::not_run, "no daemon owns the request",
           default_retry_after);
    return;
  }
  if (*owner != work.current->self) {
    if (is_forwarded) {
      // Another view is in force there; what became of the id is not known.
      refuse(work, front::outcome_kind::unknown, "not the request's owner");
      return;
    }
    forward_to(*owner, work);
    return;
  }
  const admission::dedup_verdict verdict =
      context_.ledger.show(work.request.id, *work.asked.issued_at);
  switch (verdict) {
    case admission::dedup_verdict::run:
      break;
    case admission::dedup_verdict::repeat: {
      auto kept = front::read_answer(context_.ledger.answer(work.request.id));
      if (kept) {
        work.done(std::move(kept).value());
        return;
      }
      refuse(work, front::outcome_kind::unknown, "its answer is not kept");
      return;
    }
    case admission::dedup_verdict::expired:
    case admission::dedup_verdict::early:
      refuse(work, front::outcome_kind::invalid,
             "issued_at_ms: " + std::string(admission::name_of(verdict)));
      return;
    case admission::dedup_verdict::full:
      refuse(work, front::outcome_kind::not_run,
             "too many requests to "
             "remember",
             default_retry_after);
      return;
    case admission::dedup_verdict::running:
    case admission::dedup_verdict::unknown:
      refuse(work, front::outcome_kind::unknown,
             "request id " + std::string(admission::name_of(verdict)));
      return;
  }
  // The end is entered before the caller hears of it.
  work.done = [this, id = work.request.id,
               done = std::move(work.done)](front::caller_answer answer) {
    switch (answer.outcome) {
      case front::outcome_kind::answered:
        context_.ledger.ended(id, admission::request_state::answered,
                              front::write_answer(answer));
        break;
      case front::outcome_kind::unknown:
        context_.ledger.ended(id, admission::request_state::unknown, {});
        break;
      case front::outcome_kind::not_run:
      case front::outcome_kind::invalid:
        context_.ledger.ended(id, admission::request_state::not_run, {});
        break;
    }
    done(std::move(answer));
  };
  // This daemon's ledger knows the id, so "not run" is certain even for a
  // repetition.
  work.asked.repeat = false;
  admit(std::move(work));
}

void entry::forward_to(notes::daemon_index owner, const pending& work) {
  const duration remaining =
      work.request.deadline - steady_clock::now() - forward_cost;
  front::caller_query passed = work.asked;
  passed.idempotent = false;
  client(*work.current, owner)
      .forward(
          front::write_query(passed), remaining, remaining + forward_grace,
          [this, work](peers::peer_result<peers::forwarded_answer> answer) {
            if (!answer) {
              const bool sent =
                  answer.error().code != peers::peer_errc::not_connected;
              refuse(work,
                     sent ? front::outcome_kind::unknown
                          : front::outcome_kind::not_run,
                     "owner: " + answer.error().text, default_retry_after);
              return;
            }
            auto read = front::read_answer(answer.value().body);
            if (!read) {
              refuse(work, front::outcome_kind::unknown,
                     "the owner's answer is malformed");
              return;
            }
            work.done(std::move(read).value());
          });
}

void entry::admit(pending work) {
  const time_point now = steady_clock::now();
  service_experience& known = experience(work.request.service->id);
  if (!known.throttle.admit(now, work.request.priority, random_.uniform())) {
    refuse(work, front::outcome_kind::not_run,
           "throttled: its backend "
           "servers are overloaded",
           default_retry_after);
    return;
  }
  const std::uint64_t id = ++next_id_;
  const admission::decision decision =
      gate_.submit(now, id, work.request.priority, work.request.deadline);
  if (decision.evicted) {
    const auto gone = waiting_.extract(*decision.evicted);
    if (!gone.empty()) {
      refuse(gone.mapped(), front::outcome_kind::not_run,
             "gave way to a higher class", default_retry_after);
    }
  }
  switch (decision.action) {
    case admission::verdict::run:
      start(id, std::move(work));
      break;
    case admission::verdict::wait:
      waiting_.emplace(id, std::move(work));
      break;
    case admission::verdict::refuse:
      refuse(work, front::outcome_kind::not_run,
             std::string(admission::name_of(decision.reason)),
             decision.retry_after);
      break;
  }
}

query::policy entry::policy_for(const notes::service& service,
                                bool idempotent) {
  const settings::query_settings& values = context_.settings.query;
  const service_experience& known = experience(service.id);
  query::policy policy{.attempt_timeout = values.leaf_timeout};
  const duration learnt = known.latency.value();
  if (values.hedging && idempotent) {
    policy.hedge_after =
        values.hedge_after > duration::zero()
            ? values.hedge_after
            : std::chrono::duration_cast<duration>(learnt * hedge_margin);
  }
  policy.rerun_needs = learnt;
  return policy;
}

void entry::start(std::uint64_t id, pending work) {
  query::request request = work.request;
  const notes::service& service = *request.service;
  service_experience& known = experience(service.id);
  // Positions of leafs change with the model.
  if (known_version_ != work.current->model->version) {
    known_version_ = work.current->model->version;
    for (auto& [name, entry] : services_)
      entry.snapshots.reset();
  }
  if (request.snapshot == 0) {
    request.snapshot = known.snapshots.best(service);
  }
  const query::policy policy = policy_for(service, request.idempotent);
  const view_ptr current = work.current;
  std::string body = work.asked.body;
  auto run = std::make_shared<query_run>(
      *this, current, std::move(request), policy, std::move(body),
      [this, id, work = std::move(work)](
          const query::final_outcome& outcome, const query::tally& tally,
          bool overloaded) { ended(id, work, outcome, tally, overloaded); });
  runs_.emplace(id, run);
  run->start();
}

void entry::ended(std::uint64_t id, const pending& work,
                  const query::final_outcome& outcome,
                  const query::tally& tally, bool overloaded) {
  const time_point now = steady_clock::now();
  const auto keep = runs_.extract(id);
  figures_.increment(metrics::counter::leaf_requests_needed, tally.needed);
  figures_.increment(metrics::counter::hedges_sent, tally.hedges);
  figures_.increment(metrics::counter::retries_sent, tally.retries);
  figures_.increment(metrics::counter::snapshot_reruns, tally.reruns);
  figures_.increment(metrics::counter::mixed_answers_dropped,
                     tally.mixed_dropped);
  if (tally.reruns > 0) {
    context_.event(timeline::event_kind::snapshot_rerun, work.request.id,
                   "on snapshot " + std::to_string(outcome.snapshot));
  }
  const bool answered = outcome.kind == query::outcome_kind::answered;
  service_experience& known = experience(work.request.service->id);
  // Only what overload left incomplete counts: a shard that is lost must not
  // make the entry refuse the rest.
  const bool suffered =
      !(answered && outcome.complete) && (overloaded || outcome.out_of_time);
  known.throttle.record(now, work.request.priority, !suffered);
  if (answered) {
    hedges_.earn(tally.needed);
    retries_.earn(tally.needed);
    figures_.record_coverage(outcome.coverage.fraction());
    figures_.increment(outcome.complete ? metrics::counter::answers_whole
                                        : metrics::counter::answers_partial);
    figures_.record_latency(
        {work.request.service->id,
         std::string(notes::name_of(work.request.priority))},
        now - work.began);
    work.done({.request_id = work.request.id,
               .outcome = front::outcome_kind::answered,
               .complete = outcome.complete,
               .coverage = outcome.coverage,
               .snapshot = outcome.snapshot,
               .rows = outcome.rows,
               .reason = outcome.reason});
  } else {
    refuse(work,
           outcome.kind == query::outcome_kind::not_run
               ? front::outcome_kind::not_run
               : front::outcome_kind::unknown,
           outcome.reason, default_retry_after);
  }
  const auto released = gate_.finish(now, now - work.began);
  for (const std::uint64_t late : released.refused) {
    const auto gone = waiting_.extract(late);
    if (gone.empty()) continue;
    refuse(gone.mapped(), front::outcome_kind::not_run, "waited too long",
           default_retry_after);
  }
  for (const std::uint64_t next : released.run) {
    auto ready = waiting_.extract(next);
    if (!ready.empty()) start(next, std::move(ready.mapped()));
  }
}

void entry::refuse(const pending& work, front::outcome_kind kind,
                   std::string reason, duration retry_after) {
  front::caller_answer answer{.request_id = work.asked.request_id,
                              .outcome = kind,
                              .reason = std::move(reason),
                              .retry_after = retry_after};
  // A repeated id may have run before, whatever happens to it now.
  if (kind == front::outcome_kind::not_run && work.asked.repeat) {
    answer.outcome = front::outcome_kind::unknown;
  }
  switch (answer.outcome) {
    case front::outcome_kind::not_run:
      figures_.increment(metrics::counter::refused_not_run);
      break;
    case front::outcome_kind::unknown:
      figures_.increment(metrics::counter::refused_unknown);
      break;
    default:
      figures_.increment(metrics::counter::refused_invalid);
      break;
  }
  if (answer.outcome == front::outcome_kind::not_run) {
    const auto others = work.current->addresses->addresses_for(
        work.current->status, {.data_centre = {},
                               .caller = work.asked.request_id,
                               .count = addresses_given + 1});
    for (const notes::daemon_index daemon : others) {
      if (daemon == work.current->self) continue;
      answer.addresses.push_back(work.current->model->daemons[daemon].callers);
    }
  }
  work.done(std::move(answer));
}

}  // namespace medlarloft::server
