#include <algorithm>
#include <array>

#include "medlarloft/admission.hpp"

namespace medlarloft::admission {
namespace {

constexpr std::array<std::string_view, 7> verdict_names{
    "run", "repeat", "running", "unknown", "expired", "early", "full"};

std::chrono::microseconds micros(duration value) {
  return std::chrono::duration_cast<std::chrono::microseconds>(value);
}

}  // namespace

std::string_view name_of(once_verdict what) noexcept {
  return verdict_names[static_cast<std::size_t>(what)];
}

void once_ledger::expire(wall_time now) {
  // An entry must outlive every time at which its id can still be run, which
  // is the window and the skew in both directions.
  const auto keep = micros(options_.repeat_window + 2 * options_.max_skew);
  std::erase_if(known_, [&](const auto& item) {
    return item.second.state != known_state::running &&
           item.second.issued + keep < now;
  });
}

once_verdict once_ledger::show(wall_time now, const std::string& id,
                               wall_time issued, wall_time owner_since) {
  const auto found = known_.find(id);
  if (found != known_.end()) {
    if (found->second.state == known_state::running) {
      return once_verdict::running;
    }
    if (found->second.state == known_state::unknown) {
      return once_verdict::unknown;
    }
    return once_verdict::repeat;
  }
  if (issued > now + micros(options_.max_skew)) return once_verdict::early;
  if (issued + micros(options_.repeat_window) < now) {
    return once_verdict::expired;
  }
  const wall_time since = std::max(owner_since, remembers_since_);
  if (issued < since + micros(options_.max_skew)) {
    return once_verdict::unknown;
  }
  if (known_.size() >= options_.capacity) expire(now);
  if (known_.size() >= options_.capacity) return once_verdict::full;
  known_.emplace(id, entry{known_state::running, issued, {}});
  return once_verdict::run;
}

void once_ledger::ended(const std::string& id, known_state how,
                        std::string answer) {
  const auto found = known_.find(id);
  if (found == known_.end()) return;
  if (how == known_state::not_run) {
    known_.erase(found);
    return;
  }
  found->second.state = how;
  found->second.answer = std::move(answer);
}

std::optional<std::string> once_ledger::answer(const std::string& id) const {
  const auto found = known_.find(id);
  if (found == known_.end()) return std::nullopt;
  return found->second.answer;
}

}  // namespace medlarloft::admission
