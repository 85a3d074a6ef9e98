#pragma once

/// A model of daemons that choose among the leafs of one service, for the
/// comparison of rules in docs/design/leaf-choice.md. Leafs queue the requests
/// that find all slots busy; there is no network, failure or hedge.

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <numeric>
#include <optional>
#include <vector>

#include "medlarloft/base.hpp"

namespace medlarloft::leafs::testing {

/// How a daemon decides; the times are those of the model.
struct chooser {
  std::function<std::optional<std::size_t>(time_point, std::size_t daemon)>
      pick;
  std::function<void(time_point, std::size_t daemon, std::size_t leaf,
                     std::uint64_t id)>
      on_sent = [](auto...) {};
  std::function<void(time_point, std::size_t daemon, std::size_t leaf,
                     std::uint64_t id)>
      on_answered = [](auto...) {};
  std::function<void(time_point, std::size_t daemon, std::size_t leaf,
                     std::uint64_t id)>
      on_shed = [](auto...) {};
};

struct model_options {
  std::size_t daemons = 100;
  std::size_t leafs = 12;
  std::size_t slots = 4;
  /// Requests in relation to what all leafs can process.
  double load = 0.7;
  duration work_time = std::chrono::microseconds(7500);
  /// Leafs take 0.8 to 1.3 times the work time, and one in seven at a time
  /// takes 2.5 times as long for 0.6 s.
  bool uneven = false;
  /// Requests that wait at a leaf for a slot; it sheds any more.
  std::size_t queue_capacity = 1'000'000;
  duration length = std::chrono::seconds(6);
  std::uint64_t seed = 1;
};

struct model_result {
  /// Part of the requests that met a leaf with all slots busy while another
  /// leaf had a free one.
  double overloads = 0;
  /// Mean part of the leafs without any request at an overload.
  double idle = 0;
  /// Mean ratio of the highest load of a leaf to the mean.
  double peak_ratio = 0;
  /// Response times in multiples of the work time.
  double mean_time = 0;
  double p99_time = 0;
  /// Part of the requests that were sent to no leaf, or shed by one.
  double refused = 0;
};

class load_model {
 public:
  explicit load_model(model_options settings)
      : options_(settings), random_(settings.seed), leafs_(settings.leafs) {
    for (leaf& each : leafs_) {
      if (options_.uneven) each.speed = 0.8 + 0.5 * random_.uniform();
      each.slow_from = now_ + random_.below(std::chrono::milliseconds(4200));
    }
  }

  /// Returns a leaf's expected response time in multiples of the work time, as
  /// it was at the latest sample that is at least `age` old.
  double expected(duration age, std::size_t leaf) const {
    const auto steps = static_cast<std::size_t>(age / sample_period);
    return samples_[samples_.size() - 1 - std::min(steps, samples_.size() - 1)]
                   [leaf];
  }

  model_result run(const chooser& rule) {
    const time_point end = now_ + options_.length;
    const double rate = options_.load * capacity();
    sample();
    at(now_, [this, &rule, rate, end] { arrive(rule, rate, end); });
    while (!events_.empty()) {
      auto next = events_.extract(events_.begin());
      while (sampled_at_ + sample_period <= next.key()) {
        sampled_at_ += sample_period;
        sample();
      }
      now_ = next.key();
      next.mapped()();
    }
    return summary();
  }

 private:
  static constexpr duration sample_period = std::chrono::milliseconds(1);
  static constexpr std::size_t max_samples = 1'100;

  struct leaf {
    double speed = 1;
    time_point slow_from;
    std::size_t running = 0;
    std::deque<std::function<void()>> queue;
    std::size_t load() const { return running + queue.size(); }
  };

  void at(time_point when, std::function<void()> action) {
    events_.emplace(when, std::move(action));
  }

  // Requests per second that all leafs can process.
  double capacity() const {
    return std::accumulate(leafs_.begin(), leafs_.end(), 0.0,
                           [this](double sum, const leaf& l) {
                             return sum + static_cast<double>(options_.slots) /
                                              (l.speed * work_seconds());
                           });
  }

  double work_seconds() const {
    return std::chrono::duration<double>(options_.work_time).count();
  }

  double factor(const leaf& each) const {
    if (!options_.uneven || now_ < each.slow_from) return each.speed;
    const duration phase =
        (now_ - each.slow_from) % std::chrono::milliseconds(4200);
    return each.speed * (phase < std::chrono::milliseconds(600) ? 2.5 : 1);
  }

