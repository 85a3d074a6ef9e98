/// Prints the figures of docs/design/leaf-choice.md: for each rule the
/// overloads, the part of the leafs that idle meanwhile, the ratio of the
/// highest load to the mean, the mean and 99th percentile of the response times
/// in work times, and the part of the requests that were refused.

#include <cstdio>

#include "load_model_rules.hpp"

using namespace medlarloft::leafs::testing;
using std::chrono::milliseconds;

namespace {

void print(std::string_view name, const model_result& result) {
  std::printf("%-22.*s %5.1f%% %5.2f %5.2f %6.2f %6.1f %6.3f\n",
              static_cast<int>(name.size()), name.data(),
              100 * result.overloads, result.idle, result.peak_ratio,
              result.mean_time, result.p99_time, result.refused);
}

}  // namespace

int main() {
  for (const std::size_t daemons : {1, 10, 100, 300}) {
    for (const int age : {0, 10, 50, 200, 1000}) {
      std::printf("\n%zu daemons, 12 leafs of 4 slots, age %d ms\n", daemons,
                  age);
      for (const candidate_rule& rule : rules) {
        print(rule.name, mean_of([&](std::uint64_t seed) {
                return run_rule(
                    rule, {.daemons = daemons, .uneven = true, .seed = seed},
                    milliseconds(age));
              }));
      }
    }
  }
  for (const auto& [name, service] :
       {std::pair("searches", searches), std::pair("lookups", lookups),
        std::pair("12 leafs of 4 slots", model_options{.uneven = true}),
        std::pair("even, 12 of 4", model_options{})}) {
    for (const std::size_t daemons : {8, 30, 100, 300}) {
      for (const std::size_t capacity : {1'000'000, 4}) {
        model_options options = service;
        options.queue_capacity = capacity;
        std::printf("\n%s, %zu daemons, queue of %zu\n", name, daemons,
                    capacity);
        print("not competing", run_daemons(options, daemons, false));
        print("competing", run_daemons(options, daemons, true));
      }
    }
  }
  for (const auto& [name, service] :
       {std::pair("searches", searches), std::pair("lookups", lookups)}) {
    for (const std::size_t capacity : {1'000'000, 4}) {
      model_options options = service;
      options.queue_capacity = capacity;
      std::printf("\n%s, 8 large daemons of 110, queue of %zu\n", name,
                  capacity);
      print("not competing",
            run_fleet(options, 8, {.daemons = 110, .fraction = 1}));
      print("competing",
            run_fleet(options, 8, {.daemons = 110, .fraction = 0.04}));
    }
  }
}
