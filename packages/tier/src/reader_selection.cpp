#include "reader_selection.hpp"

#include <algorithm>

namespace medlarloft::tier {
namespace {

/// Key of the rendezvous hashing that orders the daemons of a data centre.
constexpr std::string_view rendezvous_key = "store";
/// Reports that are newer by less are not forwarded.
constexpr duration min_report_gain = std::chrono::milliseconds(200);

}  // namespace

void reader_selection::confirm_at(time_point current_at) {
  confirmed_at_ = std::max(confirmed_at_.value_or(current_at), current_at);
}

bool reader_selection::handle_report(time_point now,
                                     const copy_report& report) {
  if (report.age == membership::unknown_store_age) return false;
  const time_point current_at = now - report.age;
  answered_at_ = std::max(answered_at_.value_or(current_at), current_at);
  // A daemon that has not yet noticed a restore of the store reports what the
  // store held before.
  if (report.position.era() < copy_position_.era()) return false;
  if (report.position > copy_position_) {
    const pending_report pending{report.position, current_at};
    if (!first_pending_) first_pending_ = pending;
    if (!last_pending_ || pending.position >= last_pending_->position) {
      last_pending_ = pending;
    }
    return false;
  }
  const bool should_forward =
      !confirmed_at_ || current_at >= *confirmed_at_ + min_report_gain;
  confirm_at(current_at);
  return should_forward;
}

void reader_selection::store_answered(time_point now) {
  answered_at_ = now;
}

void reader_selection::resolve(std::optional<pending_report>& pending) {
  if (!pending || pending->position > copy_position_) return;
  if (pending->position.era() == copy_position_.era())
    confirm_at(pending->current_at);
  pending.reset();
}

void reader_selection::set_copy_position(replica::position position) {
  copy_position_ = std::max(copy_position_, position);
  resolve(first_pending_);
  resolve(last_pending_);
  if (!first_pending_) first_pending_ = last_pending_;
}

void reader_selection::confirm_copy(time_point now,
                                    replica::position position) {
  store_answered(now);
  set_copy_position(position);
  confirm_at(now);
}

void reader_selection::reset_after_pause(time_point now) {
  observing_since_ = now;
  answered_at_.reset();
  confirmed_at_.reset();
  first_pending_.reset();
  last_pending_.reset();
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

std::chrono::milliseconds reader_selection::copy_age(time_point now) const {
  if (!confirmed_at_) return membership::unknown_store_age;
  return std::chrono::duration_cast<std::chrono::milliseconds>(now -
                                                               *confirmed_at_);
}

bool reader_selection::is_fresh(time_point now) const {
  return confirmed_at_ && now - *confirmed_at_ < options_.stale_after;
}

bool reader_selection::store_answers(time_point now) const {
  return answered_at_ && now - *answered_at_ < options_.stale_after;
}

replica::store_state reader_selection::state_of_store(time_point now) const {
  if (store_answers(now)) return replica::store_state::answering;
  const bool silent =
      answered_at_ || now - observing_since_ >= options_.stale_after;
  return silent ? replica::store_state::silent : replica::store_state::unknown;
}

bool reader_selection::should_request_changes(time_point now) {
  const duration request_after =
      options_.stale_after / options_.request_divisor;
  const bool confirmed =
      now - confirmed_at_.value_or(started_at_) < request_after;
  const bool requested =
      requested_at_ && now - *requested_at_ < options_.request_interval;
  if (confirmed || requested) return false;
  requested_at_ = now;
  return true;
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
  if (now < started_at_ + options_.startup_delay && !confirmed_at_)
    return false;
  // The first listing takes longer to arrive than the first reports.
  const bool first_listing_due = copy_position_ == replica::position{} &&
                                 store_answers(now) &&
                                 now < started_at_ + options_.listing_wait;
  if (!is_fresh(now) && !first_listing_due) {
    takeover_until_ =
        now + (confirmed_at_ ? options_.min_takeover_time
                             : options_.min_initial_takeover_time);
  }
  if (takeover_until_ && now < *takeover_until_) return true;
  return self_failing || std::find(first, last, id) != last;
}

}  // namespace medlarloft::tier
