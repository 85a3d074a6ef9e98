#include <algorithm>
#include <cmath>
#include <numeric>

#include "medlarloft/quota.hpp"

namespace medlarloft::quota {
namespace {

using seconds = std::chrono::duration<double>;

/// Fraction of the tolerated excess and slack that is used for tokens held
/// ahead of demand. The rest is for requests that are sent later than they
/// were admitted, and for fractions that add up to more than one for a moment.
constexpr double held_fraction = 0.75;
/// Tokens are this old on their way from one daemon to another in the worst
/// regular case, and some of their lifetime must be left.
constexpr duration min_lifetime = std::chrono::milliseconds(1500);
/// Limits the memory of a coordinator.
constexpr duration max_lifetime = std::chrono::seconds(60);

}  // namespace

token_terms terms_of(const quota_limit& limit, const tolerance& allowed) {
  const double window = seconds(allowed.window).count();
  const double quota = limit.rate_per_second * window + limit.burst;
  const double tolerated = quota * allowed.excess + allowed.slack;
  const double bound = quota + held_fraction * tolerated;
  const double lifetime =
      std::clamp(bound / limit.rate_per_second - window,
                 seconds(min_lifetime).count(), seconds(max_lifetime).count());
  return {.rate = std::min(limit.rate_per_second, bound / (window + lifetime)),
          .lifetime = std::chrono::duration_cast<duration>(seconds(lifetime)),
          .reserve = (1 - held_fraction) * tolerated};
}

void token_store::add(time_point created_at, double amount,
                      duration granularity) {
  // Also false for values that are not a number.
  if (!(amount > 0)) return;
  tokens_[created_at - created_at.time_since_epoch() % granularity] += amount;
}

double token_store::count(time_point oldest) const {
  return std::accumulate(
      tokens_.upper_bound(oldest), tokens_.end(), 0.0,
      [](double sum, const auto& entry) { return sum + entry.second; });
}

void token_store::expire(time_point oldest) {
  tokens_.erase(tokens_.begin(), tokens_.upper_bound(oldest));
}

std::vector<token_parcel> token_store::take(time_point now, time_point oldest,
                                            double amount) {
  std::vector<token_parcel> taken;
  for (auto parcel = tokens_.upper_bound(oldest);
       parcel != tokens_.end() && amount > 0;) {
    const double part = std::min(parcel->second, amount);
    taken.push_back({.age = now - parcel->first, .amount = part});
    amount -= part;
    parcel->second -= part;
    parcel = parcel->second > 0 ? std::next(parcel) : tokens_.erase(parcel);
  }
  return taken;
}

void token_store::scale(double factor) {
  for (auto& [created_at, amount] : tokens_)
    amount *= factor;
}

}  // namespace medlarloft::quota
