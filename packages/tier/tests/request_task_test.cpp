#include "request_task.hpp"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/resource.h>
#include <unistd.h>

#include <map>

namespace medlarloft::tier {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration wait_timeout = seconds(10);
constexpr std::uint16_t first_leaf_port = 18571;
/// Usual processing time of the leafs. Four times of it is more than leafs may
/// go on after a caller has left.
constexpr duration work_time = milliseconds(250);
/// From the caller's disconnect to the end of the work of the leafs.
constexpr duration max_work_after_disconnect = milliseconds(500);

/// A request whose caller can disconnect.
class fake_exchange final : public http::exchange {
 public:
  fake_exchange() = default;
  ~fake_exchange() override = default;
  const http::message& request() const noexcept override { return request_; }
  time_point received_at() const noexcept override { return received_at_; }
  bool first_on_connection() const noexcept override { return true; }
  void respond(http::message received) override {
    response = std::move(received);
    on_disconnect_ = nullptr;
  }
  void on_disconnect(std::function<void()> handler) override {
    on_disconnect_ = std::move(handler);
  }
  void disconnect() {
    if (on_disconnect_) std::exchange(on_disconnect_, nullptr)();
  }

  std::optional<http::message> response;

 private:
  http::message request_{.method = "POST", .target = "/x/"};
  time_point received_at_ = steady_clock::now();
  std::function<void()> on_disconnect_;
};

/// Lets no further file descriptor be opened.
class descriptors_exhausted {
 public:
  descriptors_exhausted() {
    EXPECT_EQ(::getrlimit(RLIMIT_NOFILE, &before_), 0);
    const int next = ::dup(0);
    ::close(next);
    const rlimit none_left{static_cast<rlim_t>(next), before_.rlim_max};
    EXPECT_EQ(::setrlimit(RLIMIT_NOFILE, &none_left), 0);
  }
  ~descriptors_exhausted() { ::setrlimit(RLIMIT_NOFILE, &before_); }
  descriptors_exhausted(const descriptors_exhausted&) = delete;
  descriptors_exhausted& operator=(const descriptors_exhausted&) = delete;

 private:
  rlimit before_{};
};

adapter make_fake_adapter() {
  adapter fake;
  fake.make_leaf_request = [](const http::message& request,
                              const account_identity&) { return request; };
  fake.make_leaf_headers = [](const leafs::leaf_registration&, duration) {
    return std::vector<header>{};
  };
  fake.read_response_metadata = [](const http::message& response) {
    return response_metadata{.signature = response.body};
  };
  fake.match_response = [](const http::message&, std::string_view) {
    return http::response_match::matches;
  };
  fake.make_gather_headers =
      [](const std::string&, const std::vector<fanout::leaf_response>&,
         std::uint32_t) { return std::vector<header>{}; };
  return fake;
}

class request_task_test : public ::testing::Test {
 protected:
  /// Adds a leaf that holds its responses; it has one slot, so that it takes
  /// `max_in_flight` requests of one daemon.
  void add_leaf(const std::string& id, const std::string& service) {
    const auto port =
        static_cast<std::uint16_t>(first_leaf_port + servers.size());
    leafs.put(steady_clock::now(), {.id = id,
                                    .service = service,
                                    .address = {"127.0.0.1", port},
                                    .data_centre = "a",
                                    .slots = 1});
    servers.push_back(std::make_unique<http::server>(
        loop, timers,
        http::server::options{.listen = {"127.0.0.1", port},
                              .limits = [] { return http::limits{}; }},
        [this, id](std::shared_ptr<http::exchange> received) {
          ++arrived[id];
          received->on_disconnect([this, id] {
            ++stopped[id];
            last_stopped_at = steady_clock::now();
          });
          held[id].push_back(std::move(received));
        }));
    ASSERT_TRUE(servers.back()->start());
  }

  std::shared_ptr<fake_exchange> start_request(const routes::route& route) {
    auto exchange = std::make_shared<fake_exchange>();
    routes::configuration config{.version = 1, .routes = {route}};
    const auto table =
        std::make_shared<const routes::route_table>(std::move(config));
    const routes::route* found = table->find("h", "/x/");
    std::make_shared<request_task>(
        context,
        admitted_request{.exchange = exchange,
                         .metadata = {.request_id = "r", .host = "h"},
                         .table = table,
                         .route = found,
                         .services = found->gathers()
                                         ? found->shards
                                         : std::vector<std::string>{"s1"}})
        ->start();
    return exchange;
  }

  bool run_until(const std::function<bool()>& done) {
    const time_point end = steady_clock::now() + wait_timeout;
    while (!done() && steady_clock::now() < end)
      loop.run_one_for(milliseconds(5));
    return done();
  }

  routes::route single{.name = "single",
                       .host = "h",
                       .prefix = "/x/",
                       .timeout = seconds(8),
                       .split = {{.service = "s1"}}};
  routes::route gather{.name = "gather",
                       .host = "h",
                       .prefix = "/x/",
                       .retry = routes::retry_policy::idempotent,
                       .timeout = seconds(8),
                       .max_leafs = 2,
                       .shards = {"s1", "s2"}};

