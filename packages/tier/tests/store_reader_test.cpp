#include "store_reader.hpp"

#include <gtest/gtest.h>

#include <deque>
#include <nlohmann/json.hpp>

namespace medlarloft::tier {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint16_t port = 18491;

// An adapter for a fake store whose responses are JSON arrays of revision,
// whether more follows, and records.
adapter json_array_adapter() {
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
      page.records.push_back(
          {each[0], each[1].get<replica::revision>(), each[2]});
    return page;
  };
  platform.read_listing =
      [read](std::string_view text) -> result<listing_page, adapter_error> {
    return read(text);
  };
  platform.read_changes =
      [read](std::string_view text) -> result<changes_page, adapter_error> {
    listing_page page = read(text);
    return changes_page{.changes = page.records,
                        .revision = page.revision,
                        .may_have_more = page.has_more};
  };
  platform.read_store_era = [](const http::message& response)
      -> result<std::optional<replica::era>, adapter_error> {
    const auto stated = response.find("Era");
    if (!stated) return std::optional<replica::era>{};
    if (*stated == "malformed")
      return adapter_error{adapter_errc::malformed, "malformed"};
    return std::optional(
        static_cast<replica::era>(std::stoi(std::string(*stated))));
  };
  return platform;
}

http::message answer(const std::string& era, const std::string& body) {
  return {.status = 200, .headers = {{"Era", era}}, .body = body};
}

class store_reader_test : public ::testing::Test {
 protected:
  store_reader_test()
      : store(loop, timers,
              {.listen = {"127.0.0.1", port},
               .limits = [] { return http::limits{}; }},
              [this](std::shared_ptr<http::exchange> exchange) {
                targets.push_back(exchange->request().target);
                if (responses.empty()) {
                  unanswered.push_back(std::move(exchange));
                  return;
                }
                exchange->respond(responses.front());
                responses.pop_front();
              }) {
    EXPECT_TRUE(store.start());
  }

  void start(replica::position known = {}) {
    copy = known;
    reader.emplace(
        loop, timers,
        store_reader::options{.store = {"127.0.0.1", port},
                              .long_poll_timeout = milliseconds(100),
                              .call_timeout = milliseconds(90),
                              .min_backoff = milliseconds(5),
                              .max_backoff = milliseconds(20)},
        platform,
        store_reader::hooks{
            .on_changes =
                [this](const changes_page& page, replica::position up_to) {
                  changes += page.changes.size();
                  copy = std::max(copy, up_to);
                },
            .on_listing =
                [this](const auto& records, replica::position position) {
                  listed += records.size();
                  listed_records = records;
                  copy = std::max(copy, position);
                },
            .copy_position = [this] { return copy; },
            .on_invalid_era =
                [this](const std::string& reason, replica::era) {
                  invalid_eras.push_back(reason);
                },
            .on_answer = [] {},
            .pause_after_changes = [this] { return pause; },
            .on_reachability_changed =
                [this](bool now_reachable, const std::string&) {
                  reachable = now_reachable;
                }});
    reader->set_active(true, known);
  }

  bool run_until(const std::function<bool()>& condition) {
    const time_point end = steady_clock::now() + seconds(5);
    while (!condition() && steady_clock::now() < end)
      loop.run_one_for(milliseconds(10));
    return condition();
  }

  loop::io_context loop;
  loop::timer_queue timers{loop};
  adapter platform = json_array_adapter();
  std::deque<http::message> responses;
  std::vector<std::string> targets;
  std::vector<std::shared_ptr<http::exchange>> unanswered;
  http::server store;
  std::optional<store_reader> reader;
  std::size_t changes = 0;
  std::size_t listed = 0;
  std::vector<replica::change> listed_records;
  /// Position of the daemon's copy.
  replica::position copy;
  std::vector<std::string> invalid_eras;
  std::optional<bool> reachable;
  duration pause = milliseconds(1);
};

