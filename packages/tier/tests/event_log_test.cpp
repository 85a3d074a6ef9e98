#include "event_log.hpp"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <array>

namespace medlarloft::tier {
namespace {

class event_log_test : public ::testing::Test {
 protected:
  event_log_test() { EXPECT_EQ(::pipe(ends.data()), 0); }
  ~event_log_test() override {
    ::close(ends[0]);
    ::close(ends[1]);
  }

  std::string read_all() {
    ::fcntl(ends[0], F_SETFL, O_NONBLOCK);
    std::string all;
    std::array<char, 4096> buffer{};
    for (;;) {
      const auto count = ::read(ends[0], buffer.data(), buffer.size());
      if (count <= 0) return all;
      all.append(buffer.data(), static_cast<std::size_t>(count));
    }
  }

  std::array<int, 2> ends{};
  loop::io_context loop;
  loop::timer_queue timers{loop};
};

TEST_F(event_log_test, writes_a_line_of_key_value_pairs) {
  event_log log(timers, {.id = "d1", .descriptor = ends[1]});
  log.write("started", {{"port", 80}});
  log.flush();
  const std::string line = read_all();
  EXPECT_NE(line.find(" daemon=d1 event=started port=80\n"), std::string::npos);
}

// The reader of the descriptor has stopped: writing continues, memory stays
// bounded, and dropped lines are reported once the reader continues.
TEST_F(event_log_test, never_blocks_on_a_stopped_reader) {
  event_log log(
      timers, {.id = "d1", .descriptor = ends[1], .max_buffered_bytes = 4096});
  for (int i = 0; i < 20'000; ++i) {
    log.write("event", {{"number", i}});
    log.flush();
  }
  read_all();
  log.flush();
  log.write("last", {});
  log.flush();
  log.flush();
  EXPECT_NE(read_all().find("event=log_left_out"), std::string::npos);
}

// Under load, requests are left out of the log all the time; one line a second
// reports how many.
TEST_F(event_log_test, reports_dropped_requests_once_a_second) {
  {
    event_log log(timers,
                  {.id = "d1", .descriptor = ends[1], .served_per_second = 0});
    for (int i = 0; i < 20; ++i) {
      log.admit_request(steady_clock::now(), false);
      log.write("event", {});
      log.flush();
    }
  }
  const std::string all = read_all();
  const std::string report = "event=log_left_out";
  const std::size_t first = all.find(report);
  const std::size_t second = all.find(report, first + 1);
  ASSERT_NE(second, std::string::npos);
  EXPECT_EQ(all.find(report, second + 1), std::string::npos);
  EXPECT_NE(all.find("requests=1\n"), std::string::npos);
  EXPECT_NE(all.find("requests=19\n"), std::string::npos);
}

TEST_F(event_log_test, failed_requests_have_a_separate_limit) {
  event_log log(timers, {.id = "d1",
                         .descriptor = ends[1],
                         .failed_per_second = 2,
                         .served_per_second = 1});
  const time_point now = steady_clock::now();
  EXPECT_TRUE(log.admit_request(now, false));
  EXPECT_FALSE(log.admit_request(now, false));
  EXPECT_TRUE(log.admit_request(now, true));
  EXPECT_TRUE(log.admit_request(now, true));
  EXPECT_FALSE(log.admit_request(now, true));
}

}  // namespace
}  // namespace medlarloft::tier
