// Case CONFIG: a version raises `maxBodyBytes`. Callers that reuse a connection
// which was idle meanwhile get 413, by the limit of the version before.

#include <cstdio>
#include <map>

#include "fleet.hpp"

namespace {

using namespace medlarloft;
using namespace medlarloft::review;

constexpr std::size_t daemons = 3;
constexpr std::size_t connections = 4;
constexpr int rounds = 4;
constexpr duration apply_bound = milliseconds(3000);
/// Beyond the bound; well below four fifths of `idleTimeoutMs`, for which
/// callers reuse connections.
constexpr duration after_change = apply_bound + milliseconds(700);
constexpr std::size_t small_limit = 32768;
constexpr std::size_t large_limit = 262144;
constexpr std::size_t small_body = 20000;
constexpr std::size_t large_body = 100000;
constexpr int status_ok = 200;
constexpr int status_too_large = 413;

/// A caller with one kept connection.
class kept_caller {
 public:
  kept_caller(fleet& owner, std::size_t daemon)
      : owner_(owner), daemon_(daemon) {}

  /// Sends a request on the kept connection, or on a new one if there is none.
  void send(std::size_t body_bytes) {
    if (connection_ && connection_->usable()) {
      write(body_bytes, "kept");
      return;
    }
    connection_ = http::connection::make(
        owner_.loop(), owner_.timers(),
        {.to = owner_.front(daemon_), .connect_timeout = seconds(1)});
    connection_->open([this, body_bytes](bool ok, duration) {
      if (ok) write(body_bytes, "new");
    });
  }
  void close() { connection_.reset(); }

  /// Statuses of the answers, by the connection that carried them.
  std::map<std::string, std::map<int, int>> answers;

 private:
  void write(std::size_t body_bytes, const std::string& which) {
    const std::string id = owner_.next_request_id();
    const http::message request{.method = "POST",
                                .target = "/fetch/1",
                                .headers = {{"Host", "loft.example"},
                                            {"Request-Id", id},
                                            {"Deadline-Ms", "1500"}},
                                .body = std::string(body_bytes, 'b')};
    owner_.record("sent " + id + " to edge-" + std::to_string(daemon_) +
                  " bytes=" + std::to_string(body_bytes) +
                  " connection=" + which);
    connection_->send_request(
        http::serialize_request(request), request.method, nullptr,
        [this, id, which](const http::response_result& result) {
          const int status = result ? result.value().response.status : 0;
          owner_.record("answered " + id + " status=" + std::to_string(status));
          ++answers[which][status];
        });
  }

  fleet& owner_;
  std::size_t daemon_;
  std::shared_ptr<http::connection> connection_;
};

void write_version(fleet& deployment, std::size_t max_body_bytes) {
  const nlohmann::json routes = {make_route("fetch", "idempotent", "vault")};
  const nlohmann::json services = {{{"name", "vault"},
                                    {"healthPath", "/healthz"},
                                    {"maxConns", 100},
                                    {"warmupS", 3},
                                    {"warmupPerS", 0}}};
  deployment.write_configuration(routes, services, max_body_bytes);
}

int run(fleet& deployment) {
  const bool trouble = deployment.options().trouble;
  write_version(deployment, small_limit);
  for (std::size_t i = 0; i < 3; ++i)
    deployment.add_leaf("vault-" + std::to_string(i), "vault", i);
  for (std::size_t i = 0; i < daemons; ++i)
    deployment.start_daemon(i);
  if (!deployment.await_ready(seconds(10))) return could_not_run;
  deployment.run_for(fleet::contact_time + seconds(1));
  int refused_kept = 0;
  int refused_new = 0;
  int served = 0;
  for (int round = 0; round < rounds; ++round) {
    std::vector<std::unique_ptr<kept_caller>> callers;
    for (std::size_t i = 0; i < daemons * connections; ++i)
      callers.push_back(std::make_unique<kept_caller>(deployment, i % daemons));
    for (const auto& each : callers)
      each->send(small_body);
    deployment.run_for(seconds(1));
    // Without the change, callers stay within the limit that is in force.
    if (trouble) write_version(deployment, large_limit);
    const std::size_t body = trouble ? large_body : small_body;
    deployment.run_for(after_change);
    for (const auto& each : callers)
      each->send(body);
    deployment.run_for(seconds(2));
    // The same on a new connection.
    for (const auto& each : callers) {
      each->close();
      each->send(body);
    }
    deployment.run_for(seconds(2));
    for (const auto& each : callers) {
      refused_kept += each->answers["kept"][status_too_large];
      refused_new += each->answers["new"][status_too_large];
      served += each->answers["kept"][status_ok];
      served += each->answers["new"][status_ok];
    }
    std::printf(
        "after round %d: 413 on kept connections: %d, on new ones: %d, "
        "served: %d\n",
        round, refused_kept, refused_new, served);
    std::fflush(stdout);
    if (trouble) write_version(deployment, small_limit);
    deployment.run_for(after_change);
  }
  if (deployment.ended_daemons() > 0) return could_not_run;
  return refused_kept + refused_new > 0 ? rule_broken : rule_held;
}

}  // namespace

int main(int argc, char** argv) {
  fleet deployment(parse_options(argc, argv), daemons);
  return run(deployment);
}
