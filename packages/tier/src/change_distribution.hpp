#pragma once

/// Keeps this daemon's copy of the store's records current. It decides whether
/// this daemon reads the store, sends what was read to the other daemons, and
/// requests what did not arrive. No I/O: messages and the time are arguments,
/// messages to send are returned.

#include <functional>
#include <string_view>
#include <vector>

#include "medlarloft/membership.hpp"
#include "medlarloft/replica.hpp"
#include "reader_selection.hpp"

namespace medlarloft::tier {

class change_distribution {
 public:
  struct options {
    membership::group_options group;
    reader_selection::options readers;
    time_point started_at{};
  };
  struct hooks {
    /// Returns the changes of this daemon's copy after a position.
    std::function<replica::store_copy::delta(replica::position)> changes_since;
    /// Returns the position of this daemon's copy.
    std::function<replica::position()> copy_position;
    /// Applies what another daemon sent to this daemon's copy.
    std::function<void(time_point now, const replica::store_copy::delta& delta,
                       std::string_view source)>
        apply;
    /// A message of another daemon held changes that cannot be decoded.
    std::function<void(std::string_view source, replica::position position)>
        on_malformed;
  };
  /// Messages to send and changes of members since the last call.
  struct outputs {
    std::vector<membership::envelope> messages;
    std::vector<membership::member_event> events;
  };

  change_distribution(options settings, hooks callbacks);

  outputs start(time_point now);
  outputs tick(time_point now);
  time_point next_tick() const { return members_.next_tick(); }
  outputs receive(time_point now, const membership::message& received);
  /// Call after the process was paused. What arrives next may have waited
  /// meanwhile, so that its age is unknown: only an answer to a new join, or of
  /// the store to a new call, confirms the copy.
  outputs reset_after_pause(time_point now);
  outputs leave(time_point now, membership::member_state state);
  /// Sends this daemon's status to all daemons of its data centre.
  outputs send_status(time_point now);
  /// What another daemon requested was delivered to it.
  void on_notes_delivered(const std::string& id) {
    members_.on_notes_delivered(id);
  }

  /// The store answered a call of this daemon.
  void on_store_answer(time_point now) { readers_.store_answered(now); }
  /// This daemon's copy was brought up to `position` by reading the store. With
  /// `is_latest`, the store had no later changes.
  outputs on_store_read(time_point now, replica::position position,
                        bool is_latest);
  /// Sets whether the store fails to answer this daemon, which reads it. While
  /// it fails, the other daemons are told repeatedly.
  outputs set_store_failing(time_point now, bool failing);
  /// Requests changes from other daemons if this daemon's copy may lack some.
  outputs request_missing_changes(time_point now);

  /// Whether this daemon should read the store now.
  bool should_read_store(time_point now, std::size_t data_centres);
  const reader_selection& readers() const noexcept { return readers_; }
  const membership::group& members() const noexcept { return members_; }

 private:
  void collect(time_point now, outputs& out, membership::outputs&& from_group);
  void apply_notes(time_point now, outputs& out,
                   const membership::received_notes& received);
  void publish(time_point now, outputs& out, const std::string& root);

  std::string id_;
  std::string data_centre_;
  hooks hooks_;
  reader_selection readers_;
  membership::group members_;
  /// Position of the last changes sent to the other daemons.
  replica::position published_position_;
  bool store_failing_ = false;
  /// Until then, reports are ignored unless they answer a new join.
  time_point ignore_reports_until_{};
};

}  // namespace medlarloft::tier
