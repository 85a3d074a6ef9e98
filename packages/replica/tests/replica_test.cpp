#include "medlarloft/replica.hpp"

#include <gtest/gtest.h>

#include <rapidcheck.h>
#include <algorithm>
#include <map>

namespace medlarloft::replica {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const time_point start = time_point{} + std::chrono::hours(1);

std::map<std::string, std::string> contents(const store_copy& copy) {
  std::map<std::string, std::string> all;
  for (const change& each : copy.changes_since(0).changes) {
    if (each.value) all[each.key] = *each.value;
  }
  return all;
}

constexpr position at(era in, revision number) {
  return {in, number};
}

// Applies updates to the records in use, as the users of a copy do.
void use(std::map<std::string, std::string>& used,
         const std::vector<update>& updates) {
  for (const update& each : updates) {
    if (each.value) {
      used[each.key] = *each.value;
    } else {
      used.erase(each.key);
    }
  }
}

TEST(position, orders_eras_before_revisions) {
  EXPECT_GT(at(1, 3), at(0, 900));
  EXPECT_GT(at(2, 0), at(1, max_revision));
  EXPECT_GT(at(1, 4), at(1, 3));
}

// Releases without eras send and read plain revisions.
TEST(position, equals_the_revision_in_era_0) {
  EXPECT_EQ(at(0, 77).packed(), 77U);
  EXPECT_EQ(position(77).number(), 77U);
  const position far = at(65535, max_revision);
  EXPECT_EQ(position(far.packed()), far);
  EXPECT_EQ(far.era(), 65535U);
  EXPECT_EQ(far.number(), max_revision);
}

TEST(store_copy, ignores_older_revisions) {
  store_copy copy({});
  copy.apply(start, {{"a", 7, "new"}}, 7);
  EXPECT_TRUE(copy.apply(start, {{"a", 5, "old"}}, 5).empty());
  EXPECT_TRUE(copy.apply(start, {{"a", 6, std::nullopt}}, 6).empty());
  EXPECT_EQ(contents(copy)["a"], "new");
  EXPECT_EQ(copy.last_position(), 7U);
}

TEST(store_copy, applies_a_removal_at_once_by_default) {
  store_copy copy({});
  copy.apply(start, {{"a", 1, "x"}}, 1);
  const auto updates = copy.apply(start, {{"a", 2, std::nullopt}}, 2);
  ASSERT_EQ(updates.size(), 1U);
  EXPECT_FALSE(updates[0].value);
}

TEST(store_copy, delays_removals_after_the_store_was_unreachable) {
  store_copy copy({});
  copy.apply(start, {{"a", 1, "x"}, {"b", 2, "y"}}, 2);
  copy.set_store_state(start, store_state::silent);
  copy.set_store_state(start + seconds(5), store_state::answering);
  EXPECT_TRUE(copy.apply(start + seconds(5),
                         {{"a", 3, std::nullopt}, {"b", 4, std::nullopt}}, 4)
                  .empty());
  EXPECT_TRUE(copy.tick(start + seconds(6)).empty());
  copy.apply(start + seconds(6), {{"a", 5, "x"}}, 5);
  const auto updates = copy.tick(start + seconds(8));
  ASSERT_EQ(updates.size(), 1U);
  EXPECT_EQ(updates[0].key, "b");
}

// A start was taken for the end of an outage, so that a daemon kept the records
// of leafs that left a second longer than others.
TEST(store_copy, the_first_answer_after_a_start_ends_no_outage) {
  store_copy copy({.removal_delay = seconds(1)});
  copy.set_store_state(start, store_state::unknown);
  copy.apply(start, {{"a", 1, "x"}}, 1);
  copy.set_store_state(start, store_state::answering);
  copy.apply(start, {{"a", 2, std::nullopt}}, 2);
  EXPECT_EQ(copy.next_tick(), start + seconds(1));
  EXPECT_EQ(copy.tick(start + seconds(1)).size(), 1U);
}

// A daemon is paused in an outage and knows nothing of the store afterwards,
// until it answers again.
TEST(store_copy, an_outage_lasts_while_the_state_is_unknown) {
  store_copy copy({.removal_delay = seconds(1)});
  copy.apply(start, {{"a", 1, "x"}}, 1);
  copy.set_store_state(start, store_state::silent);
  copy.apply(start, {{"a", 2, std::nullopt}}, 2);
  copy.set_store_state(start, store_state::unknown);
  EXPECT_TRUE(copy.tick(start + seconds(60)).empty());
  copy.set_store_state(start + seconds(60), store_state::answering);
  EXPECT_EQ(copy.next_tick(), start + milliseconds(62500));
}

TEST(store_copy, never_delays_removals_with_the_immediate_prefix) {
  store_copy copy({.immediate_prefix = "ours/"});
  copy.apply(start, {{"ours/z", 1, "{}"}}, 1);
  copy.set_store_state(start, store_state::silent);
  EXPECT_EQ(copy.apply(start, {{"ours/z", 2, std::nullopt}}, 2).size(), 1U);
}

TEST(store_copy, a_listing_removes_missing_records_unless_they_are_newer) {
  store_copy copy({});
  copy.apply(start, {{"a", 1, "x"}, {"b", 9, "y"}}, 9);
  copy.apply_listing(start, {{"c", 3, "z"}}, 5);
  EXPECT_EQ(contents(copy),
            (std::map<std::string, std::string>{{"b", "y"}, {"c", "z"}}));
}

TEST(store_copy, returns_the_changes_that_a_peer_missed_including_removals) {
  store_copy source({});
  source.apply(start, {{"a", 1, "x"}, {"b", 2, "y"}}, 2);
  store_copy peer({});
  peer.apply(start, source.changes_since(0).changes,
             source.changes_since(0).last_position);
  source.apply(start, {{"a", 3, std::nullopt}}, 3);
  const auto missed = source.changes_since(peer.last_position());
  EXPECT_FALSE(missed.listing);
  peer.apply(start, missed.changes, missed.last_position);
  EXPECT_EQ(contents(peer), contents(source));
}

TEST(store_copy, returns_a_listing_once_removals_were_pruned) {
  store_copy copy({.max_tombstones = 1});
  copy.apply(start, {{"a", 1, "x"}, {"b", 2, "y"}, {"c", 3, "z"}}, 3);
  copy.apply(start, {{"a", 4, std::nullopt}, {"b", 5, std::nullopt}}, 5);
  EXPECT_TRUE(copy.changes_since(3).listing);
  EXPECT_FALSE(copy.changes_since(5).listing);
}

// Changes arrive from the store and from peers in any order. The copy must end
// in the same state.
TEST(store_copy, converges_for_any_order_of_changes) {
  EXPECT_TRUE(
      rc::check([](const std::vector<std::pair<std::uint8_t, bool>>& steps,
                   std::uint64_t order) {
        std::vector<change> history;
        std::map<std::string, std::string> model;
        for (const auto& [key, has_value] : steps) {
          const revision number = history.size() + 1;
          const std::string name(1, static_cast<char>('a' + key % 4));
          const std::string value = std::to_string(number);
          history.push_back(
              {name, number, has_value ? std::optional(value) : std::nullopt});
          if (has_value) {
            model[name] = value;
          } else {
            model.erase(name);
          }
        }
        store_copy copy({});
        std::vector<change> shuffled = history;
        random_generator random(order);
        std::ranges::shuffle(shuffled, random);
        for (const change& each : shuffled)
          copy.apply(start, {each}, each.changed_at);
        RC_ASSERT(contents(copy) == model);
      }));
}

// A copy that lists the store again, since the history it needs is gone, knows
// nothing of records that came and went meanwhile. A peer that holds such a
// record kept it for good, as the changes sent to it don't include its removal.
TEST(store_copy, a_listed_copy_gives_peers_in_between_a_full_listing) {
  store_copy listed({});
  listed.apply(start, {{"a", 1, "x"}}, 1);
  store_copy peer({});
  peer.apply(start, {{"a", 1, "x"}, {"b", 2, "y"}}, 2);
  // "b" was removed at revision 3.
  listed.apply_listing(start, {{"a", 1, "x"}, {"c", 4, "z"}}, 4);
  const store_copy::delta sent = listed.changes_since(peer.last_position());
  ASSERT_TRUE(sent.listing);
  peer.apply_listing(start, sent.changes, sent.last_position);
  EXPECT_EQ(contents(peer), contents(listed));
}

// A record written after the copy from which the store was restored is missing
// then, although its owner is alive and writes it again.
TEST(store_copy, uses_records_that_a_new_era_lacks_for_a_while) {
  store_copy copy({});
  copy.apply(start, {{"a", 1, "x"}, {"b", 2, "y"}, {"c", 3, "z"}}, 3);
  EXPECT_TRUE(
      copy.apply_listing(start, {{"a", at(1, 1), "x"}}, at(1, 1)).empty());
  EXPECT_TRUE(copy.tick(start + milliseconds(2499)).empty());
  EXPECT_TRUE(
      copy.apply(start + seconds(1), {{"b", at(1, 2), "y"}}, at(1, 2)).size() ==
      1);
  EXPECT_EQ(copy.next_tick(), start + milliseconds(2500));
  const auto updates = copy.tick(start + milliseconds(2500));
  ASSERT_EQ(updates.size(), 1U);
  EXPECT_EQ(updates[0].key, "c");
  EXPECT_FALSE(updates[0].value);
}

// A second restore begins before what the first one lost is written again.
TEST(store_copy, a_further_restore_prolongs_the_use_of_lost_records) {
  store_copy copy({});
  copy.apply(start, {{"a", 1, "x"}}, 1);
  copy.apply_listing(start, {}, at(1, 1));
  copy.apply_listing(start + seconds(2), {}, at(2, 1));
  EXPECT_TRUE(copy.tick(start + seconds(4)).empty());
  EXPECT_TRUE(
      copy.apply_listing(start + seconds(4), {{"a", at(3, 1), "x"}}, at(3, 1))
          .empty());
  EXPECT_TRUE(copy.tick(start + seconds(60)).empty());
}

// A data centre was taken out shortly before the restore. Its record was
// dropped before the operators had written it again, and its leafs got
// requests.
TEST(store_copy, lost_records_of_operators_stay_longer_than_those_of_leafs) {
  store_copy copy({.immediate_prefix = "op/"});
  copy.apply(start, {{"op/a", 1, "x"}, {"leaf", 2, "y"}}, 2);
  copy.apply_listing(start, {}, at(1, 1));
  const auto removed = copy.tick(start + seconds(3));
  ASSERT_EQ(removed.size(), 1U);
  EXPECT_EQ(removed[0].key, "leaf");
  EXPECT_TRUE(copy.tick(start + milliseconds(4999)).empty());
  EXPECT_EQ(copy.tick(start + seconds(5)).size(), 1U);
}

// A leaf left shortly before the restore, so that the restored store names it.
TEST(store_copy, a_removed_record_of_a_new_era_stays_removed_for_a_while) {
  store_copy copy({.removal_delay = seconds(1)});
  copy.apply(start, {{"a", 1, "x"}, {"b", 2, "y"}, {"c", 3, "z"}}, 3);
  copy.apply(start, {{"a", 4, std::nullopt}, {"b", 5, std::nullopt}}, 5);
  EXPECT_EQ(copy.tick(start + seconds(1)).size(), 2U);
  copy.apply(start + seconds(1), {{"c", 6, std::nullopt}}, 6);
  const time_point listed = start + milliseconds(1500);
  const std::vector<change> listing{
      {"a", at(1, 1), "x"}, {"b", at(1, 2), "y"}, {"c", at(1, 3), "z"}};
  EXPECT_TRUE(copy.apply_listing(listed, listing, at(1, 3)).empty());
  // The removal of "c" takes its course.
  EXPECT_EQ(copy.tick(start + seconds(2)).size(), 1U);
  // Listed again within the era, for example by another daemon.
  EXPECT_TRUE(copy.apply_listing(listed, listing, at(1, 4)).empty());
  EXPECT_EQ(copy.apply(listed, {{"a", at(1, 5), "x"}}, at(1, 5)).size(), 1U);
  EXPECT_TRUE(
      copy.apply(listed, {{"c", at(1, 6), std::nullopt}}, at(1, 6)).empty());
  EXPECT_EQ(copy.next_tick(), listed + seconds(4));
  EXPECT_TRUE(copy.tick(listed + milliseconds(3999)).empty());
  const auto updates = copy.tick(listed + seconds(4));
  ASSERT_EQ(updates.size(), 1U);
  EXPECT_EQ(updates[0].key, "b");
  EXPECT_EQ(updates[0].value, "y");
}

// The listing's first page was read before "a" was written in the new era.
TEST(store_copy, a_record_written_within_the_listing_is_used_at_once) {
  store_copy copy({});
  copy.apply(start, {{"a", 1, "x"}}, 1);
  copy.apply(start, {{"a", 2, std::nullopt}}, 2);
  EXPECT_EQ(
      copy.apply_listing(start, {{"a", at(1, 2), "new"}}, at(1, 1)).size(), 1U);
}

// Some records state times as of when they were written, such as how long a
// leaf stays cold: they must not be read again.
TEST(store_copy, reports_only_what_a_new_era_changes) {
  store_copy copy({});
  copy.apply(start, {{"a", 1, "x"}, {"b", 2, "y"}}, 2);
  const auto updates = copy.apply_listing(
      start, {{"a", at(1, 1), "x"}, {"b", at(1, 2), "older"}}, at(1, 2));
  ASSERT_EQ(updates.size(), 1U);
  EXPECT_EQ(updates[0].key, "b");
}

// Daemons notice a restore at different times.
TEST(store_copy, ignores_what_belongs_to_another_era) {
  store_copy copy({});
  copy.apply_listing(start, {{"a", at(1, 1), "x"}}, at(1, 5));
  EXPECT_TRUE(copy.apply(start, {{"a", 900, "old"}}, 900).empty());
  EXPECT_TRUE(copy.apply_listing(start, {{"b", 901, "old"}}, 901).empty());
  EXPECT_TRUE(copy.apply(start, {{"a", at(2, 9), "new"}}, at(2, 9)).empty());
  EXPECT_EQ(copy.last_position(), at(1, 5));
}

TEST(store_copy, gives_peers_of_an_earlier_era_a_full_listing) {
  store_copy copy({});
  copy.apply(start, {{"a", 1, "x"}, {"b", 8, "y"}}, 8);
  copy.apply_listing(start, {{"a", at(1, 1), "x"}}, at(1, 1));
  const auto delta = copy.changes_since(8);
  EXPECT_TRUE(delta.listing);
  EXPECT_EQ(delta.changes, (std::vector<change>{{"a", at(1, 1), "x"}}));
}

// A store that is written to, loses records and is restored from older copies,
// and daemons that read it, late at times, and send each other changes.
class restored_store {
 public:
  using records = std::map<std::string, std::string>;
  /// What the store or a daemon sends; it may arrive at any later time.
  struct sent {
    position since;
    store_copy::delta delta;
  };
  struct daemon {
    store_copy copy{{.removal_delay = seconds(1), .max_tombstones = 2}};
    records used;
  };

