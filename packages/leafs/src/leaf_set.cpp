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

leaf_handle leaf_set::put(time_point now, const registration& said) {
  const auto found = by_id_.find(said.id);
  if (found != by_id_.end()) {
    leaf& known = leafs_[found->second];
    const bool same = known.said.started_at == said.started_at &&
                      known.said.address == said.address &&
                      known.said.service == said.service;
    if (same) {
      known.said = said;
      known.cold_until = now + said.cold_left;
      return found->second;
    }
    remove(said.id);
  }
  const auto handle = static_cast<leaf_handle>(leafs_.size());
  leafs_.push_back({.said = said,
                    .cold_until = now + said.cold_left,
                    .limit = std::make_shared<in_flight_limit>()});
  by_id_[said.id] = handle;
  by_service_[said.service].push_back(handle);
  reset_cold(now, leafs_.back());
  return handle;
}

void leaf_set::remove(const std::string& id) {
  const auto found = by_id_.find(id);
  if (found == by_id_.end()) return;
  leaf& known = leafs_[found->second];
  known.present = false;
  std::erase(by_service_[known.said.service], found->second);
  by_id_.erase(found);
}

void leaf_set::set_out(std::set<std::string> data_centres) {
  out_ = std::move(data_centres);
}

void leaf_set::set_limits(const std::string& service, service_limits limits) {
  limits_[service] = limits;
  for (const leaf_handle each : of_service(service))
    reset_cold(steady_clock::time_point{}, leafs_[each]);
}

void leaf_set::set_share(fleet_part part) {
  part_ = std::move(part);
}

// The daemons that may use a cold leaf divide its rate; each holds one token
// at most, so that all together begin no more than the burst at once.
void leaf_set::reset_cold(time_point now, leaf& one) {
  const auto limits = limits_.find(one.said.service);
  const double rate = limits == limits_.end() ? 0.0 : limits->second.cold_rate;
  if (rate <= 0) return;
  const auto users = std::min<std::size_t>(part_.daemons, options_.cold_burst);
  one.cold_tokens = token_bucket(
      {.rate_per_second = rate / static_cast<double>(users), .burst = 1});
  one.cold_tokens.take(now, 1);
}

std::vector<leaf_handle> leaf_set::of_service(
    const std::string& service) const {
  const auto found = by_service_.find(service);
  return found == by_service_.end() ? std::vector<leaf_handle>{}
                                    : found->second;
}

std::size_t leaf_set::connections(const std::string& service) const {
  const auto found = limits_.find(service);
  if (found == limits_.end()) return 1;
  const double part = found->second.max_connections * part_.part;
  return std::max<std::size_t>(static_cast<std::size_t>(part), 1);
}

duration leaf_set::work_time(const std::string& work) const {
  const auto found = work_times_.find(work);
  return found == work_times_.end() ? options_.first_guess : found->second;
}

duration leaf_set::round_trip(const leaf& one) const {
  const std::string& where = one.said.data_centre;
  if (where == options_.data_centre) return duration::zero();
  const auto found = round_trips_.find(where);
  return found == round_trips_.end() ? options_.far_round_trip : found->second;
}

double leaf_set::slowness(time_point now, const leaf& one) const {
  const double age = std::chrono::duration<double>(now - one.slowness_at) /
                     options_.slowness_half_life;
  const double fade = one.slowness > 1 ? std::exp2(-std::max(age, 0.0)) : 1.0;
  return 1 + (one.slowness - 1) * fade;
}

duration leaf_set::expected_at(time_point now, const leaf& one,
                               const std::string& work) const {
  return scaled(work_time(work), slowness(now, one)) + round_trip(one);
}

duration leaf_set::expected(time_point now, leaf_handle handle,
                            const std::string& work) const {
  return expected_at(now, leafs_[handle], work);
}

