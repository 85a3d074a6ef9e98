#include "medlarloft/routes.hpp"

#include <gtest/gtest.h>

#include <map>

namespace medlarloft::routes {
namespace {

route plain(std::string host, std::string prefix, std::string service) {
  return {.host = std::move(host),
          .prefix = std::move(prefix),
          .split = {{std::move(service), 1.0}}};
}

TEST(route_table, takes_the_longest_prefix_of_the_host) {
  const route_table table(
      {.version = 3,
       .routes = {plain("a", "/x/", "short"), plain("a", "/x/y/", "long"),
                  plain("b", "/x/y/z/", "other")}});
  EXPECT_EQ(table.find("a", "/x/y/z/1")->split[0].service, "long");
  EXPECT_EQ(table.find("a", "/x/z")->split[0].service, "short");
}

TEST(route_table, finds_nothing_for_an_unknown_host_or_path) {
  const route_table table({.routes = {plain("a", "/x/", "s")}});
  EXPECT_EQ(table.find("b", "/x/1"), nullptr);
  EXPECT_EQ(table.find("a", "/xy/1"), nullptr);
  EXPECT_EQ(table.find("a", "/x"), nullptr);
}

TEST(route_table, ignores_the_port_and_the_query) {
  const route_table table({.routes = {plain("a", "/x/", "s")}});
  EXPECT_NE(table.find("a:8080", "/x/1"), nullptr);
  EXPECT_EQ(table.find("a", "/y?/x/"), nullptr);
}

TEST(weighted_round_robin, keeps_the_shares_at_every_length) {
  const std::vector<split_target> split{{"a", 5}, {"b", 3}, {"c", 2}};
  weighted_round_robin chooser;
  std::map<std::string, int> seen;
  for (int i = 1; i <= 1000; ++i) {
    ++seen[chooser.next(split).service];
    for (const split_target& part : split)
      EXPECT_LT(std::abs(seen[part.service] - i * part.weight / 10), 1.5);
  }
}

TEST(weighted_round_robin, starts_anew_when_the_weights_change) {
  weighted_round_robin chooser;
  chooser.next({{"a", 9}, {"b", 1}});
  std::map<std::string, int> seen;
  for (int i = 0; i < 100; ++i)
    ++seen[chooser.next({{"a", 1}, {"b", 1}}).service];
  EXPECT_EQ(seen["a"], 50);
}

}  // namespace
}  // namespace medlarloft::routes
