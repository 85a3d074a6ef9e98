#include "control.hpp"

#include <algorithm>
#include <chrono>
#include <iterator>

namespace medlarloft::server {
namespace {

constexpr duration tick_interval = std::chrono::milliseconds(50);
constexpr duration duty_interval = std::chrono::milliseconds(500);
constexpr duration build_interval = std::chrono::seconds(1);
constexpr duration words_interval = std::chrono::seconds(1);
constexpr std::string_view watch_duty = "watch configuration";

membership::group_options group_options_of(const daemon_context& context) {
  const settings::daemon_settings& values = context.settings;
  // A restarted daemon must outrank its former self.
  const auto started =
      static_cast<std::uint64_t>(wall_now().time_since_epoch().count());
  return {.self = {.id = values.id,
                   .data_centre = values.data_centre,
                   .control = values.listen.control,
                   .incarnation = started},
          .seeds = values.control.seeds,
          .probe_period = values.control.probe_period,
          .probe_timeout = values.control.probe_timeout,
          .notes_timeout = values.control.probe_timeout,
          .random_seed = hash_combine(started, hash64(values.id))};
}

sources::reader_options reader_options_of(const daemon_context& context) {
  return {.expected_daemons = context.settings.fleet.expected_daemons,
          .expected_data_centres = context.settings.fleet.expected_data_centres,
          .random_seed = hash64(context.settings.id)};
}

bool same_daemons(const notes::fleet_model& left,
                  const notes::fleet_model& right) {
  const auto same_entry = [](const auto& a, const auto& b) {
    return a.digest == b.digest && a.id == b.id;
  };
  return std::ranges::equal(left.daemons, right.daemons, same_entry) &&
         std::ranges::equal(left.data_centres, right.data_centres, same_entry);
}

}  // namespace

control::control(daemon_context& context, peers::event_loop& loop,
                 control_hooks hooks)
    : context_(context),
      loop_(loop),
      hooks_(std::move(hooks)),
      group_(group_options_of(context),
             [this](notes::note_version from) { return store_.since(from); }),
      reader_(reader_options_of(context)),
      shares_(context.settings.control.hold_off),
      homes_(std::make_shared<placement::home_table>()),
      addresses_(std::make_shared<placement::address_book>()),
      platform_(http_platform(loop.context(), context.settings.platform,
                              context.settings.listen.control.ip)),
      timer_(loop.context()),
      started_(steady_clock::now()),
      last_tick_(started_),
      next_hosts_(started_),
      next_words_(started_) {}

peers::peer_result<void> control::start() {
  client_ = std::make_unique<peers::control_client>(
      loop_, context_.settings.listen.control.ip, context_.stamping());
  server_ = std::make_unique<peers::control_server>(
      loop_, context_.settings.listen.control,
      [this](const membership::message& received) { deliver(received); },
      context_.stamping());
  BOOST_OUTCOME_TRYV(server_->start());
  carry_out(group_.start(steady_clock::now()));
  arm();
  return outcome::success();
}

void control::arm() {
  timer_.expires_after(tick_interval);
  timer_.async_wait([this](const auto& cancelled) {
    if (cancelled) return;
    tick();
    arm();
  });
}

void control::tick() {
  const time_point now = steady_clock::now();
  if (now - last_tick_ > context_.settings.control.sleep_gap) {
    context_.event(
        timeline::event_kind::view_expired, "",
        "woke after " +
            format_duration(
                std::chrono::duration_cast<std::chrono::milliseconds>(
                    now - last_tick_)));
    // Others may have taken over the shares meanwhile.
    shares_.reset();
    dirty_ = true;
    ready_ = false;
    expired_ = true;
    started_ = now;
    carry_out(group_.reset_after_pause(now));
  }
  last_tick_ = now;
  if (now >= group_.next_tick()) carry_out(group_.tick(now));
  run_reader();
  if (now >= next_hosts_) poll_hosts();
  if (now >= next_words_) send_words();
  renew_view();
  publish();
}

void control::deliver(const membership::message& received) {
  carry_out(group_.receive(steady_clock::now(), received));
}

void control::carry_out(const membership::outputs& wanted) {
  if (!wanted.events.empty() || !wanted.server_reports.empty()) dirty_ = true;
  for (const membership::envelope& letter : wanted.messages) {
    client_->send(letter.to, letter.message);
  }
  for (const membership::member_event& event : wanted.events) {
    using membership::member_state;
    timeline::event_kind kind = timeline::event_kind::member_joined;
    if (event.state == member_state::suspected) {
      kind = timeline::event_kind::member_suspected;
    } else if (event.state == member_state::failed) {
      kind = timeline::event_kind::member_failed;
    } else if (event.state == member_state::leaving ||
               event.state == member_state::left) {
      kind = timeline::event_kind::member_left;
    }
    context_.event(kind, event.id,
                   std::string(membership::name_of(event.state)));
  }
  for (const membership::server_report& word : wanted.server_reports) {
    if (word.leaving) {
      if (*word.leaving) {
        listed_leaving_.insert(word.leaf);
      } else {
        listed_leaving_.erase(word.leaf);
      }
    }
    if (!word.warm_start_id.empty()) hooks_.word(word);
  }
  for (const membership::received_notes& letter : wanted.notes) {
    offer(letter.chain, letter.digest, letter.from, letter.root, false);
  }
  for (const membership::digest_conflict& conflict : wanted.conflicts) {
    const std::string text =
        conflict.peer + " " + std::to_string(conflict.version);
    if (text == last_conflict_) continue;
    last_conflict_ = text;
    logs::write(logs::level::error, "note_conflict",
                {{"peer", conflict.peer}, {"version", conflict.version}});
    context_.event(timeline::event_kind::note_refused,
                   std::to_string(conflict.version),
                   "other content at " + conflict.peer);
  }
}

void control::offer(const std::vector<notes::release_note>& chain,
                    std::uint64_t digest, const std::string& source,
                    const std::string& root, bool first_hand) {
  const notes::model_ptr before = store_.model();
  notes::offer_outcome outcome;
  if (chain.empty()) {
    // A head alone: only its digest can tell two contents apart.
    if (digest == store_.digest() || store_.version() == 0) return;
    outcome = {notes::verdict::conflict, std::nullopt};
  } else {
    outcome = store_.offer_chain(chain, digest);
  }
  if (outcome.result == notes::verdict::accepted) {
    accepted(before, outcome, source, root, first_hand);
    return;
  }
  const bool loud = outcome.result == notes::verdict::conflict ||
                    outcome.result == notes::verdict::invalid;
  if (!loud) return;
  const std::string reason =
      outcome.error ? outcome.error->text() : "other content, same version";
  context_.event(timeline::event_kind::note_refused, source, reason);
}

void control::take_step(const notes::model_ptr& before,
                        const notes::model_ptr& model) {
  homes_ = std::make_shared<placement::home_table>(*model, *before, *homes_);
  shares_.grant(steady_clock::now(), granted_shares(*model));
}

void control::accepted(const notes::model_ptr& before,
                       const notes::offer_outcome& outcome,
                       const std::string& source, const std::string& root,
                       bool first_hand) {
  const time_point now = steady_clock::now();
  const notes::fleet_model& model = *store_.model();
  context_.event(timeline::event_kind::note_accepted,
                 std::to_string(model.version), "from " + source);
  note_centres(*before);
  if (!outcome.gapless) shares_.reset();
  if (!outcome.gapless || !same_daemons(*before, model)) {
    context_.ledger.fleet_changed(context_.settings.control.hold_off,
                                  outcome.steps, outcome.gapless);
  }
  dirty_ = true;
  addresses_ = std::make_shared<placement::address_book>(model);
  notes::model_ptr last = before;
  for (const notes::model_ptr& step : outcome.steps) {
    take_step(last, step);
    last = step;
  }
  std::vector<membership::member_record> published;
  std::ranges::transform(model.daemons, std::back_inserter(published),
                         [](const notes::daemon_entry& daemon) {
                           return membership::member_record{
                               .id = daemon.id,
                               .data_centre = daemon.data_centre,
                               .control = daemon.control};
                         });
  group_.set_published(published);
  publish();
  carry_out(
      group_.set_note(now, model.version, model.digest, root, first_hand));
}

void control::note_centres(const notes::fleet_model& before) {
  for (const notes::data_centre& centre : store_.model()->data_centres) {
    const notes::data_centre* old = before.find_data_centre(centre.id);
    const bool was_out = old != nullptr && old->out;
    if (centre.out == was_out) continue;
    context_.event(centre.out ? timeline::event_kind::data_centre_out
                              : timeline::event_kind::data_centre_in,
                   centre.id);
  }
}

bool control::must_bootstrap() const {
  return store_.version() == 0 && !group_.joined();
}

// The first two live daemons of the data centre watch, by hash.
bool control::has_watch_duty() const {
  if (stopping_ || (!group_.joined() && store_.version() == 0)) return false;
  const std::vector<std::string> ranked =
      group_.rendezvous_order(context_.settings.data_centre, watch_duty);
  const auto end =
      ranked.begin() + static_cast<std::ptrdiff_t>(std::min(
                           ranked.size(), sources::watchers_per_data_centre));
  return std::find(ranked.begin(), end, context_.settings.id) != end;
}

void control::run_reader() {
  const time_point now = steady_clock::now();
  if (dirty_ || now >= next_duty_) {
    watching_ = has_watch_duty();
    next_duty_ = now + duty_interval;
  }
  const bool alone = must_bootstrap() || (!group_.joined() && !ready_);
  carry_out(reader_.tick(now, watching_, alone, store_.version()));
}

void control::carry_out(const sources::reader_outputs& wanted) {
  if (wanted.healthy) {
    context_.event(*wanted.healthy ? timeline::event_kind::source_recovered
                                   : timeline::event_kind::source_failed,
                   "configuration");
  }
  if (wanted.refused) {
    context_.event(timeline::event_kind::note_refused, "configuration",
                   *wanted.refused);
  }
  if (wanted.notes) {
    offer(wanted.notes->chain, wanted.notes->digest, "configuration",
          context_.settings.id, true);
  }
  if (!wanted.read) return;
  platform_.value(*wanted.read, [this](const sources::read_answer& answer) {
    carry_out(reader_.on_answer(steady_clock::now(), store_.version(), answer));
  });
}

void control::poll_hosts() {
  next_hosts_ =
      steady_clock::now() + context_.settings.platform.host_list_every;
  if (!watching_ || polling_) return;
  polling_ = true;
  platform_.hosts([this](auto list) {
    polling_ = false;
    if (list) take_hosts(std::move(list).value());
  });
}

// The readers of a data centre tell the home daemons of each server whose
// state changed, and repeat what still leaves, for those who restarted.
void control::take_hosts(std::vector<sources::host_entry> list) {
  std::vector<sources::host_entry> news = hosts_.take(std::move(list));
  for (const std::string& id : hosts_.leaving())
    news.push_back({id, true});
  const notes::fleet_model& model = *store_.model();
  for (const sources::host_entry& host : news) {
    const notes::leaf* server = model.find_leaf(host.id);
    if (server == nullptr) continue;
    const auto at = static_cast<notes::leaf_index>(server - model.leafs.data());
    for (const notes::daemon_index home : homes_->homes(at).daemons()) {
      membership::server_report word{.leaf = host.id, .leaving = host.leaving};
      const std::string& id = model.daemons[home].id;
      if (id == context_.settings.id) {
        carry_out(membership::outputs{.server_reports = {word}});
      } else {
        carry_out(group_.send_server_reports(steady_clock::now(), id, {word}));
      }
    }
  }
}

// Tells the other homes of each server that it has shown itself warm here.
void control::send_words() {
  next_words_ = steady_clock::now() + words_interval;
  hooks_.servers([this](const std::vector<leaf_status>& servers) {
    const time_point now = steady_clock::now();
    const notes::fleet_model& model = *store_.model();
    std::map<std::string, std::vector<membership::server_report>> letters;
    for (const leaf_status& status : servers) {
      const notes::leaf* server = model.find_leaf(status.leaf);
      if (server == nullptr || !status.warm) continue;
      const auto at =
          static_cast<notes::leaf_index>(server - model.leafs.data());
      for (const notes::daemon_index home : homes_->homes(at).daemons()) {
        const std::string& id = model.daemons[home].id;
        if (id == context_.settings.id) continue;
        letters[id].push_back({.leaf = status.leaf,
                               .warm_start_id = status.start_id,
                               .age = now - status.last_answer});
      }
    }
    for (auto& [id, words] : letters) {
      carry_out(group_.send_server_reports(now, id, std::move(words)));
    }
  });
}

bool control::gone(const std::string& daemon) const {
  const auto since = group_.unreachable_since(daemon);
  if (!since) return false;
  const time_point from = std::max(*since, started_);
  return steady_clock::now() - from > context_.settings.control.takeover_after;
}

std::vector<placement::leaf_share> control::granted_shares(
    const notes::fleet_model& model) const {
  const auto self = model.index_of_daemon(context_.settings.id);
  if (!self) return {};
  std::vector<placement::leaf_share> granted;
  for (const notes::leaf_index leaf : homes_->leafs_of(*self)) {
    const placement::share share =
        placement::share_of(model.leafs[leaf], homes_->homes(leaf), *self,
                            [this, &model](notes::daemon_index other) {
                              return gone(model.daemons[other].id);
                            });
    granted.push_back({model.leafs[leaf].id, share});
  }
  return granted;
}

// The view holds while some peer or the platform is heard; a daemon that is
// alone in the published fleet has nobody who could know better.
void control::renew_view() {
  const time_point now = steady_clock::now();
  const duration expiry = context_.settings.control.view_expiry;
  std::optional<time_point> heard = group_.last_message_at();
  if (const auto read = reader_.last_success();
      read && (!heard || *read > *heard)) {
    heard = read;
  }
  const bool alone = store_.model()->daemons.size() <= 1;
  if (alone && store_.version() > 0) heard = now;
  const bool learnt =
      store_.version() > 0 && (group_.joined() || reader_.last_success());
  if (!ready_ && learnt && !stopping_) {
    ready_ = true;
    dirty_ = true;
    logs::write(
        logs::level::info, "ready",
        {{"version", store_.version()},
         {"after", std::chrono::duration_cast<std::chrono::milliseconds>(
                       now - started_)}});
  }
  if (!heard || !ready_) return;
  const time_point until = *heard + expiry;
  context_.board.renew(until);
  const bool expired = now >= until;
  if (expired == expired_) return;
  expired_ = expired;
  context_.event(expired ? timeline::event_kind::view_expired
                         : timeline::event_kind::view_renewed,
                 "", expired ? "no peer and no source was heard" : "");
}

// Building the view walks the whole fleet, so it is done when something that
// it depends on has changed, and now and then for what depends on time alone.
void control::publish() {
  const time_point now = steady_clock::now();
  if (!dirty_ && now < next_build_) return;
  dirty_ = false;
  next_build_ = now + build_interval;
  if (const auto gain = shares_.next_change(now); gain) {
    next_build_ = std::min(next_build_, *gain);
  }
  auto fresh = std::make_shared<view>();
  fresh->model = store_.model();
  fresh->homes = homes_;
  fresh->addresses = addresses_;
  fresh->self = fresh->model->index_of_daemon(context_.settings.id);
  for (const notes::daemon_entry& daemon : fresh->model->daemons) {
    const membership::member_record* known = group_.find(daemon.id);
    using membership::member_state;
    const bool serves =
        known != nullptr && (known->state == member_state::alive ||
                             known->state == member_state::suspected ||
                             known->state == member_state::leaving);
    fresh->status.push_back(
        {.alive = serves,
         .leaving = known != nullptr && known->state == member_state::leaving});
  }
  if (stopping_ && fresh->self) fresh->status[*fresh->self].leaving = true;
  shares_.grant(now, granted_shares(*store_.model()));
  fresh->shares = shares_.usable(now);
  fresh->leaving_hosts.assign(listed_leaving_.begin(), listed_leaving_.end());
  fresh->ready = ready_;
  fresh->stopping = stopping_;
  const view_ptr before = context_.board.current();
  const auto same_status = [](const auto& a, const auto& b) {
    return a.alive == b.alive && a.leaving == b.leaving;
  };
  const bool unchanged =
      before->model == fresh->model && before->shares == fresh->shares &&
      before->leaving_hosts == fresh->leaving_hosts &&
      before->ready == fresh->ready && before->stopping == fresh->stopping &&
      std::ranges::equal(before->status, fresh->status, same_status);
  if (unchanged) return;
  context_.board.publish(fresh);
  hooks_.publish(fresh);
}

std::vector<membership::member_record> control::members() const {
  return group_.members();
}

void control::begin_stop() {
  stopping_ = true;
  carry_out(
      group_.leave(steady_clock::now(), membership::member_state::leaving));
  publish();
}

void control::finish_stop() {
  carry_out(group_.leave(steady_clock::now(), membership::member_state::left));
}

void control::close() {
  timer_.cancel();
  server_->close();
  server_.reset();
  client_.reset();
}

}  // namespace medlarloft::server