  void write(const std::string& key, std::optional<std::string> value) {
    log_.push_back({key, last().number() + 1, std::move(value)});
    states_[last()] = current();
  }
  void restore(std::size_t lost_writes) {
    log_.resize(log_.size() - std::min(lost_writes, log_.size()));
    ++era_;
    states_[last()] = current();
  }
  position last() const {
    return {era_, 1 + static_cast<revision>(log_.size())};
  }
  records current() const {
    records all;
    for (const change& each : log_) {
      if (each.value) {
        all[each.key] = *each.value;
      } else {
        all.erase(each.key);
      }
    }
    return all;
  }
  const records& state_at(position where) { return states_[where]; }
  sent answer(position known) const {
    const bool listing = known.number() == 0 || known.era() != era_;
    sent made{known, {.last_position = last(), .listing = listing}};
    std::map<std::string, change> changed;
    for (change each : log_) {
      if (!listing && each.changed_at <= known.number()) continue;
      each.changed_at = {era_, each.changed_at.number()};
      changed[each.key] = each;
    }
    for (const auto& [key, each] : changed)
      if (!listing || each.value) made.delta.changes.push_back(each);
    return made;
  }
  static void receive(time_point now, daemon& to, const sent& message) {
    const auto& [since, delta] = message;
    const position held = to.copy.last_position();
    if (delta.last_position <= held) return;
    if (delta.listing) {
      use(to.used,
          to.copy.apply_listing(now, delta.changes, delta.last_position));
    } else if (since <= held && since.era() == held.era()) {
      use(to.used, to.copy.apply(now, delta.changes, delta.last_position));
    }
  }

