#include <algorithm>
#include <cmath>

#include "medlarloft/membership.hpp"

namespace medlarloft::membership {

group::group(group_options options, notes_reader reader)
    : options_(std::move(options)),
      notes_reader_(std::move(reader)),
      random_(options_.random_seed),
      self_(options_.self) {
  self_.state = member_state::alive;
}

message group::make_message(message_kind kind) const {
  message body;
  body.kind = kind;
  body.from = self_.id;
  body.version = version_;
  body.digest = digest_;
  return body;
}

void group::send(outputs& out, const member_record& to, message body) {
  append_updates(body, to.id);
  out.messages.push_back({to.control, to.id, std::move(body)});
}

outputs group::start(time_point now) {
  outputs out;
  next_probe_ = now + random_.below(options_.probe_period);
  join_interval_ = options_.first_join_interval > duration::zero()
                       ? options_.first_join_interval
                       : options_.probe_period;
  send_joins(now, out);
  return out;
}

// Seeds that start together with this daemon may miss its first messages.
void group::send_joins(time_point now, outputs& out) {
  next_join_ = now + join_interval_;
  join_interval_ = std::min(join_interval_ * 2, options_.probe_period);
  for (const endpoint& seed : options_.seeds) {
    if (seed == self_.control) continue;
    message body = make_message(message_kind::join);
    body.updates.push_back(self_);
    out.messages.push_back({seed, {}, std::move(body)});
  }
  enqueue(self_.id);
}

outputs group::tick(time_point now) {
  outputs out;
  if (!joined_ && now >= next_join_) send_joins(now, out);
  request_first_notes(now, out);
  update_probe(now, out);
  update_relayed_probes(now, out);
  expire_suspicions(now, out);
  return out;
}

time_point group::next_tick() const {
  time_point next = next_probe_;
  if (!joined_) next = std::min(next, next_join_);
  if (version_ == 0 && !holders_.empty())
    next = std::min(next, next_notes_request_);
  if (probe_ && !probe_->indirect_sent && !probe_->acked) {
    next = std::min(next, probe_->indirect_at);
  }
  for (const relayed_probe& entry : relayed_) {
    next = std::min(next, entry.nack_at);
  }
  return next;
}

outputs group::reset_after_pause(time_point now) {
  // Peers that did not answer while this process was paused may be healthy.
  probe_.reset();
  relayed_.clear();
  for (auto& [id, entry] : suspicions_)
    entry.started_at = now;
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
  for (std::size_t attempt = 0; attempt < probe_order_.size() + 1; ++attempt) {
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

void group::update_probe(time_point now, outputs& out) {
  const bool indirect_due = probe_ && !probe_->acked &&
                            !probe_->indirect_sent &&
                            now >= probe_->indirect_at;
  if (indirect_due) send_indirect_probes(now, out);
  if (now < next_probe_) return;
  if (probe_) finish_probe(now, out);
  begin_probe(now, out);
  remove_expired_members(now);
}

void group::begin_probe(time_point now, outputs& out) {
  next_probe_ = now + scaled(options_.probe_period);
  const std::optional<std::string> target = next_target();
  if (!target) return;
  probe started;
  started.sequence = ++sequence_;
  started.target = *target;
  started.indirect_at = now + scaled(options_.probe_timeout);
  probe_ = started;
  message body = make_message(message_kind::ping);
  body.sequence = started.sequence;
  body.target = *target;
  send(out, *find(*target), std::move(body));
}

void group::send_indirect_probes(time_point /*now*/, outputs& out) {
  probe_->indirect_sent = true;
  std::vector<const member_record*> candidates;
  for (const auto& [id, known] : members_) {
    const bool alive = known.record.state == member_state::alive;
    if (alive && id != probe_->target) candidates.push_back(&known.record);
  }
  std::ranges::sort(candidates, {}, [](const auto* r) { return r->id; });
  std::vector<const member_record*> helpers;
  std::ranges::sample(candidates, std::back_inserter(helpers),
                      static_cast<std::ptrdiff_t>(options_.indirect_probes),
                      random_);
  for (const member_record* helper : helpers) {
    message body = make_message(message_kind::ping_req);
    body.sequence = probe_->sequence;
    body.target = probe_->target;
    send(out, *helper, std::move(body));
    ++probe_->helpers_requested;
  }
}

void group::finish_probe(time_point now, outputs& out) {
  const probe ended = *probe_;
  probe_.reset();
  if (ended.acked) {
    if (local_health_score_ > 0) --local_health_score_;
    return;
  }
  // Helpers that sent neither an ack nor a nack suggest a fault of this process
  // rather than of the target.
  if (ended.helpers_requested > ended.helpers_responded) {
    local_health_score_ =
        std::min(local_health_score_ + 1, options_.max_local_health_score);
  }
  suspect(now, out, ended.target);
}

void group::suspect(time_point now, outputs& out, const std::string& id) {
  const member_record* record = find(id);
  if (record == nullptr) return;
  member_record update = *record;
  if (record->state == member_state::alive) {
    update.state = member_state::suspected;
  } else if (record->state == member_state::leaving) {
    update.state = member_state::failed;
  } else {
    return;
  }
  apply(now, out, update);
}

duration group::suspicion_time(const suspicion& entry) const {
  const double size = static_cast<double>(members_.size() + 1);
  const double scale = std::max(1.0, std::log10(size));
  const duration shortest = std::chrono::duration_cast<duration>(
      options_.probe_period * (options_.suspicion_min_periods * scale));
  const duration longest = std::chrono::duration_cast<duration>(
      shortest * options_.suspicion_max_factor);
  const double confirmations = static_cast<double>(entry.confirmers.size());
  const double fraction =
      std::log(confirmations + 1.0) /
      std::log(static_cast<double>(options_.suspicion_confirmations) + 1.0);
  const duration shortened =
      std::chrono::duration_cast<duration>((longest - shortest) * fraction);
  return std::max(shortest, longest - shortened);
}

void group::expire_suspicions(time_point now, outputs& out) {
  std::vector<std::string> expired;
  for (const auto& [id, entry] : suspicions_) {
    if (now >= entry.started_at + suspicion_time(entry)) expired.push_back(id);
  }
  for (const std::string& id : expired) {
    member_record update = *find(id);
    update.state = member_state::failed;
    apply(now, out, update);
  }
}

void group::update_relayed_probes(time_point now, outputs& out) {
  for (relayed_probe& entry : relayed_) {
    if (now < entry.nack_at) continue;
    entry.nack_at = time_point::max();
    const member_record* requester = find(entry.requester);
    if (requester == nullptr) continue;
    message body = make_message(message_kind::nack);
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
  message body = make_message(message_kind::ping);
  body.sequence = ++sequence_;
  body.target = received.target;
  // A nack is sent before the probe timeout, so that it arrives in time.
  constexpr double nack_fraction = 0.8;
  relayed_.push_back(
      {.requester = received.from,
       .sequence = received.sequence,
       .ping_sequence = body.sequence,
       .nack_at = now + std::chrono::duration_cast<duration>(
                            options_.probe_timeout * nack_fraction),
       .expires_at = now + options_.probe_period});
  send(out, *target, std::move(body));
}

void group::on_ack(time_point /*now*/, outputs& out, const message& received) {
  if (probe_ && probe_->sequence == received.sequence) {
    if (received.kind == message_kind::nack) {
      ++probe_->helpers_responded;
      return;
    }
    probe_->acked = true;
    if (received.from != probe_->target) ++probe_->helpers_responded;
    return;
  }
  const auto relay = std::ranges::find(relayed_, received.sequence,
                                       &relayed_probe::ping_sequence);
  if (relay == relayed_.end() || received.kind == message_kind::nack) return;
  const member_record* requester = find(relay->requester);
  if (requester != nullptr) {
    message body = make_message(message_kind::ack);
    body.sequence = relay->sequence;
    send(out, *requester, std::move(body));
  }
  relayed_.erase(relay);
}

outputs group::leave(time_point /*now*/, member_state new_state) {
  outputs out;
  self_.state = new_state;
  enqueue(self_.id);
  // Notifies the members of this data centre directly, and others up to the
  // minimum number of targets. The rest is notified by gossip.
  std::vector<std::string> targets =
      rendezvous_order(self_.data_centre, "leave");
  constexpr std::size_t min_direct_targets = 8;
  for (const auto& [id, known] : members_) {
    if (targets.size() >= min_direct_targets) break;
    if (reachable(known.record)) targets.push_back(id);
  }
  for (const std::string& id : targets) {
    const member_record* record = find(id);
    if (id == self_.id || record == nullptr) continue;
    message body = make_message(message_kind::ping);
    body.sequence = ++sequence_;
    body.target = id;
    body.updates.push_back(self_);
    send(out, *record, std::move(body));
  }
  return out;
}

}  // namespace medlarloft::membership
