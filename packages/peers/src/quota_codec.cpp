#include <stdexcept>
#include <string>

#include "wire_codec.hpp"

namespace medlarloft::peers::detail {
namespace {

std::int64_t to_nanoseconds(duration value) {
  return std::chrono::nanoseconds(value).count();
}

/// Far above every age and delay that a daemon sends; larger values overflow
/// when they are added to a time.
constexpr duration max_wire_duration = std::chrono::hours(1);

duration to_duration(std::int64_t nanoseconds) {
  const duration value = std::chrono::nanoseconds(nanoseconds);
  if (value < duration::zero() || value > max_wire_duration)
    throw std::out_of_range("duration " + std::to_string(nanoseconds) + " ns");
  return value;
}

// A time since the start of the sender's host.
duration to_uptime(std::int64_t nanoseconds) {
  if (nanoseconds < 0)
    throw std::out_of_range("time " + std::to_string(nanoseconds) + " ns");
  return std::chrono::nanoseconds(nanoseconds);
}

void write(const quota::process_time& from, wire::ProcessTime::Builder to) {
  to.setProcess(from.process);
  to.setTime(to_nanoseconds(from.time));
}

quota::process_time read(wire::ProcessTime::Reader from) {
  return {.process = from.getProcess(), .time = to_uptime(from.getTime())};
}

void write(const quota::token_parcel& from, wire::Tokens::Builder to) {
  to.setAge(to_nanoseconds(from.age));
  to.setAmount(from.amount);
}

quota::token_parcel read(wire::Tokens::Reader from) {
  return {.age = to_duration(from.getAge()), .amount = from.getAmount()};
}

void write(const quota::account_entry& from, wire::QuotaEntry::Builder to) {
  to.setAccount(from.account);
  to.setNeeded(from.needed);
  to.setAhead(from.ahead);
  to.setRate(from.rate);
  to.setRetryAfter(to_nanoseconds(from.retry_after));
  auto granted = to.initGranted(static_cast<unsigned>(from.granted.size()));
  for (unsigned i = 0; i < granted.size(); ++i)
    write(from.granted[i], granted[i]);
}

quota::account_entry read(wire::QuotaEntry::Reader from) {
  quota::account_entry entry{.account = text_of(from.getAccount()),
                             .needed = from.getNeeded(),
                             .ahead = from.getAhead(),
                             .rate = from.getRate(),
                             .retry_after = to_duration(from.getRetryAfter())};
  for (const auto parcel : from.getGranted())
    entry.granted.push_back(read(parcel));
  return entry;
}

}  // namespace

void write(const quota::quota_message& from, wire::Message::Builder to) {
  to.setKind(quota_kind);
  to.setSender(from.from);
  auto body = to.initQuota();
  body.setAnswer(from.is_answer);
  write(from.sent, body.initSent());
  write(from.echo, body.initEcho());
  write(from.creation, body.initCreation());
  auto entries = body.initEntries(static_cast<unsigned>(from.accounts.size()));
  for (unsigned i = 0; i < entries.size(); ++i)
    write(from.accounts[i], entries[i]);
}

quota::quota_message read_quota(wire::Message::Reader from) {
  const auto body = from.getQuota();
  quota::quota_message message{.from = text_of(from.getSender()),
                               .is_answer = body.getAnswer(),
                               .sent = read(body.getSent()),
                               .echo = read(body.getEcho()),
                               .creation = read(body.getCreation())};
  for (const auto entry : body.getEntries())
    message.accounts.push_back(read(entry));
  return message;
}

}  // namespace medlarloft::peers::detail
