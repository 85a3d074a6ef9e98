#include "quota_admission.hpp"

#include <algorithm>
#include <utility>

namespace medlarloft::tier {
namespace {

// Tokens must also expire while the host is suspended.
time_point quota_now() noexcept {
  return time_point{uptime()};
}

}  // namespace

quota_admission::quota_admission(loop::timer_queue& timers, options settings,
                                 hooks callbacks)
    : timers_(timers),
      options_(std::move(settings)),
      hooks_(std::move(callbacks)),
      node_({.id = options_.id,
             .process = options_.process,
             .allowed = options_.allowed,
             .started_at = quota_now()}) {}

void quota_admission::set_table(const routes::route_table_ptr& table) {
  if (!table || table == table_) return;
  table_ = table;
  quota::account_limits limits;
  for (const routes::account& account : table->config().accounts)
    if (account.quota) limits.emplace(account.name, *account.quota);
  node_.set_limits(limits);
  arm();
}

void quota_admission::set_fraction(double fraction) {
  node_.set_fraction(quota_now(), fraction);
}

void quota_admission::set_candidates(
    const std::map<std::string, std::uint32_t>& capacities) {
  coordinators_ = quota::choose_coordinators(capacities);
  node_.set_coordinators(coordinators_);
}

quota::decision quota_admission::admit(const std::string& account,
                                       duration waited) {
  const quota::decision decided = node_.admit(quota_now(), account, waited);
  if (decided.outcome == quota::admission::wait) arm();
  return decided;
}

void quota_admission::give_back(const std::string& account,
                                time_point created_at) {
  node_.give_back(account, created_at);
}

void quota_admission::receive(const quota::quota_message& message) {
  if (const auto answer = node_.receive(quota_now(), message))
    hooks_.send(*answer);
  arm();
}

void quota_admission::reset() {
  node_.reset(quota_now());
}

double quota_admission::tokens_held() const {
  return node_.tokens_held(quota_now());
}

// Without quotas there is no next tick, and so no timer.
void quota_admission::arm() {
  const time_point next = node_.next_tick();
  if (next == armed_for_) return;
  timers_.cancel(timer_);
  armed_for_ = next;
  if (next == time_point::max()) return;
  timer_ =
      timers_.after(std::max(next - quota_now(), duration::zero()), [this] {
        timer_ = {};
        armed_for_ = time_point::max();
        tick();
      });
}

void quota_admission::tick() {
  for (const quota::envelope& message : node_.tick(quota_now()))
    hooks_.send(message);
  report_coordinator();
  arm();
}

void quota_admission::report_coordinator() {
  std::string current = node_.coordinator_at(quota_now());
  if (current == reported_coordinator_) return;
  const bool listed =
      std::ranges::find(coordinators_, current) != coordinators_.end();
  const bool first = listed && current == coordinators_.front();
  hooks_.on_coordinator_changed(current, first    ? "first_in_order"
                                         : listed ? "former_ones_are_silent"
                                                  : "none_answers");
  reported_coordinator_ = std::move(current);
}

}  // namespace medlarloft::tier
