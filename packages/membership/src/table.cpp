#include <algorithm>
#include <array>
#include <cmath>
#include <tuple>

#include "medlarloft/membership.hpp"

namespace medlarloft::membership {
namespace {

constexpr std::array<std::string_view, 6> state_names{
    "unheard", "alive", "suspected", "leaving", "failed", "left"};

bool overrides(const member_record& told, const member_record& known) {
  return std::tie(told.incarnation, told.state) >
         std::tie(known.incarnation, known.state);
}

bool is_gone(member_state state) {
  return state == member_state::failed || state == member_state::left ||
         state == member_state::unheard;
}

}  // namespace

std::string_view name_of(member_state state) noexcept {
  return state_names[static_cast<std::size_t>(state)];
}

bool group::reachable(const member_record& record) const noexcept {
  return !is_gone(record.state);
}

const member_record* group::find(std::string_view id) const {
  if (id == self_.id) return &self_;
  const auto found = members_.find(std::string(id));
  return found == members_.end() ? nullptr : &found->second.record;
}

std::vector<member_record> group::members() const {
  std::vector<member_record> all{self_};
  all.reserve(members_.size() + 1);
  for (const auto& [id, known] : members_)
    all.push_back(known.record);
  std::ranges::sort(all, {}, &member_record::id);
  return all;
}

std::size_t group::alive_count() const noexcept {
  const auto others = std::ranges::count_if(
      members_, [this](const auto& m) { return reachable(m.second.record); });
  return static_cast<std::size_t>(others) + 1;
}

std::optional<time_point> group::unreachable_since(std::string_view id) const {
  if (id == self_.id) return std::nullopt;
  const auto found = members_.find(std::string(id));
  if (found == members_.end()) return time_point{};
  if (!is_gone(found->second.record.state)) return std::nullopt;
  return found->second.changed_at;
}

std::vector<std::string> group::rendezvous_order(
    std::string_view data_centre, std::string_view purpose) const {
  struct scored {
    std::uint64_t score;
    std::string id;
  };
  const std::uint64_t seed = hash64(purpose, hash64(data_centre));
  std::vector<scored> found;
  const auto consider = [&](const member_record& record) {
    const bool fit = record.state == member_state::alive ||
                     record.state == member_state::suspected;
    if (record.data_centre != data_centre || !fit) return;
    found.push_back({hash64(record.id, seed), record.id});
  };
  consider(self_);
  for (const auto& [id, known] : members_)
    consider(known.record);
  std::ranges::sort(found, [](const scored& a, const scored& b) {
    return std::tie(a.score, a.id) > std::tie(b.score, b.id);
  });
  std::vector<std::string> ids;
  ids.reserve(found.size());
  for (scored& one : found)
    ids.push_back(std::move(one.id));
  return ids;
}

void group::set_published(const std::vector<member_record>& published) {
  published_.clear();
  for (const member_record& entry : published) {
    published_.push_back(entry.id);
    if (entry.id == self_.id) continue;
    const auto known = members_.find(entry.id);
    if (known == members_.end()) {
      member fresh{entry, time_point{}};
      fresh.record.state = member_state::unheard;
      fresh.record.incarnation = 0;
      const auto added = members_.emplace(entry.id, std::move(fresh)).first;
      probe_order_.push_back(&added->first);
      continue;
    }
    if (known->second.record.state == member_state::unheard) {
      known->second.record.control = entry.control;
      known->second.record.data_centre = entry.data_centre;
    }
  }
  std::ranges::sort(published_);
}

std::uint32_t group::transmissions() const {
  const double size = static_cast<double>(members_.size() + 2);
  return static_cast<std::uint32_t>(
      std::ceil(options_.retransmit_factor * std::log2(size)));
}

void group::enqueue(const std::string& id) {
  const auto known = std::ranges::find(queue_, id, &queued_update::id);
  if (known != queue_.end()) {
    known->left = transmissions();
    return;
  }
  queue_.push_back({id, transmissions()});
}

void group::fill_updates(message& body, const std::string& to) {
  // A receiver that is suspected, or counted as failed, must hear so first:
  // only its own word can take that back, as after a partition.
  const member_record* receiver = find(to);
  const bool accused =
      receiver != nullptr && (receiver->state == member_state::suspected ||
                              receiver->state == member_state::failed);
  if (accused) body.updates.push_back(*receiver);
  const std::size_t wanted =
      std::min(options_.updates_per_message, queue_.size());
  std::ranges::partial_sort(
      queue_, queue_.begin() + static_cast<std::ptrdiff_t>(wanted),
      std::ranges::greater{}, &queued_update::left);
  for (std::size_t i = 0; i < wanted; ++i) {
    const member_record* record = find(queue_[i].id);
    if (record != nullptr) body.updates.push_back(*record);
    --queue_[i].left;
  }
  std::erase_if(queue_,
                [](const queued_update& entry) { return entry.left == 0; });
}

void group::take_updates(time_point now, outputs& out,
                         const message& received) {
  // What a join is answered with is known to all but the one that joins.
  const bool pass_on = received.kind != message_kind::join_response;
  for (const member_record& told : received.updates) {
    merge(now, out, told, received.from, pass_on);
  }
}

void group::refute(const member_record& told) {
  const bool accused = told.state == member_state::suspected ||
                       told.state == member_state::failed ||
                       told.state == member_state::left;
  const bool stale = told.incarnation >= self_.incarnation;
  if (!stale || (!accused && told.incarnation == self_.incarnation)) return;
  self_.incarnation = told.incarnation + 1;
  if (accused) {
    local_health_score_ =
        std::min(local_health_score_ + 1, options_.max_local_health_score);
  }
  enqueue(self_.id);
}

void group::merge(time_point now, outputs& out, const member_record& told,
                  const std::string& teller, bool pass_on) {
  if (told.id == self_.id) {
    refute(told);
    return;
  }
  if (told.state == member_state::unheard) return;
  const auto known = members_.find(told.id);
  if (known != members_.end()) {
    const member_record& held = known->second.record;
    const bool agrees = told.state == member_state::suspected &&
                        held.state == member_state::suspected &&
                        told.incarnation == held.incarnation;
    if (agrees) {
      auto& accusers = suspicions_[told.id].accusers;
      const bool fresh = std::ranges::find(accusers, teller) == accusers.end();
      if (fresh && accusers.size() < options_.suspicion_agreement) {
        accusers.push_back(teller);
        enqueue(told.id);
      }
      return;
    }
    if (!overrides(told, held)) return;
  } else if (is_gone(told.state)) {
    return;  // nothing to learn about a stranger that is gone
  }
  apply(now, out, told, pass_on);
}

void group::apply(time_point now, outputs& out, const member_record& told,
                  bool pass_on) {
  auto [known, fresh] = members_.try_emplace(told.id, member{told, now});
  if (fresh) {
    // A random place, so that new members are probed soon and evenly.
    const std::size_t at = random_.below(probe_order_.size() + 1);
    probe_order_.insert(probe_order_.begin() + static_cast<std::ptrdiff_t>(at),
                        &known->first);
  }
  const member_state before =
      fresh ? member_state::unheard : known->second.record.state;
  known->second.record = told;
  if (fresh || is_gone(before) != is_gone(told.state)) {
    known->second.changed_at = now;
  }
  if (told.state == member_state::suspected) {
    suspicions_.try_emplace(told.id, suspicion{now, {}});
  } else {
    suspicions_.erase(told.id);
  }
  if (pass_on) enqueue(told.id);
  if (before != told.state) out.events.push_back({told.id, told.state});
}

void group::heard_directly(time_point now, outputs& out,
                           const std::string& id) {
  if (id == self_.id) return;
  last_message_at_ = now;
  const auto known = members_.find(id);
  if (known == members_.end()) return;
  if (known->second.record.state != member_state::unheard) return;
  member_record seen = known->second.record;
  seen.state = member_state::alive;
  apply(now, out, seen);
}

void group::forget_old(time_point now) {
  const auto is_old = [&](const std::string& id) {
    const member& known = members_.find(id)->second;
    const bool old = is_gone(known.record.state) &&
                     known.changed_at + options_.removal_delay < now;
    return old && !std::ranges::binary_search(published_, id);
  };
  std::vector<std::string> forgotten;
  std::erase_if(probe_order_, [&](const std::string* id) {
    const bool old = is_old(*id);
    if (old) forgotten.push_back(*id);
    return old;
  });
  for (const std::string& id : forgotten) {
    members_.erase(id);
  }
}

}  // namespace medlarloft::membership
