#include <algorithm>

#include "medlarloft/backends.hpp"

namespace medlarloft::backends {
namespace {

constexpr std::array<std::string_view, 4> evidence_names{
    "start_identity", "lost_connection", "slow_answers", "own_word"};

// Weight of the newest sample in the usual latency.
constexpr int latency_weight = 8;

}  // namespace

std::string_view name_of(cold_evidence why) noexcept {
  return evidence_names[static_cast<std::size_t>(why)];
}

void server_state::set_share(const share& granted) {
  const bool first = share_.slots == 0;
  share_ = granted;
  const double slots = granted.slots;
  adaptive_limit_ = first ? slots : std::min(adaptive_limit_, slots);
  if (granted.slots > 0) adaptive_limit_ = std::max(adaptive_limit_, 1.0);
}

std::uint32_t server_state::limit() const noexcept {
  if (warmth_ == warmth::cold) return std::min(share_.cold, share_.slots);
  return std::min(share_.slots, static_cast<std::uint32_t>(adaptive_limit_));
}

bool server_state::may_start(time_point now) const noexcept {
  return !leaving() && now >= paused_until_ && in_flight_ < limit();
}

void server_state::started(time_point /*now*/) noexcept {
  ++in_flight_;
}

cold_evidence server_state::turn_cold(time_point now, cold_evidence why) {
  warmth_ = warmth::cold;
  answers_since_cold_ = 0;
  slow_seen_ = 0;
  cold_since_ = now;
  return why;
}

bool server_state::is_slow(duration latency) {
  // A cold server is slow by nature; its latency is learnt anew.
  if (warmth_ == warmth::cold || usual_ == duration::zero()) return false;
  const duration bound = std::max(
      options_.slow_floor,
      std::chrono::duration_cast<duration>(usual_ * options_.slow_factor));
  if (latency <= bound) {
    slow_seen_ = 0;
    return false;
  }
  return ++slow_seen_ >= options_.slow_in_a_row;
}

void server_state::learn(const answer_facts& facts) {
  // What stands out is not usual yet: it must not hide the next slow answer.
  if (usual_ == duration::zero()) {
    usual_ = facts.latency;
  } else if (slow_seen_ == 0) {
    usual_ += (facts.latency - usual_) / latency_weight;
  }
  // Grows by about one for each full window of answers.
  const double slots = share_.slots;
  if (adaptive_limit_ < slots) {
    adaptive_limit_ =
        std::min(slots, adaptive_limit_ + 1.0 / std::max(1.0, adaptive_limit_));
  }
  ++answers_since_cold_;
  if (answers_since_cold_ >= options_.warm_after) warmth_ = warmth::warm;
}

std::optional<cold_evidence> server_state::finished(time_point now,
                                                    const answer_facts& facts) {
  if (in_flight_ > 0) --in_flight_;
  if (facts.says_leaving) set_leaving(leaving_source::answer, true);
  const bool warm_before = warmth_ == warmth::warm;
  std::optional<cold_evidence> evidence;
  if (!facts.start_id.empty()) {
    last_answer_ = now;
    if (facts.start_id != start_id_) {
      const bool restarted = !start_id_.empty();
      start_id_ = facts.start_id;
      if (restarted) {
        // A new start is a new server: it is no longer the one that left.
        set_leaving(leaving_source::answer, facts.says_leaving);
        set_leaving(leaving_source::drain, false);
      }
      evidence = turn_cold(now, cold_evidence::start_identity);
    }
  }
  if (facts.says_cold && !evidence) {
    evidence = turn_cold(now, cold_evidence::own_word);
  }
  switch (facts.how) {
    case ending::answered:
      if (!evidence && is_slow(facts.latency)) {
        evidence = turn_cold(now, cold_evidence::slow_answers);
      }
      if (!facts.says_cold) learn(facts);
      break;
    case ending::shed:
      adaptive_limit_ = std::max(1.0, adaptive_limit_ * options_.shed_factor);
      paused_until_ = now + options_.shed_pause;
      break;
    case ending::refused_leaving:
      set_leaving(leaving_source::answer, true);
      break;
    case ending::lost:
      evidence = turn_cold(now, cold_evidence::lost_connection);
      break;
    case ending::timed_out:
    case ending::other:
      break;
  }
  return warm_before ? evidence : std::nullopt;
}

std::optional<cold_evidence> server_state::connection_lost(time_point now) {
  const bool warm_before = warmth_ == warmth::warm;
  const cold_evidence why = turn_cold(now, cold_evidence::lost_connection);
  return warm_before ? std::optional(why) : std::nullopt;
}

std::optional<cold_evidence> server_state::heard_health(
    time_point now, const std::string& start_id, bool says_leaving) {
  const bool restarted =
      !start_id_.empty() && !start_id.empty() && start_id != start_id_;
  if (!restarted) {
    if (says_leaving) set_leaving(leaving_source::drain, true);
    return std::nullopt;
  }
  const bool warm_before = warmth_ == warmth::warm;
  start_id_ = start_id;
  set_leaving(leaving_source::answer, false);
  set_leaving(leaving_source::drain, says_leaving);
  const cold_evidence why = turn_cold(now, cold_evidence::start_identity);
  return warm_before ? std::optional(why) : std::nullopt;
}

bool server_state::take_report(const warm_report& report) {
  if (warmth_ == warmth::warm) return false;
  const bool newer = report.heard_at > cold_since_ + options_.report_margin;
  if (!newer || report.start_id.empty()) return false;
  start_id_ = report.start_id;
  warmth_ = warmth::warm;
  return true;
}

void server_state::set_leaving(leaving_source source, bool leaves) {
  leaving_[static_cast<std::size_t>(source)] = leaves;
}

bool server_state::leaving() const noexcept {
  return std::ranges::any_of(leaving_, [](bool said) { return said; });
}

}  // namespace medlarloft::backends
