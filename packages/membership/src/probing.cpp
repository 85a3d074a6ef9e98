#include <algorithm>
#include <cmath>

#include "medlarloft/membership.hpp"

namespace medlarloft::membership {

group::group(group_options options, notes_since held)
    : options_(std::move(options)),
      held_(std::move(held)),
      random_(options_.random_seed),
      self_(options_.self) {
  self_.state = member_state::alive;
}

message group::make(message_kind kind) const {
  message body;
  body.kind = kind;
  body.from = self_.id;
  body.version = version_;
  body.digest = digest_;
  return body;
}

void group::send(outputs& out, const member_record& to, message body) {
  fill_updates(body, to.id);
  out.messages.push_back({to.control, to.id, std::move(body)});
}

outputs group::start(time_point now) {
  outputs out;
  next_probe_ = now + random_.below(options_.probe_period);
  next_join_ = now + options_.probe_period;
  for (const endpoint& seed : options_.seeds) {
    if (seed == self_.control) continue;
    message body = make(message_kind::join);
    body.updates.push_back(self_);
    out.messages.push_back({seed, {}, std::move(body)});
  }
  enqueue(self_.id);
  return out;
}

outputs group::tick(time_point now) {
  outputs out;
  if (!joined_ && now >= next_join_) {
    const time_point probe_at = next_probe_;
    out = start(now);
    next_probe_ = probe_at;
  }
  run_probe(now, out);
  run_relayed(now, out);
  run_suspicions(now, out);
  return out;
}

time_point group::next_tick() const {
  time_point next = next_probe_;
  if (!joined_) next = std::min(next, next_join_);
  if (probe_ && !probe_->indirect_sent && !probe_->acked) {
    next = std::min(next, probe_->indirect_at);
  }
  for (const relayed_probe& entry : relayed_) {
    next = std::min(next, entry.nack_at);
  }
  return next;
}

outputs group::reset_after_pause(time_point now) {
  // Silence while this process slept says nothing about the others.
  probe_.reset();
  relayed_.clear();
  for (auto& [id, entry] : suspicions_)
    entry.began = now;
  local_health_score_ = options_.max_local_health_score;
  next_probe_ = now;
  joined_ = false;
  last_message_at_.reset();
  next_join_ = now;
  return tick(now);
}

duration group::scaled(duration base) const {
  return base * (local_health_score_ + 1);
}

std::optional<std::string> group::next_target() {
  for (std::size_t tried = 0; tried < probe_order_.size() + 1; ++tried) {
    if (probe_next_ >= probe_order_.size()) {
      probe_next_ = 0;
      std::ranges::shuffle(probe_order_, random_);
      if (probe_order_.empty()) return std::nullopt;
    }
    const std::string& id = *probe_order_[probe_next_++];
    const member_record* record = find(id);
    if (record == nullptr || record->state == member_state::left) continue;
    return id;
  }
  return std::nullopt;
}

void group::run_probe(time_point now, outputs& out) {
  const bool ask = probe_ && !probe_->acked && !probe_->indirect_sent &&
                   now >= probe_->indirect_at;
  if (ask) ask_helpers(now, out);
  if (now < next_probe_) return;
  if (probe_) finish_probe(now, out);
  begin_probe(now, out);
  forget_old(now);
}

void group::begin_probe(time_point now, outputs& out) {
  next_probe_ = now + scaled(options_.probe_period);
  const std::optional<std::string> target = next_target();
  if (!target) return;
  probe fresh;
  fresh.sequence = ++sequence_;
  fresh.target = *target;
  fresh.indirect_at = now + scaled(options_.probe_timeout);
  probe_ = fresh;
  message body = make(message_kind::ping);
  body.sequence = fresh.sequence;
  body.target = *target;
  send(out, *find(*target), std::move(body));
}

void group::ask_helpers(time_point /*now*/, outputs& out) {
  probe_->indirect_sent = true;
  std::vector<const member_record*> helpers;
  for (const auto& [id, known] : members_) {
    const bool fit = known.record.state == member_state::alive;
    if (fit && id != probe_->target) helpers.push_back(&known.record);
  }
  std::ranges::sort(helpers, {}, [](const auto* r) { return r->id; });
  std::vector<const member_record*> chosen;
  std::ranges::sample(helpers, std::back_inserter(chosen),
                      static_cast<std::ptrdiff_t>(options_.indirect_probes),
                      random_);
  for (const member_record* helper : chosen) {
    message body = make(message_kind::ping_req);
    body.sequence = probe_->sequence;
    body.target = probe_->target;
    send(out, *helper, std::move(body));
    ++probe_->helpers_asked;
  }
}

void group::finish_probe(time_point now, outputs& out) {
  const probe ended = *probe_;
  probe_.reset();
  if (ended.acked) {
    if (local_health_score_ > 0) --local_health_score_;
    return;
  }
  // Helpers that fall silent too speak against this process, not the target.
  if (ended.helpers_asked > ended.helpers_heard) {
    local_health_score_ =
        std::min(local_health_score_ + 1, options_.max_local_health_score);
  }
  suspect(now, out, ended.target);
}

void group::suspect(time_point now, outputs& out, const std::string& id) {
  const member_record* record = find(id);
  if (record == nullptr) return;
  member_record told = *record;
  if (record->state == member_state::alive) {
    told.state = member_state::suspected;
  } else if (record->state == member_state::leaving) {
    told.state = member_state::failed;
  } else {
    return;
  }
  apply(now, out, told);
}

duration group::suspicion_time(const suspicion& entry) const {
  const double size = static_cast<double>(members_.size() + 1);
  const double scale = std::max(1.0, std::log10(size));
  const duration least = std::chrono::duration_cast<duration>(
      options_.probe_period * (options_.suspicion_min_periods * scale));
  const duration most = std::chrono::duration_cast<duration>(
      least * options_.suspicion_max_factor);
  const double agreed = static_cast<double>(entry.accusers.size());
  const double share =
      std::log(agreed + 1.0) /
      std::log(static_cast<double>(options_.suspicion_agreement) + 1.0);
  const duration shortened =
      std::chrono::duration_cast<duration>((most - least) * share);
  return std::max(least, most - shortened);
}

void group::run_suspicions(time_point now, outputs& out) {
  std::vector<std::string> expired;
  for (const auto& [id, entry] : suspicions_) {
    if (now >= entry.began + suspicion_time(entry)) expired.push_back(id);
  }
  for (const std::string& id : expired) {
    member_record told = *find(id);
    told.state = member_state::failed;
    apply(now, out, told);
  }
}

void group::run_relayed(time_point now, outputs& out) {
  for (relayed_probe& entry : relayed_) {
    if (now < entry.nack_at) continue;
    entry.nack_at = time_point::max();
    const member_record* requester = find(entry.requester);
    if (requester == nullptr) continue;
    message body = make(message_kind::nack);
    body.sequence = entry.sequence;
    send(out, *requester, std::move(body));
  }
  std::erase_if(relayed_, [now](const relayed_probe& entry) {
    return entry.expires_at <= now;
  });
}

void group::on_ping_req(time_point now, outputs& out, const message& received) {
  const member_record* target = find(received.target);
  if (target == nullptr) return;
  message body = make(message_kind::ping);
  body.sequence = ++sequence_;
  body.target = received.target;
  constexpr double nack_share = 0.8;
  relayed_.push_back({.requester = received.from,
                      .sequence = received.sequence,
                      .own_sequence = body.sequence,
                      .nack_at = now + std::chrono::duration_cast<duration>(
                                           options_.probe_timeout * nack_share),
                      .expires_at = now + options_.probe_period});
  send(out, *target, std::move(body));
}

void group::on_ack(time_point /*now*/, outputs& out, const message& received) {
  if (probe_ && probe_->sequence == received.sequence) {
    if (received.kind == message_kind::nack) {
      ++probe_->helpers_heard;
      return;
    }
    probe_->acked = true;
    if (received.from != probe_->target) ++probe_->helpers_heard;
    return;
  }
  const auto relay = std::ranges::find(relayed_, received.sequence,
                                       &relayed_probe::own_sequence);
  if (relay == relayed_.end() || received.kind == message_kind::nack) return;
  const member_record* requester = find(relay->requester);
  if (requester != nullptr) {
    message body = make(message_kind::ack);
    body.sequence = relay->sequence;
    send(out, *requester, std::move(body));
  }
  relayed_.erase(relay);
}

outputs group::leave(time_point /*now*/, member_state how) {
  outputs out;
  self_.state = how;
  enqueue(self_.id);
  // Those near hear at once; the rest by gossip.
  std::vector<std::string> near = rendezvous_order(self_.data_centre, "leave");
  constexpr std::size_t told_at_once = 8;
  for (const auto& [id, known] : members_) {
    if (near.size() >= told_at_once) break;
    if (reachable(known.record)) near.push_back(id);
  }
  for (const std::string& id : near) {
    const member_record* record = find(id);
    if (id == self_.id || record == nullptr) continue;
    message body = make(message_kind::ping);
    body.sequence = ++sequence_;
    body.target = id;
    body.updates.push_back(self_);
    send(out, *record, std::move(body));
  }
  return out;
}

}  // namespace medlarloft::membership
