/// The faults and statements of leafs, and the records of other writers.

#include <nlohmann/json.hpp>

#include "faults.hpp"

namespace medlarloft::soak {
namespace {

using std::chrono::milliseconds;

/// From when a leaf says that it leaves. Daemons keep a record for some time
/// after its removal, so that the late write comes well after that.
constexpr duration record_lapse_delay = milliseconds(300);
constexpr duration late_write_delay = drain_bound + milliseconds(2000);
constexpr duration leaving_leaf_stop_delay = drain_bound + milliseconds(4000);
constexpr int odd_entry_levels = 1000;
/// Leafs that state a limit, in requests per second, or leave, and pauses.
constexpr std::uint64_t max_rate_limit = 20;
constexpr int limited_leafs = 3;
constexpr int pauses = 3;
constexpr int leaving_leafs = 2;
/// How long a leaf turns requests away, and the pause that it asks for.
constexpr duration busy_time = milliseconds(600);
constexpr duration requested_pause = milliseconds(1800);

}  // namespace

void fault_plan::replace_leaf(std::size_t leaf) {
  standins::leaf& ended = *deployment_.leafs()[leaf];
  if (!ended.running()) return;
  ended.crash();
  deployment_.deregister_leaf(ended);
  ended.restart(ended.settings().start_id + 1);
  checker_.on_leaf_serving(ended.settings().id);
  deployment_.register_leaf(ended);
}

void fault_plan::schedule_statements() {
  const std::size_t count = deployment_.leafs().size();
  const auto draw_time = [this] {
    return options_.window_begin +
           statement_random_.below(options_.window_end - options_.window_begin);
  };
  for (int i = 0; i < limited_leafs; ++i) {
    const std::size_t leaf = statement_random_.below(count);
    const auto limit =
        static_cast<double>(1 + statement_random_.below(max_rate_limit));
    schedule(options_.window_begin, [this, leaf, limit] {
      standins::leaf& limited = *deployment_.leafs()[leaf];
      log_("limit " + limited.settings().id + " " + std::to_string(limit));
      limited.set_rate_limit(limit);
    });
  }
  for (int i = 0; i < pauses; ++i)
    schedule_pause(statement_random_.below(count), draw_time());
  for (int i = 0; i < leaving_leafs; ++i)
    schedule_leaving(statement_random_.below(count), draw_time());
  schedule_odd_entries(draw_time());
}

// Another writer leaves entries that name no leaf among those of the leafs.
void fault_plan::schedule_odd_entries(duration when) {
  schedule(when, [this] {
    log_("odd entries");
    const nlohmann::json leaf = deployment_.leafs().front()->registration();
    const auto put_with = [&](const std::string& key, const char* field,
                              nlohmann::json value) {
      nlohmann::json odd = leaf;
      odd[field] = std::move(value);
      deployment_.store().put("servers/" + key, odd);
    };
    put_with("a-odd", "concurrency", 1e308);
    put_with("m-odd", "addr", "127.0.0.1:65536");
    put_with("z-odd\r\nHost: other", "born", 1);
    nlohmann::json nested = nlohmann::json::array();
    for (int level = 0; level < odd_entry_levels; ++level)
      nested = nlohmann::json::array({std::move(nested)});
    deployment_.store().put("servers/n-odd", nested);
  });
}

// The leaf turns requests away for a while, with a longer pause.
void fault_plan::schedule_pause(std::size_t leaf, duration when) {
  schedule(when, [this, leaf] {
    log_("pause " + deployment_.leafs()[leaf]->settings().id);
    deployment_.leafs()[leaf]->set_pause(requested_pause);
  });
  schedule(when + busy_time, [this, leaf] {
    deployment_.leafs()[leaf]->set_pause(std::nullopt);
  });
}

// The record of the leaf says that it is ready. It is removed, and comes back
// by a write that the store carries out late.
void fault_plan::schedule_leaving(std::size_t leaf, duration when) {
  schedule(when, [this, leaf] {
    standins::leaf& leaving = *deployment_.leafs()[leaf];
    log_("leaving " + leaving.settings().id);
    leaving.set_leaving();
    timers_.after(record_lapse_delay, [this, &leaving] {
      if (leaving.running()) deployment_.deregister_leaf(leaving);
    });
    timers_.after(late_write_delay, [this, &leaving] {
      if (leaving.running()) deployment_.register_leaf(leaving);
    });
    timers_.after(leaving_leaf_stop_delay,
                  [this, leaf] { replace_leaf(leaf); });
  });
}

}  // namespace medlarloft::soak
