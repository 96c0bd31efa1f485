#pragma once

#include <functional>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <vector>

#include "base/base_types.h"
#include "base/key_value.h"

namespace monsoonshelf::scenario {

// Virtual clock, event queue, random numbers and timeline of one run. The same seed gives the same
// run if the calls are made in the same order.
class Simulation {
 public:
  using Event = std::function<void()>;

  explicit Simulation(std::uint64_t seed) : random_(seed) {}

  Time Now() const { return now_; }
  Random& RandomSource() { return random_; }
  // Returns a uniformly distributed number in [0, 1).
  double Uniform() { return std::uniform_real_distribution<double>(0, 1)(random_); }
  // Returns an exponentially distributed duration.
  Duration Exponential(Duration mean) {
    return Duration(static_cast<Duration::rep>(
        std::exponential_distribution<double>(1.0 / static_cast<double>(mean.count()))(random_)));
  }

  // Runs an event at `time`, or next if `time` has passed. Events of the same time run in the order
  // in which they were scheduled.
  void ScheduleAt(Time time, Event event) {
    queue_.push({std::max(time, now_), next_event_number_++, std::move(event)});
  }
  void ScheduleAfter(Duration delay, Event event) { ScheduleAt(now_ + delay, std::move(event)); }

  // Runs all events up to and including `end` and sets the clock to `end`.
  void RunUntil(Time end) {
    while (!queue_.empty() && queue_.top().time_ <= end) {
      now_ = queue_.top().time_;
      const Event event = std::move(const_cast<QueuedEvent&>(queue_.top()).event_);
      queue_.pop();
      event();
    }
    now_ = end;
  }

  // Appends a line to the timeline: virtual time in milliseconds, source and `fields`.
  void Log(const std::string& source, KeyValues fields) {
    fields.insert(fields.begin(), {{"ms", std::to_string(now_.time_since_epoch().count() / 1000)},
                                   {"source", source}});
    timeline_.push_back(FormatKeyValues(fields));
  }
  const std::vector<std::string>& Timeline() const { return timeline_; }

 private:
  struct QueuedEvent {
    Time time_;
    std::uint64_t number_ = 0;
    Event event_;
    bool operator<(const QueuedEvent& other) const {
      return std::tie(time_, number_) > std::tie(other.time_, other.number_);
    }
  };

  Time now_ = Time(std::chrono::hours(1));
  Random random_;
  std::uint64_t next_event_number_ = 0;
  std::priority_queue<QueuedEvent> queue_;
  std::vector<std::string> timeline_;
};

}  // namespace monsoonshelf::scenario
