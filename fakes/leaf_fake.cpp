#include "leaf_fake.hpp"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace medlarloft::fakes {
namespace {

/// A cold server works this many times slower.
constexpr int cold_slowness = 4;
/// Requests beyond the slots that wait inside of the server.
constexpr std::uint32_t inner_queue = 2;

}  // namespace

struct leaf_fake::job {
  explicit job(net::io_context& loop) : timer(loop) {}
  front::leaf_request request;
  net::respond answer;
  boost::asio::steady_timer timer;
  bool ended = false;
};

leaf_fake::leaf_fake(net::io_context& loop, leaf_options options,
                     notes::model_ptr model)
    : loop_(loop),
      options_(std::move(options)),
      model_(std::move(model)),
      random_(hash_combine(options_.seed, hash64(options_.config.id))) {
  start_id_ = options_.config.id + "#0";
}

net::net_result<void> leaf_fake::start() {
  server_ = std::make_unique<net::http_server>(
      std::vector<net::io_context*>{&loop_},
      net::server_options{.listen = options_.config.address,
                          .max_connections = options_.config.connections},
      [this](std::size_t, const net::http_request& request,
             net::respond answer) { handle(request, std::move(answer)); });
  return server_->start();
}

void leaf_fake::restart() {
  server_->close();
  server_.reset();
  // What ran is cut off; its callers see their connections die.
  for (const auto& [attempt, work] : jobs_) {
    work->ended = true;
    work->timer.cancel();
    work->answer({.status = 500, .body = "{}"});
  }
  jobs_.clear();
  in_flight_ = 0;
  ++starts_;
  start_id_ = options_.config.id + "#" + std::to_string(starts_);
  leaving_ = false;
  turn_cold();
  (void)start();
}

void leaf_fake::turn_cold() {
  cold_ = true;
  answered_since_cold_ = 0;
}

void leaf_fake::set_snapshots(notes::snapshot_id oldest,
                              notes::snapshot_id newest) {
  oldest_ = oldest;
  newest_ = newest;
}

leaf_record leaf_fake::record() const {
  leaf_record seen = record_;
  if (server_) {
    seen.most_connections =
        std::max(seen.most_connections, server_->open_connections());
  }
  return seen;
}

void leaf_fake::handle(const net::http_request& request, net::respond answer) {
  if (server_) {
    record_.most_connections =
        std::max(record_.most_connections, server_->open_connections());
  }
  if (faults_.silent) return;  // keeps the connection open for ever
  if (request.target == "/v1/query") {
    query(request, std::move(answer));
  } else if (request.target == "/v1/cancel") {
    cancel(request, answer);
  } else {
    answer({.body = front::write_health({.start_id = start_id_,
                                         .cold = cold_,
                                         .leaving = leaving_,
                                         .in_flight = in_flight_,
                                         .oldest = oldest_,
                                         .newest = newest_})});
  }
}

front::leaf_reply leaf_fake::reply_to(const front::leaf_request& request,
                                      front::leaf_outcome outcome) const {
  return {.request_id = request.request_id,
          .attempt = request.attempt,
          .outcome = outcome,
          .start_id = start_id_,
          .cold = cold_,
          .leaving = leaving_,
          .oldest = oldest_,
          .newest = newest_};
}

void leaf_fake::query(const net::http_request& request, net::respond answer) {
  auto asked = front::read_leaf_request(request.body);
  if (!asked) {
    answer({.status = 400, .body = "{}"});
    return;
  }
  auto work = std::make_shared<job>(loop_);
  work->request = std::move(asked).value();
  work->answer = std::move(answer);
  const auto refuse = [&](front::leaf_outcome outcome) {
    work->answer(
        {.body = front::write_leaf_reply(reply_to(work->request, outcome))});
  };
  const front::leaf_request& wanted = work->request;
  const bool held = wanted.snapshot == 0 ||
                    (wanted.snapshot >= oldest_ && wanted.snapshot <= newest_);
  if (leaving_) return refuse(front::leaf_outcome::leaving);
  if (!held) return refuse(front::leaf_outcome::gone);
  if (in_flight_ >= options_.config.slots + inner_queue) {
    ++record_.shed;
    return refuse(front::leaf_outcome::shed);
  }
  run(work);
}

