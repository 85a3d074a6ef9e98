#pragma once

/// What all threads of a daemon share: settings, clock, time line, view, and
/// the ledger of non-idempotent requests.

#include <mutex>
#include <string>

#include "medlarloft/admission.hpp"
#include "medlarloft/base.hpp"
#include "medlarloft/peers.hpp"
#include "medlarloft/placement.hpp"
#include "medlarloft/settings.hpp"
#include "medlarloft/timeline.hpp"
#include "view.hpp"

namespace medlarloft::server {

/// Returns the wall clock's time.
wall_time wall_now();

/// The ledger and the history of ownership behind a lock; requests reach them
/// from every traffic thread.
class shared_ledger {
 public:
  shared_ledger(std::string self, admission::dedup_table ledger,
                placement::ownership_history owners)
      : self_(std::move(self)),
        ledger_(std::move(ledger)),
        owners_(std::move(owners)) {}

  admission::dedup_verdict show(const std::string& id, wall_time issued);
  void ended(const std::string& id, admission::request_state how,
             std::string answer);
  std::string answer(const std::string& id);
  /// Takes each fleet in order; `gapless` is false when some were skipped.
  void fleet_changed(duration hold_off,
                     const std::vector<notes::model_ptr>& steps, bool gapless);

 private:
  std::mutex mutex_;
  std::string self_;
  admission::dedup_table ledger_;
  placement::ownership_history owners_;
};

struct daemon_context {
  explicit daemon_context(settings::daemon_settings values);

  /// Adds an event to the time line and the log.
  void event(timeline::event_kind kind, std::string subject,
             std::string detail = {});

  peers::clock_callbacks stamping();

  const settings::daemon_settings settings;
  timeline::hybrid_clock clock;
  timeline::event_ring events;
  view_board board;
  shared_ledger ledger;
};

}  // namespace medlarloft::server
