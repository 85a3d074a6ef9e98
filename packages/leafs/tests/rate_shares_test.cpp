#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "medlarloft/leafs.hpp"

namespace medlarloft::leafs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const time_point start = time_point{} + std::chrono::hours(1);
constexpr duration step = milliseconds(50);
const duration handover_delay = leaf_set::options{}.handover_delay;

leaf_registration cold_leaf() {
  return {.id = "a",
          .service = "s",
          .address = {"10.0.0.1", 80},
          .data_centre = "near",
          .slots = 4,
          .cold_time_left = std::chrono::hours(1)};
}

service_limits cold_limits(double rate) {
  return {.max_connections = 1000, .cold_rate_limit = rate};
}

/// What a daemon that knows `members` may use; the order of the daemons is that
/// of their numbers.
daemon_quota quota_of(std::size_t self, const std::set<std::size_t>& members) {
  const auto index = static_cast<std::size_t>(
      std::distance(members.begin(), members.lower_bound(self)));
  std::uint64_t version = 0;
  for (const std::size_t member : members)
    version |= std::uint64_t{1} << member;
  return {.fraction = 1.0 / static_cast<double>(members.size()),
          .rate_fraction = 1.0 / static_cast<double>(members.size()),
          .daemons = members.size(),
          .daemon_index = [index](std::string_view) { return index; },
          .members_version = version};
}

/// Sends a request if the leaf may get one.
bool send_one(leaf_set& set, time_point now) {
  const auto picked = set.pick(now, "s", "w");
  if (!picked) return false;
  set.on_attempt_sent(now, picked.value(), 1, "w");
  set.on_attempt_ended(now, picked.value(), 1, attempt_outcome::answered);
  return true;
}

/// Sends whenever possible; returns how often.
int send_all(leaf_set& set, time_point from, duration length) {
  int sent = 0;
  for (time_point now = from; now < from + length; now += step)
    sent += send_one(set, now) ? 1 : 0;
  return sent;
}

// After a restart of everything the records arrive before the daemon knows any
// other one. Each daemon took the whole rate for as long as the leaf was cold.
TEST(rate_shares, a_daemon_that_has_just_started_sends_nothing_to_a_cold_leaf) {
  leaf_set set({.local_data_centre = "near"}, 7);
  set.set_quota(start, quota_of(0, {0}));
  set.set_limits(start, "s", cold_limits(20));
  set.put(start, cold_leaf());
  set.set_quota(start + seconds(1), quota_of(0, {0, 1, 2, 3, 4, 5, 6}));
  EXPECT_EQ(send_all(set, start, seconds(2)), 0);
  const time_point settled = start + seconds(1) + handover_delay;
  set.set_quota(settled, quota_of(0, {0, 1, 2, 3, 4, 5, 6}));
  // A fifth of the rate.
  EXPECT_NEAR(send_all(set, settled, seconds(5)), 20, 1);
}

// A change of the configuration refilled the token bucket from a time of zero
// on a copy only, so that the leaf got nothing for as long as it was cold.
TEST(rate_shares, a_cold_leaf_gets_requests_after_a_new_configuration) {
  leaf_set set({.local_data_centre = "near"}, 7);
  set.set_limits(start, "s", cold_limits(10));
  set.put(start, cold_leaf());
  set.set_limits(start + seconds(1), "s", cold_limits(20));
  EXPECT_NEAR(send_all(set, start + seconds(1), seconds(5)), 100, 2);
}

// The part of a stated limit was computed when the leaf stated it. A leaf that
// responds rarely kept the part of an earlier, smaller fleet.
TEST(rate_shares, the_part_of_a_stated_limit_follows_the_members) {
  leaf_set set({.local_data_centre = "near"}, 7);
  set.set_quota(start - seconds(10), quota_of(0, {0}));
  set.set_limits(start, "s", {.max_connections = 40});
  leaf_registration warm = cold_leaf();
  warm.cold_time_left = {};
  const leaf_handle leaf = set.put(start, warm);
  set.on_report(start, leaf, start, {.rate_limit = 10});
  set.set_quota(start, quota_of(0, {0, 1, 2, 3, 4, 5, 6, 7, 8, 9}));
  EXPECT_LE(send_all(set, start, seconds(10)), 11);
}

/// Daemons that start and stop, and learn of each other late.
class changing_fleet {
 public:
  static constexpr std::size_t size = 9;

  explicit changing_fleet(double rate) : rate_(rate) {
    for (std::size_t i = 0; i < size; ++i)
      restart(i);
    // Long since known to each other.
    for (std::size_t i = 0; i < size; ++i)
      daemons_[i].started_at = start - seconds(60);
    run_for(handover_delay);
    sends_.clear();
  }

