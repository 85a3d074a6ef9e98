#include "context.hpp"

namespace medlarloft::server {

wall_time wall_now() {
  return std::chrono::time_point_cast<wall_time::duration>(
      std::chrono::system_clock::now());
}

admission::dedup_verdict shared_ledger::show(const std::string& id,
                                             wall_time issued) {
  const std::lock_guard<std::mutex> guard(mutex_);
  const auto since = owners_.owner_since(self_, id);
  // Not the owner after all: another view came into force meanwhile.
  if (!since) return admission::dedup_verdict::unknown;
  return ledger_.try_start(wall_now(), id, issued, *since);
}

void shared_ledger::ended(const std::string& id, admission::request_state how,
                          std::string answer) {
  const std::lock_guard<std::mutex> guard(mutex_);
  ledger_.finish(id, how, std::move(answer));
}

std::string shared_ledger::answer(const std::string& id) {
  const std::lock_guard<std::mutex> guard(mutex_);
  return ledger_.answer(id).value_or("");
}

void shared_ledger::fleet_changed(duration hold_off,
                                  const std::vector<notes::model_ptr>& steps,
                                  bool gapless) {
  const std::lock_guard<std::mutex> guard(mutex_);
  if (!gapless) owners_.reset();
  for (const notes::model_ptr& model : steps) {
    owners_.add(wall_now(), hold_off, model);
  }
}

daemon_context::daemon_context(settings::daemon_settings values)
    : settings(std::move(values)),
      events(settings.timeline_events),
      ledger(settings.id,
             admission::dedup_table(
                 {.repeat_window = settings.callers.repeat_window,
                  .max_skew = settings.callers.max_clock_skew},
                 wall_now()),
             placement::ownership_history(settings.callers.repeat_window)) {}

void daemon_context::event(timeline::event_kind kind, std::string subject,
                           std::string detail) {
  logs::write(logs::level::info, timeline::name_of(kind),
              {{"subject", subject}, {"detail", detail}});
  events.add({.timestamp = clock.tick(wall_now()),
              .process = settings.id,
              .kind = kind,
              .subject = std::move(subject),
              .detail = std::move(detail)});
}

peers::clock_callbacks daemon_context::stamping() {
  return {.tick = [this] { return clock.tick(wall_now()); },
          .merge =
              [this](timeline::hybrid_timestamp remote) {
                clock.merge(wall_now(), remote);
              }};
}

}  // namespace medlarloft::server
