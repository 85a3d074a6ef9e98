/// A leaf leaves: it says so in its answers, and its record is removed from the
/// store. One of its earlier heartbeats reaches the store late and brings the
/// record back for a while. The daemon has passed on that the leaf leaves, and
/// must send it nothing more.

#include <atomic>
#include <cstdio>
#include <map>
#include <thread>

#include "../standins/rig.hpp"

namespace {

using namespace review;
using std::chrono::seconds;

/// The bound `drainMs`.
constexpr milliseconds drain_limit(3000);
/// How late the store carries out the heartbeat: 1 to 6 s are allowed.
constexpr milliseconds heartbeat_delay(5000);
/// Three heartbeats of 1.2 s, after which the store drops the record again.
constexpr milliseconds record_lifetime(3600);
constexpr milliseconds work_time(10);
constexpr int callers = 8;
constexpr int deadline_ms = 2000;
constexpr std::size_t min_answers = 300;

// When callers sent requests, and when the daemon passed on that a leaf leaves.
class observations {
 public:
  explicit observations(event_record& record) : record_(record) {}

  void sent(const std::string& id) {
    const std::scoped_lock lock(mutex_);
    sent_at_[id] = steady_clock::now();
  }
  void answered(const std::string& id, const std::optional<message>& response) {
    const std::scoped_lock lock(mutex_);
    ++answers_;
    const bool leaving = response && response->header("Server-Leaving") == "1";
    if (!leaving || passed_on_at_) return;
    passed_on_at_ = steady_clock::now();
    record_.write("the answer to " + id + " says that the leaf leaves");
  }
  void reached_leaving_leaf(const std::string& id) {
    const std::scoped_lock lock(mutex_);
    const auto sent = sent_at_.find(id);
    const bool late = passed_on_at_ && sent != sent_at_.end() &&
                      sent->second > *passed_on_at_ + drain_limit;
    record_.write((late ? "DRAIN: " : "") + id + " reaches the leaving leaf");
    if (late) ++late_;
  }
  std::size_t answers() {
    const std::scoped_lock lock(mutex_);
    return answers_;
  }
  bool passed_on() {
    const std::scoped_lock lock(mutex_);
    return passed_on_at_.has_value();
  }
  int late() {
    const std::scoped_lock lock(mutex_);
    return late_;
  }

 private:
  event_record& record_;
  std::mutex mutex_;
  std::map<std::string, time_point> sent_at_;
  std::optional<time_point> passed_on_at_;
  std::size_t answers_ = 0;
  int late_ = 0;
};

std::string answer_of_leaving_leaf(const leaf& self, const message& request) {
  const std::string id = request.header("Request-Id");
  return response_text(200,
                       {{"Request-Id", id},
                        {"Server-Stamp", self.receipt(id)},
                        {"Server-Leaving", "1"}},
                       "result");
}

void call_until(const std::atomic<bool>& stopped, const daemon_process& edge,
                int caller, observations& seen) {
  std::unique_ptr<stream> connection;
  for (int number = 0; !stopped; ++number) {
    std::this_thread::sleep_for(milliseconds(40));
    if (!connection) connection = edge.connect();
    if (!connection) continue;
    const std::string id =
        "r" + std::to_string(caller) + "-" + std::to_string(number);
    seen.sent(id);
    connection->write(request_text("GET", "/search/x", id, deadline_ms));
    const auto response =
        connection->read(steady_clock::now() + milliseconds(deadline_ms));
    seen.answered(id, response);
    if (!response || response->header("Connection") == "close")
      connection.reset();
  }
}

int run(const std::string& folder) {
  // The threads of the stand-ins use these until the process ends.
  auto& record = *new event_record(folder + "/record.txt");
  auto& seen = *new observations(record);
  auto& platform = *new store;
  auto& stopped = *new std::atomic<bool>(false);
  auto& leaves = *new std::atomic<bool>(false);
  auto& leaving = *new leaf(
      {.id = "i-a", .service = "search"}, [&](leaf& self, stream& connection) {
        while (const auto request = connection.read()) {
          if (!self.addressed_by(*request)) {
            connection.write(self.rejection(*request, 421));
            continue;
          }
          if (leaves) seen.reached_leaving_leaf(request->header("Request-Id"));
          std::this_thread::sleep_for(work_time);
          connection.write(leaves ? answer_of_leaving_leaf(self, *request)
                                  : self.answer(*request, "result"));
        }
      });
  auto& staying = *new leaf(
      {.id = "i-b", .service = "search"}, [](leaf& self, stream& connection) {
        while (const auto request = connection.read()) {
          std::this_thread::sleep_for(work_time);
          connection.write(self.addressed_by(*request)
                               ? self.answer(*request, "result")
                               : self.rejection(*request, 421));
        }
      });
  const temporary_folder temporary;
  platform.put("servers/i-a", leaving.registration());
  platform.put("servers/i-b", staying.registration());
  platform.put("op/config", configuration({{.name = "search",
                                            .prefix = "/search/",
                                            .service = "search",
                                            .timeout_ms = deadline_ms,
                                            .objective_ms = 200}}));
  daemon_process edge(
      {.store_port = platform.port(), .folder = temporary.path()});
  edge.start();
  if (!edge.await_ready(seconds(15))) return exit_could_not_run;
  std::vector<std::thread> threads;
  threads.reserve(callers);
  for (int caller = 0; caller < callers; ++caller)
    threads.emplace_back(call_until, std::cref(stopped), std::cref(edge),
                         caller, std::ref(seen));
  std::this_thread::sleep_for(seconds(5));
  nlohmann::json heartbeat = leaving.registration();
  heartbeat["callSeq"] = 5;
  const time_point heartbeat_sent_at = steady_clock::now();
  std::this_thread::sleep_for(milliseconds(300));
  leaves = true;
  platform.remove("servers/i-a");
  record.write("leaf i-a leaves; its record is removed");
  std::this_thread::sleep_until(heartbeat_sent_at + heartbeat_delay);
  if (with_trouble()) {
    platform.put("servers/i-a", heartbeat);
    record.write("a heartbeat of i-a from before reaches the store");
  }
  std::this_thread::sleep_for(record_lifetime);
  if (with_trouble()) platform.remove("servers/i-a");
  std::this_thread::sleep_for(seconds(3));
  stopped = true;
  for (std::thread& each : threads)
    each.join();
  record.write("answers=" + std::to_string(seen.answers()) +
               " late_requests=" + std::to_string(seen.late()));
  const bool valid =
      seen.answers() >= min_answers && seen.passed_on() && edge.running();
  if (!valid) return exit_could_not_run;
  return seen.late() > 0 ? exit_broken : exit_held;
}

}  // namespace

int main(int argc, char** argv) {
  int code = exit_could_not_run;
  try {
    if (argc == 2) code = run(argv[1]);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
  }
  std::fflush(nullptr);
  std::_Exit(code);
}
