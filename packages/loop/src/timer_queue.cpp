#include "medlarloft/loop.hpp"

namespace medlarloft::loop {

timer_queue::handle timer_queue::at(time_point when,
                                    std::function<void()> action) {
  const handle named{when, ++next_number_};
  waiting_.emplace(named, std::move(action));
  if (when < armed_for_) arm();
  return named;
}

timer_queue::handle timer_queue::after(duration delay,
                                       std::function<void()> action) {
  return at(steady_clock::now() + delay, std::move(action));
}

void timer_queue::cancel(handle& named) {
  if (named.id != 0) waiting_.erase(named);
  named = {};
}

void timer_queue::arm() {
  armed_for_ = waiting_.begin()->first.due;
  timer_.expires_at(armed_for_);
  timer_.async_wait([this](const auto& cancelled) {
    if (!cancelled) run_due();
  });
}

void timer_queue::run_due() {
  const time_point now = steady_clock::now();
  // While actions run, new timers wait for the arming at the end.
  armed_for_ = time_point::min();
  while (!waiting_.empty() && waiting_.begin()->first.due <= now) {
    auto due = waiting_.extract(waiting_.begin());
    due.mapped()();
  }
  armed_for_ = time_point::max();
  if (!waiting_.empty()) arm();
}

}  // namespace medlarloft::loop
