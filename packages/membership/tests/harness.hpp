#pragma once

/// Drives groups by passing their messages through one queue, in order of
/// their time. No sockets and no clock: time is the queue's.

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

/// Returns the id of the n-th node.
inline std::string numbered_id(std::size_t number) {
  return "d" + std::to_string(number);
}

struct member_node {
  std::unique_ptr<group> members;
  notes::release_note held;  // the newest note, its text standing for all
  std::uint64_t digest = 0;
  bool up = true;
  bool paused = false;
  std::vector<message> missed;
};

class network {
 public:
  using link_up =
      std::function<bool(const std::string& from, const std::string& to)>;

  explicit network(std::size_t size, std::size_t per_centre, duration delay)
      : delay_(delay) {
    for (std::size_t i = 0; i < size; ++i) {
      const auto port = static_cast<std::uint16_t>(i % 60000 + 1);
      records_.push_back(
          {.id = numbered_id(i),
           .data_centre = "c" + std::to_string(i / per_centre),
           .control = {"10.0." + std::to_string(i / 60000) + ".1", port},
           .incarnation = 1,
           .state = member_state::alive});
      ids_[records_.back().control] = records_.back().id;
    }
  }

  /// Starts a node; `knows_all` gives it the whole membership at once.
  void start(const std::string& id, bool knows_all,
             std::uint64_t incarnation = 1) {
    const auto record = std::ranges::find(records_, id, &member_record::id);
    member_node& fresh = nodes_[id];
    fresh = {};
    group_options options{
        .self = *record,
        .seeds = {records_[0].control, records_[records_.size() / 2].control},
        .random_seed = hash64(id, incarnation)};
    options.self.incarnation = incarnation;
    options.tree_fanout = tree_fanout_;
    fresh.members =
        std::make_unique<group>(options, [&fresh](notes::note_version from) {
          std::vector<notes::release_note> held;
          if (fresh.held.version > from) held.push_back(fresh.held);
          return held;
        });
    take(id, fresh.members->start(now_));
    if (!knows_all) return;
    message all;
    all.kind = message_kind::join_response;
    all.from = records_[0].id == id ? records_[1].id : records_[0].id;
    all.updates = records_;
    take(id, fresh.members->receive(now_, all));
    events_.clear();
  }

  void start_all() {
    for (const member_record& record : records_)
      start(record.id, true);
    for (auto& [id, one] : nodes_)
      one.members->set_published(records_);
  }

  /// A node reads a note from the platform.
  void read_note(const std::string& id, notes::note_version version) {
    accept(nodes_[id], id, {version, version - 1, "note"}, version * 7, id,
           true);
  }

  void run_for(duration length, duration step = std::chrono::milliseconds(20)) {
    const time_point end = now_ + length;
    while (now_ < end) {
      now_ += step;
      deliver_due();
      for (auto& [id, one] : nodes_) {
        if (!one.up || one.paused) continue;
        if (one.members->next_tick() <= now_) take(id, one.members->tick(now_));
      }
    }
  }

  std::size_t count_with(notes::note_version version) const {
    return static_cast<std::size_t>(
        std::ranges::count_if(nodes_, [version](const auto& entry) {
          return entry.second.up && entry.second.held.version == version;
        }));
  }

  member_state state_at(const std::string& observer,
                        const std::string& subject) const {
    const auto* found = nodes_.at(observer).members->find(subject);
    return found == nullptr ? member_state::unheard : found->state;
  }

  member_node& node(const std::string& id) { return nodes_[id]; }
  time_point now() const noexcept { return now_; }
  std::uint64_t messages() const noexcept { return messages_; }
  const std::vector<member_event>& events() const noexcept { return events_; }
  void clear_events() { events_.clear(); }
  /// Children in the spreading tree of nodes started later; 0 for no tree and
  /// no telling of other data centres.
  void set_tree_fanout(std::size_t fanout) { tree_fanout_ = fanout; }
  void set_link(link_up rule) { link_up_ = std::move(rule); }
  /// Called with each message sent; for counting bytes.
  std::function<void(const message&)> on_send;

  void take(const std::string& id, const outputs& wanted) {
    for (const envelope& letter : wanted.messages) {
      ++messages_;
      if (on_send) on_send(letter.message);
      const auto to = ids_.find(letter.to);
      if (to == ids_.end()) continue;
      if (link_up_ && !link_up_(id, to->second)) continue;
      queue_.push({now_ + delay_, sequence_++, to->second, letter.message});
    }
    for (const received_notes& letter : wanted.notes) {
      accept(nodes_[id], id, letter.chain.back(), letter.digest, letter.root,
             false);
    }
    for (const member_event& event : wanted.events)
      events_.push_back(event);
    conflicts_ += wanted.conflicts.size();
  }

  std::size_t conflicts() const noexcept { return conflicts_; }

 private:
  struct in_flight {
    time_point at;
    std::uint64_t order;
    std::string to;
    message body;

    bool operator<(const in_flight& other) const {
      return std::tie(other.at, other.order) < std::tie(at, order);
    }
  };

  void accept(member_node& at, const std::string& id,
              const notes::release_note& note, std::uint64_t digest,
              const std::string& root, bool read_from_store) {
    if (note.version <= at.held.version) return;
    at.held = note;
    at.digest = digest;
    take(id, at.members->set_note(now_, note.version, digest, root,
                                  read_from_store));
  }

  void deliver_due() {
    while (!queue_.empty() && queue_.top().at <= now_) {
      const in_flight next = queue_.top();
      queue_.pop();
      const auto found = nodes_.find(next.to);
      if (found == nodes_.end() || !found->second.up) continue;
      if (found->second.paused) {
        found->second.missed.push_back(next.body);
        continue;
      }
      take(next.to, found->second.members->receive(now_, next.body));
    }
  }

  duration delay_;
  std::size_t tree_fanout_ = 4;
  time_point now_{std::chrono::seconds(100)};
  std::vector<member_record> records_;
  std::map<endpoint, std::string> ids_;
  std::map<std::string, member_node> nodes_;
  std::priority_queue<in_flight> queue_;
  std::uint64_t sequence_ = 0;
  std::uint64_t messages_ = 0;
  std::size_t conflicts_ = 0;
  std::vector<member_event> events_;
  link_up link_up_;
};

}  // namespace medlarloft::membership
