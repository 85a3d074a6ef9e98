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

std::string_view name_of(dedup_verdict what) noexcept {
  return verdict_names[static_cast<std::size_t>(what)];
}

void dedup_table::expire(wall_time now) {
  // An entry must outlive every time at which its id can still be run, which
  // is the window and the skew in both directions.
  const auto keep = micros(options_.repeat_window + 2 * options_.max_skew);
  std::erase_if(known_, [&](const auto& item) {
    return item.second.state != request_state::running &&
           item.second.issued + keep < now;
  });
}

dedup_verdict dedup_table::try_start(wall_time now, const std::string& id,
                                     wall_time issued, wall_time owner_since) {
  const auto found = known_.find(id);
  if (found != known_.end()) {
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
  const wall_time since = std::max(owner_since, remembers_since_);
  if (issued < since + micros(options_.max_skew)) {
    return dedup_verdict::unknown;
  }
  if (known_.size() >= options_.capacity) expire(now);
  if (known_.size() >= options_.capacity) return dedup_verdict::full;
  known_.emplace(id, entry{request_state::running, issued, {}});
  return dedup_verdict::run;
}

void dedup_table::finish(const std::string& id, request_state how,
                         std::string answer) {
  const auto found = known_.find(id);
  if (found == known_.end()) return;
  if (how == request_state::not_run) {
    known_.erase(found);
    return;
  }
  found->second.state = how;
  found->second.answer = std::move(answer);
}

std::optional<std::string> dedup_table::answer(const std::string& id) const {
  const auto found = known_.find(id);
  if (found == known_.end()) return std::nullopt;
  return found->second.answer;
}

}  // namespace medlarloft::admission
