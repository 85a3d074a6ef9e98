#include "peer_link.hpp"

#include <gtest/gtest.h>
#include <sys/resource.h>
#include <unistd.h>

namespace medlarloft::tier {
namespace {

using std::chrono::milliseconds;

const endpoint address{"127.0.0.1", 18591};

// While no file descriptor was left, accepting failed again and again without a
// pause and used the whole processor.
TEST(peer_link, pauses_while_it_cannot_accept_connections) {
  http::io_context loop;
  loop::timer_queue timers(loop);
  const auto link = std::make_shared<peer_link>(
      loop, timers, address,
      peer_link::handlers{
          .on_message = [](const membership::message&) {},
          .on_quota_message = [](const quota::quota_message&) {}});
  ASSERT_TRUE(link->start());
  boost::asio::ip::tcp::socket peer(loop);
  peer.open(boost::asio::ip::tcp::v4());
  rlimit before{};
  ASSERT_EQ(::getrlimit(RLIMIT_NOFILE, &before), 0);
  const int next = ::dup(0);
  ::close(next);
  const rlimit none_left{static_cast<rlim_t>(next), before.rlim_max};
  ASSERT_EQ(::setrlimit(RLIMIT_NOFILE, &none_left), 0);
  peer.connect({boost::asio::ip::make_address(address.ip), address.port});
  std::size_t events = 0;
  const time_point end = steady_clock::now() + milliseconds(200);
  while (steady_clock::now() < end)
    events += loop.run_one_for(milliseconds(10));
  ::setrlimit(RLIMIT_NOFILE, &before);
  EXPECT_LT(events, 50U);
  link->close();
}

}  // namespace
}  // namespace medlarloft::tier
