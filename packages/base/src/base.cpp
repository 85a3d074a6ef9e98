#include "medlarloft/base.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <ctime>

namespace medlarloft {

duration uptime() noexcept {
  timespec time{};
  // Fails only for a clock that the kernel does not have; Linux has this one.
  static_cast<void>(::clock_gettime(CLOCK_BOOTTIME, &time));
  return std::chrono::seconds(time.tv_sec) +
         std::chrono::nanoseconds(time.tv_nsec);
}

std::uint64_t hash64(std::string_view text, std::uint64_t seed) noexcept {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint64_t hash_combine(std::uint64_t left, std::uint64_t right) noexcept {
  std::uint64_t mixed =
      left ^ (right + 0x9e3779b97f4a7c15ULL + (left << 6) + (left >> 2));
  mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
  mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
  return mixed ^ (mixed >> 31);
}

random_generator::result_type random_generator::operator()() noexcept {
  state_ += 0x9e3779b97f4a7c15ULL;
  std::uint64_t mixed = state_;
  mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
  mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
  return mixed ^ (mixed >> 31);
}

std::uint64_t random_generator::below(std::uint64_t limit) noexcept {
  return (*this)() % limit;
}

double random_generator::uniform() noexcept {
  constexpr double scale = 1.0 / 9007199254740992.0;  // 2^-53
  return static_cast<double>((*this)() >> 11) * scale;
}

duration random_generator::below(duration limit) noexcept {
  if (limit <= duration::zero()) return duration::zero();
  return duration(static_cast<duration::rep>(
      below(static_cast<std::uint64_t>(limit.count()))));
}

token_bucket::token_bucket(options settings) noexcept
    : options_(settings), tokens_(settings.initial) {}

void token_bucket::refill(time_point now) noexcept {
  if (last_refill_ == time_point{}) last_refill_ = now;
  if (now <= last_refill_) return;
  const std::chrono::duration<double> elapsed = now - last_refill_;
  last_refill_ = now;
  tokens_ = std::min(options_.burst,
                     tokens_ + elapsed.count() * options_.rate_per_second);
}

bool token_bucket::try_consume(time_point now, double count) noexcept {
  refill(now);
  if (tokens_ < count) return false;
  tokens_ -= count;
  return true;
}

void token_bucket::set_rate(time_point now, double rate_per_second) noexcept {
  refill(now);
  options_.rate_per_second = rate_per_second;
}

void token_bucket::add(double count) noexcept {
  tokens_ = std::min(options_.burst, tokens_ + count);
}

time_point token_bucket::ready_at(time_point now, double count) noexcept {
  refill(now);
  if (tokens_ >= count) return now;
  if (options_.rate_per_second <= 0) return time_point::max();
  const std::chrono::duration<double> missing(
      std::ceil((count - tokens_) / options_.rate_per_second * 1e6) / 1e6);
  return now + std::chrono::duration_cast<duration>(missing);
}

}  // namespace medlarloft
