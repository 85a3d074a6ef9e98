#include <algorithm>
#include <array>
#include <cmath>
#include <tuple>

#include "medlarloft/membership.hpp"

namespace medlarloft::membership {
namespace {

constexpr std::array<std::string_view, 6> state_names{
    "unheard", "alive", "suspected", "leaving", "failed", "left"};

bool overrides(const member_record& update, const member_record& known) {
  return std::tie(update.incarnation, update.state) >
         std::tie(known.incarnation, known.state);
}

bool is_unreachable(member_state state) {
  return state == member_state::failed || state == member_state::left ||
         state == member_state::unheard;
}

}  // namespace

std::string_view name_of(member_state state) noexcept {
  return state_names[static_cast<std::size_t>(state)];
}

bool group::reachable(const member_record& record) const noexcept {
  return !is_unreachable(record.state);
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

std::size_t group::reachable_count() const noexcept {
  const auto others = std::ranges::count_if(
      members_, [this](const auto& m) { return reachable(m.second.record); });
  return static_cast<std::size_t>(others) + 1;
}

std::optional<time_point> group::unreachable_since(std::string_view id) const {
  if (id == self_.id) return std::nullopt;
  const auto found = members_.find(std::string(id));
  if (found == members_.end()) return time_point{};
  if (!is_unreachable(found->second.record.state)) return std::nullopt;
  return found->second.changed_at;
}

std::vector<std::string> group::rendezvous_order(
    std::string_view data_centre, std::string_view purpose) const {
  struct scored {
    std::uint64_t score;
    std::string id;
  };
  const std::uint64_t seed = hash64(purpose, hash64(data_centre));
  std::vector<scored> candidates;
  const auto consider = [&](const member_record& record) {
    const bool alive = record.state == member_state::alive ||
                       record.state == member_state::suspected;
    if (record.data_centre != data_centre || !alive) return;
    candidates.push_back({hash64(record.id, seed), record.id});
  };
  consider(self_);
  for (const auto& [id, known] : members_)
    consider(known.record);
  std::ranges::sort(candidates, [](const scored& a, const scored& b) {
    return std::tie(a.score, a.id) > std::tie(b.score, b.id);
  });
  std::vector<std::string> ids;
  ids.reserve(candidates.size());
  for (scored& candidate : candidates)
    ids.push_back(std::move(candidate.id));
  return ids;
}

void group::set_published(const std::vector<member_record>& published) {
  published_.clear();
  for (const member_record& entry : published) {
    published_.push_back(entry.id);
    if (entry.id == self_.id) continue;
    const auto known = members_.find(entry.id);
    if (known == members_.end()) {
      member added{entry, time_point{}};
      added.record.state = member_state::unheard;
      added.record.incarnation = 0;
      const auto position = members_.emplace(entry.id, std::move(added)).first;
      probe_order_.push_back(&position->first);
      continue;
    }
    if (known->second.record.state == member_state::unheard) {
      known->second.record.control = entry.control;
      known->second.record.data_centre = entry.data_centre;
    }
  }
  std::ranges::sort(published_);
}

std::uint32_t group::transmit_limit() const {
  const double size = static_cast<double>(members_.size() + 2);
  return static_cast<std::uint32_t>(
      std::ceil(options_.retransmit_factor * std::log2(size)));
}

void group::enqueue(const std::string& id) {
  const auto known = std::ranges::find(queue_, id, &queued_update::id);
  if (known != queue_.end()) {
    known->remaining_sends = transmit_limit();
    return;
  }
  queue_.push_back({id, transmit_limit()});
}

void group::append_updates(message& body, const std::string& to) {
  // A receiver that is suspected or failed is sent its own state first, since
  // only the receiver can refute it, for example after a partition.
  const member_record* receiver = find(to);
  const bool must_refute =
      receiver != nullptr && (receiver->state == member_state::suspected ||
                              receiver->state == member_state::failed);
  if (must_refute) body.updates.push_back(*receiver);
  const std::size_t count =
      std::min(options_.updates_per_message, queue_.size());
  std::ranges::partial_sort(
      queue_, queue_.begin() + static_cast<std::ptrdiff_t>(count),
      std::ranges::greater{}, &queued_update::remaining_sends);
  for (std::size_t i = 0; i < count; ++i) {
    const member_record* record = find(queue_[i].id);
    if (record != nullptr) body.updates.push_back(*record);
    --queue_[i].remaining_sends;
  }
  std::erase_if(queue_, [](const queued_update& entry) {
    return entry.remaining_sends == 0;
  });
}

void group::merge_updates(time_point now, outputs& out,
                          const message& received) {
  // A join response holds only what every other daemon already knows.
  const bool pass_on = received.kind != message_kind::join_response;
  for (const member_record& update : received.updates) {
    merge(now, out, update, received.from, pass_on);
  }
}

void group::refute(const member_record& update) {
  const bool contradicts = update.state == member_state::suspected ||
                           update.state == member_state::failed ||
                           update.state == member_state::left;
  const bool current = update.incarnation >= self_.incarnation;
  if (!current || (!contradicts && update.incarnation == self_.incarnation))
    return;
  self_.incarnation = update.incarnation + 1;
  if (contradicts) {
    local_health_score_ =
        std::min(local_health_score_ + 1, options_.max_local_health_score);
  }
  enqueue(self_.id);
}

void group::merge(time_point now, outputs& out, const member_record& update,
                  const std::string& reporter, bool pass_on) {
  if (update.id == self_.id) {
    refute(update);
    return;
  }
  if (update.state == member_state::unheard) return;
  const auto known = members_.find(update.id);
  if (known != members_.end()) {
    const member_record& existing = known->second.record;
    const bool confirms = update.state == member_state::suspected &&
                          existing.state == member_state::suspected &&
                          update.incarnation == existing.incarnation;
    if (confirms) {
      auto& confirmers = suspicions_[update.id].confirmers;
      const bool is_new =
          std::ranges::find(confirmers, reporter) == confirmers.end();
      if (is_new && confirmers.size() < options_.suspicion_confirmations) {
        confirmers.push_back(reporter);
        enqueue(update.id);
      }
      return;
    }
    if (!overrides(update, existing)) return;
  } else if (is_unreachable(update.state)) {
    return;  // an unknown member that is unreachable need not be added
  }
  apply(now, out, update, pass_on);
}

void group::apply(time_point now, outputs& out, const member_record& update,
                  bool pass_on) {
  auto [known, inserted] = members_.try_emplace(update.id, member{update, now});
  if (inserted) {
    // At a random position, so that new members are probed soon and evenly.
    const std::size_t position = random_.below(probe_order_.size() + 1);
    probe_order_.insert(
        probe_order_.begin() + static_cast<std::ptrdiff_t>(position),
        &known->first);
  }
  const member_state before =
      inserted ? member_state::unheard : known->second.record.state;
  known->second.record = update;
  if (inserted || is_unreachable(before) != is_unreachable(update.state)) {
    known->second.changed_at = now;
  }
  if (update.state == member_state::suspected) {
    suspicions_.try_emplace(update.id, suspicion{now, {}});
  } else {
    suspicions_.erase(update.id);
  }
  if (pass_on) enqueue(update.id);
  if (before != update.state) out.events.push_back({update.id, update.state});
}

void group::on_direct_contact(time_point now, outputs& out,
                              const std::string& id) {
  if (id == self_.id) return;
  last_message_at_ = now;
  const auto known = members_.find(id);
  if (known == members_.end()) return;
  if (known->second.record.state != member_state::unheard) return;
  member_record update = known->second.record;
  update.state = member_state::alive;
  apply(now, out, update);
}

void group::remove_expired_members(time_point now) {
  const auto is_expired = [&](const std::string& id) {
    const member& known = members_.find(id)->second;
    const bool expired = is_unreachable(known.record.state) &&
                         known.changed_at + options_.removal_delay < now;
    return expired && !std::ranges::binary_search(published_, id);
  };
  std::vector<std::string> removed;
  std::erase_if(probe_order_, [&](const std::string* id) {
    const bool expired = is_expired(*id);
    if (expired) removed.push_back(*id);
    return expired;
  });
  for (const std::string& id : removed) {
    members_.erase(id);
  }
}

}  // namespace medlarloft::membership
