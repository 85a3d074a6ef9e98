#pragma once

/// Request quotas of client accounts that all daemons share. State machines
/// without I/O: time, messages and the id of the process are arguments.
///
/// Each daemon creates tokens at its fraction of an account's rate and gives
/// them to a coordinator, which grants them to the daemons with requests. A
/// token exists at one daemon or in one message only, and expires a fixed time
/// after its creation, which bounds the requests in every window. See
/// docs/design/shared-quotas.md.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "medlarloft/base.hpp"
#include "medlarloft/routes.hpp"

namespace medlarloft::quota {

using routes::quota_limit;

/// Quotas by the name of the account.
using account_limits = std::map<std::string, quota_limit, std::less<>>;

/// In any `window` an account with rate R and burst B may have
/// (R * window + B) * (1 + excess) + slack requests.
struct tolerance {
  duration window = std::chrono::seconds(5);
  double excess = 0;
  double slack = 0;
};

/// Tokens per second that all daemons together create for an account, and the
/// time from its creation in which a token can be used.
struct token_terms {
  double rate = 0;
  duration lifetime{};
  /// Requests of a window that need no token.
  double reserve = 0;
};

/// Chooses terms with rate * (window + lifetime) below the bound of every
/// window.
token_terms terms_of(const quota_limit& limit, const tolerance& allowed);

/// Tokens that were created at about the same time. The age is that of the
/// oldest one when the message was written.
struct token_parcel {
  duration age{};
  double amount = 0;

  friend bool operator==(const token_parcel&, const token_parcel&) = default;
};

/// Tokens by the time of their creation.
class token_store {
 public:
  /// Counts the tokens as created at the multiple of `granularity` before.
  void add(time_point created_at, double amount, duration granularity);
  /// Returns the tokens that were created after `oldest`.
  double count(time_point oldest) const;
  /// Removes the tokens that were created at `oldest` or before.
  void expire(time_point oldest);
  /// Removes up to `amount` tokens that were created after `oldest`, the oldest
  /// ones first, and returns them with their ages.
  std::vector<token_parcel> take(time_point now, time_point oldest,
                                 double amount);
  void scale(double factor);

 private:
  std::map<time_point, double> tokens_;
};

/// A time on the clock of one process. Only that process interprets it; others
/// return it in their messages.
struct process_time {
  /// Random for each process, not zero; zero: not set.
  std::uint64_t process = 0;
  duration time{};

  friend auto operator<=>(const process_time&, const process_time&) = default;
};

/// The part of a message that is about one account.
struct account_entry {
  std::string account;
  /// In a request: requests that wait for a token, and further tokens wanted.
  std::uint32_t needed = 0;
  std::uint32_t ahead = 0;
  /// In an answer: the granted tokens, the rate at which they were created, and
  /// the time until more can be expected if there were too few.
  std::vector<token_parcel> granted;
  double rate = 0;
  duration retry_after{};

  friend bool operator==(const account_entry&, const account_entry&) = default;
};

/// A client's request to a coordinator, or the answer to one.
struct quota_message {
  std::string from;
  bool is_answer = false;
  process_time sent;
  /// In an answer: `sent` of the request. In a request: `sent` of the latest
  /// answer of the receiver, which limits the age of this request.
  process_time echo;
  /// The sender's right to create tokens from `creation.age` ago until now, in
  /// seconds of the rate of all daemons. Given to the receiver.
  token_parcel creation;
  std::vector<account_entry> accounts;

  friend bool operator==(const quota_message&, const quota_message&) = default;
};

struct envelope {
  std::string to;
  quota_message message;
};

/// Collects the tokens of the daemons that chose it, and grants them to those
/// that ask.
class coordinator {
 public:
  struct options {
    std::string id;
    std::uint64_t process = 1;
    tolerance allowed;
  };
  explicit coordinator(options settings) : options_(std::move(settings)) {}

  void set_limits(const account_limits& limits);
  /// Returns the answer to a client's request.
  quota_message receive(time_point now, const quota_message& request);
  /// Drops all tokens.
  void reset();

 private:
  struct demand {
    /// Waiting requests that got no token.
    double unmet = 0;
    double ahead = 0;
    time_point at{};
  };
  struct bucket {
    token_terms terms;
    token_store tokens;
    std::unordered_map<std::string, demand> demands;
    time_point used_at;
  };
  struct sender {
    duration last_sent{};
    time_point at;
  };

  void accept_creation(time_point now, const quota_message& request);
  bucket& bucket_of(time_point now, const std::string& account,
                    const quota_limit& limit);
  account_entry grant(time_point now, const std::string& from,
                      const account_entry& asked);
  double fill_rate(time_point now, const bucket& from) const;
  /// Estimates when the bucket has this many tokens.
  duration time_until(time_point now, const bucket& from, double tokens) const;
  static demand total(const std::unordered_map<std::string, demand>& demands);
  void remove_old(time_point now);