TEST_F(store_reader_test, lists_all_pages_and_then_follows_the_changes) {
  responses = {{.status = 200, .body = R"([7,true,[["a",1,"x"]]])"},
               {.status = 200, .body = R"([8,false,[["b",2,"y"]]])"},
               {.status = 200, .body = R"([9,false,[["c",9,"z"]]])"}};
  start();
  EXPECT_TRUE(run_until([this] { return changes == 1; }));
  EXPECT_EQ(listed, 2U);
  ASSERT_GE(targets.size(), 3U);
  EXPECT_EQ(targets[1], "/list?after=a");
  EXPECT_EQ(targets[2], "/changes?after=7");
}

TEST_F(store_reader_test, continues_from_the_revision_of_the_copy) {
  responses = {{.status = 200, .body = R"([9,false,[["c",9,"z"]]])"}};
  start(8);
  EXPECT_TRUE(run_until([this] { return changes == 1; }));
  EXPECT_EQ(targets.front(), "/changes?after=8");
}

// Heartbeats of many leafs fill a page of the store in less than a pause. With
// a pause after each page the reader gets further and further behind: the large
// deployment read a configuration six seconds after it was written (trouble-1).
TEST_F(store_reader_test, reads_on_without_a_pause_after_a_full_page) {
  pause = seconds(60);
  responses = {{.status = 200, .body = R"([9,true,[["c",9,"z"]]])"},
               {.status = 200, .body = R"([12,true,[["d",12,"z"]]])"},
               {.status = 200, .body = R"([13,false,[["e",13,"z"]]])"}};
  start(8);
  EXPECT_TRUE(run_until([this] { return changes == 3; }));
  EXPECT_EQ(targets,
            (std::vector<std::string>{"/changes?after=8", "/changes?after=9",
                                      "/changes?after=12"}));
}

TEST_F(store_reader_test, lists_again_when_the_store_lost_the_history) {
  responses = {{.status = 410}, {.status = 200, .body = R"([9,false,[]])"}};
  start(8);
  EXPECT_TRUE(run_until([this] { return targets.size() >= 2; }));
  EXPECT_EQ(targets[1], "/list?after=");
}

// The store stops answering while a call is open and the connection stays
// open, so only a timeout ends the call. On the bench, the three daemons
// that read for 60 waited 15 s for a silent store, and the fleet kept an old
// configuration.
TEST_F(store_reader_test, an_unanswered_call_times_out_soon) {
  responses = {{.status = 200, .body = R"([7,false,[]])"}};
  start();
  EXPECT_TRUE(run_until([this] { return reachable == true; }));
  EXPECT_TRUE(run_until([this] { return reachable == false; }));
  EXPECT_LE(store_reader::options{}.long_poll_timeout, seconds(2));
}

TEST_F(store_reader_test, a_refused_call_is_repeated) {
  responses = {{.status = 503}, {.status = 200, .body = R"([7,false,[]])"}};
  start();
  EXPECT_TRUE(run_until([this] { return reachable == true; }));
}

// A restored store assigns revisions again, so that changes after a revision of
// the old store would leave out what was written in the new one up to there.
TEST_F(store_reader_test, lists_again_when_an_answer_is_of_a_later_era) {
  responses = {answer("0", R"([9,false,[["c",9,"z"]]])"),
               answer("1", R"([10,false,[["d",10,"z"]]])"),
               answer("1", R"([4,false,[["c",3,"y"]]])"),
               answer("1", R"([5,false,[["e",5,"y"]]])")};
  start(8);
  EXPECT_TRUE(run_until([this] { return changes == 2; }));
  EXPECT_EQ(targets,
            (std::vector<std::string>{"/changes?after=8", "/changes?after=9",
                                      "/list?after=", "/changes?after=4"}));
  EXPECT_EQ(
      listed_records,
      (std::vector<replica::change>{{"c", replica::position{1, 3}, "y"}}));
  EXPECT_EQ(copy, replica::position(1, 5));
}