duration leaf_set::patience(time_point now, leaf_handle handle,
                            const std::string& work) const {
  const leaf& one = leafs_[handle];
  return std::max(scaled(work_time(work), options_.overdue_factor),
                  options_.overdue_floor) +
         round_trip(one) +
         scaled(work_time(work), std::min(slowness(now, one) - 1, 2.0));
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
  return one.present && !one.said.draining &&
         !out_.contains(one.said.data_centre);
}

std::size_t leaf_set::most_in_flight(const leaf& one) const {
  const double slots = options_.in_flight_per_slot * one.said.slots;
  const auto daemons =
      static_cast<double>(std::max<std::size_t>(part_.daemons, 1));
  const auto fair = static_cast<std::size_t>(std::ceil(slots / daemons));
  return std::min(std::max(fair, options_.least_in_flight),
                  connections(one.said.service));
}

std::optional<no_leaf> leaf_set::obstacle_of(time_point now,
                                             const leaf& one) const {
  if (!may_get(one)) return no_leaf::none_registered;
  const bool ejected = one.failures >= failures_to_eject;
  if (ejected && (now < one.ejected_until || one.trial_open)) {
    return no_leaf::all_dark;
  }
  if (!one.limit->admits(now, one.open.size(), most_in_flight(one))) {
    return no_leaf::all_busy;
  }
  const auto limits = limits_.find(one.said.service);
  const bool bounded = limits != limits_.end() && limits->second.cold_rate > 0;
  if (bounded && now < one.cold_until) {
    const std::size_t rank = part_.rank ? part_.rank(one.said.id) : 0;
    if (rank >= options_.cold_burst) return no_leaf::all_busy;
    token_bucket tokens = one.cold_tokens;
    if (!tokens.take(now)) return no_leaf::all_busy;
  }
  return std::nullopt;
}

double leaf_set::cost(time_point now, const leaf& one,
                      const std::string& work) const {
  const duration base = work_time(work);
  const double load = load_factor * static_cast<double>(one.open.size()) /
                      std::max<std::uint32_t>(one.said.slots, 1);
  duration total = scaled(base, slowness(now, one) * (1 + load));
  total += scaled(base, failure_cost * one.failure_share);
  total += round_trip(one);
  if (overdue(now, one)) total += pause_cost + base;
  const double far =
      one.said.data_centre == options_.data_centre ? 1 : far_factor;
  return std::chrono::duration<double>(total).count() * far;
}

result<leaf_handle, no_leaf> leaf_set::pick(time_point now,
                                            const std::string& service,
                                            const std::string& work,
                                            const pick_options& limits) {
  const auto candidates = by_service_.find(service);
  no_leaf why = no_leaf::none_registered;
  if (candidates == by_service_.end()) return why;
  std::optional<leaf_handle> best;
  double least = 0;
  for (const leaf_handle handle : candidates->second) {
    const leaf& one = leafs_[handle];
    if (!may_get(one)) continue;
    const bool tried =
        std::ranges::find(limits.tried, handle) != limits.tried.end();
    const bool allowed =
        limits.only.empty() ||
        std::ranges::find(limits.only, handle) != limits.only.end();
    if (tried || !allowed) {
      why = std::max(why, no_leaf::all_tried);
      continue;
    }
    if (const auto hindered = obstacle_of(now, one)) {
      why = std::max(why, *hindered);
      continue;
    }
    const double spread = 1 + tie_share * random_.unit();
    const double value = cost(now, one, work) * spread;
    if (best && value >= least) continue;
    best = handle;
    least = value;
  }
  if (!best) return why;
  return *best;
}

std::optional<no_leaf> leaf_set::obstacle(time_point now,
                                          const std::string& service) const {
  no_leaf why = no_leaf::none_registered;
  for (const leaf_handle handle : of_service(service)) {
    const auto hindered = obstacle_of(now, leafs_[handle]);
    if (!hindered) return std::nullopt;
    why = std::max(why, *hindered);
  }
  return why;
}

