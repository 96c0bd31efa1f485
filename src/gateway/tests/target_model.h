#pragma once

#include <algorithm>
#include <queue>
#include <vector>

#include "gateway/placement.h"

namespace monsoonshelf::gateway {

// Simulates the targets of one service on a virtual clock, modelled on the users' targets: two
// slots each, machines that are temporarily four times slower, and longer service times when nearly
// all slots are in use.
class TargetModel {
 public:
  struct Load {
    int targets_;
    double requests_per_second_;
    Duration service_time_;
    Duration latency_objective_;
    Duration duration_;
  };
  enum class Policy { kProbeThree, kTwoChoices };

  TargetModel(const Load& load, std::uint64_t seed) : load_(load), random_(seed) {
    targets_.resize(static_cast<std::size_t>(load.targets_));
  }

  // Returns the share of the requests that missed the latency objective.
  double ShareOverObjective(Policy policy) {
    std::exponential_distribution<double> interarrival_time(load_.requests_per_second_);
    int requests = 0;
    int missed = 0;
    for (double now = interarrival_time(random_); now < Seconds(load_.duration_);
         now += interarrival_time(random_)) {
      ++requests;
      if (Execute(Choose(policy, now), now) - now > Seconds(load_.latency_objective_)) ++missed;
    }
    return static_cast<double>(missed) / requests;
  }

 private:
  static constexpr int kSlots = 2;
  static constexpr double kNoiseShare = 0.25;
  static constexpr double kNoiseSlowdown = 4;
  static constexpr double kNoiseSeconds = 0.3;
  static constexpr double kBusyFactor = 1.7;

  struct Target {
    std::vector<double> completions_;  // Of running and waiting requests, in seconds.
    double slowness_ = 1;
    double noise_until_ = 0;
  };

  static double Seconds(Duration duration) {
    return std::chrono::duration<double>(duration).count();
  }

  void Advance(Target& target, double now) {
    std::erase_if(target.completions_, [now](double end) { return end <= now; });
    while (target.noise_until_ <= now) {
      target.noise_until_ = std::max(target.noise_until_, now - kNoiseSeconds) + kNoiseSeconds;
      target.slowness_ = std::bernoulli_distribution(kNoiseShare)(random_) ? kNoiseSlowdown : 1;
    }
  }

  std::size_t Choose(Policy policy, double now) {
    for (Target& target : targets_) Advance(target, now);
    std::vector<Candidate> candidates;
    for (std::size_t i = 0; i < targets_.size(); ++i) {
      Candidate candidate;
      candidate.index_ = i;
      candidate.slots_ = kSlots;
      candidates.push_back(candidate);
    }
    if (policy == Policy::kTwoChoices) {
      const std::size_t first = random_() % targets_.size();
      const std::size_t second = random_() % targets_.size();
      return targets_[first].completions_.size() <= targets_[second].completions_.size() ? first
                                                                                         : second;
    }
    std::vector<Candidate> probed;
    for (const std::size_t index : SelectProbeTargets(candidates, 3, random_)) {
      Candidate candidate = candidates[index];
      const Target& target = targets_[index];
      const int present = static_cast<int>(target.completions_.size());
      candidate.load_ = TargetLoad{std::min(present, kSlots), std::max(0, present - kSlots), kSlots,
                                   static_cast<int>(target.slowness_ * 100)};
      probed.push_back(candidate);
    }
    PlacementInputs inputs;
    inputs.service_time_ = load_.service_time_;
    return *ChooseTarget(probed, inputs);
  }

  // Returns the time of the response, in seconds.
  double Execute(std::size_t index, double now) {
    Target& target = targets_[index];
    double begin = now;
    if (static_cast<int>(target.completions_.size()) >= kSlots) {
      std::vector<double> completions = target.completions_;
      std::sort(completions.begin(), completions.end());
      begin = completions[completions.size() - kSlots];
    }
    const bool busy = static_cast<int>(target.completions_.size()) + 1 >= kSlots;
    std::lognormal_distribution<double> spread(0, 0.3);
    const double work = Seconds(load_.service_time_) * spread(random_) * target.slowness_ *
                        (busy ? kBusyFactor : 1);
    target.completions_.push_back(begin + work);
    return begin + work;
  }

  Load load_;
  Random random_;
  std::vector<Target> targets_;
};

}  // namespace monsoonshelf::gateway
