#include <algorithm>
#include <cmath>
#include <iterator>
#include <numeric>
#include <utility>

#include "medlarloft/quota.hpp"

namespace medlarloft::quota {
namespace {

using std::chrono::milliseconds;
using seconds = std::chrono::duration<double>;

/// An answer older than this is ignored: it comes from a coordinator that was
/// frozen.
constexpr duration max_answer_age = milliseconds(500);
/// Creation rights are given only to a coordinator that answered within this
/// time, so that little is lost with one that fails.
constexpr duration max_silence_to_give = milliseconds(700);
/// Rights that are older cannot be given away any more.
constexpr duration max_creation_time = std::chrono::seconds(1);
/// Requests without a token are reported together at this interval.
constexpr duration urgent_period = milliseconds(4);
/// An unanswered request for tokens is repeated while the caller still waits.
constexpr duration repeat_after = milliseconds(10);
/// Tokens wanted ahead are those of this time at the daemon's present rate.
constexpr duration ahead_time = milliseconds(800);
/// A daemon far from the coordinator holds no tokens of an account with fewer
/// requests per second; a near one needs one request in `ahead_time`.
constexpr double min_ahead_rate = 0.2;
/// A request can wait for the answer of a coordinator this near.
constexpr duration max_near_round_trip = milliseconds(25);
/// Weight of the last answer in the estimate of the round trip.
constexpr int round_trip_divisor = 8;
/// Weight of the last period in the estimate of the rate.
constexpr double rate_weight = 0.3;
/// Entries of a message, so that it and its answer fit into a datagram.
constexpr std::size_t max_entries = 8;
/// Tokens created within the same time are counted together.
constexpr duration granularity = milliseconds(1);
/// A token may have arrived in several parts.
constexpr double rounding_error = 1e-6;
/// Told to callers until the coordinator has named a time.
constexpr duration default_retry = milliseconds(100);

// A token held for too few requests expires, and is missing elsewhere. A daemon
// far from the coordinator has no choice: its requests cannot wait for one.
std::uint32_t wanted_ahead(double request_rate, double held, bool far) {
  if (request_rate < min_ahead_rate) return 0;
  const double tokens = request_rate * seconds(ahead_time).count();
  const double target = far ? std::ceil(tokens) : std::floor(tokens);
  return static_cast<std::uint32_t>(std::max(target - held, 0.0));
}

}  // namespace

client::client(options settings)
    : options_(std::move(settings)),
      creation_begin_(options_.started_at),
      created_until_(creation_begin_),
      next_period_(options_.started_at),
      rates_at_(options_.started_at) {}

void client::set_limits(const account_limits& limits) {
  std::erase_if(accounts_, [&limits](const auto& entry) {
    return !limits.contains(entry.first);
  });
  for (const auto& [account, limit] : limits) {
    const token_terms terms = terms_of(limit, options_.allowed);
    const auto [found, added] = accounts_.try_emplace(account);
    if (!added) {
      found->second.tokens.scale(
          std::min(terms.rate / found->second.terms.rate, 1.0));
    }
    found->second.terms = terms;
  }
}

void client::set_fraction(time_point now, double fraction) {
  create(now);
  fraction_ = fraction;
}

void client::set_coordinators(std::vector<std::string> ids) {
  coordinators_ = std::move(ids);
}

// The tokens of the time before the daemon knew the others are created with the
// fraction that it has then.
void client::create(time_point now) {
  const bool starting = now < options_.started_at + options_.startup_delay;
  if (starting || now <= created_until_) return;
  creation_ += fraction_ * seconds(now - created_until_).count();
  created_until_ = now;
  if (now - creation_begin_ <= max_creation_time) return;
  creation_begin_ = now - max_creation_time;
  creation_ =
      std::min(creation_, fraction_ * seconds(max_creation_time).count());
}

decision client::admit(time_point now, const std::string& account,
                       duration waited) {
  const auto found = accounts_.find(account);
  if (found == accounts_.end()) return {admission::admitted};
  account_state& state = found->second;
  if (waited == duration::zero()) ++state.requests;
  const time_point oldest = now - state.terms.lifetime;
  state.tokens.expire(oldest);
  if (state.tokens.count(oldest) >= 1 - rounding_error) {
    const auto taken = state.tokens.take(now, oldest, 1);
    return {.outcome = admission::admitted,
            .created_at = now - taken.front().age};
  }
  if (admits_without_token(now, state)) {
    state.admitted_without_token = true;
    return {admission::admitted};
  }
  if (now < state.empty_until)
    return {admission::refused, state.empty_until - now};
  if (waited >= options_.max_wait) return {admission::refused, default_retry};
  if (waited == duration::zero()) {
    ++state.unmet;
    state.unmet_at = now;
    next_urgent_ =
        std::min(next_urgent_, std::max(now, last_message_at_ + urgent_period));
  }
  return {admission::wait};
}

// When all daemons start together there are no tokens yet, and no request would
// be served until they know each other.
bool client::admits_without_token(time_point now,
                                  const account_state& state) const {
  const bool starting =
      now < options_.started_at + options_.startup_delay + options_.period;
  return starting && !state.admitted_without_token && state.terms.reserve >= 1;
}

void client::give_back(const std::string& account, time_point created_at) {
  const auto found = accounts_.find(account);
  if (found == accounts_.end() || created_at == time_point{}) return;
  found->second.tokens.add(created_at, 1, granularity);
}

std::string client::coordinator_at(time_point now) const {
  const auto answering =
      std::ranges::find_if(coordinators_, [&](const std::string& id) {
        const auto found = peers_.find(id);
        return id == options_.id ||
               (found != peers_.end() &&
                now - found->second.answered_at < options_.silence_limit);
      });
  return answering == coordinators_.end() ? options_.id : *answering;
}

// While the first coordinator does not answer, the others are asked, too.
std::vector<std::string> client::targets(time_point now) const {
  const std::string chosen = coordinator_at(now);
  std::vector<std::string> result{chosen};
  for (const std::string& id : coordinators_) {
    if (id == chosen) break;
    result.push_back(id);
  }
  return result;
}

void client::update_rates(time_point now) {
  const double elapsed = seconds(now - rates_at_).count();
  rates_at_ = now;
  if (elapsed <= 0) return;
  for (auto& [account, state] : accounts_) {
    const double rate = std::exchange(state.requests, 0U) / elapsed;
    state.request_rate += rate_weight * (rate - state.request_rate);
  }
}

// Reports again what an unanswered message reported, as long as a request may
// still wait for it.
void client::renew_unanswered(time_point now) {
  for (auto& [account, state] : accounts_) {
    if (now - state.unmet_at > options_.max_wait) {
      state.unmet = 0;
      state.unanswered = 0;
    } else if (now - state.reported_at >= repeat_after) {
      state.unmet += std::exchange(state.unanswered, 0U);
    }
  }
}

std::vector<account_entry> client::entries(time_point now, bool periodic) {
  std::vector<account_entry> asked;
  for (auto& [account, state] : accounts_) {
    const std::uint32_t needed = state.unmet;
    if (needed == 0 && !periodic) continue;
    const double held = state.tokens.count(now - state.terms.lifetime);
    const std::uint32_t ahead = wanted_ahead(state.request_rate, held,
                                             round_trip_ > max_near_round_trip);
    if (needed == 0 && ahead == 0) continue;
    state.unanswered += std::exchange(state.unmet, 0U);
    state.reported_at = now;
    asked.push_back({.account = account, .needed = needed, .ahead = ahead});
  }
  return asked;
}

token_parcel client::take_creation(time_point now, const std::string& to) {
  const auto found = peers_.find(to);
  if (found == peers_.end() || creation_ <= 0) return {};
  if (now - found->second.answered_at > max_silence_to_give) return {};
  const token_parcel given{.age = now - creation_begin_,
                           .amount = std::exchange(creation_, 0.0)};
  creation_begin_ = std::max(now, creation_begin_);
  return given;
}

process_time client::next_stamp(time_point now) {
  last_stamp_ = std::max(now.time_since_epoch(), last_stamp_ + duration(1));
  return {.process = options_.process, .time = last_stamp_};
}

std::vector<envelope> client::messages_to(
    time_point now, const std::string& to,
    const std::vector<account_entry>& asked) {
  std::vector<envelope> messages;
  for (std::size_t i = 0; i == 0 || i < asked.size(); i += max_entries) {
    quota_message message{.from = options_.id, .sent = next_stamp(now)};
    const auto found = peers_.find(to);
    if (found != peers_.end()) message.echo = found->second.last_sent;
    if (i == 0 && to == coordinator_at(now))
      message.creation = take_creation(now, to);
    const auto begin = asked.begin() + static_cast<std::ptrdiff_t>(i);
    const auto count = std::min(max_entries, asked.size() - i);
    message.accounts.assign(begin, begin + static_cast<std::ptrdiff_t>(count));
    open_requests_[message.sent.time] = to;
    messages.push_back({to, std::move(message)});
  }
  return messages;
}

std::vector<envelope> client::tick(time_point now) {
  if (accounts_.empty() || now < next_tick()) return {};
  const bool periodic = now >= next_period_;
  create(now);
  if (periodic) {
    update_rates(now);
    next_period_ = now + options_.period;
  }
  renew_unanswered(now);
  std::vector<envelope> messages;
  const std::vector<account_entry> asked = entries(now, periodic);
  const std::string chosen = coordinator_at(now);
  if (periodic || !asked.empty()) messages = messages_to(now, chosen, asked);
  for (const std::string& id : targets(now)) {
    if (!periodic || id == chosen) continue;
    std::ranges::move(messages_to(now, id, {}), std::back_inserter(messages));
  }
  std::erase_if(open_requests_, [now](const auto& entry) {
    return now.time_since_epoch() - entry.first > max_answer_age;
  });
  last_message_at_ = now;
  const bool awaits_tokens = std::ranges::any_of(
      accounts_, [](const auto& entry) { return entry.second.unanswered > 0; });
  next_urgent_ = awaits_tokens ? now + repeat_after : time_point::max();
  return messages;
}

time_point client::next_tick() const {
  if (accounts_.empty()) return time_point::max();
  return std::min(next_period_, next_urgent_);
}

void client::receive(time_point now, const quota_message& answer) {
  if (answer.echo.process != options_.process) return;
  const auto open = open_requests_.find(answer.echo.time);
  if (open == open_requests_.end() || open->second != answer.from) return;
  open_requests_.erase(open);
  const duration transit = now.time_since_epoch() - answer.echo.time;
  if (transit > max_answer_age) return;
  const bool was_known = peers_.contains(answer.from);
  peer& from = peers_[answer.from];
  from = {.last_sent = answer.sent, .answered_at = now};
  round_trip_ += (transit - round_trip_) / round_trip_divisor;
  // Gives its rights to a new coordinator at once.
  if (!was_known) next_period_ = now;
  for (const account_entry& entry : answer.accounts)
    accept(now, transit, entry);
}

// The tokens were taken after the request was sent, which limits their age.
void client::accept(time_point now, duration transit,
                    const account_entry& entry) {
  const auto found = accounts_.find(entry.account);
  if (found == accounts_.end()) return;
  account_state& state = found->second;
  state.unanswered = 0;
  state.empty_until = entry.retry_after > duration::zero()
                          ? now + entry.retry_after
                          : time_point{};
  if (entry.rate <= 0) return;
  const double factor = std::min(state.terms.rate / entry.rate, 1.0);
  for (const token_parcel& parcel : entry.granted) {
    state.tokens.add(now - transit - parcel.age, parcel.amount * factor,
                     granularity);
  }
}

void client::reset(time_point now) {
  for (auto& [account, state] : accounts_)
    state.tokens = {};
  creation_ = 0;
  creation_begin_ = std::max(now, creation_begin_);
  created_until_ = std::max(now, created_until_);
  open_requests_.clear();
}

double client::tokens_held(time_point now) const {
  return std::accumulate(
      accounts_.begin(), accounts_.end(), 0.0,
      [now](double sum, const auto& entry) {
        const account_state& state = entry.second;
        return sum + state.tokens.count(now - state.terms.lifetime);
      });
}

}  // namespace medlarloft::quota
