#include <algorithm>

#include "medlarloft/sources.hpp"

namespace medlarloft::sources {
namespace {

constexpr double common_burst = 1;
constexpr double watcher_burst = 20;
// Pause of the watch after each answer, so that a service which answers a
// watch at once cannot be read in a tight loop.
constexpr duration watch_pause = std::chrono::milliseconds(50);

}  // namespace

double reads_per_second(std::size_t expected_daemons,
                        std::size_t expected_data_centres, bool watcher) {
  if (watcher) {
    const auto watchers =
        static_cast<double>(std::max<std::size_t>(1, expected_data_centres) *
                            watchers_per_data_centre);
    return service_reads_per_second * watcher_share / watchers;
  }
  const auto daemons =
      static_cast<double>(std::max<std::size_t>(1, expected_daemons));
  return service_reads_per_second * common_share / daemons;
}

note_reader::note_reader(reader_options options)
    : options_(options),
      random_(options.random_seed),
      common_(common_budget()),
      watching_(
          {.rate_per_second = reads_per_second(
               options.expected_daemons, options.expected_data_centres, true),
           .burst = watcher_burst}),
      pause_(options.retry_least) {}

// Begins with a random part of a token: daemons that begin together do not
// read together.
token_bucket note_reader::common_budget() {
  return token_bucket(
      {.rate_per_second = reads_per_second(
           options_.expected_daemons, options_.expected_data_centres, false),
       .burst = common_burst,
       .initial = random_.uniform()});
}

bool note_reader::take_token(time_point now) {
  if (watcher_ && watching_.try_consume(now)) return true;
  return common_.try_consume(now);
}

reader_outputs note_reader::tick(time_point now, bool watcher, bool bootstrap,
                                 note_version /*have*/) {
  reader_outputs out;
  if (watcher && !watcher_) {
    watch_from_ = now + random_.below(options_.takeover_jitter);
  }
  if (bootstrap && !bootstrap_) {
    alone_since_ = now;
    common_ = common_budget();
    // Nothing is earned while peers are waited for.
    common_.try_consume(now + options_.alone_after, 0);
  }
  if (!bootstrap) alone_since_.reset();
  watcher_ = watcher;
  bootstrap_ = bootstrap;
  start_read(now, out);
  return out;
}

void note_reader::start_read(time_point now, reader_outputs& out) {
  if (reading_) return;
  const bool alone =
      alone_since_ && now >= *alone_since_ + options_.alone_after;
  const bool watching = watcher_ && now >= watch_from_;
  if (!alone && !watching && !head_) {
    if (watcher_) out.wake_at = watch_from_;
    if (alone_since_) out.wake_at = *alone_since_ + options_.alone_after;
    return;
  }
  if (now < not_before_) {
    out.wake_at = not_before_;
    return;
  }
  if (!take_token(now)) {
    out.wake_at =
        std::min(common_.ready_at(now),
                 watcher_ ? watching_.ready_at(now) : time_point::max());
    return;
  }
  reading_ = true;
  ++reads_;
  if (head_) {
    out.read = read_request{wanted_.front().keys[parts_.size()], {}, {}};
    return;
  }
  const bool wait = watching && !tag_.empty();
  out.read = read_request{std::string(notes::head_key), wait ? tag_ : "",
                          wait ? options_.watch_wait : duration::zero()};
}

void note_reader::failed(time_point now, reader_outputs& out) {
  not_before_ = now + pause_ / 2 + random_.below(pause_);
  pause_ = std::min(pause_ * 2, options_.retry_most);
  if (healthy_) out.healthy = false;
  healthy_ = false;
}

void note_reader::refuse(time_point now, std::string reason,
                         reader_outputs& out) {
  out.refused = std::move(reason);
  head_.reset();
  // The same head need not be read again before it changes; but a half
  // written one changes no tag, so it is read again without a watch.
  tag_.clear();
  failed(now, out);
}

reader_outputs note_reader::on_answer(time_point now, note_version have,
                                      const read_answer& answer) {
  reader_outputs out;
  reading_ = false;
  if (answer.status == read_status::failed) {
    failed(now, out);
    start_read(now, out);
    return out;
  }
  last_success_ = now;
  if (answer.text.size() >
      notes::max_value_bytes + notes::max_value_bytes / 20) {
    refuse(now,
           "value of " + std::to_string(answer.text.size()) +
               " bytes is larger than the service may hold",
           out);
  } else if (head_) {
    on_part(now, answer, out);
  } else if (answer.status == read_status::value) {
    on_head(now, have, answer, out);
  } else {
    not_before_ = now + watch_pause;
  }
  if (!healthy_ && !out.refused) {
    healthy_ = true;
    out.healthy = true;
    pause_ = options_.retry_least;
  }
  if (answer.status == read_status::missing && !head_) {
    not_before_ = now + options_.retry_most / 2;
  }
  start_read(now, out);
  return out;
}

void note_reader::on_head(time_point now, note_version have,
                          const read_answer& answer, reader_outputs& out) {
  auto read = notes::read_head(answer.text);
  if (!read) {
    refuse(now, read.error().text(), out);
    return;
  }
  tag_ = answer.tag;
  not_before_ = now + watch_pause;
  notes::head value = std::move(read).value();
  if (value.version <= have) {
    // Stale or known: offered with its digest alone, so that two contents
    // under one version are noticed.
    if (value.version == have) out.notes = read_notes{{}, value.digest};
    return;
  }
  wanted_ = notes::missing(value, have);
  if (wanted_.empty()) {
    refuse(now, "head names no whole note to start from", out);
    return;
  }
  head_ = std::move(value);
  parts_.clear();
  chain_.clear();
  not_before_ = now;
}

void note_reader::on_part(time_point now, const read_answer& answer,
                          reader_outputs& out) {
  if (answer.status != read_status::value) {
    refuse(now,
           "part " + wanted_.front().keys[parts_.size()] +
               " of the head is not there",
           out);
    return;
  }
  parts_.push_back(answer.text);
  if (parts_.size() < wanted_.front().keys.size()) return;
  next_note(now, out);
}

void note_reader::next_note(time_point now, reader_outputs& out) {
  auto joined = notes::join_parts(parts_);
  if (!joined) {
    refuse(now, joined.error().text(), out);
    return;
  }
  const notes::note_reference expected = wanted_.front();
  if (joined.value().version != expected.version ||
      joined.value().base != expected.base) {
    refuse(now,
           "parts of note " + std::to_string(expected.version) +
               " hold version " + std::to_string(joined.value().version),
           out);
    return;
  }
  chain_.push_back(std::move(joined).value());
  parts_.clear();
  wanted_.erase(wanted_.begin());
  if (!wanted_.empty()) return;
  out.notes = read_notes{std::move(chain_), head_->digest};
  head_.reset();
}

}  // namespace medlarloft::sources
