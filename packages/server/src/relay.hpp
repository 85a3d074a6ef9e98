#pragma once

/// Runs parts of queries at backend servers on behalf of entry daemons. One
/// relay for each traffic thread; leaf pools live on the thread that their
/// leaf's hash names, so work crosses threads by posting.

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "context.hpp"
#include "leaf_pool.hpp"

namespace medlarloft::server {

/// The leaf pools of one traffic thread.
class leaf_pools {
 public:
  leaf_pools(daemon_context& context, net::io_context& loop,
             metrics::recorder& figures, std::size_t worker,
             std::size_t workers);

  /// Follows the view: opens, reconfigures and closes pools.
  void follow(const view& current);
  void submit(leaf_task task, const std::string& leaf, leaf_done done);
  void cancel(const std::string& leaf, query::attempt_id attempt);
  void take_word(const membership::server_report& word);
  void tick();
  void close();
  std::vector<leaf_status> status() const;

 private:
  daemon_context& context_;
  net::io_context& loop_;
  metrics::recorder& figures_;
  std::size_t worker_;
  std::size_t workers_;
  std::map<std::string, std::shared_ptr<leaf_pool>, std::less<>> pools_;
};

/// Returns the traffic thread that holds the leaf's pool.
std::size_t worker_of(std::string_view leaf, std::size_t workers);

/// One traffic thread as others see it.
struct worker_port {
  net::io_context* loop = nullptr;
  leaf_pools* pools = nullptr;
};

class relay {
 public:
  using reply = std::function<void(peers::subquery_answer)>;

  relay(net::io_context& loop, std::vector<worker_port>& ports)
      : loop_(loop), ports_(ports) {}

  /// Sends the tasks to their leafs. Replies once, when all have ended or the
  /// flush time has passed; `collect` then gives the rest.
  void run(const peers::subquery& work, reply answer);
  void collect(std::uint64_t part_id, reply answer);
  void cancel(std::uint64_t part_id,
              const std::vector<query::attempt_id>& attempts);
  void close() { parts_.clear(); }

 private:
  struct open_part {
    explicit open_part(net::io_context& loop) : flush(loop) {}
    std::uint64_t id = 0;
    std::map<query::attempt_id, std::string> open;
    std::vector<peers::task_result> ended;
    reply waiting;
    bool flushed = false;
    boost::asio::steady_timer flush;
  };
  using part_ptr = std::shared_ptr<open_part>;

  void start_task(const part_ptr& part, const peers::subquery& work,
                  const peers::subquery_task& task, time_point deadline);
  void task_ended(const part_ptr& part, peers::task_result result);
  void answer_if_due(const part_ptr& part);

  net::io_context& loop_;
  std::vector<worker_port>& ports_;
  std::map<std::uint64_t, part_ptr> parts_;
};

}  // namespace medlarloft::server
