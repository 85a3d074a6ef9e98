#include "load.hpp"

#include <algorithm>
#include <numeric>
#include <set>

namespace medlarloft::bench {
namespace {

constexpr duration address_retry = std::chrono::milliseconds(100);
constexpr duration address_timeout = std::chrono::milliseconds(500);

wall_time wall_now() {
  return std::chrono::time_point_cast<wall_time::duration>(
      std::chrono::system_clock::now());
}

}  // namespace

struct load::call {
  front::caller_query query;
  std::string figure;
  time_point intended;
  std::uint32_t tries = 0;
  endpoint last;
};

duration quantile(std::vector<duration> latencies, double share) {
  if (latencies.empty()) return duration::zero();
  const auto at = static_cast<std::size_t>(
      share * static_cast<double>(latencies.size() - 1));
  std::ranges::nth_element(latencies,
                           latencies.begin() + static_cast<std::ptrdiff_t>(at));
  return latencies[at];
}

load::load(load_options options)
    : options_(std::move(options)),
      random_(options_.seed),
      send_timer_(loop_),
      address_timer_(loop_) {}

void load::run() {
  const double seconds = std::chrono::duration<double>(options_.length).count();
  total_ = static_cast<std::uint64_t>(options_.rate * seconds);
  refresh_addresses(0);
  loop_.run();
}

// Asks for addresses and keeps them for as long as allowed, as callers do.
void load::refresh_addresses(std::size_t attempt) {
  const std::vector<endpoint>& known =
      addresses_.empty() || attempt % 2 == 1 ? options_.start : addresses_;
  const endpoint& from = known[(attempt / 2) % known.size()];
  net::http_fetch(
      loop_, {.to = from, .connect_timeout = address_timeout},
      {.target = "/v1/addresses?caller=" + options_.name +
                 "&data_centre=" + options_.data_centre},
      address_timeout,
      [this, attempt](const net::net_result<net::http_response>& answer) {
        const bool usable = answer && answer.value().status == 200;
        const auto given =
            usable ? front::read_addresses(answer.value().body)
                   : documents::document_result<front::address_answer>(
                         documents::document_error{});
        duration wait = address_retry;
        if (given && !given.value().addresses.empty()) {
          const bool first = addresses_.empty();
          addresses_ = given.value().addresses;
          wait = given.value().keep_for;
          if (first) {
            began_ = steady_clock::now();
            schedule(0);
          }
        }
        const bool ok = wait != address_retry;
        if (!sending_) return;
        address_timer_.expires_after(wait);
        address_timer_.async_wait([this, ok, attempt](const auto& cancelled) {
          if (!cancelled) refresh_addresses(ok ? 0 : attempt + 1);
        });
      });
}

const mix_entry& load::choose() {
  const double total = std::accumulate(
      options_.mix.begin(), options_.mix.end(), 0.0,
      [](double sum, const mix_entry& one) { return sum + one.weight; });
  double draw = random_.uniform() * total;
  for (const mix_entry& one : options_.mix) {
    draw -= one.weight;
    if (draw < 0) return one;
  }
  return options_.mix.back();
}

void load::schedule(std::uint64_t index) {
  if (index >= total_) {
    sending_ = false;
    address_timer_.cancel();
    return;
  }
  const time_point intended =
      began_ +
      std::chrono::duration_cast<duration>(std::chrono::duration<double>(
          static_cast<double>(index) / options_.rate));
  send_timer_.expires_at(intended);
  send_timer_.async_wait([this, index, intended](const auto&) {
    const mix_entry& kind = choose();
    auto one = std::make_shared<call>();
    one->intended = intended;
    send_delays_.push_back(steady_clock::now() - intended);
    one->figure = kind.service;
    if (!kind.priority.empty()) one->figure += "/" + kind.priority;
    one->query = {.request_id = options_.name + "-" + std::to_string(index),
                  .service = kind.service,
                  .body = "find " + std::to_string(index)};
    one->query.priority = notes::parse_class(kind.priority);
    if (!kind.idempotent) {
      one->query.idempotent = false;
      one->query.issued_at = wall_now();
      one->query.key = one->query.request_id;
    }
    ++figures_[one->figure].sent;
    ++open_;
    send(one);
    schedule(index + 1);
  });
}

void load::send(const std::shared_ptr<call>& one) {
  endpoint to = addresses_[next_address_++ % addresses_.size()];
  if (one->tries > 0 && to == one->last && addresses_.size() > 1) {
    to = addresses_[next_address_++ % addresses_.size()];
  }
  one->last = to;
  ++one->tries;
  auto& pool = idle_[to];
  while (!pool.empty()) {
    const connection_ptr connection = pool.back();
    pool.pop_back();
    if (!connection->usable()) continue;
    send_on(one, to, connection);
    return;
  }
  net::http_connection::open(
      loop_, {.to = to, .connect_timeout = options_.caller_timeout},
      [this, one, to](net::net_result<connection_ptr> opened) {
        if (!opened) {
          take(one, opened.error());
          return;
        }
        opened.value()->watch([] {});
        send_on(one, to, opened.value());
      });
}

void load::send_on(const std::shared_ptr<call>& one, const endpoint& to,
                   const connection_ptr& connection) {
  connection->exchange({.method = "POST",
                        .target = "/v1/query",
                        .body = front::write_query(one->query)},
                       options_.caller_timeout,
                       [this, one, to, connection](
                           const net::net_result<net::http_response>& answer) {
                         if (connection->usable())
                           idle_[to].push_back(connection);
                         take(one, answer);
                       });
}

void load::take(const std::shared_ptr<call>& one,
                const net::net_result<net::http_response>& answer) {
  load_figures& seen = figures_[one->figure];
  const bool never_sent =
      !answer && answer.error().code == net::net_errc::cannot_connect;
  constexpr std::uint32_t most_tries = 3;
  if (never_sent && one->tries < most_tries) {
    ++seen.retried;
    send(one);
    return;
  }
  if (!answer) {
    ++seen.lost;
    if (--open_ == 0 && !sending_) loop_.stop();
    return;
  }
  const auto read = front::read_answer(answer.value().body);
  if (!read) {
    ++seen.wrong;
    if (--open_ == 0 && !sending_) loop_.stop();
    return;
  }
  const bool again = read.value().outcome == front::outcome_kind::not_run &&
                     options_.retry_not_run && one->tries < 2;
  if (again) {
    ++seen.retried;
    send(one);
    return;
  }
  finish(one, read.value());
}

bool load::is_wrong(const call& one, const front::caller_answer& answer) const {
  if (answer.request_id != one.query.request_id) return true;
  if (answer.outcome != front::outcome_kind::answered) return false;
  if (answer.coverage.covered > answer.coverage.total) return true;
  const std::string body = "snapshot " + std::to_string(answer.snapshot);
  std::set<std::string_view> ids;
  return std::ranges::any_of(answer.rows, [&](const query::row& row) {
    return row.body != body || !ids.insert(row.id).second;
  });
}

void load::finish(const std::shared_ptr<call>& one,
                  const front::caller_answer& answer) {
  load_figures& seen = figures_[one->figure];
  if (is_wrong(*one, answer)) ++seen.wrong;
  if (one->query.issued_at) once_[answer.request_id] = answer.outcome;
  switch (answer.outcome) {
    case front::outcome_kind::answered:
      ++(answer.complete ? seen.complete : seen.partial);
      seen.coverage_sum += answer.coverage.fraction();
      seen.latencies.push_back(steady_clock::now() - one->intended);
      break;
    case front::outcome_kind::not_run:
      ++seen.not_run;
      break;
    case front::outcome_kind::unknown:
      ++seen.unknown;
      break;
    case front::outcome_kind::invalid:
      ++seen.invalid;
      break;
  }
  if (--open_ == 0 && !sending_) loop_.stop();
}

}  // namespace medlarloft::bench
