#include "medlarloft/sources.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

namespace medlarloft::sources {
namespace {

using namespace std::chrono_literals;

const time_point start_time{100s};

// Two whole notes small enough to write by hand.
std::string note_text(int version) {
  return R"({"version":)" + std::to_string(version) +
         R"(,"base":0,"data_centres":{"add":[{"id":"a","region":"r"}]}})";
}

notes::model_ptr model_of(int version) {
  return notes::fold(notes::fleet_model{},
                     notes::read_note(note_text(version)).value())
      .value();
}

std::string head_text(int version) {
  const notes::head value{static_cast<note_version>(version),
                          model_of(version)->digest,
                          {{static_cast<note_version>(version),
                            0,
                            {"part" + std::to_string(version)}}}};
  return notes::write_head(value);
}

read_answer value_of(std::string text, std::string tag = "t") {
  return {.status = read_status::value,
          .text = std::move(text),
          .tag = std::move(tag)};
}

class watching_reader : public testing::Test {
 protected:
  // Runs until the reader wants to read, at most a while.
  read_request next_read() {
    for (int i = 0; i < 2000; ++i) {
      auto out = reader_.tick(now_, true, false, have_);
      if (pending_) {
        read_request wanted = *pending_;
        pending_.reset();
        return wanted;
      }
      if (out.read) return *out.read;
      now_ += 10ms;
    }
    ADD_FAILURE() << "no read was wanted";
    return {};
  }

  reader_outputs answer(const read_answer& given) {
    auto out = reader_.on_answer(now_, have_, given);
    pending_ = out.read;
    return out;
  }

  note_reader reader_{{}};
  time_point now_ = start_time;
  note_version have_ = 0;
  std::optional<read_request> pending_;
};

TEST_F(watching_reader, reads_the_head_then_its_parts) {
  EXPECT_EQ(next_read().key, notes::head_key);
  answer(value_of(head_text(3)));
  EXPECT_EQ(next_read().key, "part3");
  const auto out = answer(value_of(note_text(3)));
  ASSERT_TRUE(out.notes.has_value());
  EXPECT_EQ(out.notes->chain.back().version, 3U);
  EXPECT_EQ(out.notes->digest, model_of(3)->digest);
}

TEST_F(watching_reader, watches_once_it_knows_the_head) {
  next_read();
  have_ = 3;
  answer(value_of(head_text(3), "tag3"));
  const read_request watch = next_read();
  EXPECT_EQ(watch.tag, "tag3");
  EXPECT_GT(watch.wait, 1s);
}

TEST_F(watching_reader, ignores_a_stale_head) {
  have_ = 9;
  next_read();
  EXPECT_FALSE(answer(value_of(head_text(3))).notes.has_value());
}

TEST_F(watching_reader, backs_off_while_the_service_is_down) {
  EXPECT_EQ(next_read().key, notes::head_key);
  const auto first = answer({.status = read_status::failed});
  EXPECT_EQ(first.healthy, false);
  int reads = 0;
  const time_point end = now_ + 60s;
  while (now_ < end) {
    auto out = reader_.tick(now_, true, false, have_);
    if (pending_ || out.read) {
      ++reads;
      answer({.status = read_status::failed});
    }
    now_ += 10ms;
  }
  EXPECT_LT(reads, 20);
  next_read();
  EXPECT_EQ(answer(value_of(head_text(3))).healthy, true);
}

TEST_F(watching_reader, refuses_corrupt_half_written_and_oversized_values) {
  next_read();
  EXPECT_TRUE(answer(value_of("{\"version\":3,")).refused.has_value());
  next_read();
  answer(value_of(head_text(3)));
  next_read();
  EXPECT_TRUE(answer({.status = read_status::missing}).refused.has_value());
  next_read();
  answer(value_of(head_text(3)));
  next_read();
  // Another version's part under this one's key.
  EXPECT_TRUE(answer(value_of(note_text(2))).refused.has_value());
  next_read();
  const auto large = answer(value_of(std::string(1'100'000, 'x')));
  EXPECT_TRUE(large.refused.has_value());
  next_read();
  answer(value_of(head_text(3)));
  next_read();
  EXPECT_TRUE(answer(value_of(note_text(3))).notes.has_value());
}

TEST(note_reader, does_not_read_without_the_duty) {
  note_reader reader({});
  for (int i = 0; i < 100; ++i) {
    EXPECT_FALSE(
        reader.tick(start_time + i * 100ms, false, false, 1).read.has_value());
  }
}

TEST(note_reader, reads_by_itself_when_nobody_answers) {
  note_reader reader({.expected_daemons = 8, .alone_after = 2s});
  EXPECT_FALSE(reader.tick(start_time, false, true, 0).read.has_value());
  EXPECT_TRUE(
      reader.tick(start_time + 2100ms, false, true, 0).read.has_value());
}

// The whole fleet restarts at once and nobody hears a peer: the reads of any
// second, over all daemons, stay under what the service bears.
TEST(note_reader, keeps_the_services_rate_when_all_restart) {
  constexpr std::size_t daemons = 6600;
  std::vector<note_reader> readers;
  for (std::size_t i = 0; i < daemons; ++i) {
    readers.emplace_back(reader_options{.expected_daemons = daemons,
                                        .expected_data_centres = 13,
                                        .random_seed = i});
  }
  std::map<std::int64_t, std::size_t> per_second;
  for (auto passed = 0ms; passed < 30s; passed += 100ms) {
    const time_point now = start_time + passed;
    for (std::size_t i = 0; i < daemons; ++i) {
      // Two of each data centre have the duty.
      const bool watcher = i < 26;
      auto out = readers[i].tick(now, watcher, true, 0);
      // Every read fails at once, which is the worst case.
      while (out.read) {
        ++per_second[std::chrono::floor<std::chrono::seconds>(passed).count()];
        out = readers[i].on_answer(now, 0, {.status = read_status::failed});
      }
    }
  }
  for (const auto& [second, reads] : per_second) {
    EXPECT_LE(reads, service_reads_per_second) << "second " << second;
  }
}

TEST(host_list, reads_and_reports_changes_only) {
  host_list_state state;
  const auto list =
      read_host_list(R"({"hosts":[{"id":"a"},{"id":"b","leaving":true}]})");
  ASSERT_TRUE(list.has_value());
  EXPECT_EQ(state.take(list.value()).size(), 1U);
  EXPECT_EQ(state.take(list.value()).size(), 0U);
  EXPECT_EQ(state.leaving(), (std::vector<std::string>{"b"}));
}

TEST(host_list, a_vanished_host_is_not_news) {
  host_list_state state;
  state.take({{"a", false}, {"b", false}});
  EXPECT_TRUE(state.take({{"a", false}}).empty());
}

TEST(host_list, refuses_nonsense) {
  EXPECT_FALSE(read_host_list("[]").has_value());
  EXPECT_FALSE(read_host_list(R"({"hosts":[{"id":7}]})").has_value());
}

}  // namespace
}  // namespace medlarloft::sources
