#pragma once

/// Simulates the distribution of the store's changes among all daemons of a
/// fleet, with a simulated clock, store and network. Uses neither sockets nor a
/// clock.

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <vector>

#include "change_codec.hpp"
#include "change_distribution.hpp"
#include "store_read_timing.hpp"

namespace medlarloft::tier::testing {

using std::chrono::milliseconds;

/// The key under which each change of the configuration is stored.
inline const std::string configuration_key = "configuration";
/// Prefix of the keys whose removals are not delayed.
inline const std::string operator_prefix = "op/";
/// Prefix of the registrations that are written all the time.
inline const std::string heartbeat_prefix = "leaf";

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
    /// Fraction of these writes that remove the registration instead.
    double removals = 0;
    /// Bytes per second that each daemon sends, and that it receives; zero:
    /// messages take no time.
    double link_rate = 0;
    /// Bytes of a configuration that a daemon applies per second, during which
    /// it does nothing else; zero: it takes no time.
    double apply_rate = 0;
    /// Size of a configuration.
    std::size_t configuration_bytes = 0;
    /// Of records removed from the store.
    duration removal_delay{};
    /// Registrations of leafs that the store holds at the start, and the size
    /// of each.
    std::size_t registered_leafs = 0;
    std::size_t registration_bytes = 0;
    /// All processes start within this time and know only the seeds; zero: all
    /// run and know each other from the start.
    duration restart_within{};
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
      if (i < seed_count) seeds_.push_back(records_.back().control);
    }
    write_to_store("first", "1");
    std::string configuration = "0";
    configuration.resize(std::max(options_.configuration_bytes, std::size_t{1}),
                         ' ');
    write_to_store(configuration_key, configuration);
    for (std::size_t i = 0; i < options_.registered_leafs; ++i) {
      write_to_store("leaf" + std::to_string(i),
                     std::string(options_.registration_bytes, 'r'));
    }
    for (std::size_t i = 0; i < options_.daemons; ++i)
      daemons_.push_back(make_daemon(i));
    if (options_.restart_within > duration::zero()) {
      for (const auto& each : daemons_)
        each->starts_at = now_ + random_.below(options_.restart_within);
      return;
    }
    for (std::size_t i = 0; i < options_.daemons; ++i)
      introduce(i);
  }

  std::size_t centre_of(std::size_t daemon) const {
    return daemon % options_.data_centres;
  }
  void set_store_rule(store_rule rule) { store_rule_ = std::move(rule); }
  void set_link_rule(link_rule rule) { link_rule_ = std::move(rule); }
  /// How long the store's answers take to arrive.
  void set_store_delay(duration delay) { store_delay_ = delay; }
  /// The store drops its history: whoever is behind must list all records.
  void drop_history() { oldest_kept_revision_ = revision_; }
  /// Writes a record to the store, or removes it.
  void write(const std::string& key, const std::optional<std::string>& value) {
    write_to_store(key, value);
  }
  /// The store is restored from a copy of this age, which begins an era.
  void restore(duration age) {
    while (!undo_.empty() && undo_.back().written_at > now_ - age) {
      undo_entry& last = undo_.back();
      if (last.previous) {
        store_[last.key] = std::move(*last.previous);
      } else {
        store_.erase(last.key);
      }
      --revision_;
      undo_.pop_back();
    }
    ++era_;
  }
  replica::position position(std::size_t daemon) const {
    return daemons_[daemon]->copy.last_position();
  }
  /// The value of a record, heartbeats aside, as the daemon uses it.
  std::optional<std::string> used(std::size_t daemon,
                                  const std::string& key) const {
    const auto found = daemons_[daemon]->used.find(key);
    if (found == daemons_[daemon]->used.end()) return std::nullopt;
    return found->second;
  }
  /// The daemon's process stands still; what is sent to it waits.
  void pause(std::size_t daemon, duration length) {
    daemons_[daemon]->paused_since = now_;
    daemons_[daemon]->paused_until = now_ + length;
  }
  /// A new process takes the place of the daemon. It knows only the seeds.
  void restart(std::size_t daemon) {
    ++records_[daemon].incarnation;
    daemons_[daemon] = make_daemon(daemon);
    send(daemon, daemons_[daemon]->distribution->start(now_));
  }
  bool reads(std::size_t daemon) const { return daemons_[daemon]->reading; }
  std::size_t reader_count() const {
    return static_cast<std::size_t>(std::ranges::count_if(
        daemons_, [](const auto& each) { return each->reading; }));
  }
  std::uint64_t store_calls() const noexcept { return store_calls_; }
  std::uint64_t messages() const noexcept { return messages_; }
  /// Bytes of the changes that all daemons sent.
  std::uint64_t note_bytes() const {
    std::uint64_t sum = 0;
    for (const auto& each : daemons_)
      sum += each->note_bytes;
    return sum;
  }
  /// Bytes of the changes that the busiest daemon sent.
  std::uint64_t most_note_bytes() const {
    std::uint64_t most = 0;
    for (const auto& each : daemons_)
      most = std::max(most, each->note_bytes);
    return most;
  }

  /// Writes a new configuration and returns its number.
  int configure() {
    std::string value = std::to_string(++configuration_);
    value.resize(std::max(options_.configuration_bytes, value.size()), ' ');
    write_to_store(configuration_key, value);
    return configuration_;
  }
  time_point now() const noexcept { return now_; }
  /// When the daemon first held a configuration; nothing if it never did.
  std::optional<time_point> configured_at(std::size_t daemon) const {
    return daemons_[daemon]->configured_at;
  }
  /// Whether the daemon's copy holds a record that was removed from the store
  /// before the copy's revision.
  bool holds_removed_record(std::size_t daemon) const {
    const replica::store_copy& copy = daemons_[daemon]->copy;
    const auto held = copy.changes_since(0).changes;
    return std::ranges::any_of(held, [&](const replica::change& each) {
      const auto stored = store_.find(each.key);
      return each.value && stored != store_.end() && !stored->second.value &&
             stored->second.changed_at <= copy.last_position();
    });
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
        const std::string key =
            heartbeat_prefix + std::to_string(random_.below(leafs));
        const bool removed = random_.uniform() < options_.removals;
        write_to_store(key, removed ? std::nullopt : std::optional("beat"));
      }
      deliver_due();
      for (std::size_t i = 0; i < daemons_.size(); ++i)
        run_daemon(i);
    }
  }

 private:
  static constexpr duration step = milliseconds(10);
  static constexpr duration selection_period = milliseconds(100);
  static constexpr duration sweep_period = milliseconds(500);
  /// How long a daemon that is not a seed waits for reports at its start.
  static constexpr duration startup_delay = milliseconds(120);
  static constexpr std::uint64_t leafs = 2000;
  /// Changes in one response of the store at most.
  static constexpr std::size_t page_size = 500;
  static constexpr duration call_time = milliseconds(10);
  static constexpr duration retry_time = milliseconds(500);
  /// A longer pause is noticed by the process; see pause_guard.
  static constexpr duration noticed_pause = std::chrono::seconds(2);
  static constexpr std::size_t seed_count = 3;
  static constexpr duration transfer_timeout = std::chrono::seconds(2);
  /// Messages with more updates do not fit into a datagram.
  static constexpr std::size_t max_datagram_updates = 16;
  /// Size of the record of one member in a message.
  static constexpr std::size_t update_bytes = 80;
  static constexpr duration near_delay = milliseconds(1);
  static constexpr duration far_delay = milliseconds(5);

  /// What the store answered to one call.
  struct store_answer {
    time_point arrives_at;
    std::vector<replica::change> changes;
    replica::position position;
    bool full = false;
    bool listing = false;
  };
  struct undo_entry {
    time_point written_at;
    std::string key;
    std::optional<replica::change> previous;
  };
  struct daemon {
    explicit daemon(duration removal_delay)
        : copy({.removal_delay = removal_delay,
                .immediate_prefix = operator_prefix}) {}

    replica::store_copy copy;
    /// The records in use, heartbeats aside.
    std::map<std::string, std::string> used;
    time_point next_sweep;
    std::unique_ptr<change_distribution> distribution;
    int configuration = -1;
    std::optional<time_point> configured_at;
    /// When the process starts, if that is still to come.
    std::optional<time_point> starts_at;
    bool reading = false;
    bool failing = false;
    time_point next_call;
    std::optional<store_answer> answer;
    time_point next_selection;
    std::uint64_t note_bytes = 0;
    time_point paused_since;
    time_point paused_until;
    std::vector<membership::message> waiting;
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

  void write_to_store(const std::string& key,
                      const std::optional<std::string>& value) {
    const auto found = store_.find(key);
    undo_.push_back(
        {now_, key,
         found == store_.end() ? std::nullopt : std::optional(found->second)});
    store_[key] = {.key = key, .changed_at = ++revision_, .value = value};
  }

  std::unique_ptr<daemon> make_daemon(std::size_t index) {
    auto made = std::make_unique<daemon>(options_.removal_delay);
    daemon& self = *made;
    made->distribution = std::make_unique<change_distribution>(
        change_distribution::options{
            .group = {.self = records_[index],
                      .seeds = seeds_,
                      .probe_period = milliseconds(500),
                      .probe_timeout = milliseconds(200),
                      .random_seed = hash_combine(options_.seed, index)},
            .readers = {.stale_after = stale_after(options_.limits),
                        .startup_delay = options_.restart_within > duration{} &&
                                                 index >= seed_count
                                             ? startup_delay
                                             : duration{}},
            .started_at = now_},
        change_distribution::hooks{
            .changes_since =
                [&self](replica::position from) {
                  return self.copy.changes_since(from);
                },
            .copy_position = [&self] { return self.copy.last_position(); },
            .apply =
                [this, &self](time_point now,
                              const replica::store_copy::delta& delta,
                              std::string_view) {
                  update(now, self,
                         delta.listing
                             ? self.copy.apply_listing(now, delta.changes,
                                                       delta.last_position)
                             : self.copy.apply(now, delta.changes,
                                               delta.last_position));
                },
            .on_malformed = [](std::string_view, replica::position) {}});
    made->next_selection =
        now_ +
        random_.below(std::chrono::duration_cast<duration>(selection_period));
    return made;
  }

  void update(time_point now, daemon& self,
              const std::vector<replica::update>& news) const {
    for (const replica::update& each : news) {
      if (!each.key.starts_with(heartbeat_prefix)) {
        if (each.value) {
          self.used[each.key] = *each.value;
        } else {
          self.used.erase(each.key);
        }
      }
      if (each.key != configuration_key || !each.value) continue;
      self.configuration = std::max(self.configuration, std::stoi(*each.value));
      if (!self.configured_at) self.configured_at = now;
      if (options_.apply_rate <= 0) continue;
      const std::chrono::duration<double> busy_time(
          static_cast<double>(each.value->size()) / options_.apply_rate);
      self.paused_since = now;
      self.paused_until = now + std::chrono::duration_cast<duration>(busy_time);
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
      const time_point sent =
          transfer(envelope.message, now_, sending_until_[from]);
      const time_point received = std::max(
          sent, transfer(envelope.message, now_, receiving_until_[to]));
      if (received - now_ > transfer_timeout) continue;
      if (!envelope.message.notes.empty())
        deliveries_.emplace(received, std::pair(from, envelope.to_id));
      queue_.push({received + (near ? near_delay : far_delay), order_++, to,
                   envelope.message});
    }
  }

  // Returns when a message has passed a link that is used until `link_until`.
  time_point transfer(const membership::message& message, time_point from,
                      time_point& link_until) const {
    const bool datagram =
        message.notes.empty() && message.updates.size() <= max_datagram_updates;
    if (options_.link_rate <= 0 || datagram) return from;
    double bytes = static_cast<double>(message.updates.size() * update_bytes);
    for (const auto& note : message.notes)
      bytes += static_cast<double>(note.text.size());
    link_until = std::max(link_until, from) +
                 std::chrono::duration_cast<duration>(
                     std::chrono::duration<double>(bytes / options_.link_rate));
    return link_until;
  }

  void deliver_due() {
    while (!deliveries_.empty() && deliveries_.begin()->first <= now_) {
      const auto& [from, to] = deliveries_.begin()->second;
      daemons_[from]->distribution->on_notes_delivered(to);
      deliveries_.erase(deliveries_.begin());
    }
    while (!queue_.empty() && queue_.top().deliver_at <= now_) {
      const in_flight next = queue_.top();
      queue_.pop();
      daemon& to = *daemons_[next.to];
      if (to.starts_at) continue;
      if (now_ < to.paused_until) {
        to.waiting.push_back(next.message);
      } else {
        send(next.to, to.distribution->receive(now_, next.message));
      }
    }
  }

  void wake(std::size_t index) {
    daemon& self = *daemons_[index];
    if (self.paused_until - self.paused_since > noticed_pause) {
      send(index, self.distribution->reset_after_pause(now_));
      self.answer.reset();
      self.next_call = now_;
    }
    self.paused_until = {};
    for (const membership::message& each : std::exchange(self.waiting, {}))
      send(index, self.distribution->receive(now_, each));
  }

  void run_daemon(std::size_t index) {
    daemon& self = *daemons_[index];
    if (self.starts_at) {
      if (now_ < *self.starts_at) return;
      self.starts_at.reset();
      daemons_[index] = make_daemon(index);
      send(index, daemons_[index]->distribution->start(now_));
      return;
    }
    if (now_ < self.paused_until) return;
    if (self.paused_until != time_point{}) wake(index);
    if (self.distribution->next_tick() <= now_)
      send(index, self.distribution->tick(now_));
    if (self.next_sweep <= now_) {
      self.next_sweep = now_ + sweep_period;
      update(now_, self, self.copy.tick(now_));
    }
    if (self.next_selection <= now_) {
      self.next_selection = now_ + selection_period;
      self.copy.set_store_state(
          now_, self.distribution->readers().state_of_store(now_));
      send(index, self.distribution->set_store_failing(
                      now_, self.reading && self.failing));
      send(index, self.distribution->request_missing_changes(now_));
      const bool reads =
          self.distribution->should_read_store(now_, options_.data_centres);
      if (reads && !self.reading) self.next_call = now_ + call_time;
      if (!reads) self.answer.reset();
      self.reading = reads;
    }
    if (self.answer && self.answer->arrives_at <= now_) {
      apply(index, *std::exchange(self.answer, std::nullopt));
    } else if (self.reading && !self.answer && self.next_call <= now_) {
      call_store(index);
    }
  }

  void call_store(std::size_t index) {
    daemon& self = *daemons_[index];
    ++store_calls_;
    self.failing = store_rule_ && !store_rule_(index);
    if (self.failing) {
      self.next_call = now_ + retry_time;
      return;
    }
    const replica::position known = self.copy.last_position();
    const bool behind =
        known > replica::position{} && known.number() < oldest_kept_revision_;
    store_answer answer{.arrives_at = now_ + store_delay_,
                        .position = {era_, revision_},
                        .listing = known.era() != era_ || behind};
    for (const auto& [key, change] : store_) {
      const bool included = answer.listing
                                ? change.value.has_value()
                                : change.changed_at.number() > known.number();
      if (!included) continue;
      answer.changes.push_back(change);
      answer.changes.back().changed_at = {era_, change.changed_at.number()};
    }
    std::ranges::sort(answer.changes, {}, &replica::change::changed_at);
    answer.full = !answer.listing && answer.changes.size() > page_size;
    if (answer.full) {
      answer.changes.resize(page_size);
      answer.position = answer.changes.back().changed_at;
    }
    if (options_.restart_within > duration::zero()) {
      // The answer shares the daemon's link with messages of other daemons.
      membership::message carried;
      carried.notes.push_back({.text = encode_changes(answer.changes)});
      answer.arrives_at = std::max(
          answer.arrives_at, transfer(carried, now_, receiving_until_[index]));
    }
    self.answer = std::move(answer);
  }

  void apply(std::size_t index, const store_answer& answer) {
    daemon& self = *daemons_[index];
    self.next_call =
        now_ + call_time +
        (answer.full ? duration::zero() : pause_after_changes(options_.limits));
    // See store_reader::read_era.
    if (answer.position.era() < self.copy.last_position().era()) return;
    self.distribution->on_store_answer(now_);
    update(now_, self,
           answer.listing
               ? self.copy.apply_listing(now_, answer.changes, answer.position)
               : self.copy.apply(now_, answer.changes, answer.position));
    send(index,
         self.distribution->on_store_read(now_, answer.position, !answer.full));
  }

  options options_;
  random_generator random_;
  time_point now_{std::chrono::hours(1)};
  time_point next_heartbeat_ = now_;
  std::vector<membership::member_record> records_;
  std::vector<endpoint> seeds_;
  std::vector<std::unique_ptr<daemon>> daemons_;
  std::map<std::string, replica::change> store_;
  /// What the writes replaced, for `restore`.
  std::vector<undo_entry> undo_;
  replica::era era_ = 0;
  replica::revision revision_ = 0;
  replica::revision oldest_kept_revision_ = 0;
  duration store_delay_{};
  int configuration_ = 0;
  std::priority_queue<in_flight> queue_;
  /// The sender and the receiver of each transfer, by its end.
  std::multimap<time_point, std::pair<std::size_t, std::string>> deliveries_;
  std::map<std::size_t, time_point> sending_until_;
  std::map<std::size_t, time_point> receiving_until_;
  std::uint64_t order_ = 0;
  std::uint64_t messages_ = 0;
  std::uint64_t store_calls_ = 0;
  store_rule store_rule_;
  link_rule link_rule_;
};

}  // namespace medlarloft::tier::testing
