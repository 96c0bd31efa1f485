#pragma once

#include <algorithm>
#include <queue>
#include <vector>

#include "gateway/placement.h"

namespace monsoonshelf::gateway {

// Targets of one service on a virtual clock, as the users describe theirs: two slots, machines that
// are at times four times slower, and slower work when nearly all slots are taken.
class TargetModel {
 public:
  struct Load {
    int targets_;
    double per_second_;
    Duration work_;
    Duration objective_;
    Duration length_;
  };
  enum class Policy { kAsksThree, kTwoChoices };

  TargetModel(const Load& load, std::uint64_t seed) : load_(load), random_(seed) {
    targets_.resize(static_cast<std::size_t>(load.targets_));
  }

  // Share of the requests that were answered after the objective.
  double MissedShare(Policy policy) {
    std::exponential_distribution<double> gap(load_.per_second_);
    int asked = 0;
    int missed = 0;
    for (double at = gap(random_); at < Seconds(load_.length_); at += gap(random_)) {
      ++asked;
      if (Send(Choose(policy, at), at) - at > Seconds(load_.objective_)) ++missed;
    }
    return static_cast<double>(missed) / asked;
  }

 private:
  static constexpr int kSlots = 2;
  static constexpr double kNoiseShare = 0.25;
  static constexpr double kNoise = 4;
  static constexpr double kNoiseSeconds = 0.3;
  static constexpr double kBusyFactor = 1.7;

  struct Target {
    std::vector<double> ends_;  // Of the requests that run or wait.
    double slowness_ = 1;
    double noise_until_ = 0;
  };

  static double Seconds(Duration duration) {
    return std::chrono::duration<double>(duration).count();
  }

  void Advance(Target& target, double at) {
    std::erase_if(target.ends_, [at](double end) { return end <= at; });
    while (target.noise_until_ <= at) {
      target.noise_until_ = std::max(target.noise_until_, at - kNoiseSeconds) + kNoiseSeconds;
      target.slowness_ = std::bernoulli_distribution(kNoiseShare)(random_) ? kNoise : 1;
    }
  }

  std::size_t Choose(Policy policy, double at) {
    for (Target& target : targets_) Advance(target, at);
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
      return targets_[first].ends_.size() <= targets_[second].ends_.size() ? first : second;
    }
    std::vector<Candidate> asked;
    for (const std::size_t index : PickProbes(candidates, 3, random_)) {
      Candidate candidate = candidates[index];
      const Target& target = targets_[index];
      const int present = static_cast<int>(target.ends_.size());
      candidate.load_ = TargetLoad{std::min(present, kSlots), std::max(0, present - kSlots), kSlots,
                                   static_cast<int>(target.slowness_ * 100)};
      asked.push_back(candidate);
    }
    PlacementInputs inputs;
    inputs.work_ = load_.work_;
    return *ChooseTarget(asked, inputs);
  }

  // Returns when the request is answered.
  double Send(std::size_t index, double at) {
    Target& target = targets_[index];
    double begin = at;
    if (static_cast<int>(target.ends_.size()) >= kSlots) {
      std::vector<double> ends = target.ends_;
      std::sort(ends.begin(), ends.end());
      begin = ends[ends.size() - kSlots];
    }
    const bool busy = static_cast<int>(target.ends_.size()) + 1 >= kSlots;
    std::lognormal_distribution<double> spread(0, 0.3);
    const double work =
        Seconds(load_.work_) * spread(random_) * target.slowness_ * (busy ? kBusyFactor : 1);
    target.ends_.push_back(begin + work);
    return begin + work;
  }

  Load load_;
  Random random_;
  std::vector<Target> targets_;
};

}  // namespace monsoonshelf::gateway