  options options_;
  account_limits limits_;
  /// The creation rights received, for accounts that are not in `buckets_`.
  token_store creation_;
  std::unordered_map<std::string, bucket> buckets_;
  /// Senders by process: a copied or late request adds no tokens.
  std::unordered_map<std::uint64_t, sender> senders_;
};

enum class admission : std::uint8_t { admitted, wait, refused };

struct decision {
  admission outcome{};
  /// If refused: when a token can be expected.
  duration retry_after{};
  /// If admitted: when the token was created, for `give_back`.
  time_point created_at{};
};

/// Decides on the requests of one daemon, and asks coordinators for tokens.
class client {
 public:
  struct options {
    std::string id;
    std::uint64_t process = 1;
    tolerance allowed;
    time_point started_at{};
    /// Interval between messages.
    duration period = std::chrono::milliseconds(400);
    /// A coordinator that is silent for this long is not used.
    duration silence_limit = std::chrono::milliseconds(1200);
    /// A request waits at most this long for a token.
    duration max_wait = std::chrono::milliseconds(30);
    /// No tokens are created for this time after the start, until the daemon
    /// knows the others: until then its fraction is too large. Those of this
    /// time are created at its end.
    duration startup_delay = std::chrono::seconds(1);
  };
  explicit client(options settings);

  void set_limits(const account_limits& limits);
  /// This daemon's fraction of all rates. The fractions of all daemons must not
  /// add up to more than one.
  void set_fraction(time_point now, double fraction);
  /// Sets the daemons that may be coordinator, best first.
  void set_coordinators(std::vector<std::string> ids);

  /// Takes a token for a request that has waited for `waited`, zero at first.
  /// After `wait` it must be called again, until `max_wait` has passed.
  /// Accounts without a quota are always admitted.
  decision admit(time_point now, const std::string& account, duration waited);
  /// Returns the token of a request that was not sent to any leaf. It expires
  /// as if it had not been used. A lower limit that came into force meanwhile
  /// does not reduce it.
  void give_back(const std::string& account, time_point created_at);

  /// Returns the messages that are due.
  std::vector<envelope> tick(time_point now);
  /// When `tick` must be called next; infinite if no account has a quota.
  time_point next_tick() const;
  void receive(time_point now, const quota_message& answer);
  /// Drops all tokens.
  void reset(time_point now);

  /// Returns the coordinator in use, which is this daemon itself if none
  /// answers.
  std::string coordinator_at(time_point now) const;
  double tokens_held(time_point now) const;

 private:
  struct account_state {
    token_terms terms;
    token_store tokens;
    /// Requests that found no token, not reported yet.
    std::uint32_t unmet = 0;
    /// The same, reported in a message that has not been answered.
    std::uint32_t unanswered = 0;
    time_point reported_at{};
    /// When a request last began to wait for a token.
    time_point unmet_at{};
    std::uint32_t requests = 0;
    double request_rate = 0;
    time_point empty_until{};
    /// Whether a request was admitted without a token after the start.
    bool admitted_without_token = false;
  };
  struct peer {
    process_time last_sent;
    time_point answered_at{};
  };

  void create(time_point now);
  /// Whether a request may be admitted before the daemon can have a token.
  bool admits_without_token(time_point now, const account_state& state) const;
  void update_rates(time_point now);
  void renew_unanswered(time_point now);
  std::vector<std::string> targets(time_point now) const;
  std::vector<account_entry> entries(time_point now, bool periodic);
  std::vector<envelope> messages_to(time_point now, const std::string& to,
                                    const std::vector<account_entry>& asked);
  token_parcel take_creation(time_point now, const std::string& to);
  process_time next_stamp(time_point now);
  void accept(time_point now, duration transit, const account_entry& entry);

  options options_;
  std::map<std::string, account_state, std::less<>> accounts_;
  std::vector<std::string> coordinators_;
  std::unordered_map<std::string, peer> peers_;
  /// Requests that were not answered yet, by `sent`.
  std::map<duration, std::string> open_requests_;
  double fraction_ = 0;
  /// Creation rights since `creation_begin_`, not given away yet.
  double creation_ = 0;
  time_point creation_begin_;
  time_point created_until_;
  duration last_stamp_{};
  /// Estimate of the time until an answer arrives.
  duration round_trip_{};
  time_point next_period_;
  time_point next_urgent_ = time_point::max();
  time_point last_message_at_{};
  time_point rates_at_;
};

/// The client and the coordinator of one daemon.
class node {
 public:
  struct options {
    std::string id;
    /// Random for each process, not zero.
    std::uint64_t process = 1;
    tolerance allowed;
    time_point started_at{};
  };
  explicit node(const options& settings);

  void set_limits(const account_limits& limits);
  void set_fraction(time_point now, double fraction) {
    client_.set_fraction(now, fraction);
  }
  void set_coordinators(std::vector<std::string> ids) {
    client_.set_coordinators(std::move(ids));
  }
  decision admit(time_point now, const std::string& account, duration waited) {
    return client_.admit(now, account, waited);
  }
  void give_back(const std::string& account, time_point created_at) {
    client_.give_back(account, created_at);
  }
  /// Returns the messages to other daemons that are due.
  std::vector<envelope> tick(time_point now);
  time_point next_tick() const { return client_.next_tick(); }
  /// Returns the answer to a request of another daemon.
  std::optional<envelope> receive(time_point now, const quota_message& message);
  /// Drops all tokens, for example after a pause of the process.
  void reset(time_point now);

  std::string coordinator_at(time_point now) const {
    return client_.coordinator_at(now);
  }
  double tokens_held(time_point now) const { return client_.tokens_held(now); }

 private:
  std::string id_;
  client client_;
  coordinator coordinator_;
};

/// Returns up to three of the daemons, given with their capacities, that may be
/// coordinator: those with the greatest capacity, in an order by rendezvous
/// hashing on which daemons with the same view agree.
std::vector<std::string> choose_coordinators(
    const std::map<std::string, std::uint32_t>& capacities);

}  // namespace medlarloft::quota
