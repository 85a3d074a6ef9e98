#include "medlarloft/routes.hpp"

#include <gtest/gtest.h>

#include <map>

namespace medlarloft::routes {
namespace {

route make_route(std::string host, std::string prefix, std::string service) {
  return {.host = std::move(host),
          .prefix = std::move(prefix),
          .split = {{std::move(service), 1.0}}};
}

TEST(route_table, finds_the_longest_prefix_of_the_host) {
  const route_table table({.version = 3,
                           .routes = {make_route("a", "/x/", "short"),
                                      make_route("a", "/x/y/", "long"),
                                      make_route("b", "/x/y/z/", "other")}});
  EXPECT_EQ(table.find("a", "/x/y/z/1")->split[0].service, "long");
  EXPECT_EQ(table.find("a", "/x/z")->split[0].service, "short");
}

TEST(route_table, finds_nothing_for_an_unknown_host_or_path) {
  const route_table table({.routes = {make_route("a", "/x/", "s")}});
  EXPECT_EQ(table.find("b", "/x/1"), nullptr);
  EXPECT_EQ(table.find("a", "/xy/1"), nullptr);
  EXPECT_EQ(table.find("a", "/x"), nullptr);
}

TEST(route_table, ignores_the_port_and_the_query) {
  const route_table table({.routes = {make_route("a", "/x/", "s")}});
  EXPECT_NE(table.find("a:8080", "/x/1"), nullptr);
  EXPECT_EQ(table.find("a", "/y?/x/"), nullptr);
}

TEST(route_table, finds_the_account_that_holds_a_key) {
  const route_table table(
      {.accounts = {{.name = "a", .keys = {"k1", "k2"}},
                    {.name = "b", .keys = {"k3"}, .priority = 2}}});
  EXPECT_EQ(table.find_account("k2")->name, "a");
  EXPECT_EQ(table.find_account("k3")->priority, 2U);
  EXPECT_EQ(table.find_account("k4"), nullptr);
  EXPECT_EQ(table.find_account(""), nullptr);
  EXPECT_TRUE(table.problems().empty());
}

// A mistake of the operators must not take the keys of an account away, nor
// raise its limit.
TEST(route_table, an_account_that_is_named_twice_keeps_its_first_limits) {
  const route_table table(
      {.accounts = {{.name = "a",
                     .keys = {"k1"},
                     .quota = quota_limit{.rate_per_second = 5}},
                    {.name = "a",
                     .keys = {"k2"},
                     .quota = quota_limit{.rate_per_second = 9}}}});
  ASSERT_EQ(table.config().accounts.size(), 1U);
  EXPECT_EQ(table.find_account("k2")->quota->rate_per_second, 5);
  EXPECT_EQ(table.problems().size(), 1U);
}

// Which account a key names must not depend on the order of a hash table.
TEST(route_table, a_key_of_two_accounts_belongs_to_the_first) {
  const route_table table({.accounts = {{.name = "b", .keys = {"k"}},
                                        {.name = "a", .keys = {"k"}}}});
  EXPECT_EQ(table.find_account("k")->name, "b");
  ASSERT_EQ(table.problems().size(), 1U);
  EXPECT_EQ(table.problems()[0].find("\"k\""), std::string::npos);
}

TEST(weighted_round_robin, stays_close_to_the_weights_after_every_request) {
  const std::vector<split_target> split{{"a", 5}, {"b", 3}, {"c", 2}};
  weighted_round_robin balancer;
  std::map<std::string, int> counts;
  for (int i = 1; i <= 1000; ++i) {
    ++counts[balancer.next(split).service];
    for (const split_target& target : split)
      EXPECT_LT(std::abs(counts[target.service] - i * target.weight / 10), 1.5);
  }
}

TEST(weighted_round_robin, is_reset_when_the_weights_change) {
  weighted_round_robin balancer;
  balancer.next({{"a", 9}, {"b", 1}});
  std::map<std::string, int> counts;
  for (int i = 0; i < 100; ++i)
    ++counts[balancer.next({{"a", 1}, {"b", 1}}).service];
  EXPECT_EQ(counts["a"], 50);
}

}  // namespace
}  // namespace medlarloft::routes