duration leaf_fake::work_time() {
  // An exponential spread around the usual time.
  const double spread = -std::log(1.0 - random_.uniform());
  duration time =
      options_.work_time / 2 +
      std::chrono::duration_cast<duration>(options_.work_time * (spread / 2));
  if (cold_) time *= cold_slowness;
  time += faults_.slow;
  if (faults_.straggle_every > 0 &&
      random_.below(faults_.straggle_every) == 0) {
    time += faults_.straggle_by;
  }
  return time;
}

void leaf_fake::run(const std::shared_ptr<job>& work) {
  if (in_flight_ >= options_.config.slots) ++record_.slot_overloads;
  if (cold_ && in_flight_ >= options_.config.cold.concurrent) {
    ++record_.cold_overloads;
  }
  ++in_flight_;
  ++record_.started;
  record_.most_in_flight = std::max(record_.most_in_flight, in_flight_);
  if (cold_) {
    record_.most_in_flight_cold =
        std::max(record_.most_in_flight_cold, in_flight_);
  }
  if (!work->request.idempotent) ++once_runs_[work->request.request_id];
  jobs_[work->request.attempt] = work;
  const duration time = work_time();
  const bool late = time > work->request.deadline;
  work->timer.expires_after(std::min(time, work->request.deadline));
  work->timer.async_wait([this, work, late](const auto& cancelled) {
    if (cancelled || work->ended) return;
    finish(work,
           late ? front::leaf_outcome::late : front::leaf_outcome::answered);
  });
}

void leaf_fake::finish(const std::shared_ptr<job>& work,
                       front::leaf_outcome outcome) {
  work->ended = true;
  jobs_.erase(work->request.attempt);
  if (in_flight_ > 0) --in_flight_;
  front::leaf_reply reply = reply_to(work->request, outcome);
  if (outcome == front::leaf_outcome::answered) {
    ++record_.finished;
    fill_rows(work->request, reply);
    if (cold_ && ++answered_since_cold_ >= options_.config.cold.warm_after) {
      cold_ = false;
    }
  }
  if (faults_.crossed) reply.attempt ^= 1;
  std::string body = front::write_leaf_reply(reply);
  if (faults_.doubled) body += body;
  work->answer({.body = std::move(body)});
}

void leaf_fake::fill_rows(const front::leaf_request& request,
                          front::leaf_reply& reply) const {
  const notes::snapshot_id snapshot =
      request.snapshot == 0 ? newest_ : request.snapshot;
  reply.answer.snapshot = snapshot;
  reply.answer.range = request.range;
  const std::uint64_t step = std::max<std::uint64_t>(
      1, request.range.size() / (options_.rows_per_shard + 1));
  for (std::uint32_t i = 1; i <= options_.rows_per_shard; ++i) {
    const std::uint64_t at = request.range.from + step * i;
    if (at >= request.range.to) break;
    const std::uint64_t score = hash_combine(at, snapshot) % 1000;
    reply.answer.rows.push_back(
        {.id = request.service + "/" + std::to_string(at),
         .position = at,
         .score = static_cast<double>(score),
         .body = "snapshot " + std::to_string(snapshot)});
  }
}

void leaf_fake::cancel(const net::http_request& request,
                       const net::respond& answer) {
  answer({.body = "{}"});
  const auto asked =
      nlohmann::json::parse(request.body, nullptr, /*allow_exceptions=*/false);
  if (!asked.is_object() || !asked.contains("attempt")) return;
  const auto found = jobs_.find(asked["attempt"].get<std::uint64_t>());
  if (found == jobs_.end()) return;
  const std::shared_ptr<job> work = found->second;
  work->timer.cancel();
  finish(work, front::leaf_outcome::cancelled);
}

}  // namespace medlarloft::fakes
