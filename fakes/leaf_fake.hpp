#pragma once

/// A stand-in for one backend server: slots, cold start, snapshots, faults,
/// and a record of what it really ran.

#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "medlarloft/front.hpp"
#include "medlarloft/net.hpp"
#include "medlarloft/notes.hpp"

namespace medlarloft::fakes {

/// What a leaf does to requests, set while it runs.
struct leaf_faults {
  /// Added to each answer.
  duration slow{};
  /// One request in so many is a straggler; zero for none.
  std::uint32_t straggle_every = 0;
  duration straggle_by = std::chrono::milliseconds(80);
  /// Reads requests but never answers.
  bool silent = false;
  /// Answers with another request's identity.
  bool crossed = false;
  /// Answers every request twice in one connection.
  bool doubled = false;
};

/// What the leaf saw, the only truth about what ran.
struct leaf_record {
  std::uint64_t started = 0;
  std::uint64_t finished = 0;
  std::uint64_t shed = 0;
  std::uint32_t most_in_flight = 0;
  std::uint32_t most_in_flight_cold = 0;
  /// Requests begun while more were running than a cold server bears.
  std::uint64_t cold_overloads = 0;
  /// Requests begun while every slot was taken.
  std::uint64_t slot_overloads = 0;
  std::uint64_t started_while_leaving = 0;
  std::size_t most_connections = 0;
};

struct leaf_options {
  notes::leaf config;
  duration work_time = std::chrono::milliseconds(2);
  std::uint32_t rows_per_shard = 4;
  std::uint64_t seed = 1;
};

class leaf_fake {
 public:
  leaf_fake(net::io_context& loop, leaf_options options,
            notes::model_ptr model);

  net::net_result<void> start();

  /// A restart: a new identity, cold, connections lost.
  void restart();
  /// Turns cold without losing its connections or its identity.
  void turn_cold();
  void set_leaving(bool leaves) { leaving_ = leaves; }
  void set_snapshots(notes::snapshot_id oldest, notes::snapshot_id newest);
  void set_model(notes::model_ptr model) { model_ = std::move(model); }
  leaf_faults& faults() noexcept { return faults_; }

  const std::string& id() const noexcept { return options_.config.id; }
  std::uint32_t connections() const noexcept {
    return options_.config.connections;
  }
  const std::string& data_centre() const noexcept {
    return options_.config.data_centre;
  }
  leaf_record record() const;
  /// How often each non-idempotent request id ran here.
  const std::map<std::string, std::uint32_t>& once_runs() const noexcept {
    return once_runs_;
  }

 private:
  struct job;
  void handle(const net::http_request& request, net::respond answer);
  void query(const net::http_request& request, net::respond answer);
  void cancel(const net::http_request& request, const net::respond& answer);
  void run(const std::shared_ptr<job>& work);
  void finish(const std::shared_ptr<job>& work, front::leaf_outcome outcome);
  front::leaf_reply reply_to(const front::leaf_request& request,
                             front::leaf_outcome outcome) const;
  void fill_rows(const front::leaf_request& request,
                 front::leaf_reply& reply) const;
  duration work_time();

  net::io_context& loop_;
  leaf_options options_;
  notes::model_ptr model_;
  random_generator random_;
  std::unique_ptr<net::http_server> server_;
  std::map<query::attempt_id, std::shared_ptr<job>> jobs_;
  std::map<std::string, std::uint32_t> once_runs_;
  leaf_record record_;
  leaf_faults faults_;
  std::string start_id_;
  std::uint32_t starts_ = 0;
  std::uint32_t answered_since_cold_ = 0;
  std::uint32_t in_flight_ = 0;
  bool cold_ = false;
  bool leaving_ = false;
  notes::snapshot_id oldest_ = 1;
  notes::snapshot_id newest_ = 1;
};

}  // namespace medlarloft::fakes
