#include <algorithm>
#include <tuple>

#include "medlarloft/placement.hpp"

namespace medlarloft::placement {
namespace {

// Lower is nearer.
int distance(const notes::fleet_model& model, const std::string& from,
             const std::string& to) {
  if (from == to) return 0;
  const notes::data_centre* here = model.find_data_centre(from);
  const notes::data_centre* there = model.find_data_centre(to);
  const bool same_region =
      here != nullptr && there != nullptr && here->region == there->region;
  return same_region ? 1 : 2;
}

struct candidate {
  int distance;
  std::uint64_t score;
  daemon_index daemon;
};

}  // namespace

std::vector<daemon_index> addresses_for(
    const notes::fleet_model& model, const std::vector<daemon_status>& status,
    const address_request& request) {
  const std::uint64_t seed = hash64(request.caller);
  std::vector<candidate> candidates;
  for (daemon_index i = 0; i < model.daemons.size(); ++i) {
    const notes::daemon_entry& daemon = model.daemons[i];
    const bool usable =
        i < status.size() && status[i].alive && !status[i].leaving;
    if (!usable || model.is_out(daemon.data_centre)) continue;
    candidates.push_back(
        {distance(model, request.data_centre, daemon.data_centre),
         mix64(seed, hash64(daemon.id)), i});
  }
  std::ranges::sort(candidates, [](const candidate& a, const candidate& b) {
    return std::tie(a.distance, b.score) < std::tie(b.distance, a.score);
  });
  std::vector<daemon_index> chosen;
  for (const candidate& one : candidates) {
    if (chosen.size() == request.count) break;
    chosen.push_back(one.daemon);
  }
  return chosen;
}

std::optional<daemon_index> owner_of(const notes::fleet_model& model,
                                     std::string_view request_id) {
  if (model.daemons.empty()) return std::nullopt;
  const std::uint64_t seed = hash64(request_id);
  daemon_index best = 0;
  std::uint64_t best_score = 0;
  for (daemon_index i = 0; i < model.daemons.size(); ++i) {
    if (model.is_out(model.daemons[i].data_centre)) continue;
    const std::uint64_t score = mix64(seed, hash64(model.daemons[i].id));
    if (score < best_score) continue;
    best_score = score;
    best = i;
  }
  if (best_score == 0) return std::nullopt;
  return best;
}

void ownership_history::add(wall_time at, duration hold_off,
                            notes::model_ptr model) {
  const auto micros = [](duration value) {
    return std::chrono::duration_cast<wall_time::duration>(value);
  };
  eras_.push_back({at + micros(hold_off), at, std::move(model)});
  // The newest era that began before the window still says who owned then.
  while (eras_.size() > 1 && eras_[1].began + micros(kept_for_) < at) {
    eras_.erase(eras_.begin());
  }
}

std::optional<wall_time> ownership_history::owner_since(
    std::string_view self, std::string_view request_id) const {
  std::optional<wall_time> since;
  for (auto era = eras_.rbegin(); era != eras_.rend(); ++era) {
    const auto owner = owner_of(*era->model, request_id);
    if (!owner || era->model->daemons[*owner].id != self) break;
    since = era->gains_from;
  }
  return since;
}

}  // namespace medlarloft::placement
