#pragma once

/// Simulates the distribution of the store's changes among all daemons of a
/// fleet, with a simulated clock, store and network. Uses neither sockets nor a
/// clock.

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "change_distribution.hpp"
#include "store_read_timing.hpp"

namespace medlarloft::tier::testing {

using std::chrono::milliseconds;

/// The key under which each change of the configuration is stored.
inline const std::string configuration_key = "configuration";

class simulated_fleet {
 public:
  struct options {
    std::size_t daemons = 10;
    std::size_t data_centres = 5;
    propagation_limits limits{.leaf_leaves = std::chrono::seconds(6),
                              .configuration = std::chrono::seconds(6)};
    std::uint64_t seed = 1;
    /// Fraction of the messages that are lost.
    double loss = 0.0015;
    /// Registrations of leafs written to the store per second.
    int heartbeat_rate = 50;
  };
  /// Whether the store answers a daemon.
  using store_rule = std::function<bool(std::size_t daemon)>;
  /// Whether a message arrives.
  using link_rule = std::function<bool(std::size_t from, std::size_t to,
                                       const membership::message& message)>;

  explicit simulated_fleet(options settings)
      : options_(settings), random_(settings.seed) {
    for (std::size_t i = 0; i < options_.daemons; ++i) {
      const auto port = static_cast<std::uint16_t>(i + 1);
      records_.push_back({.id = "d" + std::to_string(i),
                          .data_centre = "z" + std::to_string(centre_of(i)),
                          .control = {"10.0.0.1", port},
                          .incarnation = 1,
                          .state = membership::member_state::alive});
    }
    write_to_store("first", "1");
    write_to_store(configuration_key, "0");
    for (std::size_t i = 0; i < options_.daemons; ++i)
      daemons_.push_back(make_daemon(i));
    for (std::size_t i = 0; i < options_.daemons; ++i)
      introduce(i);
  }

  std::size_t centre_of(std::size_t daemon) const {
    return daemon % options_.data_centres;
  }
  void set_store_rule(store_rule rule) { store_rule_ = std::move(rule); }
  void set_link_rule(link_rule rule) { link_rule_ = std::move(rule); }
  bool reads(std::size_t daemon) const { return daemons_[daemon]->reading; }
  std::size_t reader_count() const {
    return static_cast<std::size_t>(std::ranges::count_if(
        daemons_, [](const auto& each) { return each->reading; }));
  }
  std::uint64_t store_calls() const noexcept { return store_calls_; }
  std::uint64_t messages() const noexcept { return messages_; }
  /// Bytes of the changes that the busiest daemon sent.
  std::uint64_t most_note_bytes() const {
    std::uint64_t most = 0;
    for (const auto& each : daemons_)
      most = std::max(most, each->note_bytes);
    return most;
  }

  /// Writes a new configuration and returns its number.
  int configure() {
    write_to_store(configuration_key, std::to_string(++configuration_));
    return configuration_;
  }
  /// The daemons whose copy has an older configuration than `number`.
  std::vector<std::size_t> behind(int number) const {
    std::vector<std::size_t> late;
    for (std::size_t i = 0; i < daemons_.size(); ++i)
      if (daemons_[i]->configuration < number) late.push_back(i);
    return late;
  }

  void run_for(duration length) {
    const time_point end = now_ + length;
    while (now_ < end) {
      now_ += step;
      for (; next_heartbeat_ <= now_;
           next_heartbeat_ +=
           std::chrono::duration_cast<duration>(std::chrono::seconds(1)) /
           options_.heartbeat_rate) {
        write_to_store("leaf" + std::to_string(random_.below(leafs)), "beat");
      }
      deliver_due();
      for (std::size_t i = 0; i < daemons_.size(); ++i)
        run_daemon(i);
    }
  }

 private:
  static constexpr duration step = milliseconds(10);
  static constexpr duration selection_period = milliseconds(100);
  static constexpr std::uint64_t leafs = 2000;
  /// Changes in one response of the store at most.
  static constexpr std::size_t page_size = 500;
  static constexpr duration call_time = milliseconds(10);
  static constexpr duration retry_time = milliseconds(500);
  static constexpr duration near_delay = milliseconds(1);
  static constexpr duration far_delay = milliseconds(5);

  struct daemon {
    replica::store_copy copy{{}};
    std::unique_ptr<change_distribution> distribution;
    int configuration = -1;
    bool reading = false;
    bool failing = false;
    time_point next_call;
    time_point next_selection;
    std::uint64_t note_bytes = 0;
  };
  struct in_flight {
    time_point deliver_at;
    std::uint64_t order;
    std::size_t to;
    membership::message message;
    bool operator<(const in_flight& other) const {
      return std::tie(other.deliver_at, other.order) <
             std::tie(deliver_at, order);
    }
  };

  void write_to_store(const std::string& key, const std::string& value) {
    store_[key] = {.key = key, .changed_revision = ++revision_, .value = value};
  }