 private:
  era era_ = 0;
  std::vector<change> log_;
  std::map<position, records> states_{{position{0, 1}, {}}};
};

// A copy that mixes eras differs from any state of the store, or never becomes
// equal to the store again.
TEST(store_copy, follows_the_store_through_any_order_of_restores) {
  EXPECT_TRUE(rc::check([](const std::vector<std::uint16_t>& steps) {
    restored_store store;
    std::vector<restored_store::daemon> daemons(3);
    std::vector<restored_store::sent> messages;
    time_point now = start;
    for (const std::uint16_t step : steps) {
      const unsigned choice = step / 64U;
      restored_store::daemon& daemon = daemons[choice % daemons.size()];
      const std::string key(1, static_cast<char>('a' + choice % 4));
      const position held = daemon.copy.last_position();
      const auto& other = daemons[choice / 3 % daemons.size()].copy;
      switch (step % 8) {
        case 0:
        case 1:
          store.write(key, std::to_string(choice % 5));
          break;
        case 2:
          store.write(key, std::nullopt);
          break;
        case 3:
          store.restore(choice % 6);
          break;
        case 4:
          messages.push_back(store.answer(held));
          break;
        case 5:
          messages.push_back({held, other.changes_since(held)});
          break;
        case 6:
          if (messages.empty()) break;
          restored_store::receive(now, daemon,
                                  messages[choice % messages.size()]);
          break;
        default:
          now += milliseconds(choice);
          use(daemon.used, daemon.copy.tick(now));
      }
      RC_ASSERT(daemon.copy.last_position() >= held);
      if (daemon.copy.last_position() > position{}) {
        RC_ASSERT(contents(daemon.copy) ==
                  store.state_at(daemon.copy.last_position()));
      }
    }
    for (restored_store::daemon& daemon : daemons) {
      restored_store::receive(now, daemon,
                              store.answer(daemon.copy.last_position()));
      use(daemon.used, daemon.copy.tick(now + seconds(5)));
      RC_ASSERT(daemon.used == store.current());
    }
  }));
}

}  // namespace
}  // namespace medlarloft::replica