// Pages of two eras would make a listing that the store never held.
TEST_F(store_reader_test, begins_a_listing_anew_when_the_era_changes_in_it) {
  responses = {answer("1", R"([7,true,[["a",1,"x"]]])"),
               answer("2", R"([8,false,[["b",2,"y"]]])"),
               answer("2", R"([5,false,[["b",2,"y"]]])")};
  start();
  EXPECT_TRUE(run_until([this] { return listed > 0; }));
  EXPECT_EQ(
      listed_records,
      (std::vector<replica::change>{{"b", replica::position{2, 2}, "y"}}));
  EXPECT_EQ(copy, replica::position(2, 5));
}

// An answer that was on its way while the store was restored brings the lost
// records back for a moment.
TEST_F(store_reader_test, repeats_a_call_whose_answer_is_of_an_earlier_era) {
  responses = {answer("1", R"([9,false,[["c",9,"z"]]])"),
               {.status = 200, .body = R"([9,false,[["c",9,"z"]]])"},
               answer("malformed", R"([9,false,[["c",9,"z"]]])"),
               answer("2", R"([9,false,[["d",9,"z"]]])")};
  start(replica::position{2, 8});
  EXPECT_TRUE(run_until([this] { return changes == 1; }));
  EXPECT_EQ(copy, replica::position(2, 9));
  EXPECT_EQ(invalid_eras,
            (std::vector<std::string>{"earlier", "missing", "malformed"}));
}

// The next call with the same revision would be refused again, for good.
TEST_F(store_reader_test, lists_again_after_a_refusal_that_states_no_era) {
  responses = {{.status = 410}, answer("2", R"([4,false,[["a",4,"x"]]])")};
  start(replica::position{1, 8});
  EXPECT_TRUE(run_until([this] { return listed == 1; }));
  EXPECT_EQ(copy, replica::position(2, 4));
}

// Other daemons may notice a restore first. What this reader's call returns
// then is of the old store although the reader has seen no later era itself.
TEST_F(store_reader_test, takes_the_era_from_the_copy) {
  pause = milliseconds(20);
  responses = {answer("0", R"([9,false,[["c",9,"z"]]])"),
               answer("0", R"([10,false,[["d",10,"z"]]])"),
               answer("1", R"([7,false,[["e",7,"z"]]])"),
               answer("1", R"([8,false,[["e",8,"z"]]])")};
  start(8);
  EXPECT_TRUE(run_until([this] { return changes == 1; }));
  copy = {1, 6};
  EXPECT_TRUE(run_until([this] { return changes == 2; }));
  EXPECT_EQ(targets.back(), "/changes?after=6");
  EXPECT_EQ(listed, 0U);
}

// Without a known era, a header that cannot be read must not keep a daemon from
// starting.
TEST_F(store_reader_test, uses_an_answer_with_a_malformed_era_in_era_0) {
  responses = {answer("malformed", R"([7,false,[["a",1,"x"]]])")};
  start();
  EXPECT_TRUE(run_until([this] { return listed == 1; }));
  EXPECT_EQ(copy, replica::position(0, 7));
}

// A reader that stopped within the first listing of a new era resumed after
// revision 0 with a copy of the old era, which ignores the changes.
TEST_F(store_reader_test, lists_again_when_the_copy_is_of_an_earlier_era) {
  responses = {answer("1", R"([9,false,[["c",9,"z"]]])")};
  start(8);
  EXPECT_TRUE(run_until([this] { return targets.size() == 2; }));
  reader->set_active(false, copy);
  reader->set_active(true, copy);
  EXPECT_TRUE(run_until([this] { return targets.size() == 3; }));
  EXPECT_EQ(targets.back(), "/list?after=");
}

TEST_F(store_reader_test, stops_calling_when_set_inactive) {
  responses = {{.status = 200, .body = R"([7,false,[]])"}};
  start();
  EXPECT_TRUE(run_until([this] { return targets.size() == 2; }));
  reader->set_active(false, 7);
  const std::size_t calls = targets.size();
  const time_point end = steady_clock::now() + milliseconds(150);
  run_until([end] { return steady_clock::now() > end; });
  EXPECT_EQ(targets.size(), calls);
}

}  // namespace
}  // namespace medlarloft::tier
