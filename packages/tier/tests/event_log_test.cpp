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

TEST_F(event_log_test, writes_one_line_of_pairs) {
  event_log log(timers, {.id = "d1", .descriptor = ends[1]});
  log.write("started", {{"port", 80}});
  log.flush();
  const std::string line = read_all();
  EXPECT_NE(line.find(" daemon=d1 event=started port=80\n"), std::string::npos);
}

// A reader that has stopped: writing goes on, memory stays bounded, and what
// was left out is said once the reader goes on.
TEST_F(event_log_test, never_waits_for_a_reader_that_has_stopped) {
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

// Pattern: under load requests are left out all the time; one line a second
// says how many.
TEST_F(event_log_test, tells_once_a_second_what_was_left_out) {
  {
    event_log log(timers,
                  {.id = "d1", .descriptor = ends[1], .served_per_second = 0});
    for (int i = 0; i < 20; ++i) {
      log.admits(steady_clock::now(), false);
      log.write("event", {});
      log.flush();
    }
  }
  const std::string all = read_all();
  const std::string wanted = "event=log_left_out";
  const std::size_t first = all.find(wanted);
  const std::size_t second = all.find(wanted, first + 1);
  ASSERT_NE(second, std::string::npos);
  EXPECT_EQ(all.find(wanted, second + 1), std::string::npos);
  EXPECT_NE(all.find("requests=1\n"), std::string::npos);
  EXPECT_NE(all.find("requests=19\n"), std::string::npos);
}

TEST_F(event_log_test, failed_requests_have_a_part_of_their_own) {
  event_log log(timers, {.id = "d1",
                         .descriptor = ends[1],
                         .failed_per_second = 2,
                         .served_per_second = 1});
  const time_point now = steady_clock::now();
  EXPECT_TRUE(log.admits(now, false));
  EXPECT_FALSE(log.admits(now, false));
  EXPECT_TRUE(log.admits(now, true));
  EXPECT_TRUE(log.admits(now, true));
  EXPECT_FALSE(log.admits(now, true));
}

}  // namespace
}  // namespace medlarloft::tier