  void sample() {
    std::vector<double> values;
    for (const leaf& each : leafs_) {
      const double queued = static_cast<double>(each.load() + 1) /
                            static_cast<double>(options_.slots);
      values.push_back(factor(each) * std::max(queued, 1.0));
    }
    samples_.push_back(std::move(values));
    if (samples_.size() > max_samples) samples_.pop_front();
  }

  void arrive(const chooser& rule, double rate, time_point end) {
    const double gap = -std::log(1 - random_.uniform()) / rate;
    const time_point next = now_ + std::chrono::duration_cast<duration>(
                                       std::chrono::duration<double>(gap));
    if (next < end)
      at(next, [this, &rule, rate, end] { arrive(rule, rate, end); });
    const std::size_t daemon = random_.below(options_.daemons);
    const std::uint64_t id = ++requests_;
    const auto chosen = rule.pick(now_, daemon);
    if (!chosen) {
      ++refused_;
      return;
    }
    count(*chosen);
    rule.on_sent(now_, daemon, *chosen, id);
    if (leafs_[*chosen].load() >= options_.slots + options_.queue_capacity) {
      ++refused_;
      rule.on_shed(now_, daemon, *chosen, id);
      return;
    }
    leafs_[*chosen].queue.emplace_back([this, &rule, daemon, index = *chosen,
                                        id, sent_at = now_] {
      const double work =
          (0.4 - 0.6 * std::log(1 - random_.uniform())) * work_seconds();
      const auto took = std::chrono::duration_cast<duration>(
          std::chrono::duration<double>(work * factor(leafs_[index])));
      at(now_ + took, [this, &rule, daemon, index, id, sent_at] {
        times_.push_back(std::chrono::duration<double>(now_ - sent_at).count() /
                         work_seconds());
        --leafs_[index].running;
        rule.on_answered(now_, daemon, index, id);
        begin(leafs_[index]);
      });
    });
    begin(leafs_[*chosen]);
  }

  void begin(leaf& each) const {
    if (each.running == options_.slots || each.queue.empty()) return;
    ++each.running;
    const auto action = std::move(each.queue.front());
    each.queue.pop_front();
    action();
  }

  void count(std::size_t chosen) {
    std::size_t highest = 0;
    std::size_t sum = 0;
    std::size_t idle = 0;
    bool any_free = false;
    for (const leaf& each : leafs_) {
      highest = std::max(highest, each.load());
      sum += each.load();
      if (each.load() == 0) ++idle;
      any_free = any_free || each.load() < options_.slots;
    }
    const auto leafs = static_cast<double>(leafs_.size());
    if (sum > 0) {
      ++samples_of_peak_;
      peak_ratios_ +=
          static_cast<double>(highest) * leafs / static_cast<double>(sum);
    }
    if (!any_free || leafs_[chosen].load() < options_.slots) return;
    ++overloads_;
    idle_ += static_cast<double>(idle) / leafs;
  }

  model_result summary() {
    std::ranges::sort(times_);
    const auto requests = static_cast<double>(requests_);
    return {
        .overloads = static_cast<double>(overloads_) / requests,
        .idle = overloads_ == 0 ? 0 : idle_ / static_cast<double>(overloads_),
        .peak_ratio = peak_ratios_ / static_cast<double>(samples_of_peak_),
        .mean_time = std::accumulate(times_.begin(), times_.end(), 0.0) /
                     static_cast<double>(times_.size()),
        .p99_time = times_[times_.size() * 99 / 100],
        .refused = static_cast<double>(refused_) / requests};
  }

  model_options options_;
  random_generator random_;
  time_point now_ = time_point{} + std::chrono::hours(1);
  std::vector<leaf> leafs_;
  std::multimap<time_point, std::function<void()>> events_;
  std::deque<std::vector<double>> samples_;
  time_point sampled_at_ = now_;
  std::vector<double> times_;
  std::uint64_t requests_ = 0;
  std::uint64_t refused_ = 0;
  std::uint64_t overloads_ = 0;
  std::uint64_t samples_of_peak_ = 0;
  double idle_ = 0;
  double peak_ratios_ = 0;
};

}  // namespace medlarloft::leafs::testing
