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

// Virtual clock, event queue, random numbers and timeline of one run.
class Simulation {
 public:
  using Event = std::function<void()>;

  explicit Simulation(std::uint64_t seed) : random_(seed) {}

  Time Now() const { return now_; }
  Random& RandomSource() { return random_; }
  // A number in [0, 1).
  double Uniform() { return std::uniform_real_distribution<double>(0, 1)(random_); }
  Duration Exponential(Duration mean) {
    return Duration(static_cast<Duration::rep>(
        std::exponential_distribution<double>(1.0 / static_cast<double>(mean.count()))(random_)));
  }

  // Runs an event at a time, events of the same time in the order of these calls.
  void At(Time time, Event event) {
    queue_.push({std::max(time, now_), next_++, std::move(event)});
  }
  void After(Duration delay, Event event) { At(now_ + delay, std::move(event)); }

  void RunUntil(Time end) {
    while (!queue_.empty() && queue_.top().time_ <= end) {
      now_ = queue_.top().time_;
      const Event event = std::move(const_cast<Item&>(queue_.top()).event_);
      queue_.pop();
      event();
    }
    now_ = end;
  }

  void Log(const std::string& source, KeyValues fields) {
    fields.insert(fields.begin(), {{"ms", std::to_string(now_.time_since_epoch().count() / 1000)},
                                   {"source", source}});
    timeline_.push_back(FormatKeyValues(fields));
  }
  const std::vector<std::string>& Timeline() const { return timeline_; }

 private:
  struct Item {
    Time time_;
    std::uint64_t number_ = 0;
    Event event_;
    bool operator<(const Item& other) const {
      return std::tie(time_, number_) > std::tie(other.time_, other.number_);
    }
  };

  Time now_ = Time(std::chrono::hours(1));
  Random random_;
  std::uint64_t next_ = 0;
  std::priority_queue<Item> queue_;
  std::vector<std::string> timeline_;
};

}  // namespace monsoonshelf::scenario
