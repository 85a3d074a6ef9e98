#include "reader_selection.hpp"

#include <algorithm>

namespace medlarloft::tier {
namespace {

/// Key of the rendezvous hashing that orders the daemons of a data centre.
constexpr std::string_view rendezvous_key = "store";
/// Reports that are newer by less are not forwarded.
constexpr duration min_report_gain = std::chrono::milliseconds(200);

}  // namespace

bool reader_selection::handle_report(time_point now,
                                     std::chrono::milliseconds age) {
  if (age == membership::unknown_store_age) return false;
  const time_point answered_at = now - age;
  const bool should_forward =
      !answered_at_ || answered_at >= *answered_at_ + min_report_gain;
  answered_at_ = std::max(answered_at_.value_or(answered_at), answered_at);
  return should_forward;
}

void reader_selection::store_answered(time_point now) {
  answered_at_ = now;
}

bool reader_selection::set_failing(time_point now, const std::string& reader,
                                   bool failing) {
  if (!failing) {
    failing_.erase(reader);
    return false;
  }
  const auto [entry, inserted] = failing_.try_emplace(reader, now);
  const bool should_report =
      inserted || now - entry->second >= options_.failure_report_interval;
  if (should_report) entry->second = now;
  return should_report;
}

std::chrono::milliseconds reader_selection::store_age(time_point now) const {
  if (!answered_at_) return membership::unknown_store_age;
  return std::chrono::duration_cast<std::chrono::milliseconds>(now -
                                                               *answered_at_);
}

bool reader_selection::is_fresh(time_point now) const {
  return answered_at_ && now - *answered_at_ < options_.stale_after;
}

bool reader_selection::should_read(time_point now,
                                   const membership::group& members,
                                   const std::string& data_centre,
                                   const std::string& id,
                                   std::size_t data_centres) {
  const std::size_t readers_per_data_centre =
      std::max<std::size_t>((options_.min_readers + data_centres - 1) /
                                std::max<std::size_t>(data_centres, 1),
                            1);
  std::erase_if(failing_, [this, now](const auto& entry) {
    return now - entry.second > options_.failure_retention;
  });
  // Failing readers keep reading, but are ordered behind the others, so that
  // another daemon reads as well.
  auto candidates = members.rendezvous_order(data_centre, rendezvous_key);
  std::stable_partition(
      candidates.begin(), candidates.end(),
      [this](const auto& daemon) { return !failing_.contains(daemon); });
  const bool self_failing = failing_.contains(id);
  const auto first = candidates.begin();
  const auto last = first + static_cast<std::ptrdiff_t>(std::min(
                                readers_per_data_centre, candidates.size()));
  if (now < started_at_ + options_.startup_delay && !answered_at_) return false;
  if (!is_fresh(now)) {
    takeover_until_ = now + (answered_at_ ? options_.min_takeover_time
                                          : options_.min_initial_takeover_time);
  }
  if (takeover_until_ && now < *takeover_until_) return true;
  return self_failing || std::find(first, last, id) != last;
}

}  // namespace medlarloft::tier
