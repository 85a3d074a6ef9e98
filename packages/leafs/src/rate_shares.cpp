#include "rate_shares.hpp"

#include <algorithm>
#include <functional>

namespace medlarloft::leafs {
namespace {

bool same_shares(const daemon_quota& a, const daemon_quota& b) {
  return a.rate_fraction == b.rate_fraction && a.daemons == b.daemons &&
         a.members_version == b.members_version;
}

}  // namespace

void rate_shares::set_quota(time_point now, const daemon_quota& quota) {
  if (recent_.empty()) recent_.push_back({.since = now, .quota = std::nullopt});
  const std::optional<daemon_quota>& current = recent_.back().quota;
  if (!current || !same_shares(*current, quota))
    recent_.push_back({.since = now, .quota = quota});
  while (recent_.size() > 1 &&
         recent_[1].since <= now - options_.handover_delay)
    recent_.pop_front();
}

double rate_shares::smallest(
    time_point now,
    const std::function<double(const daemon_quota&)>& share_of) const {
  double share = 1;
  for (std::size_t i = 0; i < recent_.size(); ++i) {
    // An entry ends when the next one begins.
    const bool ended_long_ago =
        i + 1 < recent_.size() &&
        recent_[i + 1].since <= now - options_.handover_delay;
    if (ended_long_ago) continue;
    const std::optional<daemon_quota>& quota = recent_[i].quota;
    share = std::min(share, quota ? share_of(*quota) : 0.0);
  }
  return share;
}

double rate_shares::cold_share(const daemon_quota& quota,
                               std::string_view leaf) const {
  const bool uses_leaf =
      !quota.daemon_index || quota.daemon_index(leaf) < options_.cold_users;
  if (!uses_leaf) return 0;
  const std::size_t users =
      std::clamp<std::size_t>(quota.daemons, 1, options_.cold_users);
  return 1 / static_cast<double>(users);
}

double rate_shares::cold_rate(time_point now, std::string_view leaf,
                              double rate) const {
  return rate * smallest(now, [this, leaf](const daemon_quota& quota) {
           return cold_share(quota, leaf);
         });
}

double rate_shares::stated_rate(time_point now, double rate) const {
  return std::max(rate, options_.min_stated_limit) *
         smallest(now, std::mem_fn(&daemon_quota::rate_fraction));
}

}  // namespace medlarloft::leafs
