#include "connection_pool.hpp"

#include <gtest/gtest.h>

namespace medlarloft::tier {
namespace {

constexpr duration wait_timeout = std::chrono::seconds(10);
constexpr leafs::leaf_handle leaf = 7;

/// A pool with one leaf, which answers each request at once.
class connection_pool_test : public ::testing::Test {
 protected:
  connection_pool_test() { EXPECT_TRUE(server.start()); }

  /// Begins to send a request, on none of these connections. Returns the
  /// connection that was taken.
  connection_id begin(std::vector<connection_id> carried_by = {}) {
    ++open_requests;
    const connection_pool::call call = pool.send(
        leaf, address,
        {.make_text =
             [] {
               return http::serialize_request({.method = "GET", .target = "/"});
             },
         .method = "GET",
         .carried_by = std::move(carried_by)},
        [this](const pool_result& result) {
          EXPECT_TRUE(result.response);
          --open_requests;
        });
    return call.connection();
  }

  void await_responses() {
    const time_point end = steady_clock::now() + wait_timeout;
    while (open_requests > 0 && steady_clock::now() < end)
      loop.run_one_for(std::chrono::milliseconds(20));
    EXPECT_EQ(open_requests, 0);
  }

  /// Sends a request and waits for its response.
  connection_id send(std::vector<connection_id> carried_by = {}) {
    const connection_id taken = begin(std::move(carried_by));
    await_responses();
    return taken;
  }

  int open_requests = 0;
  http::io_context loop;
  loop::timer_queue timers{loop};
  endpoint address{"127.0.0.1", 18561};
  http::server server{
      loop,
      timers,
      {.listen = address, .limits = [] { return http::limits{}; }},
      [](const std::shared_ptr<http::exchange>& exchange) {
        exchange->respond({.status = 200});
      }};
  connection_pool pool{loop, timers, {}, {.on_connected = [](auto, auto) {}}};
};

TEST_F(connection_pool_test, reuses_a_connection) {
  EXPECT_EQ(send(), send());
  EXPECT_EQ(pool.opened(), 1U);
}

// A late copy of the response to the first send was taken for the response to
// the second one, as both have the same request id.
TEST_F(connection_pool_test, a_connection_carries_a_request_once) {
  const connection_id first = send();
  EXPECT_NE(send({first}), first);
}

// The copy can also arrive after responses to other requests.
TEST_F(connection_pool_test, a_connection_used_in_between_is_still_avoided) {
  const connection_id first = send();
  ASSERT_EQ(send(), first);
  EXPECT_NE(send({first}), first);
}

TEST_F(connection_pool_test, another_idle_connection_is_used_instead) {
  const connection_id first = begin();
  const connection_id second = begin();
  await_responses();
  EXPECT_EQ(send({first}), second);
  EXPECT_EQ(send({second}), first);
  EXPECT_EQ(pool.opened(), 2U);
}

// Leafs limit the connections of all daemons together.
TEST_F(connection_pool_test, a_second_send_needs_no_additional_connection) {
  const connection_id first = send();
  send({first});
  EXPECT_EQ(pool.idle(), 1U);
}

}  // namespace
}  // namespace medlarloft::tier