  std::unique_ptr<daemon> make_daemon(std::size_t index) {
    auto made = std::make_unique<daemon>();
    daemon& self = *made;
    made->distribution = std::make_unique<change_distribution>(
        change_distribution::options{
            .group = {.self = records_[index],
                      .probe_period = milliseconds(500),
                      .probe_timeout = milliseconds(200),
                      .random_seed = hash_combine(options_.seed, index)},
            .readers = {.stale_after = stale_after(options_.limits)},
            .started_at = now_},
        change_distribution::hooks{
            .changes_since =
                [&self](replica::revision from) {
                  return self.copy.changes_since(from);
                },
            .copy_revision = [&self] { return self.copy.last_revision(); },
            .apply =
                [&self](time_point now, const replica::store_copy::delta& delta,
                        std::string_view) {
                  update(self,
                         delta.listing
                             ? self.copy.apply_listing(now, delta.changes,
                                                       delta.last_revision)
                             : self.copy.apply(now, delta.changes,
                                               delta.last_revision));
                },
            .on_malformed = [](std::string_view, replica::revision) {}});
    made->next_selection =
        now_ +
        random_.below(std::chrono::duration_cast<duration>(selection_period));
    return made;
  }

  static void update(daemon& self, const std::vector<replica::update>& news) {
    for (const replica::update& each : news) {
      if (each.key == configuration_key && each.value) {
        self.configuration =
            std::max(self.configuration, std::stoi(*each.value));
      }
    }
  }

  // Gives a daemon the records of all members.
  void introduce(std::size_t index) {
    membership::message all{.kind = membership::message_kind::join_response,
                            .from = records_[index == 0 ? 1 : 0].id,
                            .updates = records_};
    send(index, daemons_[index]->distribution->receive(now_, all));
  }

  void send(std::size_t from, const change_distribution::outputs& outputs) {
    for (const membership::envelope& envelope : outputs.messages) {
      ++messages_;
      for (const auto& note : envelope.message.notes)
        daemons_[from]->note_bytes += note.text.size();
      const std::size_t to = envelope.to.port - 1U;
      const bool lost = random_.uniform() < options_.loss ||
                        (link_rule_ && !link_rule_(from, to, envelope.message));
      if (lost) continue;
      const bool near = centre_of(from) == centre_of(to);
      queue_.push({now_ + (near ? near_delay : far_delay), order_++, to,
                   envelope.message});
    }
  }

  void deliver_due() {
    while (!queue_.empty() && queue_.top().deliver_at <= now_) {
      const in_flight next = queue_.top();
      queue_.pop();
      send(next.to,
           daemons_[next.to]->distribution->receive(now_, next.message));
    }
  }

  void run_daemon(std::size_t index) {
    daemon& self = *daemons_[index];
    if (self.distribution->next_tick() <= now_)
      send(index, self.distribution->tick(now_));
    if (self.next_selection <= now_) {
      self.next_selection = now_ + selection_period;
      send(index, self.distribution->set_store_failing(
                      now_, self.reading && self.failing));
      send(index, self.distribution->request_missing_changes(now_));
      const bool reads =
          self.distribution->should_read_store(now_, options_.data_centres);
      if (reads && !self.reading) self.next_call = now_ + call_time;
      self.reading = reads;
    }
    if (self.reading && self.next_call <= now_) read_store(index);
  }

  void read_store(std::size_t index) {
    daemon& self = *daemons_[index];
    ++store_calls_;
    self.failing = store_rule_ && !store_rule_(index);
    if (self.failing) {
      self.next_call = now_ + retry_time;
      return;
    }
    std::vector<replica::change> changes;
    for (const auto& [key, change] : store_)
      if (change.changed_revision > self.copy.last_revision())
        changes.push_back(change);
    std::ranges::sort(changes, {}, &replica::change::changed_revision);
    const bool full = changes.size() > page_size;
    if (full) changes.resize(page_size);
    const replica::revision read =
        full ? changes.back().changed_revision : revision_;
    self.next_call =
        now_ + call_time +
        (full ? duration::zero() : pause_after_changes(options_.limits));
    self.distribution->on_store_answer(now_);
    update(self, self.copy.apply(now_, changes, read));
    send(index, self.distribution->on_store_read(now_, read, !full));
  }

  options options_;
  random_generator random_;
  time_point now_{std::chrono::hours(1)};
  time_point next_heartbeat_ = now_;
  std::vector<membership::member_record> records_;
  std::vector<std::unique_ptr<daemon>> daemons_;
  std::map<std::string, replica::change> store_;
  replica::revision revision_ = 0;
  int configuration_ = 0;
  std::priority_queue<in_flight> queue_;
  std::uint64_t order_ = 0;
  std::uint64_t messages_ = 0;
  std::uint64_t store_calls_ = 0;
  store_rule store_rule_;
  link_rule link_rule_;
};

}  // namespace medlarloft::tier::testing
