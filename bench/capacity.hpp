#pragma once

/// Slopes for docs/CAPACITY.md: costs measured at several sizes.

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "medlarloft/base.hpp"

namespace medlarloft::bench {

/// One cost over sizes; `per_unit` is the least-squares slope.
struct slope {
  std::string name;
  std::string unit;
  std::vector<double> sizes;
  std::vector<double> values;
};

/// Adds one value to the slope of that name, which is made on first use.
void add(std::vector<slope>& slopes, const std::string& name,
         const std::string& unit, double size, double value);

struct fit {
  double per_unit = 0;
  double constant = 0;
  /// Greatest distance of a value from the line, as a share of the value at
  /// the largest size.
  double spread = 0;
};
fit fit_line(const slope& measured);

/// Returns the shortest of several runs, in nanoseconds.
double shortest_run(int runs, const std::function<void()>& work);

/// Bytes that are allocated now.
std::size_t allocated_bytes();

struct capacity_options {
  /// Daemons of the largest membership that is driven as a whole; 5,000 need
  /// about 7 GB.
  std::size_t most_daemons = 5000;
  std::uint64_t seed = 1;
};

void measure_notes(std::vector<slope>& slopes);
void measure_placement(std::vector<slope>& slopes);
void measure_membership(const capacity_options& options,
                        std::vector<slope>& slopes);
void measure_queries(std::vector<slope>& slopes);
void measure_codecs(std::vector<slope>& slopes);

}  // namespace medlarloft::bench