  http::io_context loop;
  loop::timer_queue timers{loop};
  std::vector<std::unique_ptr<http::server>> servers;
  std::map<std::string, int> arrived;
  std::map<std::string, int> stopped;
  time_point last_stopped_at;
  std::map<std::string, std::vector<std::shared_ptr<http::exchange>>> held;

  adapter platform = make_fake_adapter();
  leafs::leaf_set leafs{{.local_data_centre = "a",
                         .overdue_factor = 0.1,
                         .default_work_time = work_time,
                         .in_flight_per_slot = 1,
                         .min_in_flight = 1},
                        7};
  connection_pool pool{loop, timers, {}, {.on_connected = [](auto, auto) {}}};
  fanout::retry_budget budget{{.slack = 10}};
  waiting::wait_queue queue;
  event_log log{timers, {.id = "d", .descriptor = -1}};
  daemon_metrics metrics;
  traffic_context context{.timers = timers,
                          .platform = platform,
                          .leafs = leafs,
                          .pool = pool,
                          .budget = budget,
                          .queue = queue,
                          .log = log,
                          .metrics = metrics,
                          .check_pause = [] {},
                          .may_send = [] { return true; }};
};

// The connection to the leaf stayed open for four times the expected time after
// the caller had left, and the leaf worked on.
TEST_F(request_task_test, a_leaf_stops_soon_after_the_caller_has_left) {
  add_leaf("i-1", "s1");
  const auto exchange = start_request(single);
  ASSERT_TRUE(run_until([&] { return arrived["i-1"] == 1; }));
  const time_point left_at = steady_clock::now();
  exchange->disconnect();
  ASSERT_TRUE(run_until([&] { return stopped["i-1"] == 1; }));
  EXPECT_LT(last_stopped_at - left_at, max_work_after_disconnect);
  EXPECT_EQ(arrived["i-1"], 1);
}

// An attempt that lost against a hedge has no caller any more either, although
// it was abandoned before the caller left.
TEST_F(request_task_test,
       parts_and_lost_hedges_stop_after_the_caller_has_left) {
  add_leaf("i-1", "s1");
  add_leaf("i-2", "s1");
  add_leaf("i-3", "s2");
  const auto exchange = start_request(gather);
  ASSERT_TRUE(run_until(
      [&] { return arrived["i-1"] + arrived["i-2"] == 2 && arrived["i-3"]; }));
  // A faster response would lower the expected time.
  const time_point respond_at = steady_clock::now() + work_time;
  run_until([&] { return steady_clock::now() >= respond_at; });
  held["i-1"].front()->respond({.status = 200, .body = "i-1"});
  ASSERT_TRUE(run_until(
      [&] { return leafs.statuses(steady_clock::now())[0].in_flight == 0; }));
  const time_point left_at = steady_clock::now();
  exchange->disconnect();
  ASSERT_TRUE(run_until([&] { return stopped["i-2"] + stopped["i-3"] == 2; }));
  EXPECT_LT(last_stopped_at - left_at, max_work_after_disconnect);
}

// A response within the drain time keeps the connection and says how fast the
// leaf is.
TEST_F(request_task_test, a_response_soon_after_the_disconnect_is_read) {
  add_leaf("i-1", "s1");
  const auto exchange = start_request(single);
  ASSERT_TRUE(run_until([&] { return arrived["i-1"] == 1; }));
  exchange->disconnect();
  held["i-1"].front()->respond({.status = 200, .body = "i-1"});
  EXPECT_TRUE(run_until([&] { return pool.idle() == 1; }));
  EXPECT_EQ(stopped["i-1"], 0);
}

// A request that waits for a free leaf must not be sent once its caller left.
TEST_F(request_task_test, a_queued_request_is_not_sent_after_the_disconnect) {
  add_leaf("i-1", "s1");
  const auto first = start_request(single);
  const auto second = start_request(single);
  ASSERT_TRUE(run_until([&] { return arrived["i-1"] == 1; }));
  ASSERT_EQ(queue.size(), 1U);
  second->disconnect();
  EXPECT_EQ(queue.size(), 0U);
  held["i-1"].front()->respond({.status = 200, .body = "i-1"});
  ASSERT_TRUE(run_until([&] { return first->response.has_value(); }));
  EXPECT_EQ(metrics.value(counter::leaf_requests), 1U);
}

// A connection for which no descriptor is left fails without any I/O. If its
// end were reported while the request is being sent, the task would use an
// attempt that is gone.
TEST_F(request_task_test, a_connection_that_fails_at_once_ends_after_the_send) {
  add_leaf("i-1", "s1");
  const auto exchange = [this] {
    const descriptors_exhausted no_descriptor;
    return start_request(single);
  }();
  EXPECT_FALSE(exchange->response);
  ASSERT_TRUE(run_until([&] { return exchange->response.has_value(); }));
  EXPECT_EQ(exchange->response->status, 503);
  EXPECT_EQ(metrics.value(counter::leaf_requests), 1U);
}

}  // namespace
}  // namespace medlarloft::tier
