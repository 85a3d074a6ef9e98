#include <gtest/gtest.h>

#include "simulated_fleet.hpp"

namespace medlarloft::tier {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::simulated_fleet;

constexpr std::size_t daemons = 110;
constexpr std::uint64_t seeds = 3;
constexpr duration restart_within = milliseconds(500);
/// The links of the slowest hosts, in bytes per second.
constexpr double link_rate = 14e6 / 8;

/// A fleet whose processes all start within half a second, while the store
/// answers.
simulated_fleet restarted_fleet(std::uint64_t seed,
                                std::size_t configuration_bytes) {
  return simulated_fleet(
      {.daemons = daemons,
       .data_centres = 4,
       .limits = {.leaf_leaves = seconds(5), .configuration = seconds(5)},
       .seed = seed,
       .heartbeat_rate = 250,
       .link_rate = link_rate,
       .configuration_bytes = configuration_bytes,
       .registered_leafs = 300,
       .registration_bytes = 250,
       .restart_within = restart_within});
}

// The seeds sent the listing to all daemons at once: many got it too late and
// read the store themselves, up to 221 calls in 8 s.
TEST(restart_of_all, all_daemons_are_configured_within_two_seconds) {
  constexpr std::uint64_t max_store_calls = 130;
  for (const std::size_t bytes : {7'000U, 60'000U, 250'000U}) {
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
      SCOPED_TRACE(std::to_string(bytes) + " seed " + std::to_string(seed));
      simulated_fleet fleet = restarted_fleet(seed, bytes);
      fleet.run_for(seconds(2));
      for (std::size_t i = 0; i < daemons; ++i)
        EXPECT_TRUE(fleet.configured_at(i).has_value()) << "daemon " << i;
      fleet.run_for(seconds(6));
      EXPECT_LE(fleet.store_calls(), max_store_calls);
    }
  }
}

// A seed sent up to 30 MB in these 8 s, 17 s of its link.
TEST(restart_of_all, no_daemon_sends_more_than_its_link_carries) {
  constexpr double max_link_time_s = 4;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    SCOPED_TRACE(seed);
    simulated_fleet fleet = restarted_fleet(seed, 250'000);
    fleet.run_for(seconds(8));
    EXPECT_LE(static_cast<double>(fleet.most_note_bytes()) / link_rate,
              max_link_time_s);
  }
}

// Listings are requested instead of being part of the join response: one more
// round trip, but one copy on the link instead of three.
TEST(restart_of_all, a_daemon_that_starts_alone_is_configured_at_once) {
  constexpr std::size_t restarted = 50;
  constexpr duration bound = milliseconds(400);
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    SCOPED_TRACE(seed);
    simulated_fleet fleet = restarted_fleet(seed, 250'000);
    fleet.run_for(seconds(10));
    const time_point begin = fleet.now();
    fleet.restart(restarted);
    fleet.run_for(seconds(2));
    const auto configured = fleet.configured_at(restarted);
    ASSERT_TRUE(configured);
    EXPECT_LE(*configured - begin, bound)
        << std::chrono::duration<double>(*configured - begin).count();
  }
}

}  // namespace
}  // namespace medlarloft::tier
