#include "relay.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

namespace medlarloft::server {
namespace {

const placement::leaf_share* find_share(const view& current,
                                        std::string_view leaf) {
  const auto found = std::ranges::lower_bound(current.shares, leaf, {},
                                              &placement::leaf_share::leaf);
  if (found == current.shares.end() || found->leaf != leaf) return nullptr;
  return &*found;
}

}  // namespace

std::size_t worker_of(std::string_view leaf, std::size_t workers) {
  return hash64(leaf) % workers;
}

leaf_pools::leaf_pools(daemon_context& context, net::io_context& loop,
                       metrics::recorder& figures, std::size_t worker,
                       std::size_t workers)
    : context_(context),
      loop_(loop),
      figures_(figures),
      worker_(worker),
      workers_(workers) {}

void leaf_pools::follow(const view& current) {
  std::erase_if(pools_, [&](const auto& entry) {
    const bool gone = find_share(current, entry.first) == nullptr;
    if (gone) entry.second->close();
    return gone;
  });
  for (const placement::leaf_share& granted : current.shares) {
    if (worker_of(granted.leaf, workers_) != worker_) continue;
    const notes::leaf* config = current.model->find_leaf(granted.leaf);
    if (config == nullptr) continue;
    auto& pool = pools_[granted.leaf];
    if (!pool) {
      pool = std::make_shared<leaf_pool>(context_, loop_, figures_, *config);
    }
    const bool listed =
        std::ranges::binary_search(current.leaving_hosts, granted.leaf);
    const bool out = current.model->is_out(config->data_centre);
    pool->configure(*config, granted.share, config->leaving || out, listed);
  }
}

void leaf_pools::submit(leaf_task task, const std::string& leaf,
                        leaf_done done) {
  const auto found = pools_.find(leaf);
  if (found == pools_.end()) {
    done({.attempt = task.request.attempt,
          .status = peers::task_status::not_sent});
    return;
  }
  found->second->submit(std::move(task), std::move(done));
}

void leaf_pools::cancel(const std::string& leaf, query::attempt_id attempt) {
  const auto found = pools_.find(leaf);
  if (found != pools_.end()) found->second->cancel(attempt);
}

void leaf_pools::take_word(const membership::server_report& word) {
  const auto found = pools_.find(word.leaf);
  if (found == pools_.end()) return;
  found->second->take_report({.start_id = word.warm_start_id,
                              .heard_at = steady_clock::now() - word.age});
}

void leaf_pools::tick() {
  for (const auto& [leaf, pool] : pools_)
    pool->tick();
}

void leaf_pools::close() {
  for (const auto& [leaf, pool] : pools_)
    pool->close();
  pools_.clear();
}

std::vector<leaf_status> leaf_pools::status() const {
  std::vector<leaf_status> all;
  all.reserve(pools_.size());
  for (const auto& [leaf, pool] : pools_)
    all.push_back(pool->status());
  return all;
}

void relay::run(const peers::subquery& work, reply answer) {
  const time_point now = steady_clock::now();
  auto part = std::make_shared<open_part>(loop_);
  part->id = work.subquery_id;
  part->waiting = std::move(answer);
  for (const peers::subquery_task& task : work.tasks) {
    part->open.emplace(task.attempt, task.leaf);
  }
  parts_[part->id] = part;
  part->flush.expires_after(work.flush_after);
  part->flush.async_wait([this, part](const auto& cancelled) {
    if (cancelled) return;
    part->flushed = true;
    answer_if_due(part);
  });
  for (const peers::subquery_task& task : work.tasks) {
    start_task(part, work, task, now + work.remaining);
  }
  answer_if_due(part);
}

void relay::start_task(const part_ptr& part, const peers::subquery& work,
                       const peers::subquery_task& task, time_point deadline) {
  const worker_port& port = ports_[worker_of(task.leaf, ports_.size())];
  leaf_task wanted{{.request_id = work.request_id,
                    .attempt = task.attempt,
                    .service = work.service,
                    .shard = task.shard,
                    .range = task.range,
                    .snapshot = task.snapshot,
                    .priority = work.priority,
                    .idempotent = work.idempotent,
                    .row_limit = work.row_limit,
                    .body = work.body},
                   deadline};
  const bool here = port.loop == &loop_;
  leaf_done done = [this, part](peers::task_result result) {
    task_ended(part, std::move(result));
  };
  if (here) {
    port.pools->submit(std::move(wanted), task.leaf, std::move(done));
    return;
  }
  leaf_done back = [this, done](peers::task_result result) {
    boost::asio::post(loop_, [done, result = std::move(result)]() mutable {
      done(std::move(result));
    });
  };
  boost::asio::post(*port.loop,
                    [pools = port.pools, wanted = std::move(wanted),
                     leaf = task.leaf, back = std::move(back)]() mutable {
                      pools->submit(std::move(wanted), leaf, std::move(back));
                    });
}

void relay::task_ended(const part_ptr& part, peers::task_result result) {
  part->open.erase(result.attempt);
  part->ended.push_back(std::move(result));
  answer_if_due(part);
}

void relay::answer_if_due(const part_ptr& part) {
  const bool all = part->open.empty();
  const bool due = all || (part->flushed && !part->ended.empty());
  if (!due || !part->waiting) return;
  peers::subquery_answer answer{
      .subquery_id = part->id,
      .pending = static_cast<std::uint32_t>(part->open.size()),
      .results = std::exchange(part->ended, {})};
  const reply send = std::exchange(part->waiting, nullptr);
  if (all) {
    part->flush.cancel();
    parts_.erase(part->id);
  }
  send(std::move(answer));
}

void relay::collect(std::uint64_t part_id, reply answer) {
  const auto found = parts_.find(part_id);
  if (found == parts_.end()) {
    answer({.subquery_id = part_id});
    return;
  }
  const part_ptr part = found->second;
  part->waiting = std::move(answer);
  answer_if_due(part);
}

void relay::cancel(std::uint64_t part_id,
                   const std::vector<query::attempt_id>& attempts) {
  const auto found = parts_.find(part_id);
  if (found == parts_.end()) return;
  for (const query::attempt_id attempt : attempts) {
    const auto task = found->second->open.find(attempt);
    if (task == found->second->open.end()) continue;
    const worker_port& port = ports_[worker_of(task->second, ports_.size())];
    boost::asio::post(*port.loop, [pools = port.pools, leaf = task->second,
                                   attempt] { pools->cancel(leaf, attempt); });
  }
}

}  // namespace medlarloft::server
