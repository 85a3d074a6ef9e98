#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "sample_note.hpp"

namespace medlarloft::notes {
namespace {

TEST(store, accepts_rising_versions_and_ignores_older) {
  note_store store;
  EXPECT_EQ(store.offer(note_of(sample_document())).result, verdict::accepted);
  EXPECT_EQ(store.offer(increment(1, 70)).result, verdict::accepted);
  EXPECT_EQ(store.offer(note_of(sample_document())).result, verdict::older);
  EXPECT_EQ(store.version(), 2U);
}

TEST(store, keeps_the_last_good_model_when_a_note_is_invalid) {
  note_store store;
  store.offer(note_of(sample_document()));
  const std::uint64_t before = store.digest();
  const nlohmann::json bad = {
      {"version", 2}, {"base", 1}, {"services", {{"withdraw", {"nothing"}}}}};
  const auto outcome = store.offer(note_of(bad));
  EXPECT_EQ(outcome.result, verdict::invalid);
  ASSERT_TRUE(outcome.error.has_value());
  EXPECT_EQ(store.digest(), before);
}

TEST(store, refuses_other_content_under_the_version_in_force) {
  note_store store;
  store.offer(note_of(sample_document()));
  nlohmann::json other = sample_document();
  other["services"]["add"][0]["deadline"] = "55ms";
  EXPECT_EQ(store.offer(note_of(other)).result, verdict::conflict);
  EXPECT_EQ(store.offer_chain({note_of(other)}, 7).result, verdict::conflict);
}

TEST(store, refuses_a_chain_whose_digest_differs) {
  note_store store;
  const auto outcome = store.offer_chain({note_of(sample_document())}, 7);
  EXPECT_EQ(outcome.result, verdict::invalid);
  EXPECT_EQ(store.version(), 0U);
}

TEST(store, reports_a_gap) {
  note_store store;
  store.offer(note_of(sample_document()));
  EXPECT_EQ(store.offer(increment(4, 70)).result, verdict::gap);
}

TEST(store, brings_another_store_up_to_date) {
  note_store ahead;
  ahead.offer(note_of(sample_document()));
  for (int i = 1; i < 5; ++i)
    ahead.offer(increment(i, 70 + i));
  for (const note_version from : {0U, 1U, 3U}) {
    note_store behind;
    if (from > 0) behind.offer(note_of(sample_document()));
    for (note_version v = 1; v < from; ++v) {
      behind.offer(increment(v, 70 + static_cast<int>(v)));
    }
    behind.offer_chain(ahead.since(behind.version()), ahead.digest());
    EXPECT_EQ(behind.digest(), ahead.digest()) << from;
  }
}

TEST(store, tells_every_version_on_the_way_or_that_some_are_skipped) {
  note_store store;
  store.offer(note_of(sample_document()));
  const auto chained =
      store.offer_chain({increment(1, 70), increment(2, 80)}, std::nullopt);
  EXPECT_EQ(chained.steps.size(), 2U);
  EXPECT_TRUE(chained.gapless);
  nlohmann::json whole = sample_document();
  whole["version"] = 9;
  const auto skipping = store.offer(note_of(whole));
  EXPECT_EQ(skipping.result, verdict::accepted);
  EXPECT_FALSE(skipping.gapless);
}

// Whatever a store is offered, in whatever order, with repetitions, stale
// heads and whole notes between: the version never falls, and the content is
// that of the naive model, which folds all notes up to the highest version
// that it could reach.
RC_GTEST_PROP(store, never_reverts, ()) {
  constexpr int versions = 6;
  std::vector<release_note> increments;
  std::vector<model_ptr> models{
      fold(fleet_model{}, note_of(sample_document())).value()};
  for (int v = 1; v < versions; ++v) {
    increments.push_back(increment(v, 50 + v));
    models.push_back(fold(*models.back(), increments.back()).value());
  }
  note_store store;
  note_version naive = 0;
  const auto offers =
      *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 2 * versions));
  for (const int offer : offers) {
    const bool whole = offer >= versions;
    const int version = offer % versions + 1;
    if (whole || version == 1) {
      store.offer(whole_note(*models[version - 1]));
      naive = std::max<note_version>(naive, version);
    } else {
      store.offer(increments[version - 2]);
      const bool fits = naive == static_cast<note_version>(version) - 1;
      if (fits) naive = version;
    }
    RC_ASSERT(store.version() == naive);
    if (naive > 0) RC_ASSERT(store.digest() == models[naive - 1]->digest);
  }
}

}  // namespace
}  // namespace medlarloft::notes
