#pragma once

/// Compares what callers were told with what the stand-ins really ran.

#include <cstdint>
#include <map>
#include <string>

#include "medlarloft/base.hpp"
#include "medlarloft/front.hpp"

namespace medlarloft::bench {

struct record_figures {
  bool reached = false;
  std::uint64_t leaf_requests = 0;
  /// Non-idempotent requests that ran more than once.
  std::uint64_t doubled = 0;
  /// Requests called "not run" that ran.
  std::uint64_t ran_though_not_run = 0;
  /// Requests called "answered" that never ran.
  std::uint64_t answered_though_never_run = 0;
  /// Requests begun on a cold server beyond what it bears.
  std::uint64_t cold_overloads = 0;
  std::uint64_t slot_overloads = 0;
  std::uint64_t shed = 0;
  /// Servers that ever had more connections than they allow.
  std::uint64_t over_connections = 0;

  bool sound() const noexcept {
    return reached && doubled == 0 && ran_though_not_run == 0 &&
           answered_though_never_run == 0;
  }
};

record_figures check_record(
    const endpoint& steering,
    const std::map<std::string, front::outcome_kind>& told);

/// Returns how many leaf requests have begun in a data centre so far.
std::uint64_t started_in(const endpoint& steering,
                         const std::string& data_centre);

void print(const record_figures& figures);

}  // namespace medlarloft::bench
