#include "medlarloft/loop.hpp"

namespace medlarloft::loop {

timer_queue::handle timer_queue::at(time_point when,
                                    std::function<void()> action) {
  const handle timer{when, ++last_id_};
  pending_.emplace(timer, std::move(action));
  if (when < armed_for_) arm();
  return timer;
}

timer_queue::handle timer_queue::after(duration delay,
                                       std::function<void()> action) {
  return at(steady_clock::now() + delay, std::move(action));
}

void timer_queue::cancel(handle& timer) {
  if (timer.id != 0) pending_.erase(timer);
  timer = {};
}

void timer_queue::arm() {
  armed_for_ = pending_.begin()->first.due;
  timer_.expires_at(armed_for_);
  timer_.async_wait([this](const auto& error) {
    if (!error) run_due();
  });
}

void timer_queue::run_due() {
  const time_point now = steady_clock::now();
  // Timers added by the actions are armed once, after the loop.
  armed_for_ = time_point::min();
  while (!pending_.empty() && pending_.begin()->first.due <= now) {
    auto due = pending_.extract(pending_.begin());
    due.mapped()();
  }
  armed_for_ = time_point::max();
  if (!pending_.empty()) arm();
}

}  // namespace medlarloft::loop
