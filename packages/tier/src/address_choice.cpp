#include "address_choice.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <numeric>

namespace medlarloft::tier {
namespace {

using candidates = std::vector<address_candidate>;

/// Hosts are uneven if the smallest has less than this part of the greatest
/// capacity. Fleets of 0.12 and 0.5 core (0.24) are served in time without
/// grading.
constexpr double uneven_ratio = 0.2;

std::uint32_t greatest_capacity(const candidates& all) {
  return std::ranges::max(all, {}, &address_candidate::capacity).capacity;
}

double total_capacity(const candidates& all) {
  return std::accumulate(all.begin(), all.end(), 0.0,
                         [](double sum, const auto& candidate) {
                           return sum + candidate.capacity;
                         });
}

double mean_load(const candidates& all) {
  const double sum = std::accumulate(all.begin(), all.end(), 0.0,
                                     [](double total, const auto& candidate) {
                                       return total + candidate.load;
                                     });
  return sum / static_cast<double>(all.size());
}

// Returns how many small daemons to name beside the large ones. Callers pick
// any address with the same probability, so the number decides on their share
// of the load. It rises continuously: naming none or all would overload the
// large and the small ones in turn.
std::size_t small_count(const candidates& large, const candidates& small,
                        const address_choice_options& options,
                        random_generator& random) {
  const double small_capacity = total_capacity(small);
  const double fair_share =
      small_capacity / (small_capacity + total_capacity(large));
  const double grade =
      large.size() < options.min_local_daemons
          ? 1.0
          : std::clamp((mean_load(large) - options.grading_begins) /
                           (options.grading_ends - options.grading_begins),
                       0.0, 1.0);
  const double share = grade * fair_share;
  const double count =
      static_cast<double>(large.size()) * share / (1.0 - share);
  const auto whole = static_cast<std::size_t>(count);
  const bool one_more = random.uniform() < count - std::floor(count);
  const std::size_t missing = options.min_local_daemons -
                              std::min(options.min_local_daemons, large.size());
  return std::clamp(whole + (one_more ? 1U : 0U), missing, small.size());
}

// Returns the large daemons, and as many of the others as their load requires.
candidates choose_by_load(const candidates& all,
                          const address_choice_options& options,
                          random_generator& random) {
  candidates large;
  candidates small;
  const double large_capacity =
      greatest_capacity(all) * options.small_capacity_ratio;
  std::ranges::partition_copy(all, std::back_inserter(large),
                              std::back_inserter(small),
                              [&](const auto& candidate) {
                                return candidate.capacity >= large_capacity;
                              });
  if (has_uneven_hosts(all)) {
    std::ranges::sample(
        small, std::back_inserter(large),
        static_cast<std::ptrdiff_t>(small_count(large, small, options, random)),
        random);
    return large;
  }
  const bool busy = mean_load(large) > options.busy_load;
  return busy || large.size() < options.min_local_daemons ? all : large;
}

candidates ready_ones(const candidates& all) {
  candidates ready;
  std::ranges::copy_if(all, std::back_inserter(ready),
                       &address_candidate::ready);
  return ready.empty() ? all : ready;
}

}  // namespace

bool has_uneven_hosts(const candidates& all) {
  if (all.empty()) return false;
  const auto smallest =
      std::ranges::min(all, {}, &address_candidate::capacity).capacity;
  // A daemon that reports no capacity counts as one of usual size.
  return smallest > 0 && smallest < greatest_capacity(all) * uneven_ratio;
}

std::vector<endpoint> choose_addresses(const candidates& all,
                                       const std::string& data_centre,
                                       const address_choice_options& options,
                                       std::uint64_t seed) {
  if (all.empty()) return {};
  random_generator random(seed);
  const candidates ready = ready_ones(all);
  candidates local;
  std::ranges::copy_if(ready, std::back_inserter(local),
                       [&](const auto& candidate) {
                         return candidate.data_centre == data_centre;
                       });
  const candidates& eligible =
      local.size() >= options.min_local_daemons ? local : ready;
  std::vector<endpoint> chosen;
  std::ranges::transform(choose_by_load(eligible, options, random),
                         std::back_inserter(chosen),
                         &address_candidate::address);
  if (chosen.size() > options.max_addresses)
    chosen.resize(options.max_addresses);
  return chosen;
}

}  // namespace medlarloft::tier
