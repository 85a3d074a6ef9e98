#include <algorithm>
#include <cmath>
#include <numeric>

#include "departed_leafs.hpp"
#include "leaf_choice.hpp"
#include "leaf_throttle.hpp"
#include "medlarloft/leafs.hpp"
#include "rate_shares.hpp"
#include "steady_slowness.hpp"

namespace medlarloft::leafs {
namespace {

/// Weights of the newest sample in the exponential moving averages.
constexpr double work_time_weight = 0.05;
constexpr double slowness_weight = 0.4;
constexpr double round_trip_weight = 0.2;
constexpr double failure_rate_weight = 0.25;
/// A sample of the work time is capped at this multiple of the average.
constexpr double max_sample_factor = 4.0;
constexpr double max_slowness = 30.0;
/// Cost added for a failure rate of 1, in multiples of the work time.
constexpr double failure_cost = 8.0;
/// A leaf with a higher failure rate is not preferred: four seconds after one
/// failed request.
constexpr double max_preferred_failure_rate = failure_rate_weight / 4;
/// A leaf in another data centre must be cheaper by this factor.
constexpr double remote_cost_factor = 1.15;
/// Each request of this daemon counts as this many in the load of a leaf, since
/// other daemons send requests to it as well.
constexpr double load_factor = 2.0;
/// The same where more daemons compete than there are slots, so that each of
/// them has few requests in flight.
constexpr double contended_load_factor = 6.0;
/// A leaf's cost is randomly increased by up to this fraction, to break ties
/// between equal leafs.
constexpr double tie_jitter = 0.05;
/// A paused leaf resumes within about this time.
constexpr duration pause_cost = std::chrono::milliseconds(120);
/// Lower bound of measured work times, so that ratios stay finite.
constexpr duration min_work_time = std::chrono::microseconds(1);

duration scaled(duration value, double factor) {
  return std::chrono::duration_cast<duration>(value * factor);
}

// Returns what is left of a measured value after `age`.
double faded(double value, duration age, duration half_life) {
  const double half_lives = std::chrono::duration<double>(age) / half_life;
  return value * std::exp2(-std::max(half_lives, 0.0));
}

// A write that the store carries out late may be older than one that it carried
// out before. Starts that are not known cannot be told apart.
bool is_older_write(const leaf_registration& write,
                    const leaf_registration& known) {
  return write.start_id != 0 && write.write_number != 0 &&
         write.write_number < known.write_number;
}

}  // namespace

leaf_set::leaf_set(options settings, std::uint64_t seed)
    : options_(std::move(settings)),
      seed_(seed),
      random_(seed),
      departed_(std::make_shared<departed_leafs>(departed_leafs::options{})),
      shares_(std::make_shared<rate_shares>(
          rate_shares::options{.handover_delay = options_.handover_delay,
                               .cold_users = options_.cold_burst,
                               .min_stated_limit = options_.min_rate_limit})) {}

leaf_handle leaf_set::put(time_point now,
                          const leaf_registration& registration) {
  const auto found = by_id_.find(registration.id);
  if (found != by_id_.end()) {
    leaf_state& known = *leafs_[found->second];
    if (same_start(*known.registration, registration)) {
      if (is_older_write(registration, *known.registration))
        return found->second;
      known.registration =
          std::make_shared<const leaf_registration>(registration);
      known.throttle->set_cold_until(now, now + registration.cold_time_left);
      update_rates(now, known);
      return found->second;
    }
    remove(now, registration.id);
  }
  const auto departed = departed_->take(registration);
  const leaf_handle handle = departed ? *departed : add_leaf();
  leaf_state& leaf = *leafs_[handle];
  if (departed && is_older_write(registration, *leaf.registration)) {
    departed_->add(now, handle, leaf.registration);
    return handle;
  }
  leaf.registration = std::make_shared<const leaf_registration>(registration);
  leaf.registered = true;
  leaf.throttle->set_cold_until(now, now + registration.cold_time_left);
  by_id_[registration.id] = handle;
  by_service_[registration.service].push_back(handle);
  update_rates(now, leaf);
  return handle;
}

leaf_handle leaf_set::add_leaf() {
  const auto handle = static_cast<leaf_handle>(leafs_.size());
  leafs_.push_back(std::make_unique<leaf_state>());
  leafs_.back()->throttle = std::make_shared<leaf_throttle>(
      leaf_throttle::options{.initial_ejection = options_.initial_ejection,
                             .max_ejection = options_.max_ejection,
                             .max_pause = options_.max_pause});
  leafs_.back()->steady = std::make_shared<steady_slowness>();
  return handle;
}

void leaf_set::remove(time_point now, const std::string& id) {
  const auto found = by_id_.find(id);
  if (found == by_id_.end()) return;
  const leaf_handle handle = found->second;
  leaf_state& known = *leafs_[handle];
  known.registered = false;
  std::erase(by_service_[known.registration->service], handle);
  by_id_.erase(found);
  departed_->add(now, handle, known.registration);
  forget_departed(now);
}

void leaf_set::forget_departed(time_point now) {
  for (const leaf_handle handle : departed_->take_expired(now)) {
    leaf_state& leaf = *leafs_[handle];
    if (leaf.open_attempts.empty()) {
      leafs_[handle].reset();
    } else {
      departed_->add(now, handle, leaf.registration);
    }
  }
}

void leaf_set::set_data_centres_out(std::set<std::string> data_centres) {
  data_centres_out_ = std::move(data_centres);
}

void leaf_set::set_limits(time_point now, const std::string& service,
                          service_limits limits) {
  limits_[service] = limits;
  for (const leaf_handle each : leafs_of(service))
    update_rates(now, *leafs_[each]);
}

void leaf_set::set_quota(time_point now, daemon_quota quota) {
  const bool was_settled = shares_->settled();
  shares_->set_quota(now, quota);
  quota_ = std::move(quota);
  if (was_settled && shares_->settled()) return;
  for (const auto& [id, handle] : by_id_)
    update_rates(now, *leafs_[handle]);
}

report_changes leaf_set::on_report(time_point now, leaf_handle handle,
                                   time_point sent_at,
                                   const leaf_report& report) {
  if (!leafs_[handle]) return {};
  leaf_state& leaf = *leafs_[handle];
  const report_changes changes =
      leaf.throttle->on_report(now, sent_at, report, random_.uniform());
  if (changes.limit) update_rates(now, leaf);
  return changes;
}

time_point leaf_set::earliest_turn(time_point now,
                                   const std::string& service) const {
  time_point earliest = time_point::max();
  for (const leaf_handle handle : leafs_of(service)) {
    const leaf_state& leaf = *leafs_[handle];
    if (!accepts_requests(leaf)) continue;
    earliest = std::min(earliest, leaf.throttle->earliest_turn(now));
  }
  return earliest == time_point::max() ? now : earliest;
}

// The daemons that may use a cold leaf share its rate equally. Each bucket
// holds one token at most, so that together they send at most `cold_burst`
// requests at once. Of a limit that a leaf states each daemon has a fraction.
void leaf_set::update_rates(time_point now, leaf_state& leaf) {
  const leaf_registration& registration = *leaf.registration;
  const auto limits = limits_.find(registration.service);
  const double rate =
      limits == limits_.end() ? 0.0 : limits->second.cold_rate_limit;
  if (rate <= 0) {
    leaf.throttle->set_cold_rate(now, std::nullopt);
  } else if (leaf.throttle->cold(now)) {
    leaf.throttle->set_cold_rate(
        now, shares_->cold_rate(now, registration.id, rate));
  }
  if (const auto limit = leaf.throttle->rate_limit()) {
    leaf.throttle->set_stated_rate(now, shares_->stated_rate(now, *limit));
  }
}

std::vector<leaf_handle> leaf_set::leafs_of(const std::string& service) const {
  const auto found = by_service_.find(service);
  return found == by_service_.end() ? std::vector<leaf_handle>{}
                                    : found->second;
}

std::size_t leaf_set::connection_limit(const std::string& service) const {
  const auto found = limits_.find(service);
  if (found == limits_.end()) return 1;
  const double quota = found->second.max_connections * quota_.fraction;
  return std::max<std::size_t>(static_cast<std::size_t>(quota), 1);
}

duration leaf_set::work_time(const std::string& work_class) const {
  const auto found = work_times_.find(work_class);
  return found == work_times_.end() ? options_.default_work_time
                                    : found->second;
}

duration leaf_set::round_trip(const leaf_state& leaf) const {
  const std::string& data_centre = leaf.registration->data_centre;
  if (data_centre == options_.local_data_centre) return duration::zero();
  const auto found = round_trips_.find(data_centre);
  return found == round_trips_.end() ? options_.default_remote_round_trip
                                     : found->second;
}

double leaf_set::slowness(time_point now, const leaf_state& leaf) const {
  if (leaf.slowness <= 1) return leaf.slowness;
  return 1 + faded(leaf.slowness - 1, now - leaf.slowness_updated_at,
                   options_.slowness_half_life);
}

double leaf_set::failure_rate(time_point now, const leaf_state& leaf) const {
  return faded(leaf.failure_rate, now - leaf.failure_rate_updated_at,
               options_.failure_half_life);
}

// With few responses of each leaf the recent slowness is mostly noise, and the
// steady one misses a slowdown. Their geometric mean reduces both errors.
double leaf_set::contended_slowness(time_point now,
                                    const leaf_state& leaf) const {
  return std::sqrt(slowness(now, leaf) * leaf.steady->value(now));
}

duration leaf_set::expected_leaf_time(time_point now, const leaf_state& leaf,
                                      const std::string& work_class) const {
  return scaled(work_time(work_class), slowness(now, leaf)) + round_trip(leaf);
}

duration leaf_set::expected_time(time_point now, leaf_handle handle,
                                 const std::string& work_class) const {
  return expected_leaf_time(now, *leafs_[handle], work_class);
}

duration leaf_set::hedge_delay(time_point now, leaf_handle handle,
                               const std::string& work_class,
                               bool urgent) const {
  const leaf_state& leaf = *leafs_[handle];
  const duration floor =
      urgent ? options_.urgent_overdue_floor : options_.overdue_floor;
  return std::max(scaled(work_time(work_class), options_.overdue_factor),
                  floor) +
         round_trip(leaf) +
         scaled(work_time(work_class), std::min(slowness(now, leaf) - 1, 2.0));
}

bool leaf_set::overdue(time_point now, const leaf_state& leaf) const {
  return std::ranges::any_of(
      leaf.open_attempts, [&](const open_attempt& attempt) {
        const duration limit =
            std::max(scaled(attempt.expected_time, options_.overdue_factor),
                     options_.overdue_floor);
        return now - attempt.sent_at > limit;
      });
}

bool leaf_set::accepts_requests(const leaf_state& leaf) const {
  return leaf.registered && !leaf.registration->draining &&
         !leaf.throttle->leaving() &&
         !data_centres_out_.contains(leaf.registration->data_centre);
}

std::size_t leaf_set::max_in_flight(const leaf_state& leaf) const {
  const double slots = options_.in_flight_per_slot * leaf.registration->slots;
  const auto daemons =
      static_cast<double>(std::max<std::size_t>(quota_.daemons, 1));
  const auto fair_limit = static_cast<std::size_t>(std::ceil(slots / daemons));
  return std::min(std::max(fair_limit, options_.min_in_flight),
                  connection_limit(leaf.registration->service));
}

std::optional<unavailable_reason> leaf_set::leaf_unavailable_reason(
    time_point now, const leaf_state& leaf) const {
  if (!accepts_requests(leaf)) return unavailable_reason::none_registered;
  return leaf.throttle->unavailable(now,
                                    {.in_flight = leaf.open_attempts.size(),
                                     .max_in_flight = max_in_flight(leaf)});
}

double leaf_set::cost(time_point now, const leaf_state& leaf,
                      const std::string& work_class) const {
  return cost(now, leaf, work_class, slowness(now, leaf), load_factor);
}

double leaf_set::contended_cost(time_point now, const leaf_state& leaf,
                                const std::string& work_class) const {
  return cost(now, leaf, work_class, contended_slowness(now, leaf),
              contended_load_factor);
}

double leaf_set::cost(time_point now, const leaf_state& leaf,
                      const std::string& work_class, double leaf_slowness,
                      double load_weight) const {
  const duration base = work_time(work_class);
  const double load = load_weight *
                      static_cast<double>(leaf.open_attempts.size()) /
                      std::max<std::uint32_t>(leaf.registration->slots, 1);
  duration total = scaled(base, leaf_slowness * (1 + load));
  total += scaled(base, failure_cost * failure_rate(now, leaf));
  total += round_trip(leaf);
  if (overdue(now, leaf)) total += pause_cost + base;
  const double remote_factor =
      leaf.registration->data_centre == options_.local_data_centre
          ? 1
          : remote_cost_factor;
  return std::chrono::duration<double>(total).count() * remote_factor;
}

result<leaf_handle, unavailable_reason> leaf_set::pick(
    time_point now, const std::string& service, const std::string& work_class,
    const leaf_filter& filter) {
  const auto candidates = by_service_.find(service);
  unavailable_reason reason = unavailable_reason::none_registered;
  if (candidates == by_service_.end()) return reason;
  std::optional<leaf_handle> best;
  double best_cost = 0;
  std::vector<leaf_handle> usable;
  const bool contended = is_contended(quota_, slots(candidates->second));
  for (const leaf_handle handle : candidates->second) {
    const leaf_state& leaf = *leafs_[handle];
    if (!accepts_requests(leaf)) continue;
    const bool excluded =
        std::ranges::find(filter.excluded, handle) != filter.excluded.end();
    const bool allowed =
        filter.allowed.empty() ||
        std::ranges::find(filter.allowed, handle) != filter.allowed.end();
    if (excluded || !allowed) {
      reason = std::max(reason, unavailable_reason::all_tried);
      continue;
    }
    if (const auto unavailable = leaf_unavailable_reason(now, leaf)) {
      reason = std::max(reason, *unavailable);
      continue;
    }
    if (contended) usable.push_back(handle);
    const double jitter = 1 + tie_jitter * random_.uniform();
    const double leaf_cost = cost(now, leaf, work_class) * jitter;
    if (best && leaf_cost >= best_cost) continue;
    best = handle;
    best_cost = leaf_cost;
  }
  if (!best) return reason;
  return contended ? choose_contended(now, *best, usable, work_class) : *best;
}

std::size_t leaf_set::slots(const std::vector<leaf_handle>& leafs) const {
  return std::accumulate(
      leafs.begin(), leafs.end(), std::size_t{0},
      [this](std::size_t sum, leaf_handle handle) {
        const leaf_state& leaf = *leafs_[handle];
        return accepts_requests(leaf) ? sum + leaf.registration->slots : sum;
      });
}

// Which data centre serves the request depends on the best leaf alone.
leaf_handle leaf_set::choose_contended(time_point now, leaf_handle best,
                                       const std::vector<leaf_handle>& usable,
                                       const std::string& work_class) const {
  const std::string& data_centre = leafs_[best]->registration->data_centre;
  std::vector<leaf_candidate> candidates;
  for (const leaf_handle handle : usable) {
    const leaf_state& leaf = *leafs_[handle];
    if (leaf.registration->data_centre != data_centre) continue;
    candidates.push_back(
        {.leaf = handle,
         .preference = hash64(leaf.registration->id, seed_),
         .cost = contended_cost(now, leaf, work_class),
         .failing = failure_rate(now, leaf) > max_preferred_failure_rate});
  }
  return choose_leaf(candidates);
}

std::optional<unavailable_reason> leaf_set::service_unavailable_reason(
    time_point now, const std::string& service) const {
  unavailable_reason reason = unavailable_reason::none_registered;
  for (const leaf_handle handle : leafs_of(service)) {
    const auto unavailable = leaf_unavailable_reason(now, *leafs_[handle]);
    if (!unavailable) return std::nullopt;
    reason = std::max(reason, *unavailable);
  }
  return reason;
}

void leaf_set::on_attempt_sent(time_point now, leaf_handle handle,
                               attempt_id attempt,
                               const std::string& work_class) {
  leaf_state& leaf = *leafs_[handle];
  leaf.open_attempts.push_back(
      {attempt, now, expected_leaf_time(now, leaf, work_class), work_class});
  leaf.throttle->on_sent(now);
}

void leaf_set::on_attempt_ended(time_point now, leaf_handle handle,
                                attempt_id attempt, attempt_outcome outcome) {
  leaf_state& leaf = *leafs_[handle];
  const auto found =
      std::ranges::find(leaf.open_attempts, attempt, &open_attempt::id);
  if (found == leaf.open_attempts.end()) return;
  const open_attempt ended = *found;
  const std::size_t in_flight = leaf.open_attempts.size();
  leaf.open_attempts.erase(found);
  const bool counts_as_failure = outcome != attempt_outcome::answered &&
                                 outcome != attempt_outcome::abandoned;
  if (outcome != attempt_outcome::abandoned) {
    const double previous_rate = failure_rate(now, leaf);
    leaf.failure_rate =
        previous_rate +
        failure_rate_weight * ((counts_as_failure ? 1 : 0) - previous_rate);
    leaf.failure_rate_updated_at = now;
  }
  leaf.throttle->on_ended(now, outcome, in_flight, ended.expected_time);
  if (outcome == attempt_outcome::answered) update_estimates(now, leaf, ended);
}

// Returns the processing time of the request as a multiple of the usual one.
double leaf_set::slowdown(time_point now, const leaf_state& leaf,
                          const open_attempt& attempt) const {
  const duration measured_time =
      std::max(now - attempt.sent_at - round_trip(leaf), min_work_time);
  return std::chrono::duration<double>(measured_time) /
         work_time(attempt.work_class);
}

// A pause of a leaf delays every request in flight during it. All of these
// count as one outlier, which doesn't affect the estimates: requests sent after
// the pause are as fast as before. Two consecutive outliers do affect them.
void leaf_set::update_estimates(time_point now, leaf_state& leaf,
                                const open_attempt& attempt) {
  const duration measured_time =
      std::max(now - attempt.sent_at - round_trip(leaf), min_work_time);
  const double factor = slowdown(now, leaf, attempt);
  const double previous_slowness = slowness(now, leaf);
  if (factor > options_.outlier_factor * previous_slowness) {
    if (attempt.sent_at < leaf.last_outlier_at) return;
    leaf.last_outlier_at = now;
    if (++leaf.consecutive_outliers < 2) return;
  } else {
    leaf.consecutive_outliers = 0;
  }
  const double clipped = std::min(factor, max_slowness);
  leaf.slowness =
      previous_slowness + slowness_weight * (clipped - previous_slowness);
  leaf.slowness_updated_at = now;
  leaf.steady->add(now, clipped);
  duration& average =
      work_times_.try_emplace(attempt.work_class, measured_time).first->second;
  const duration sample =
      std::min(scaled(measured_time, 1 / std::max(previous_slowness, 1.0)),
               scaled(average, max_sample_factor));
  average += scaled(sample - average, work_time_weight);
}

std::optional<service_throughput> leaf_set::throughput(
    time_point now, const std::string& service,
    const std::string& work_class) const {
  const auto found = by_service_.find(service);
  if (found == by_service_.end()) return std::nullopt;
  using seconds = std::chrono::duration<double>;
  double total_in_flight = 0;
  double completions_per_second = 0;
  for (const leaf_handle handle : found->second) {
    const leaf_state& leaf = *leafs_[handle];
    const leaf_throttle& throttle = *leaf.throttle;
    const bool excluded =
        throttle.ejected() || throttle.cold(now) || throttle.paused(now);
    if (!accepts_requests(leaf) || excluded) continue;
    const duration response_time = expected_leaf_time(now, leaf, work_class);
    const double leaf_in_flight =
        throttle.average_in_flight(max_in_flight(leaf), response_time);
    total_in_flight += leaf_in_flight;
    completions_per_second += leaf_in_flight / seconds(response_time).count();
  }
  if (completions_per_second <= 0) return std::nullopt;
  return service_throughput{
      .completion_interval = std::chrono::duration_cast<duration>(
          seconds(1 / completions_per_second)),
      .response_time = std::chrono::duration_cast<duration>(
          seconds(total_in_flight / completions_per_second))};
}

void leaf_set::add_round_trip_sample(const std::string& data_centre,
                                     duration value) {
  duration& known = round_trips_.try_emplace(data_centre, value).first->second;
  known += scaled(value - known, round_trip_weight);
}

std::shared_ptr<const leaf_registration> leaf_set::find(
    leaf_handle handle) const {
  const bool known = handle < leafs_.size() && leafs_[handle];
  return known ? leafs_[handle]->registration : nullptr;
}

bool leaf_set::usable(leaf_handle handle) const {
  const bool known = handle < leafs_.size() && leafs_[handle];
  return known && accepts_requests(*leafs_[handle]);
}

std::vector<leaf_status> leaf_set::statuses(time_point now) const {
  std::vector<leaf_status> all;
  for (const auto& [id, handle] : by_id_) {
    const leaf_state& leaf = *leafs_[handle];
    all.push_back({.registration = *leaf.registration,
                   .usable = accepts_requests(leaf),
                   .ejected = leaf.throttle->ejected(),
                   .rate_limit = leaf.throttle->rate_limit(),
                   .paused = leaf.throttle->paused(now),
                   .leaving = leaf.throttle->leaving(),
                   .in_flight = leaf.open_attempts.size(),
                   .slowness = slowness(now, leaf),
                   .steady_slowness = leaf.steady->value(now)});
  }
  std::ranges::sort(all, {}, [](const leaf_status& each) -> const std::string& {
    return each.registration.id;
  });
  return all;
}

load_spread leaf_set::spread(time_point now) const {
  load_spread result;
  std::size_t most_in_flight = 0;
  for (const auto& [service, handles] : by_service_) {
    double highest_load = 0;
    double highest_slowness = 0;
    double slowness_sum = 0;
    std::size_t in_flight = 0;
    std::size_t leaf_count = 0;
    for (const leaf_handle handle : handles) {
      const leaf_state& leaf = *leafs_[handle];
      if (!accepts_requests(leaf)) continue;
      const double slowness = leaf.steady->value(now);
      const auto open = leaf.open_attempts.size();
      ++leaf_count;
      in_flight += open;
      slowness_sum += slowness;
      highest_slowness = std::max(highest_slowness, slowness);
      highest_load =
          std::max(highest_load,
                   static_cast<double>(open) /
                       std::max<std::uint32_t>(leaf.registration->slots, 1));
    }
    if (leaf_count == 0) continue;
    const std::size_t service_slots = slots(handles);
    if (is_contended(quota_, service_slots)) ++result.contended_services;
    result.slowness_ratio = std::max(
        result.slowness_ratio,
        highest_slowness * static_cast<double>(leaf_count) / slowness_sum);
    if (in_flight <= most_in_flight) continue;
    most_in_flight = in_flight;
    result.in_flight_ratio = highest_load * static_cast<double>(service_slots) /
                             static_cast<double>(in_flight);
  }
  return result;
}

}  // namespace medlarloft::leafs
