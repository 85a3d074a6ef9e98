/// Leafs that are full at times reject requests without running them. A few of
/// their answers are sent a second time, late, where the next answer on the
/// connection is expected. No request that is answered 503 may have run.

#include <cstdio>
#include <map>
#include <random>
#include <thread>

#include "../standins/rig.hpp"

namespace {

using namespace review;
using std::chrono::seconds;

constexpr int leaf_count = 5;
/// Leafs that send second copies: 3 of 5, a share of 0.6.
constexpr int repeating_leafs = 3;
/// Fraction of their answers that these leafs send twice.
constexpr double repeated_fraction = 0.03;
/// Fraction of the requests at which a leaf is full, as it serves others too.
constexpr double full_fraction = 0.15;
constexpr milliseconds work_time(20);
constexpr int callers = 8;
constexpr int deadline_ms = 2500;
constexpr seconds traffic_time(90);

// What the leafs ran and the callers were answered.
class observations {
 public:
  explicit observations(event_record& record) : record_(record) {}

  void ran(const std::string& id, const std::string& leaf) {
    const std::scoped_lock lock(mutex_);
    runs_[id].push_back(leaf);
    record_.write("leaf " + leaf + " runs " + id);
  }
  void answered(const std::string& id, int status) {
    const std::scoped_lock lock(mutex_);
    statuses_[id] = status;
    record_.write("caller is answered " + std::to_string(status) + " to " + id);
  }
  void rejected(const std::string& id, const std::string& leaf) {
    const std::scoped_lock lock(mutex_);
    ++rejected_;
    record_.write("leaf " + leaf + " is full and rejects " + id);
  }
  void repeated(const std::string& id, const std::string& leaf) {
    const std::scoped_lock lock(mutex_);
    ++repeated_;
    record_.write("leaf " + leaf + " sends its rejection of " + id + " again");
  }
  /// Writes the outcome; returns the number of broken promises.
  int judge() {
    const std::scoped_lock lock(mutex_);
    int refused = 0;
    int broken = 0;
    for (const auto& [id, status] : statuses_) {
      const bool promises_not_run =
          status == 503 || status == 429 || status == 408 || status == 421;
      if (!promises_not_run) continue;
      ++refused;
      const auto found = runs_.find(id);
      if (found == runs_.end()) continue;
      ++broken;
      record_.write("REFUSED: " + id + " was answered " +
                    std::to_string(status) + " and ran on " +
                    found->second.front());
    }
    record_.write("requests=" + std::to_string(statuses_.size()) +
                  " refused=" + std::to_string(refused) +
                  " rejected_by_leafs=" + std::to_string(rejected_) +
                  " rejections_repeated=" + std::to_string(repeated_) +
                  " refused_and_run=" + std::to_string(broken));
    return broken;
  }
  std::size_t count() {
    const std::scoped_lock lock(mutex_);
    return statuses_.size();
  }

 private:
  event_record& record_;
  std::mutex mutex_;
  std::map<std::string, std::vector<std::string>> runs_;
  std::map<std::string, int> statuses_;
  int rejected_ = 0;
  int repeated_ = 0;
};

struct leaf_handler {
  observations* seen = nullptr;
  bool repeats = false;

  void operator()(leaf& self, stream& connection) const {
    thread_local std::mt19937 random(std::random_device{}());
    std::bernoulli_distribution full(full_fraction);
    std::bernoulli_distribution repeat(repeated_fraction);
    std::string second_copy;
    std::string copied_id;
    while (const auto request = connection.read()) {
      const std::string id = request->header("Request-Id");
      if (!second_copy.empty()) {
        if (copied_id == id) seen->repeated(id, self.id());
        connection.write(second_copy);
        second_copy.clear();
      }
      std::string answer;
      if (!self.addressed_by(*request)) {
        answer = self.rejection(*request, 421);
      } else if (full(random)) {
        seen->rejected(id, self.id());
        answer = self.rejection(*request, 503);
      } else {
        seen->ran(id, self.id());
        std::this_thread::sleep_for(work_time);
        answer = self.answer(*request, "done " + id);
      }
      if (!connection.write(answer)) return;
      if (repeats && repeat(random)) {
        second_copy = answer;
        copied_id = id;
      }
    }
  }
};

void call_until(time_point end, const daemon_process& edge, int caller,
                observations& seen) {
  std::unique_ptr<stream> connection;
  for (int number = 0; steady_clock::now() < end; ++number) {
    if (!connection) connection = edge.connect();
    if (!connection) {
      std::this_thread::sleep_for(milliseconds(20));
      continue;
    }
    const std::string id =
        "r" + std::to_string(caller) + "-" + std::to_string(number);
    connection->write(
        request_text("POST", "/orders/new", id, deadline_ms, "order " + id));
    const auto response =
        connection->read(steady_clock::now() + milliseconds(deadline_ms));
    seen.answered(id, response ? response->status() : 0);
    const bool kept = response && response->header("Connection") != "close";
    if (!kept) connection.reset();
    if (response && response->status() == 503)
      std::this_thread::sleep_for(milliseconds(100));
  }
}

int run(const std::string& folder) {
  // The threads of the stand-ins use these until the process ends.
  auto& record = *new event_record(folder + "/record.txt");
  auto& seen = *new observations(record);
  auto& platform = *new store;
  auto& leafs = *new std::vector<std::unique_ptr<leaf>>;
  const temporary_folder temporary;
  for (int i = 0; i < leaf_count; ++i) {
    leaf_handler handler;
    handler.seen = &seen;
    handler.repeats = with_trouble() && i < repeating_leafs;
    leafs.push_back(std::make_unique<leaf>(
        leaf::options{.id = "i-" + std::to_string(i), .service = "orders"},
        handler));
    platform.put("servers/" + leafs.back()->id(), leafs.back()->registration());
  }
  platform.put("op/config", configuration({{.name = "new-order",
                                            .prefix = "/orders/",
                                            .service = "orders",
                                            .kind = "non_idempotent",
                                            .attempts = 1,
                                            .timeout_ms = deadline_ms,
                                            .objective_ms = 250}}));
  daemon_process edge(
      {.store_port = platform.port(), .folder = temporary.path()});
  edge.start();
  if (!edge.await_ready(seconds(15))) return exit_could_not_run;
  const time_point end = steady_clock::now() + traffic_time;
  std::vector<std::thread> threads;
  threads.reserve(callers);
  for (int caller = 0; caller < callers; ++caller) {
    threads.emplace_back(call_until, end, std::cref(edge), caller,
                         std::ref(seen));
  }
  for (std::thread& each : threads)
    each.join();
  std::this_thread::sleep_for(seconds(1));
  if (seen.count() < 1000 || !edge.running()) return exit_could_not_run;
  return seen.judge() > 0 ? exit_broken : exit_held;
}

}  // namespace

int main(int argc, char** argv) {
  int code = exit_could_not_run;
  try {
    if (argc == 2) code = run(argv[1]);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
  }
  // The threads of the stand-ins end with the process.
  std::fflush(nullptr);
  std::_Exit(code);
}
