#include <gtest/gtest.h>

#include <algorithm>

#include "sample_note.hpp"

namespace medlarloft::notes {
namespace {

using nlohmann::json;

note_result<model_ptr> fold_document(const json& document) {
  const auto note = read_note(document.dump());
  if (!note) return note.error();
  return fold(fleet_model{}, note.value());
}

TEST(fold, builds_the_model) {
  const auto model = fold_document(sample_document());
  ASSERT_TRUE(model.has_value()) << model.error().text();
  const service* desk = model.value()->find_service("desk");
  ASSERT_NE(desk, nullptr);
  const shard& first = desk->maps.front().shards.front();
  EXPECT_EQ(model.value()->leafs[first.leafs[0]].id, "l1");
}

TEST(fold, names_an_unknown_reference) {
  json document = sample_document();
  document["services"]["add"][0]["partitions"][0]["shards"][0]["replicas"] = {
      "l9"};
  const auto model = fold_document(document);
  ASSERT_FALSE(model.has_value());
  EXPECT_EQ(model.error().code, note_errc::unknown_reference);
  EXPECT_EQ(model.error().value, "\"l9\"");
  EXPECT_EQ(model.error().path, "services.desk.shards.s1.replicas");
}

TEST(fold, refuses_a_shard_without_replica) {
  json document = sample_document();
  document["services"]["add"][0]["partitions"][0]["shards"][0]["replicas"] =
      json::array();
  EXPECT_EQ(fold_document(document).error().code, note_errc::no_replica);
}

TEST(fold, refuses_gaps_and_overlaps_of_ranges) {
  for (const std::uint64_t from : {2147483647ULL, 2147483649ULL}) {
    json document = sample_document();
    document["services"]["add"][0]["partitions"][0]["shards"][1]["from"] = from;
    EXPECT_EQ(fold_document(document).error().code, note_errc::not_a_partition);
  }
}

TEST(fold, refuses_capacity_below_the_stated_load) {
  json document = sample_document();
  document["services"]["add"][0]["queries_per_second"] = 100;
  document["services"]["add"][0]["leaf_time"] = "50ms";
  const auto model = fold_document(document);  // bears 2 * 2 / 50ms = 80/s
  ASSERT_FALSE(model.has_value());
  EXPECT_EQ(model.error().code, note_errc::capacity);
}

TEST(fold, refuses_what_exists_or_does_not) {
  const model_ptr base = fold_document(sample_document()).value();
  const json again = {
      {"version", 2},
      {"base", 1},
      {"data_centres", {{"add", {{{"id", "a"}, {"region", "r"}}}}}}};
  EXPECT_EQ(fold(*base, note_of(again)).error().code,
            note_errc::already_exists);
  const json lost = {
      {"version", 2}, {"base", 1}, {"backend_servers", {{"withdraw", {"l9"}}}}};
  EXPECT_EQ(fold(*base, note_of(lost)).error().code, note_errc::does_not_exist);
}

TEST(fold, refuses_withdrawing_a_server_in_use) {
  const model_ptr base = fold_document(sample_document()).value();
  const json note = {
      {"version", 2}, {"base", 1}, {"backend_servers", {{"withdraw", {"l1"}}}}};
  EXPECT_EQ(fold(*base, note_of(note)).error().code,
            note_errc::unknown_reference);
}

TEST(fold, has_one_digest_for_one_content) {
  const model_ptr direct = fold_document(sample_document()).value();
  const model_ptr stepwise =
      fold(*fold(*direct, increment(1, 70)).value(), increment(2, 90)).value();
  const model_ptr rewritten =
      fold(fleet_model{}, whole_note(*stepwise)).value();
  EXPECT_EQ(rewritten->digest, stepwise->digest);
  EXPECT_NE(direct->digest, stepwise->digest);
}

TEST(warnings, names_a_shard_whose_replicas_are_all_out) {
  json document = sample_document();
  document["data_centres"]["add"][0]["out"] = true;
  document["data_centres"]["add"][1]["out"] = true;
  EXPECT_EQ(warnings(*fold_document(document).value()).size(), 2U);
}

TEST(difference, names_added_changed_and_withdrawn) {
  const model_ptr base = fold_document(sample_document()).value();
  const json note = {
      {"version", 2},
      {"base", 1},
      {"data_centres",
       {{"change", {{{"id", "a"}, {"region", "r"}, {"out", true}}}}}},
      {"daemons", {{"withdraw", {"d2"}}}}};
  const auto lines = difference(*base, *fold(*base, note_of(note)).value());
  EXPECT_EQ(lines,
            (std::vector<std::string>{"~ data_centre a", "- daemon d2"}));
}

TEST(render, splits_values_and_commits_last) {
  json document = sample_document();
  for (int i = 0; i < 12000; ++i) {
    document["backend_servers"]["add"].push_back(
        {{"id", "spare-" + std::to_string(i)},
         {"data_centre", "a"},
         {"address", "10." + std::to_string(i / 65536) + "." +
                         std::to_string(i / 256 % 256) + "." +
                         std::to_string(i % 256) + ":80"},
         {"slots", 2},
         {"connections", 25}});
  }
  const release_note note = note_of(document);
  const model_ptr model = fold(fleet_model{}, note).value();
  const auto values = render({note}, *model);
  ASSERT_GT(values.size(), 2U);
  EXPECT_EQ(values.back().key, head_key);
  EXPECT_TRUE(std::ranges::all_of(values, [](const auto& value) {
    return value.text.size() <= max_value_bytes;
  }));
  std::vector<std::string> parts;
  for (std::size_t i = 0; i + 1 < values.size(); ++i) {
    parts.push_back(values[i].text);
  }
  const auto joined = fold(fleet_model{}, join_parts(parts).value());
  const head committed = read_head(values.back().text).value();
  EXPECT_EQ(joined.value()->digest, committed.digest);
}

TEST(missing, takes_increments_or_starts_from_a_whole_note) {
  const head value{4, 0, {{2, 0, {"w"}}, {3, 2, {"i3"}}, {4, 3, {"i4"}}}};
  EXPECT_EQ(missing(value, 3).size(), 1U);
  EXPECT_EQ(missing(value, 2).size(), 2U);
  EXPECT_EQ(missing(value, 1).size(), 3U);
  EXPECT_TRUE(missing(value, 4).empty());
  EXPECT_TRUE(missing(value, 9).empty());
}

}  // namespace
}  // namespace medlarloft::notes
