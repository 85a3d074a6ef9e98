#pragma once

/// Simulates a network of groups: passes their messages through one queue
/// ordered by delivery time. Uses neither sockets nor a clock.

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "medlarloft/membership.hpp"

namespace medlarloft::membership {

/// Returns the id of the n-th daemon.
inline std::string daemon_id(std::size_t number) {
  return "d" + std::to_string(number);
}

struct simulated_daemon {
  std::unique_ptr<group> members;
  notes::release_note note;  // the newest note; stands for the whole chain
  std::uint64_t digest = 0;
  bool running = true;
  bool paused = false;
  std::vector<message> undelivered;
};

class simulated_network {
 public:
  using link_up =
      std::function<bool(const std::string& from, const std::string& to)>;

  explicit simulated_network(std::size_t size, std::size_t per_centre,
                             duration delay)
      : delay_(delay) {
    for (std::size_t i = 0; i < size; ++i) {
      const auto port = static_cast<std::uint16_t>(i % 60000 + 1);
      records_.push_back(
          {.id = daemon_id(i),
           .data_centre = "c" + std::to_string(i / per_centre),
           .control = {"10.0." + std::to_string(i / 60000) + ".1", port},
           .incarnation = 1,
           .state = member_state::alive});
      ids_[records_.back().control] = records_.back().id;
    }
  }

  /// Starts a daemon; `knows_all` gives it all members at once.
  void start(const std::string& id, bool knows_all,
             std::uint64_t incarnation = 1) {
    const auto record = std::ranges::find(records_, id, &member_record::id);
    simulated_daemon& started = daemons_[id];
    started = {};
    group_options options{
        .self = *record,
        .seeds = {records_[0].control, records_[records_.size() / 2].control},
        .random_seed = hash64(id, incarnation)};
    options.self.incarnation = incarnation;
    options.tree_fanout = tree_fanout_;
    started.members =
        std::make_unique<group>(options, [&started](notes::note_version from) {
          std::vector<notes::release_note> chain;
          if (started.note.version > from) chain.push_back(started.note);
          return chain;
        });
    apply_outputs(id, started.members->start(now_));
    if (!knows_all) return;
    message all;
    all.kind = message_kind::join_response;
    all.from = records_[0].id == id ? records_[1].id : records_[0].id;
    all.updates = records_;
    apply_outputs(id, started.members->receive(now_, all));
    events_.clear();
  }

  void start_all() {
    for (const member_record& record : records_)
      start(record.id, true);
    for (auto& [id, simulated] : daemons_)
      simulated.members->set_published(records_);
  }

  /// Simulates that a daemon reads a note from the store.
  void read_note(const std::string& id, notes::note_version version) {
    accept(daemons_[id], id, {version, version - 1, "note"}, version * 7, id,
           true);
  }

  void run_for(duration length, duration step = std::chrono::milliseconds(20)) {
    const time_point end = now_ + length;
    while (now_ < end) {
      now_ += step;
      deliver_due();
      for (auto& [id, simulated] : daemons_) {
        if (!simulated.running || simulated.paused) continue;
        if (simulated.members->next_tick() <= now_)
          apply_outputs(id, simulated.members->tick(now_));
      }
    }
  }

  std::size_t count_with(notes::note_version version) const {
    return static_cast<std::size_t>(
        std::ranges::count_if(daemons_, [version](const auto& entry) {
          return entry.second.running && entry.second.note.version == version;
        }));
  }

  member_state state_at(const std::string& observer,
                        const std::string& subject) const {
    const auto* found = daemons_.at(observer).members->find(subject);
    return found == nullptr ? member_state::unheard : found->state;
  }

  simulated_daemon& daemon(const std::string& id) { return daemons_[id]; }
  time_point now() const noexcept { return now_; }
  std::uint64_t messages() const noexcept { return messages_; }
  const std::vector<member_event>& events() const noexcept { return events_; }
  void clear_events() { events_.clear(); }
  /// Sets the tree fan-out of daemons started later; with 0 notes go neither
  /// down a tree nor to other data centres.
  void set_tree_fanout(std::size_t fanout) { tree_fanout_ = fanout; }
  void set_link(link_up rule) { link_up_ = std::move(rule); }
  /// Called with each sent message, to count bytes.
  std::function<void(const message&)> on_send;

  /// Queues the messages of a daemon and handles its notes and events.
  void apply_outputs(const std::string& id, const outputs& actions) {
    for (const envelope& sent : actions.messages) {
      ++messages_;
      if (on_send) on_send(sent.message);
      const auto to = ids_.find(sent.to);
      if (to == ids_.end()) continue;
      if (link_up_ && !link_up_(id, to->second)) continue;
      queue_.push({now_ + delay_, sequence_++, to->second, sent.message});
    }
    for (const received_notes& received : actions.notes) {
      accept(daemons_[id], id, received.chain.back(), received.digest,
             received.root, false);
    }
    for (const member_event& event : actions.events)
      events_.push_back(event);
    conflicts_ += actions.conflicts.size();
  }

  std::size_t conflicts() const noexcept { return conflicts_; }

 private:
  struct in_flight {
    time_point deliver_at;
    std::uint64_t order;
    std::string to;
    message body;

    bool operator<(const in_flight& other) const {
      return std::tie(other.deliver_at, other.order) <
             std::tie(deliver_at, order);
    }
  };

  void accept(simulated_daemon& receiver, const std::string& id,
              const notes::release_note& note, std::uint64_t digest,
              const std::string& root, bool read_from_store) {
    if (note.version <= receiver.note.version) return;
    receiver.note = note;
    receiver.digest = digest;
    apply_outputs(id, receiver.members->set_note(now_, note.version, digest,
                                                 root, read_from_store));
  }

  void deliver_due() {
    while (!queue_.empty() && queue_.top().deliver_at <= now_) {
      const in_flight next = queue_.top();
      queue_.pop();
      const auto found = daemons_.find(next.to);
      if (found == daemons_.end() || !found->second.running) continue;
      if (found->second.paused) {
        found->second.undelivered.push_back(next.body);
        continue;
      }
      apply_outputs(next.to, found->second.members->receive(now_, next.body));
    }
  }

  duration delay_;
  std::size_t tree_fanout_ = 4;
  time_point now_{std::chrono::seconds(100)};
  std::vector<member_record> records_;
  std::map<endpoint, std::string> ids_;
  std::map<std::string, simulated_daemon> daemons_;
  std::priority_queue<in_flight> queue_;
  std::uint64_t sequence_ = 0;
  std::uint64_t messages_ = 0;
  std::size_t conflicts_ = 0;
  std::vector<member_event> events_;
  link_up link_up_;
};

}  // namespace medlarloft::membership
