#pragma once

/// An open-loop load of callers: send times are fixed beforehand, and latency
/// counts from the intended time. Every answer is checked.

#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "medlarloft/base.hpp"
#include "medlarloft/front.hpp"
#include "medlarloft/net.hpp"

namespace medlarloft::bench {

/// One kind of query in the mix.
struct mix_entry {
  std::string service;
  double weight = 1;
  bool idempotent = true;
  std::string priority;
};

struct load_options {
  /// Any daemons; they say which addresses to use.
  std::vector<endpoint> start;
  std::string data_centre;
  std::string name = "load";
  double rate = 100;  // queries per second
  duration length = std::chrono::seconds(5);
  std::vector<mix_entry> mix;
  std::uint64_t seed = 1;
  duration caller_timeout = std::chrono::seconds(2);
  /// Whether a "not run" is sent once more to another address.
  bool retry_not_run = true;
};

/// What the callers of one service and class saw.
struct load_figures {
  std::uint64_t sent = 0;
  std::uint64_t complete = 0;
  std::uint64_t partial = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  std::uint64_t invalid = 0;
  /// No answer at all within the caller's own time.
  std::uint64_t lost = 0;
  /// Answers that break a promise: another request's, mixed snapshots, rows
  /// twice, or a false coverage.
  std::uint64_t wrong = 0;
  std::uint64_t retried = 0;
  double coverage_sum = 0;
  std::vector<duration> latencies;
};

/// Runs the load on its own loop.
class load {
 public:
  explicit load(load_options options);

  void run();
  const std::map<std::string, load_figures>& figures() const noexcept {
    return figures_;
  }
  /// Ids of non-idempotent requests and the outcome that the caller saw.
  const std::map<std::string, front::outcome_kind>& once() const noexcept {
    return once_;
  }
  /// How much later than intended each query was sent: what this process lost
  /// to the machine itself, whatever the daemons did.
  const std::vector<duration>& send_delays() const noexcept {
    return send_delays_;
  }

 private:
  struct call;
  using connection_ptr = std::shared_ptr<net::http_connection>;

  void refresh_addresses(std::size_t attempt);
  void schedule(std::uint64_t index);
  void send(const std::shared_ptr<call>& one);
  void send_on(const std::shared_ptr<call>& one, const endpoint& to,
               const connection_ptr& connection);
  void take(const std::shared_ptr<call>& one,
            const net::net_result<net::http_response>& answer);
  void finish(const std::shared_ptr<call>& one,
              const front::caller_answer& answer);
  bool is_wrong(const call& one, const front::caller_answer& answer) const;
  const mix_entry& choose();

  load_options options_;
  random_generator random_;
  net::io_context loop_;
  boost::asio::steady_timer send_timer_;
  boost::asio::steady_timer address_timer_;
  std::vector<endpoint> addresses_;
  std::map<endpoint, std::vector<connection_ptr>> idle_;
  std::map<std::string, load_figures> figures_;
  std::vector<duration> send_delays_;
  std::map<std::string, front::outcome_kind> once_;
  time_point began_;
  std::uint64_t total_ = 0;
  std::uint64_t open_ = 0;
  std::uint64_t next_address_ = 0;
  bool sending_ = true;
};

/// Returns the quantile of the latencies; zero when there are none.
duration quantile(std::vector<duration> latencies, double share);

}  // namespace medlarloft::bench
