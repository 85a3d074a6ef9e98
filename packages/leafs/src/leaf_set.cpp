#include <algorithm>
#include <array>
#include <cmath>

#include "in_flight_limit.hpp"
#include "medlarloft/leafs.hpp"

namespace medlarloft::leafs {
namespace {

/// Weight of the newest sample.
constexpr double work_weight = 0.05;
constexpr double slowness_weight = 0.4;
constexpr double round_trip_weight = 0.2;
constexpr double failure_weight = 0.25;
/// One sample moves the usual time by no more than this factor.
constexpr double clip_factor = 4.0;
constexpr double most_slowness = 30.0;
/// How much a failing leaf is avoided, in expected times.
constexpr double failure_cost = 8.0;
/// A leaf in another data centre must be better by this factor.
constexpr double far_factor = 1.15;
/// Requests of other daemons that a request of this one stands for.
constexpr double load_factor = 2.0;
/// Ties between equal leafs are broken at random within this share.
constexpr double tie_share = 0.05;
/// A pause ends within about this time.
constexpr duration pause_cost = std::chrono::milliseconds(120);
/// Failures in a row after which a leaf gets only trials.
constexpr std::uint32_t failures_to_eject = 2;
constexpr std::uint32_t most_doublings = 4;
/// No leaf works less on a request; it keeps ratios finite.
constexpr duration least_work = std::chrono::microseconds(1);

duration scaled(duration value, double factor) {
  return std::chrono::duration_cast<duration>(value * factor);
}

}  // namespace

leaf_set::leaf_set(options settings, std::uint64_t seed)
    : options_(std::move(settings)), random_(seed) {}

leaf_handle leaf_set::put(time_point now,
                          const leaf_registration& registration) {
  const auto found = by_id_.find(registration.id);
  if (found != by_id_.end()) {
    leaf& known = leafs_[found->second];
    const bool same =
        known.registration.started_at == registration.started_at &&
        known.registration.address == registration.address &&
        known.registration.service == registration.service;
    if (same) {
      known.registration = registration;
      known.cold_until = now + registration.cold_time_left;
      return found->second;
    }
    remove(registration.id);
  }
  const auto handle = static_cast<leaf_handle>(leafs_.size());
  leafs_.push_back({.registration = registration,
                    .cold_until = now + registration.cold_time_left,
                    .limit = std::make_shared<in_flight_limit>()});
  by_id_[registration.id] = handle;
  by_service_[registration.service].push_back(handle);
  reset_cold(now, leafs_.back());
  return handle;
}

void leaf_set::remove(const std::string& id) {
  const auto found = by_id_.find(id);
  if (found == by_id_.end()) return;
  leaf& known = leafs_[found->second];
  known.present = false;
  std::erase(by_service_[known.registration.service], found->second);
  by_id_.erase(found);
}

void leaf_set::set_data_centres_out(std::set<std::string> data_centres) {
  out_ = std::move(data_centres);
}

void leaf_set::set_limits(const std::string& service, service_limits limits) {
  limits_[service] = limits;
  for (const leaf_handle each : leafs_of(service))
    reset_cold(steady_clock::time_point{}, leafs_[each]);
}

void leaf_set::set_quota(daemon_quota quota) {
  quota_ = std::move(quota);
}

// The daemons that may use a cold leaf divide its rate; each holds one token
// at most, so that all together begin no more than the burst at once.
void leaf_set::reset_cold(time_point now, leaf& one) {
  const auto limits = limits_.find(one.registration.service);
  const double rate =
      limits == limits_.end() ? 0.0 : limits->second.cold_rate_limit;
  if (rate <= 0) return;
  const auto users = std::min<std::size_t>(quota_.daemons, options_.cold_burst);
  one.cold_tokens = token_bucket(
      {.rate_per_second = rate / static_cast<double>(users), .burst = 1});
  one.cold_tokens.take(now, 1);
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

duration leaf_set::round_trip(const leaf& one) const {
  const std::string& where = one.registration.data_centre;
  if (where == options_.local_data_centre) return duration::zero();
  const auto found = round_trips_.find(where);
  return found == round_trips_.end() ? options_.default_remote_round_trip
                                     : found->second;
}

double leaf_set::slowness(time_point now, const leaf& one) const {
  const double age = std::chrono::duration<double>(now - one.slowness_at) /
                     options_.slowness_half_life;
  const double fade = one.slowness > 1 ? std::exp2(-std::max(age, 0.0)) : 1.0;
  return 1 + (one.slowness - 1) * fade;
}

duration leaf_set::expected_at(time_point now, const leaf& one,
                               const std::string& work_class) const {
  return scaled(work_time(work_class), slowness(now, one)) + round_trip(one);
}

duration leaf_set::expected_time(time_point now, leaf_handle handle,
                                 const std::string& work_class) const {
  return expected_at(now, leafs_[handle], work_class);
}

duration leaf_set::hedge_delay(time_point now, leaf_handle handle,
                               const std::string& work_class) const {
  const leaf& one = leafs_[handle];
  return std::max(scaled(work_time(work_class), options_.overdue_factor),
                  options_.overdue_floor) +
         round_trip(one) +
         scaled(work_time(work_class), std::min(slowness(now, one) - 1, 2.0));
}

bool leaf_set::overdue(time_point now, const leaf& one) const {
  return std::ranges::any_of(one.open, [&](const open_request& request) {
    const duration limit =
        std::max(scaled(request.expected, options_.overdue_factor),
                 options_.overdue_floor);
    return now - request.sent_at > limit;
  });
}

bool leaf_set::may_get(const leaf& one) const {
  return one.present && !one.registration.draining &&
         !out_.contains(one.registration.data_centre);
}

std::size_t leaf_set::most_in_flight(const leaf& one) const {
  const double slots = options_.in_flight_per_slot * one.registration.slots;
  const auto daemons =
      static_cast<double>(std::max<std::size_t>(quota_.daemons, 1));
  const auto fair = static_cast<std::size_t>(std::ceil(slots / daemons));
  return std::min(std::max(fair, options_.min_in_flight),
                  connection_limit(one.registration.service));
}

std::optional<unavailable_reason> leaf_set::obstacle_of(time_point now,
                                                        const leaf& one) const {
  if (!may_get(one)) return unavailable_reason::none_registered;
  const bool ejected = one.failures >= failures_to_eject;
  if (ejected && (now < one.ejected_until || one.trial_open)) {
    return unavailable_reason::all_dark;
  }
  if (!one.limit->admits(now, one.open.size(), most_in_flight(one))) {
    return unavailable_reason::all_busy;
  }
  const auto limits = limits_.find(one.registration.service);
  const bool bounded =
      limits != limits_.end() && limits->second.cold_rate_limit > 0;
  if (bounded && now < one.cold_until) {
    const std::size_t daemon_index =
        quota_.daemon_index ? quota_.daemon_index(one.registration.id) : 0;
    if (daemon_index >= options_.cold_burst)
      return unavailable_reason::all_busy;
    token_bucket tokens = one.cold_tokens;
    if (!tokens.take(now)) return unavailable_reason::all_busy;
  }
  return std::nullopt;
}

double leaf_set::cost(time_point now, const leaf& one,
                      const std::string& work_class) const {
  const duration base = work_time(work_class);
  const double load = load_factor * static_cast<double>(one.open.size()) /
                      std::max<std::uint32_t>(one.registration.slots, 1);
  duration total = scaled(base, slowness(now, one) * (1 + load));
  total += scaled(base, failure_cost * one.failure_share);
  total += round_trip(one);
  if (overdue(now, one)) total += pause_cost + base;
  const double far = one.registration.data_centre == options_.local_data_centre
                         ? 1
                         : far_factor;
  return std::chrono::duration<double>(total).count() * far;
}

result<leaf_handle, unavailable_reason> leaf_set::pick(
    time_point now, const std::string& service, const std::string& work_class,
    const pick_options& limits) {
  const auto candidates = by_service_.find(service);
  unavailable_reason why = unavailable_reason::none_registered;
  if (candidates == by_service_.end()) return why;
  std::optional<leaf_handle> best;
  double least = 0;
  for (const leaf_handle handle : candidates->second) {
    const leaf& one = leafs_[handle];
    if (!may_get(one)) continue;
    const bool excluded =
        std::ranges::find(limits.excluded, handle) != limits.excluded.end();
    const bool allowed =
        limits.allowed.empty() ||
        std::ranges::find(limits.allowed, handle) != limits.allowed.end();
    if (excluded || !allowed) {
      why = std::max(why, unavailable_reason::all_tried);
      continue;
    }
    if (const auto hindered = obstacle_of(now, one)) {
      why = std::max(why, *hindered);
      continue;
    }
    const double spread = 1 + tie_share * random_.unit();
    const double value = cost(now, one, work_class) * spread;
    if (best && value >= least) continue;
    best = handle;
    least = value;
  }
  if (!best) return why;
  return *best;
}

std::optional<unavailable_reason> leaf_set::service_unavailable_reason(
    time_point now, const std::string& service) const {
  unavailable_reason why = unavailable_reason::none_registered;
  for (const leaf_handle handle : leafs_of(service)) {
    const auto hindered = obstacle_of(now, leafs_[handle]);
    if (!hindered) return std::nullopt;
    why = std::max(why, *hindered);
  }
  return why;
}

void leaf_set::on_attempt_sent(time_point now, leaf_handle handle,
                               attempt_id attempt,
                               const std::string& work_class) {
  leaf& one = leafs_[handle];
  one.open.push_back(
      {attempt, now, expected_at(now, one, work_class), work_class});
  if (one.failures >= failures_to_eject) one.trial_open = true;
  if (now < one.cold_until) one.cold_tokens.take(now);
}

void leaf_set::on_attempt_ended(time_point now, leaf_handle handle,
                                attempt_id attempt, attempt_outcome how) {
  leaf& one = leafs_[handle];
  const auto found =
      std::ranges::find(one.open, attempt, &open_request::attempt);
  if (found == one.open.end()) return;
  const open_request request = *found;
  const std::size_t in_flight = one.open.size();
  one.open.erase(found);
  one.trial_open = false;
  const bool bad =
      how != attempt_outcome::answered && how != attempt_outcome::abandoned;
  if (how != attempt_outcome::abandoned) {
    one.failure_share += failure_weight * ((bad ? 1 : 0) - one.failure_share);
  }
  switch (how) {
    case attempt_outcome::answered:
      one.failures = 0;
      one.limit->answered(now, in_flight, request.expected);
      learn(now, one, request);
      break;
    case attempt_outcome::failed:
    case attempt_outcome::lost:
    case attempt_outcome::silent:
      failed(now, one, false);
      break;
    case attempt_outcome::no_connection:
    case attempt_outcome::misdirected:
      failed(now, one, true);
      break;
    case attempt_outcome::shed:
      one.limit->shed(now, in_flight, request.expected);
      break;
    case attempt_outcome::abandoned:
      break;
  }
}

// How many times the usual time the request took at the leaf.
double leaf_set::slowdown(time_point now, const leaf& one,
                          const open_request& request) const {
  const duration took =
      std::max(now - request.sent_at - round_trip(one), least_work);
  return std::chrono::duration<double>(took) / work_time(request.work_class);
}

// A pause delays every request that was open during it. These are one event,
// which says nothing about requests sent later; two events in a row do.
void leaf_set::learn(time_point now, leaf& one, const open_request& request) {
  const duration took =
      std::max(now - request.sent_at - round_trip(one), least_work);
  const double factor = slowdown(now, one, request);
  const double known = slowness(now, one);
  if (factor > options_.outlier_factor * known) {
    if (request.sent_at < one.last_outlier) return;
    one.last_outlier = now;
    if (++one.outliers < 2) return;
  } else {
    one.outliers = 0;
  }
  const double kept = std::min(factor, most_slowness);
  one.slowness = known + slowness_weight * (kept - known);
  one.slowness_at = now;
  duration& usual =
      work_times_.try_emplace(request.work_class, took).first->second;
  const duration sample = std::min(scaled(took, 1 / std::max(known, 1.0)),
                                   scaled(usual, clip_factor));
  usual += scaled(sample - usual, work_weight);
}

void leaf_set::failed(time_point now, leaf& one, bool at_once) {
  one.failures = at_once ? std::max(one.failures + 1, failures_to_eject)
                         : one.failures + 1;
  if (one.failures < failures_to_eject) return;
  const std::uint32_t doublings =
      std::min(one.failures - failures_to_eject, most_doublings);
  one.ejected_until =
      now + std::min(options_.initial_ejection * (1U << doublings),
                     options_.max_ejection);
}

std::optional<service_throughput> leaf_set::throughput(
    time_point now, const std::string& service,
    const std::string& work_class) const {
  const auto found = by_service_.find(service);
  if (found == by_service_.end()) return std::nullopt;
  using seconds = std::chrono::duration<double>;
  double places = 0;
  double ends_per_second = 0;
  for (const leaf_handle handle : found->second) {
    const leaf& one = leafs_[handle];
    const bool dark = one.failures >= failures_to_eject;
    if (!may_get(one) || dark || now < one.cold_until) continue;
    const double held = one.limit->places(most_in_flight(one));
    places += held;
    ends_per_second +=
        held / seconds(expected_at(now, one, work_class)).count();
  }
  if (ends_per_second <= 0) return std::nullopt;
  return service_throughput{
      .completion_interval =
          std::chrono::duration_cast<duration>(seconds(1 / ends_per_second)),
      .time_at_leaf = std::chrono::duration_cast<duration>(
          seconds(places / ends_per_second))};
}

void leaf_set::add_round_trip_sample(const std::string& data_centre,
                                     duration value) {
  duration& known = round_trips_.try_emplace(data_centre, value).first->second;
  known += scaled(value - known, round_trip_weight);
}

const leaf_registration* leaf_set::find(leaf_handle handle) const {
  return handle < leafs_.size() ? &leafs_[handle].registration : nullptr;
}

bool leaf_set::usable(leaf_handle handle) const {
  return handle < leafs_.size() && may_get(leafs_[handle]);
}

std::vector<leaf_status> leaf_set::statuses(time_point now) const {
  std::vector<leaf_status> all;
  for (const auto& [id, handle] : by_id_) {
    const leaf& one = leafs_[handle];
    all.push_back({.registration = one.registration,
                   .usable = may_get(one),
                   .ejected = one.failures >= failures_to_eject,
                   .in_flight = one.open.size(),
                   .slowness = slowness(now, one)});
  }
  std::ranges::sort(all, {}, [](const leaf_status& each) -> const std::string& {
    return each.registration.id;
  });
  return all;
}

std::string_view name_of(attempt_outcome how) noexcept {
  constexpr std::array<std::string_view, 8> names{
      "answered", "failed", "shed",          "misdirected",
      "lost",     "silent", "no_connection", "abandoned"};
  return names[static_cast<std::size_t>(how)];
}

std::string_view name_of(unavailable_reason why) noexcept {
  constexpr std::array<std::string_view, 4> names{
      "none_registered", "all_tried", "all_dark", "all_busy"};
  return names[static_cast<std::size_t>(why)];
}

}  // namespace medlarloft::leafs
