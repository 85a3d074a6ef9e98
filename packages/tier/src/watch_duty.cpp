#include "watch_duty.hpp"

#include <algorithm>

namespace medlarloft::tier {
namespace {

/// Names the duty when members are ranked.
constexpr std::string_view duty_name = "store";
/// Word that is fresher by less is not passed on.
constexpr duration worth_passing_on = std::chrono::milliseconds(200);

}  // namespace

bool watch_duty::heard(time_point now, std::chrono::milliseconds age) {
  if (age == membership::unknown_age) return false;
  const time_point at = now - age;
  const bool news = !answered_at_ || at >= *answered_at_ + worth_passing_on;
  answered_at_ = std::max(answered_at_.value_or(at), at);
  return news;
}

void watch_duty::answered(time_point now) {
  answered_at_ = now;
}

bool watch_duty::failing(time_point now, const std::string& reader,
                         bool fails) {
  if (!fails) {
    failing_.erase(reader);
    return false;
  }
  const auto [known, fresh] = failing_.try_emplace(reader, now);
  const bool news = fresh || now - known->second >= options_.told_again_after;
  if (news) known->second = now;
  return news;
}

std::chrono::milliseconds watch_duty::age(time_point now) const {
  if (!answered_at_) return membership::unknown_age;
  return std::chrono::duration_cast<std::chrono::milliseconds>(now -
                                                               *answered_at_);
}

bool watch_duty::fresh(time_point now) const {
  return answered_at_ && now - *answered_at_ < options_.stale_after;
}

bool watch_duty::reads(time_point now, const membership::group& members,
                       const std::string& data_centre, const std::string& id,
                       std::size_t data_centres) {
  const std::size_t each =
      std::max<std::size_t>((options_.least_watchers + data_centres - 1) /
                                std::max<std::size_t>(data_centres, 1),
                            1);
  std::erase_if(failing_, [this, now](const auto& entry) {
    return now - entry.second > options_.passed_over_for;
  });
  // Those that get no answer go on reading, behind those that may.
  auto ranked = members.ranked(data_centre, duty_name);
  std::stable_partition(ranked.begin(), ranked.end(), [this](const auto& who) {
    return !failing_.contains(who);
  });
  const bool self_fails = failing_.contains(id);
  const auto first = ranked.begin();
  const auto last =
      first + static_cast<std::ptrdiff_t>(std::min(each, ranked.size()));
  if (now < started_ + options_.first_wait && !answered_at_) return false;
  if (!fresh(now)) {
    stand_in_until_ = now + (answered_at_ ? options_.stand_in_time
                                          : options_.first_stand_in_time);
  }
  if (stand_in_until_ && now < *stand_in_until_) return true;
  return self_fails || std::find(first, last, id) != last;
}

}  // namespace medlarloft::tier
