#include "store_reader.hpp"

#include <gtest/gtest.h>

#include <deque>
#include <nlohmann/json.hpp>

namespace medlarloft::tier {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint16_t port = 18491;

// A store that speaks lines: "REVISION more|end KEY=VALUE ...".
adapter line_words() {
  adapter platform;
  platform.listing_target = [](std::string_view after) {
    return "/list?after=" + std::string(after);
  };
  platform.changes_target = [](replica::revision after, duration) {
    return "/changes?after=" + std::to_string(after);
  };
  const auto read = [](std::string_view text) {
    const auto document = nlohmann::json::parse(text);
    listing_page page{.revision = document[0], .has_more = document[1]};
    for (const auto& each : document[2])
      page.records.push_back({each[0], each[1], each[2]});
    return page;
  };
  platform.read_listing =
      [read](std::string_view text) -> result<listing_page, adapter_error> {
    return read(text);
  };
  platform.read_changes =
      [read](std::string_view text) -> result<changes_page, adapter_error> {
    listing_page page = read(text);
    return changes_page{.changes = page.records, .revision = page.revision};
  };
  return platform;
}

class store_reader_test : public ::testing::Test {
 protected:
  store_reader_test()
      : store(loop, timers,
              {.listen = {"127.0.0.1", port},
               .limits = [] { return http::limits{}; }},
              [this](std::shared_ptr<http::exchange> asked) {
                targets.push_back(asked->request().target);
                if (answers.empty()) {
                  held.push_back(std::move(asked));
                  return;
                }
                asked->respond(answers.front());
                answers.pop_front();
              }) {
    EXPECT_TRUE(store.start());
  }

  void start(replica::revision known = 0) {
    reader.emplace(
        loop, timers,
        store_reader::options{.store = {"127.0.0.1", port},
                              .longest_wait = milliseconds(100),
                              .call_timeout = milliseconds(90),
                              .first_backoff = milliseconds(5),
                              .longest_backoff = milliseconds(20)},
        platform,
        store_reader::hooks{
            .changes = [this](const auto& got, auto) { changes += got.size(); },
            .listing = [this](const auto& got, auto) { listed += got.size(); },
            .answered = [] {},
            .pause = [] { return milliseconds(1); },
            .reachable = [this](
                             bool answers_now,
                             const std::string&) { reachable = answers_now; }});
    reader->set_active(true, known);
  }

  bool until(const std::function<bool()>& done) {
    const time_point end = steady_clock::now() + seconds(5);
    while (!done() && steady_clock::now() < end)
      loop.run_one_for(milliseconds(10));
    return done();
  }

  loop::io_context loop;
  loop::timer_queue timers{loop};
  adapter platform = line_words();
  std::deque<http::message> answers;
  std::vector<std::string> targets;
  std::vector<std::shared_ptr<http::exchange>> held;
  http::server store;
  std::optional<store_reader> reader;
  std::size_t changes = 0;
  std::size_t listed = 0;
  std::optional<bool> reachable;
};

TEST_F(store_reader_test, lists_all_pages_and_then_follows_the_changes) {
  answers = {{.status = 200, .body = R"([7,true,[["a",1,"x"]]])"},
             {.status = 200, .body = R"([8,false,[["b",2,"y"]]])"},
             {.status = 200, .body = R"([9,false,[["c",9,"z"]]])"}};
  start();
  EXPECT_TRUE(until([this] { return changes == 1; }));
  EXPECT_EQ(listed, 2U);
  ASSERT_GE(targets.size(), 3U);
  EXPECT_EQ(targets[1], "/list?after=a");
  EXPECT_EQ(targets[2], "/changes?after=7");
}

TEST_F(store_reader_test, goes_on_where_another_daemon_left_off) {
  answers = {{.status = 200, .body = R"([9,false,[["c",9,"z"]]])"}};
  start(8);
  EXPECT_TRUE(until([this] { return changes == 1; }));
  EXPECT_EQ(targets.front(), "/changes?after=8");
}

TEST_F(store_reader_test, lists_again_when_the_history_is_gone) {
  answers = {{.status = 410}, {.status = 200, .body = R"([9,false,[]])"}};
  start(8);
  EXPECT_TRUE(until([this] { return targets.size() >= 2; }));
  EXPECT_EQ(targets[1], "/list?after=");
}

// Pattern: the store falls silent while a call waits. The connection stands,
// so only a timeout of our own tells. Seen on the bench: three daemons read
// for 60, all three waited 15 s for a store that was silent, and the fleet
// kept an old configuration.
TEST_F(store_reader_test, a_call_that_nobody_answers_is_given_up_soon) {
  answers = {{.status = 200, .body = R"([7,false,[]])"}};
  start();
  EXPECT_TRUE(until([this] { return reachable == true; }));
  EXPECT_TRUE(until([this] { return reachable == false; }));
  EXPECT_LE(store_reader::options{}.longest_wait, seconds(2));
}

TEST_F(store_reader_test, a_refused_call_is_repeated) {
  answers = {{.status = 503}, {.status = 200, .body = R"([7,false,[]])"}};
  start();
  EXPECT_TRUE(until([this] { return reachable == true; }));
}

TEST_F(store_reader_test, stops_when_it_is_not_wanted_any_more) {
  answers = {{.status = 200, .body = R"([7,false,[]])"}};
  start();
  EXPECT_TRUE(until([this] { return targets.size() == 2; }));
  reader->set_active(false, 7);
  const std::size_t calls = targets.size();
  const time_point end = steady_clock::now() + milliseconds(150);
  until([end] { return steady_clock::now() > end; });
  EXPECT_EQ(targets.size(), calls);
}

}  // namespace
}  // namespace medlarloft::tier
