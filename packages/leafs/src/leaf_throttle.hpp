#pragma once

/// Decides whether and how much this daemon may send to one leaf. It combines
/// what the daemon knows of the leaf (ejected after failures, cold, requests in
/// flight) with what the leaf says of itself in its responses (a limit, a
/// pause, that it leaves). No I/O; time is an argument.

#include <optional>

#include "in_flight_limit.hpp"
#include "medlarloft/leafs.hpp"
#include "request_pacer.hpp"

namespace medlarloft::leafs {

class leaf_throttle {
 public:
  struct options {
    duration initial_ejection{};
    duration max_ejection{};
    duration max_pause{};
  };
  /// This daemon's part of what all daemons share, as of now.
  struct quota {
    std::size_t in_flight = 0;
    std::size_t max_in_flight = 1;
  };

  explicit leaf_throttle(options settings) : options_(settings) {}

  void set_cold_until(time_point now, time_point until);
  /// Sets the requests per second that this daemon may send to the cold leaf;
  /// nothing: no limit. A daemon that had no part starts without a token.
  void set_cold_rate(time_point now, std::optional<double> rate);
  /// Sets this daemon's part of the limit that the leaf states.
  void set_stated_rate(time_point now, double rate);

  /// Returns why no request may be sent now; nothing if one may be sent.
  std::optional<unavailable_reason> unavailable(time_point now,
                                                const quota& own) const;
  void on_sent(time_point now);
  /// `in_flight` includes the request that ended.
  void on_ended(time_point now, attempt_outcome outcome, std::size_t in_flight,
                duration expected_time);

  /// Takes over what the leaf said in its response to a request sent at
  /// `sent_at`. `phase`, in [0, 1), differs between daemons. A limit that
  /// changed has no rate until `set_stated_rate` is called.
  report_changes on_report(time_point now, time_point sent_at,
                           const leaf_report& report, double phase);

  bool ejected() const noexcept;
  /// The leaf said that it leaves. It gets no more requests.
  bool leaving() const noexcept { return leaving_; }
  bool cold(time_point now) const noexcept { return now < cold_until_; }
  bool paused(time_point now) const noexcept { return now < paused_until_; }
  std::optional<double> rate_limit() const;
  /// Returns the earliest time at which the pause and the limit of the leaf let
  /// this daemon send a request.
  time_point earliest_turn(time_point now) const;
  /// Mean number of requests in flight if every admitted request is sent.
  double average_in_flight(std::size_t max_in_flight,
                           duration response_time) const;

 private:
  struct stated_limit {
    double rate = 0;
    time_point stated_at;
    request_pacer pacer;
  };

  bool update_limit(time_point now, time_point sent_at,
                    const leaf_report& report, double phase);
  void record_failure(time_point now, bool eject_now);

  options options_;
  in_flight_limit in_flight_limit_;
  std::uint32_t consecutive_failures_ = 0;
  time_point ejected_until_{};
  /// An ejected leaf gets one trial request at a time.
  bool trial_in_flight_ = false;
  time_point cold_until_{};
  std::optional<token_bucket> cold_tokens_;
  std::optional<stated_limit> stated_limit_;
  time_point paused_until_{};
  bool leaving_ = false;
};

}  // namespace medlarloft::leafs