void leaf_set::sent(time_point now, leaf_handle handle, attempt_id attempt,
                    const std::string& work) {
  leaf& one = leafs_[handle];
  one.open.push_back({attempt, now, expected_at(now, one, work), work});
  if (one.failures >= failures_to_eject) one.trial_open = true;
  if (now < one.cold_until) one.cold_tokens.take(now);
}

void leaf_set::ended(time_point now, leaf_handle handle, attempt_id attempt,
                     ending how) {
  leaf& one = leafs_[handle];
  const auto found =
      std::ranges::find(one.open, attempt, &open_request::attempt);
  if (found == one.open.end()) return;
  const open_request request = *found;
  const std::size_t in_flight = one.open.size();
  one.open.erase(found);
  one.trial_open = false;
  const bool bad = how != ending::answered && how != ending::abandoned;
  if (how != ending::abandoned) {
    one.failure_share += failure_weight * ((bad ? 1 : 0) - one.failure_share);
  }
  switch (how) {
    case ending::answered:
      one.failures = 0;
      one.limit->answered(now, in_flight, request.expected);
      learn(now, one, request);
      break;
    case ending::failed:
    case ending::lost:
    case ending::silent:
      failed(now, one, false);
      break;
    case ending::no_connection:
    case ending::misdirected:
      failed(now, one, true);
      break;
    case ending::shed:
      one.limit->shed(now, in_flight, request.expected);
      break;
    case ending::abandoned:
      break;
  }
}

// How many times the usual time the request took at the leaf.
double leaf_set::slowdown(time_point now, const leaf& one,
                          const open_request& request) const {
  const duration took =
      std::max(now - request.sent_at - round_trip(one), least_work);
  return std::chrono::duration<double>(took) / work_time(request.work);
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
  duration& usual = work_times_.try_emplace(request.work, took).first->second;
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
      now + std::min(options_.first_ejection * (1U << doublings),
                     options_.longest_ejection);
}

std::optional<service_pace> leaf_set::pace(time_point now,
                                           const std::string& service,
                                           const std::string& work) const {
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
    ends_per_second += held / seconds(expected_at(now, one, work)).count();
  }
  if (ends_per_second <= 0) return std::nullopt;
  return service_pace{.turn = std::chrono::duration_cast<duration>(
                          seconds(1 / ends_per_second)),
                      .at_leaf = std::chrono::duration_cast<duration>(
                          seconds(places / ends_per_second))};
}

void leaf_set::measured_round_trip(const std::string& data_centre,
                                   duration value) {
  duration& known = round_trips_.try_emplace(data_centre, value).first->second;
  known += scaled(value - known, round_trip_weight);
}

const registration* leaf_set::find(leaf_handle handle) const {
  return handle < leafs_.size() ? &leafs_[handle].said : nullptr;
}

bool leaf_set::usable(leaf_handle handle) const {
  return handle < leafs_.size() && may_get(leafs_[handle]);
}

std::vector<leaf_view> leaf_set::view(time_point now) const {
  std::vector<leaf_view> all;
  for (const auto& [id, handle] : by_id_) {
    const leaf& one = leafs_[handle];
    all.push_back({.said = one.said,
                   .usable = may_get(one),
                   .ejected = one.failures >= failures_to_eject,
                   .in_flight = one.open.size(),
                   .slowness = slowness(now, one)});
  }
  std::ranges::sort(all, {}, [](const leaf_view& each) -> const std::string& {
    return each.said.id;
  });
  return all;
}

std::string_view name_of(ending how) noexcept {
  constexpr std::array<std::string_view, 8> names{
      "answered", "failed", "shed",          "misdirected",
      "lost",     "silent", "no_connection", "abandoned"};
  return names[static_cast<std::size_t>(how)];
}

std::string_view name_of(no_leaf why) noexcept {
  constexpr std::array<std::string_view, 4> names{
      "none_registered", "all_tried", "all_dark", "all_busy"};
  return names[static_cast<std::size_t>(why)];
}

}  // namespace medlarloft::leafs
