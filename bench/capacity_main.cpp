/// Prints every slope of docs/CAPACITY.md, as JSON or as plain lines.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <malloc.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <limits>
#include <nlohmann/json.hpp>
#include <numeric>

#include "capacity.hpp"

ABSL_FLAG(std::uint64_t, most_daemons, 5000,
          "largest membership; 5000 need about 7 GB");
ABSL_FLAG(bool, plain, false, "one line for each figure in place of JSON");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the random choices");

namespace medlarloft::bench {

void add(std::vector<slope>& slopes, const std::string& name,
         const std::string& unit, double size, double value) {
  auto found = std::ranges::find(slopes, name, &slope::name);
  if (found == slopes.end()) {
    slopes.push_back({name, unit, {}, {}});
    found = std::prev(slopes.end());
  }
  found->sizes.push_back(size);
  found->values.push_back(value);
}

fit fit_line(const slope& measured) {
  const auto count = static_cast<double>(measured.sizes.size());
  const double mean_size =
      std::accumulate(measured.sizes.begin(), measured.sizes.end(), 0.0) /
      count;
  const double mean_value =
      std::accumulate(measured.values.begin(), measured.values.end(), 0.0) /
      count;
  double products = 0;
  double squares = 0;
  for (std::size_t i = 0; i < measured.sizes.size(); ++i) {
    const double dx = measured.sizes[i] - mean_size;
    products += dx * (measured.values[i] - mean_value);
    squares += dx * dx;
  }
  fit line;
  line.per_unit = squares > 0 ? products / squares : 0;
  line.constant = mean_value - line.per_unit * mean_size;
  const double largest = measured.values.back();
  for (std::size_t i = 0; i < measured.sizes.size(); ++i) {
    const double expected = line.constant + line.per_unit * measured.sizes[i];
    line.spread = std::max(line.spread,
                           std::abs(measured.values[i] - expected) / largest);
  }
  return line;
}

double shortest_run(int runs, const std::function<void()>& work) {
  double best = std::numeric_limits<double>::max();
  for (int i = 0; i < runs; ++i) {
    const time_point began = steady_clock::now();
    work();
    const auto took =
        std::chrono::duration<double, std::nano>(steady_clock::now() - began);
    best = std::min(best, took.count());
  }
  return best;
}

std::size_t allocated_bytes() {
  return mallinfo2().uordblks;
}

}  // namespace medlarloft::bench

int main(int argc, char** argv) {
  using namespace medlarloft::bench;
  absl::SetProgramUsageMessage("Measures the slopes of docs/CAPACITY.md.");
  absl::ParseCommandLine(argc, argv);
  std::vector<slope> slopes;
  measure_notes(slopes);
  measure_placement(slopes);
  measure_queries(slopes);
  measure_codecs(slopes);
  measure_membership({.most_daemons = absl::GetFlag(FLAGS_most_daemons),
                      .seed = absl::GetFlag(FLAGS_seed)},
                     slopes);
  nlohmann::json all = nlohmann::json::array();
  for (const slope& one : slopes) {
    const fit line = fit_line(one);
    if (absl::GetFlag(FLAGS_plain)) {
      std::printf("%s %.4g %.4g %s\n", one.name.c_str(), one.values.back(),
                  line.per_unit, one.unit.c_str());
      continue;
    }
    all.push_back({{"name", one.name},
                   {"unit", one.unit},
                   {"sizes", one.sizes},
                   {"values", one.values},
                   {"slope", line.per_unit},
                   {"constant", line.constant},
                   {"spread", line.spread}});
  }
  if (!absl::GetFlag(FLAGS_plain)) std::printf("%s\n", all.dump(2).c_str());
  return 0;
}
