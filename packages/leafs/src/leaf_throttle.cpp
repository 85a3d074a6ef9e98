#include "leaf_throttle.hpp"

#include <algorithm>
#include <utility>

namespace medlarloft::leafs {
namespace {

/// Consecutive failures after which a leaf is ejected.
constexpr std::uint32_t failures_to_eject = 2;
constexpr std::uint32_t max_ejection_doublings = 4;
/// Shortest and longest time between two requests to a leaf that states a
/// limit. The shortest is not zero, as the pacer divides by it.
constexpr std::chrono::duration<double> min_period =
    std::chrono::microseconds(1);
constexpr std::chrono::duration<double> max_period = std::chrono::hours(1);

duration period_of(double rate) {
  return std::chrono::duration_cast<duration>(std::clamp(
      std::chrono::duration<double>(1 / rate), min_period, max_period));
}

}  // namespace

void leaf_throttle::set_cold_until(time_point now, time_point until) {
  // What was saved up before belongs to an earlier cold phase.
  if (!cold(now)) cold_tokens_.reset();
  cold_until_ = until;
}

void leaf_throttle::set_cold_rate(time_point now, std::optional<double> rate) {
  const bool starts_empty = !cold_tokens_ || rate == 0;
  if (!rate) {
    cold_tokens_.reset();
  } else if (starts_empty) {
    cold_tokens_ = token_bucket({.rate_per_second = *rate, .burst = 1});
    cold_tokens_->set_rate(now, *rate);
  } else {
    cold_tokens_->set_rate(now, *rate);
  }
}

void leaf_throttle::set_stated_rate(time_point now, double rate) {
  if (stated_limit_) stated_limit_->pacer.set_period(now, period_of(rate));
}

std::optional<unavailable_reason> leaf_throttle::unavailable(
    time_point now, const quota& own) const {
  if (leaving_) return unavailable_reason::none_registered;
  if (ejected() && (now < ejected_until_ || trial_in_flight_))
    return unavailable_reason::all_dark;
  if (paused(now)) return unavailable_reason::all_paused;
  if (!in_flight_limit_.admits(now, own.in_flight, own.max_in_flight))
    return unavailable_reason::all_busy;
  if (cold(now) && cold_tokens_) {
    token_bucket tokens = *cold_tokens_;
    if (!tokens.try_consume(now)) return unavailable_reason::all_busy;
  }
  if (stated_limit_ && !stated_limit_->pacer.admits(now))
    return unavailable_reason::all_limited;
  return std::nullopt;
}

void leaf_throttle::on_sent(time_point now) {
  if (ejected()) trial_in_flight_ = true;
  if (cold(now) && cold_tokens_) cold_tokens_->try_consume(now);
  if (stated_limit_) stated_limit_->pacer.consume(now);
}

void leaf_throttle::on_ended(time_point now, attempt_outcome outcome,
                             std::size_t in_flight, duration expected_time) {
  trial_in_flight_ = false;
  switch (outcome) {
    case attempt_outcome::answered:
      consecutive_failures_ = 0;
      in_flight_limit_.on_answered(now, in_flight, expected_time);
      break;
    case attempt_outcome::failed:
    case attempt_outcome::lost:
    case attempt_outcome::silent:
      record_failure(now, false);
      break;
    case attempt_outcome::no_connection:
    case attempt_outcome::misdirected:
      record_failure(now, true);
      break;
    case attempt_outcome::shed:
      in_flight_limit_.on_shed(now, in_flight, expected_time);
      break;
    case attempt_outcome::abandoned:
      break;
  }
}

void leaf_throttle::record_failure(time_point now, bool eject_now) {
  ++consecutive_failures_;
  if (eject_now)
    consecutive_failures_ = std::max(consecutive_failures_, failures_to_eject);
  if (!ejected()) return;
  const std::uint32_t doublings = std::min(
      consecutive_failures_ - failures_to_eject, max_ejection_doublings);
  ejected_until_ = now + std::min(options_.initial_ejection * (1U << doublings),
                                  options_.max_ejection);
}

report_changes leaf_throttle::on_report(time_point now, time_point sent_at,
                                        const leaf_report& report,
                                        double phase) {
  report_changes changes{.limit = update_limit(now, sent_at, report, phase)};
  if (report.pause) {
    changes.pause_shortened = *report.pause > options_.max_pause;
    const time_point until = now + std::min(*report.pause, options_.max_pause);
    // Several requests were turned away: the latest end holds.
    changes.pause = until > paused_until_;
    paused_until_ = std::max(paused_until_, until);
  }
  if (report.leaving) changes.leaving = !std::exchange(leaving_, true);
  return changes;
}

// A response that was overtaken by a later one may state a limit that no longer
// holds. A lower limit holds at once; a higher one, or none, only if the
// request was sent after the last statement had arrived.
bool leaf_throttle::update_limit(time_point now, time_point sent_at,
                                 const leaf_report& report, double phase) {
  if (report.limit_malformed) return false;
  if (!stated_limit_) {
    if (!report.rate_limit) return false;
    stated_limit_ = {.rate = *report.rate_limit,
                     .stated_at = now,
                     .pacer = request_pacer(now, period_of(0), phase)};
    return true;
  }
  const bool lower =
      report.rate_limit && *report.rate_limit <= stated_limit_->rate;
  if (!lower && sent_at < stated_limit_->stated_at) return false;
  if (!report.rate_limit) {
    stated_limit_.reset();
    return true;
  }
  stated_limit_->stated_at = now;
  const double previous =
      std::exchange(stated_limit_->rate, *report.rate_limit);
  return *report.rate_limit != previous;
}

bool leaf_throttle::ejected() const noexcept {
  return consecutive_failures_ >= failures_to_eject;
}

std::optional<double> leaf_throttle::rate_limit() const {
  return stated_limit_ ? std::optional(stated_limit_->rate) : std::nullopt;
}

time_point leaf_throttle::earliest_turn(time_point now) const {
  const time_point from = std::max(now, paused_until_);
  return stated_limit_ ? stated_limit_->pacer.next_turn(from) : from;
}

double leaf_throttle::average_in_flight(std::size_t max_in_flight,
                                        duration response_time) const {
  const double in_flight = in_flight_limit_.average_in_flight(max_in_flight);
  if (!stated_limit_) return in_flight;
  return std::min(in_flight, std::chrono::duration<double>(response_time) /
                                 stated_limit_->pacer.period());
}

}  // namespace medlarloft::leafs