  /// The daemon stops or starts.
  void toggle(std::size_t i) {
    if (!daemons_[i].leafs) {
      restart(i);
    } else if (members_.size() > 1) {
      daemons_[i].leafs.reset();
      members_.erase(i);
    }
    on_change();
  }

  void restart(std::size_t i) {
    daemons_[i].leafs = std::make_unique<leaf_set>(
        leaf_set::options{.local_data_centre = "near"}, i);
    daemons_[i].started_at = now_;
    members_.insert(i);
    daemons_[i].leafs->set_quota(now_, quota_of(i, {i}));
    daemons_[i].leafs->set_limits(now_, "s", cold_limits(rate_));
    daemons_[i].leafs->put(now_, cold_leaf());
    on_change();
  }

  void set_news_delay(std::size_t i, duration delay) {
    daemons_[i].news_delay = delay;
    on_change();
  }

  void configure(std::size_t i) {
    if (daemons_[i].leafs)
      daemons_[i].leafs->set_limits(now_, "s", cold_limits(rate_));
  }

  void rewrite_record(std::size_t i) {
    if (daemons_[i].leafs) daemons_[i].leafs->put(now_, cold_leaf());
  }

  /// Each daemon always has requests.
  void run_for(duration length) {
    const time_point end = now_ + length;
    for (; now_ < end; now_ += step) {
      history_.emplace_back(now_, members_);
      for (std::size_t i = 0; i < size; ++i) {
        if (!daemons_[i].leafs) continue;
        daemons_[i].leafs->set_quota(now_, quota_of(i, view_of(i)));
        if (send_one(*daemons_[i].leafs, now_)) sends_.push_back(now_);
      }
      const time_point last = sends_.empty() ? start : sends_.back();
      longest_pause_ =
          std::max(longest_pause_, now_ - std::max(last, changed_at_));
    }
  }

  std::size_t most_in_a_second() const {
    std::size_t most = 0;
    for (auto first = sends_.begin(); first != sends_.end(); ++first) {
      const auto last =
          std::ranges::lower_bound(first, sends_.end(), *first + seconds(1));
      most = std::max(most, static_cast<std::size_t>(last - first));
    }
    return most;
  }
  /// Without a request, and without a change of the members.
  duration longest_pause() const { return longest_pause_; }

 private:
  struct daemon {
    std::unique_ptr<leaf_set> leafs;
    time_point started_at;
    /// How late the daemon learns who is a member.
    duration news_delay{};
  };

  void on_change() { changed_at_ = now_; }

  std::set<std::size_t> view_of(std::size_t i) const {
    const time_point as_of = now_ - daemons_[i].news_delay;
    if (as_of < daemons_[i].started_at) return {i};
    std::set<std::size_t> known = members_;
    for (const auto& [time, members] : history_)
      if (time <= as_of) known = members;
    known.insert(i);
    return known;
  }

  double rate_;
  time_point now_ = start;
  std::vector<daemon> daemons_{size};
  std::set<std::size_t> members_;
  std::vector<std::pair<time_point, std::set<std::size_t>>> history_;
  std::vector<time_point> sends_;
  time_point changed_at_ = start;
  duration longest_pause_{};
};

// In whatever order daemons start, stop and restart all together,
// configurations and records arrive: all daemons together never send a cold
// leaf more than the users allow in a second, and it is not left out for longer
// than the handover delay and one token.
TEST(rate_shares, the_shares_of_all_daemons_never_exceed_a_rate) {
  EXPECT_TRUE(rc::check([] {
    const auto rate = *rc::gen::inRange(4, 40);
    changing_fleet fleet(rate);
    const auto steps = *rc::gen::inRange(0, 25);
    for (int i = 0; i < steps; ++i) {
      const auto daemon = *rc::gen::inRange<std::size_t>(0, fleet.size);
      switch (*rc::gen::inRange(0, 6)) {
        case 0:
        case 1:
          fleet.toggle(daemon);
          break;
        case 2:
          for (std::size_t each = 0; each < fleet.size; ++each)
            fleet.restart(each);
          break;
        case 3:
          fleet.set_news_delay(
              daemon,
              *rc::gen::inRange(0, static_cast<int>(handover_delay / step)) *
                  step);
          break;
        case 4:
          fleet.configure(daemon);
          break;
        default:
          fleet.rewrite_record(daemon);
      }
      fleet.run_for(*rc::gen::inRange(0, 60) * step);
    }
    fleet.run_for(2 * handover_delay);
    RC_ASSERT(static_cast<double>(fleet.most_in_a_second()) <= 1.5 * rate + 5);
    const duration token = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(5.0 / rate));
    // The news of a change and the handover take a delay each.
    RC_ASSERT(fleet.longest_pause() <= 2 * handover_delay + token + 2 * step);
  }));
}

}  // namespace
}  // namespace medlarloft::leafs
