#include <algorithm>
#include <tuple>

#include "medlarloft/placement.hpp"

namespace medlarloft::placement {
namespace {

struct scored_centre {
  int distance;
  std::uint64_t score;
  std::size_t position;
};

struct scored_daemon {
  std::uint64_t score;
  daemon_index daemon;
};

}  // namespace

address_book::address_book(const notes::fleet_model& model) {
  centres_.reserve(model.data_centres.size());
  for (const notes::data_centre& one : model.data_centres) {
    centres_.push_back({one.id, one.region, one.out, {}});
  }
  for (daemon_index i = 0; i < model.daemons.size(); ++i) {
    const notes::daemon_entry& daemon = model.daemons[i];
    const auto home =
        std::ranges::lower_bound(centres_, daemon.data_centre, {}, &centre::id);
    if (home == centres_.end() || home->id != daemon.data_centre) continue;
    home->daemons.push_back({i, hash64(daemon.id)});
  }
}

std::vector<std::size_t> address_book::centres_by_distance(
    const address_request& request) const {
  const std::uint64_t seed = hash64(request.caller);
  const auto own =
      std::ranges::find(centres_, request.data_centre, &centre::id);
  std::vector<scored_centre> order;
  for (std::size_t i = 0; i < centres_.size(); ++i) {
    if (centres_[i].out) continue;
    int distance = 2;
    if (own != centres_.end()) {
      if (centres_[i].region == own->region) distance = 1;
      if (centres_[i].id == own->id) distance = 0;
    }
    order.push_back({distance, hash_combine(seed, hash64(centres_[i].id)), i});
  }
  std::ranges::sort(order, [](const scored_centre& a, const scored_centre& b) {
    return std::tie(a.distance, b.score) < std::tie(b.distance, a.score);
  });
  std::vector<std::size_t> positions;
  positions.reserve(order.size());
  for (const scored_centre& one : order) {
    positions.push_back(one.position);
  }
  return positions;
}

std::vector<daemon_index> address_book::addresses_for(
    const std::vector<daemon_status>& status,
    const address_request& request) const {
  const std::uint64_t seed = hash64(request.caller);
  std::vector<daemon_index> chosen;
  for (const std::size_t position : centres_by_distance(request)) {
    if (chosen.size() >= request.count) break;
    std::vector<scored_daemon> usable;
    for (const listed& one : centres_[position].daemons) {
      const bool fit = one.daemon < status.size() && status[one.daemon].alive &&
                       !status[one.daemon].leaving;
      if (fit) usable.push_back({hash_combine(seed, one.hash), one.daemon});
    }
    const std::size_t taken =
        std::min(request.count - chosen.size(), usable.size());
    std::ranges::partial_sort(
        usable, usable.begin() + static_cast<std::ptrdiff_t>(taken),
        std::ranges::greater{}, &scored_daemon::score);
    for (std::size_t i = 0; i < taken; ++i) {
      chosen.push_back(usable[i].daemon);
    }
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
    const std::uint64_t score = hash_combine(seed, hash64(model.daemons[i].id));
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
