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

std::string_view name_of(dedup_verdict value) noexcept {
  return verdict_names[static_cast<std::size_t>(value)];
}

void dedup_table::remove_expired(wall_time now) {
  // An entry must be kept as long as its id could still run: the repeat window
  // plus the clock skew in both directions.
  const auto retention = micros(options_.repeat_window + 2 * options_.max_skew);
  std::erase_if(requests_, [&](const auto& item) {
    return item.second.state != request_state::running &&
           item.second.issued + retention < now;
  });
}

dedup_verdict dedup_table::try_start(wall_time now, const std::string& id,
                                     wall_time issued, wall_time owner_since) {
  const auto found = requests_.find(id);
  if (found != requests_.end()) {
    if (found->second.state == request_state::running) {
      return dedup_verdict::running;
    }
    if (found->second.state == request_state::unknown) {
      return dedup_verdict::unknown;
    }
    return dedup_verdict::repeat;
  }
  if (issued > now + micros(options_.max_skew)) return dedup_verdict::early;
  if (issued + micros(options_.repeat_window) < now) {
    return dedup_verdict::expired;
  }
  const wall_time since = std::max(owner_since, created_at_);
  if (issued < since + micros(options_.max_skew)) {
    return dedup_verdict::unknown;
  }
  if (requests_.size() >= options_.capacity) remove_expired(now);
  if (requests_.size() >= options_.capacity) return dedup_verdict::full;
  requests_.emplace(id, entry{request_state::running, issued, {}});
  return dedup_verdict::run;
}

void dedup_table::finish(const std::string& id, request_state state,
                         std::string answer) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) return;
  if (state == request_state::not_run) {
    requests_.erase(found);
    return;
  }
  found->second.state = state;
  found->second.answer = std::move(answer);
}

std::optional<std::string> dedup_table::answer(const std::string& id) const {
  const auto found = requests_.find(id);
  if (found == requests_.end()) return std::nullopt;
  return found->second.answer;
}

}  // namespace medlarloft::admission
