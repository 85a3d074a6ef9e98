#include <algorithm>
#include <cmath>
#include <iterator>

#include "medlarloft/quota.hpp"

namespace medlarloft::quota {
namespace {

using std::chrono::milliseconds;
using seconds = std::chrono::duration<double>;

/// Creation rights older than this are ignored. Copies of a request are
/// recognised for longer.
constexpr duration max_creation_age = std::chrono::seconds(2);
constexpr duration sender_retention = std::chrono::seconds(5);
/// The longest lifetime of tokens, for which spent ones must be remembered.
constexpr duration history_length = std::chrono::seconds(60);
/// Granted tokens can be used for at least this long.
constexpr duration min_remaining = milliseconds(150);
/// The same for tokens that are granted ahead, which are used later.
constexpr duration min_remaining_ahead = milliseconds(700);
/// A daemon's demand counts for this long.
constexpr duration demand_retention = std::chrono::seconds(1);
/// Tokens are granted ahead of demand from this fraction of the available ones,
/// so that the rest can be granted to requests that wait at other daemons.
constexpr double granted_ahead_fraction = 0.25;
/// The rate of creation is measured over this time. Rights arrive up to a
/// second after their time, so that a shorter one would vary.
constexpr duration fill_window = std::chrono::seconds(4);
/// A token may have been created in several parts.
constexpr double rounding_error = 1e-6;
/// Tokens created within the same time are counted together, as old as the
/// oldest of them may be.
constexpr duration granularity = milliseconds(100);
constexpr duration min_retry = milliseconds(50);
constexpr duration max_retry = std::chrono::seconds(1);

/// Returns how many whole tokens of `available` a daemon gets that wants
/// `wanted` of `all_wanted`. Each daemon can have one, so that small quotas are
/// usable.
double part_of(double available, double wanted, double all_wanted) {
  available = std::floor(available + rounding_error);
  if (wanted <= 0 || available <= 0) return 0;
  const double part = std::floor(available * wanted / all_wanted);
  return std::min({std::max(part, 1.0), wanted, available});
}

/// A request cannot give more than the rate of all daemons for its time.
bool plausible(const token_parcel& creation) {
  return creation.age > duration::zero() && creation.amount > 0 &&
         creation.amount <= seconds(creation.age).count();
}

}  // namespace

void coordinator::set_limits(const account_limits& limits) {
  limits_ = limits;
  for (auto& [account, bucket] : buckets_) {
    const auto found = limits_.find(account);
    if (found == limits_.end()) continue;
    const token_terms terms = terms_of(found->second, options_.allowed);
    bucket.tokens.scale(std::min(terms.rate / bucket.terms.rate, 1.0));
    bucket.terms = terms;
  }
}

void coordinator::reset() {
  creation_ = {};
  for (auto& [account, bucket] : buckets_)
    bucket.tokens = {};
}

// The request was written after the answer that it echoes, so that its age is
// known to be at most the age of that answer.
void coordinator::accept_creation(time_point now,
                                  const quota_message& request) {
  if (!plausible(request.creation)) return;
  if (request.echo.process != options_.process) return;
  const time_point written_after{request.echo.time};
  if (written_after > now || now - written_after > max_creation_age) return;
  sender& from = senders_[request.sent.process];
  if (from.at != time_point{} && request.sent.time <= from.last_sent) return;
  from = {.last_sent = request.sent.time, .at = now};
  const time_point created_at = written_after - request.creation.age;
  creation_.add(created_at, request.creation.amount, granularity);
  for (auto& [account, bucket] : buckets_) {
    bucket.tokens.add(created_at, request.creation.amount * bucket.terms.rate,
                      granularity);
  }
}

coordinator::bucket& coordinator::bucket_of(time_point now,
                                            const std::string& account,
                                            const quota_limit& limit) {
  const auto [found, added] = buckets_.try_emplace(account);
  bucket& result = found->second;
  if (!added) return result;
  result.terms = terms_of(limit, options_.allowed);
  token_store rights = creation_;
  const auto parcels = rights.take(now, now - result.terms.lifetime,
                                   seconds(history_length).count() + 1);
  for (const token_parcel& parcel : parcels) {
    result.tokens.add(now - parcel.age, parcel.amount * result.terms.rate,
                      granularity);
  }
  return result;
}

double coordinator::fill_rate(time_point now, const bucket& from) const {
  const double rights = creation_.count(now - fill_window);
  return from.terms.rate * rights / seconds(fill_window).count();
}

duration coordinator::time_until(time_point now, const bucket& from,
                                 double tokens) const {
  const double missing =
      tokens - from.tokens.count(now - from.terms.lifetime + min_remaining);
  const double wait = missing / std::max(fill_rate(now, from), 1e-3);
  const double limited = std::min(wait, seconds(max_retry).count());
  return std::clamp(std::chrono::duration_cast<duration>(seconds(limited)),
                    min_retry, max_retry);
}

coordinator::demand coordinator::total(
    const std::unordered_map<std::string, demand>& demands) {
  demand sum;
  for (const auto& [daemon, wanted] : demands) {
    sum.unmet += wanted.unmet;
    sum.ahead += wanted.ahead;
  }
  return sum;
}

account_entry coordinator::grant(time_point now, const std::string& from,
                                 const account_entry& asked) {
  account_entry entry{.account = asked.account};
  const auto limit = limits_.find(asked.account);
  if (limit == limits_.end()) return entry;
  bucket& source = bucket_of(now, asked.account, limit->second);
  source.used_at = now;
  source.tokens.expire(now - source.terms.lifetime);
  source.demands.erase(from);
  std::erase_if(source.demands, [now](const auto& element) {
    return now - element.second.at > demand_retention;
  });
  const demand others = total(source.demands);
  entry.rate = source.terms.rate;

  const time_point oldest = now - source.terms.lifetime + min_remaining;
  const double available = source.tokens.count(oldest);
  const double granted =
      part_of(available, asked.needed, asked.needed + others.unmet);
  entry.granted = source.tokens.take(now, oldest, granted);

  const time_point oldest_ahead =
      now - source.terms.lifetime + min_remaining_ahead;
  const double left = source.tokens.count(oldest_ahead);
  const bool shortage = others.unmet > 0 || granted < asked.needed;
  const double ahead =
      part_of(left * granted_ahead_fraction, asked.ahead,
              shortage ? asked.ahead + others.ahead : asked.ahead);
  std::ranges::copy(source.tokens.take(now, oldest_ahead, ahead),
                    std::back_inserter(entry.granted));

  const double unmet = asked.needed - granted;
  source.demands[from] = {
      .unmet = unmet, .ahead = static_cast<double>(asked.ahead), .at = now};
  if (unmet > 0)
    entry.retry_after = time_until(now, source, unmet + others.unmet);
  return entry;
}

quota_message coordinator::receive(time_point now,
                                   const quota_message& request) {
  remove_old(now);
  accept_creation(now, request);
  quota_message answer{
      .from = options_.id,
      .is_answer = true,
      .sent = {.process = options_.process, .time = now.time_since_epoch()},
      .echo = request.sent};
  for (const account_entry& asked : request.accounts)
    answer.accounts.push_back(grant(now, request.from, asked));
  return answer;
}

// A bucket may be made again from `creation_` only once everything that was
// spent from it has expired.
void coordinator::remove_old(time_point now) {
  creation_.expire(now - history_length);
  std::erase_if(senders_, [now](const auto& entry) {
    return now - entry.second.at > sender_retention;
  });
  std::erase_if(buckets_, [now](const auto& entry) {
    return now - entry.second.used_at > 2 * history_length;
  });
}

}  // namespace medlarloft::quota
