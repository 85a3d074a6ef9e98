#include "replica_choice.hpp"

#include <gtest/gtest.h>

#include <map>

namespace medlarloft::server {
namespace {

using namespace std::chrono_literals;

const time_point start_time{100s};

// Two data centres with two daemons each; one shard with a replica in each.
class one_shard : public testing::Test {
 protected:
  one_shard() {
    auto model = std::make_shared<notes::fleet_model>();
    model->version = 1;
    model->data_centres = {{.id = "a"}, {.id = "b"}};
    model->daemons = {{.id = "d0", .data_centre = "a"},
                      {.id = "d1", .data_centre = "a"},
                      {.id = "d2", .data_centre = "b"},
                      {.id = "d3", .data_centre = "b"}};
    model->leafs = {
        {.id = "near", .data_centre = "a", .slots = 4, .connections = 9},
        {.id = "other", .data_centre = "b", .slots = 4, .connections = 9}};
    shard_.leafs = {0, 1};
    model_ = model;
    current_.model = model;
    current_.homes = std::make_shared<placement::home_table>(*model);
    current_.status.resize(4);
    current_.self = 0;
  }

  // Picks many times; counts by leaf id.
  std::map<std::string, int> picks(const query::tried_routes& tried = {}) {
    std::map<std::string, int> counts;
    for (int i = 0; i < 200; ++i) {
      const auto chosen = choice_.pick(start_time, current_, shard_, tried);
      ++counts[chosen ? model_->leafs[chosen->leaf].id : "none"];
    }
    return counts;
  }

  std::shared_ptr<notes::fleet_model> model_;
  view current_;
  notes::shard shard_;
  replica_choice choice_{{}, 1};
};

TEST_F(one_shard, takes_the_near_replica) {
  EXPECT_EQ(picks()["near"], 200);
}

TEST_F(one_shard, takes_the_far_one_when_the_near_is_out_or_leaves) {
  model_->data_centres[0].out = true;
  EXPECT_EQ(picks()["other"], 200);
  model_->data_centres[0].out = false;
  model_->leafs[0].leaving = true;
  EXPECT_EQ(picks()["other"], 200);
  model_->leafs[0].leaving = false;
  current_.leaving_hosts = {"near"};
  EXPECT_EQ(picks()["other"], 200);
}

TEST_F(one_shard, takes_the_far_one_when_the_near_is_slow) {
  for (int i = 0; i < 60; ++i) {
    for (const notes::daemon_index relay : {0U, 1U}) {
      choice_.sent(current_, {0, relay});
      choice_.ended(start_time, current_, {0, relay}, std::nullopt, 90ms);
    }
  }
  EXPECT_EQ(picks()["other"], 200);
}

TEST_F(one_shard, avoids_for_a_while_what_lost_a_request) {
  for (const notes::daemon_index relay : {0U, 1U}) {
    choice_.sent(current_, {0, relay});
    choice_.ended(start_time, current_, {0, relay}, query::failure::lost, {});
  }
  EXPECT_EQ(picks()["other"], 200);
  const auto later = choice_.pick(start_time + 1s, current_, shard_, {});
  EXPECT_EQ(later->leaf, 0U);
}

TEST_F(one_shard, uses_no_relay_that_is_gone) {
  current_.status[1].alive = false;
  for (int i = 0; i < 50; ++i) {
    const auto chosen = choice_.pick(start_time, current_, shard_, {});
    EXPECT_EQ(chosen->relay, 0U);
  }
}

TEST_F(one_shard, gives_nothing_when_everything_was_tried) {
  EXPECT_EQ(picks({.leafs = {0, 1}})["none"], 200);
  EXPECT_EQ(picks({.leafs = {1}, .refused = {{0, 0}, {0, 1}}})["none"], 200);
}

}  // namespace
}  // namespace medlarloft::server
