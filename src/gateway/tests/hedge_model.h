#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "gateway/hedging.h"
#include "gateway/placement.h"

namespace monsoonshelf::gateway {

// Simulates requests that may be repeated on a virtual clock: a few of them take seven times as
// long, and a quarter of the machines is four times slower for 300 ms at a time. Each target takes
// as many requests as it has slots and keeps the others in order.
class HedgeModel {
 public:
  enum class Policy {
    kNone,
    kFixedDelay,  // A second request after twice the mean time, without a limit.
    kLimited,     // The decision of hedging.h.
    kIdeal,       // Knows at once which requests will be slow; within the same limit.
  };
  struct Load {
    int targets_ = 58;
    int slots_ = 4;
    double utilization_ = 0.5;  // Share of the capacity without noise and tail.
    double max_share_ = 0.05;
    int requests_ = 20000;
    int hosts_ = 30;  // Each has its own allowance and its own record of response times.
  };
  struct Result {
    double p50_ms_ = 0;
    double p99_ms_ = 0;
    double p999_ms_ = 0;
    double extra_share_ = 0;  // Second requests as a share of the requests.
    double in_objective_share_ = 0;
  };

  HedgeModel(const Load& load, std::uint64_t seed) : load_(load), random_(seed) {
    targets_.resize(static_cast<std::size_t>(load.targets_));
    hosts_.resize(static_cast<std::size_t>(load.hosts_));
  }

  Result Run(Policy policy) {
    const double rate = load_.utilization_ * load_.targets_ * load_.slots_ / kMeanSeconds;
    std::exponential_distribution<double> interarrival_time(rate);
    double next_arrival = 0;
    int arrived = 0;
    while (arrived < load_.requests_ || !events_.empty()) {
      if (arrived < load_.requests_ &&
          (events_.empty() || next_arrival <= events_.begin()->first)) {
        now_ = next_arrival;
        Arrive(policy);
        ++arrived;
        next_arrival += interarrival_time(random_);
        continue;
      }
      const auto event = events_.extract(events_.begin());
      now_ = event.key();
      event.mapped()();
    }
    std::sort(durations_.begin(), durations_.end());
    const auto at = [this](double quantile) {
      const auto index =
          static_cast<std::size_t>(quantile * static_cast<double>(durations_.size()));
      return 1000 * durations_[std::min(index, durations_.size() - 1)];
    };
    const auto in_time = std::upper_bound(durations_.begin(), durations_.end(), kObjectiveSeconds) -
                         durations_.begin();
    return {at(0.5), at(0.99), at(0.999), static_cast<double>(hedges_) / load_.requests_,
            static_cast<double>(in_time) / static_cast<double>(durations_.size())};
  }

 private:
  static constexpr double kMeanSeconds = 0.08;
  static constexpr double kObjectiveSeconds = 0.25;
  static constexpr double kTailShare = 0.03;
  static constexpr double kTailFactor = 7;
  static constexpr double kNoiseShare = 0.25;
  static constexpr double kNoiseSlowdown = 4;
  static constexpr double kNoiseSeconds = 0.3;
  static constexpr double kRecheckSeconds = 0.02;

  struct Call {
    double arrived_ = 0;
    bool done_ = false;
    int sends_ = 0;
    double expected_ = 0;
    std::size_t host_ = 0;
  };
  struct Host {
    HedgeBudget budget_;
    ResponseTimes times_;
  };
  struct Work {
    std::shared_ptr<Call> call_;
    double seconds_ = 0;  // On a machine of normal speed.
    bool first_ = true;
  };
  struct Target {
    std::vector<std::shared_ptr<Work>> running_;
    std::vector<std::shared_ptr<Work>> waiting_;
    double slowness_ = 1;
    double noise_until_ = 0;
  };

  void Advance(Target& target) {
    while (target.noise_until_ <= now_) {
      target.noise_until_ = std::max(target.noise_until_, now_ - kNoiseSeconds) + kNoiseSeconds;
      target.slowness_ = std::bernoulli_distribution(kNoiseShare)(random_) ? kNoiseSlowdown : 1;
    }
  }

  // Returns the best of three targets and its expected response time.
  std::pair<std::size_t, double> Choose() {
    std::vector<Candidate> all(targets_.size());
    for (std::size_t i = 0; i < all.size(); ++i) {
      all[i].index_ = i;
      all[i].slots_ = load_.slots_;
    }
    std::vector<Candidate> probed;
    for (const std::size_t index : SelectProbeTargets(all, 3, random_)) {
      Target& target = targets_[index];
      Advance(target);
      Candidate candidate = all[index];
      candidate.load_ = TargetLoad{static_cast<int>(target.running_.size()),
                                   static_cast<int>(target.waiting_.size()), load_.slots_,
                                   static_cast<int>(target.slowness_ * 100)};
      probed.push_back(candidate);
    }
    PlacementInputs inputs;
    inputs.service_time_ =
        std::chrono::duration_cast<Duration>(std::chrono::duration<double>(kMeanSeconds));
    const std::size_t chosen = *ChooseTarget(probed, inputs);
    const auto best = std::find_if(probed.begin(), probed.end(), [chosen](const Candidate& item) {
      return item.index_ == chosen;
    });
    return {chosen, std::chrono::duration<double>(ExpectedResponseTime(*best, inputs)).count()};
  }

  double DrawSeconds() {
    const double factor = std::bernoulli_distribution(kTailShare)(random_) ? kTailFactor : 1;
    return kMeanSeconds * std::lognormal_distribution<double>(0, 0.3)(random_) * factor;
  }

  void Arrive(Policy policy) {
    auto call = std::make_shared<Call>();
    call->host_ = random_() % hosts_.size();
    Host& host = hosts_[call->host_];
    EarnHedge(host.budget_, load_.max_share_);
    call->arrived_ = now_;
    const double seconds = DrawSeconds();
    const double expected = Send(call, seconds);
    call->expected_ = expected;
    double delay = 0;
    switch (policy) {
      case Policy::kNone:
        return;
      case Policy::kFixedDelay:
        delay = 2 * kMeanSeconds;
        break;
      case Policy::kLimited:
        delay =
            std::chrono::duration<double>(
                LimitedHedgeDelay(host.times_, load_.max_share_, ToDuration(kMeanSeconds),
                                  ToDuration(std::max(1.4 * expected, kObjectiveSeconds - 0.1))))
                .count();
        break;
      case Policy::kIdeal:
        if (seconds < 3 * kMeanSeconds) return;
        break;
    }
    events_.emplace(now_ + delay, [this, call, policy] { Hedge(call, policy); });
  }

  void Hedge(const std::shared_ptr<Call>& call, Policy policy) {
    if (call->done_) return;
    if (policy != Policy::kFixedDelay) {
      HedgeInputs inputs;
      inputs.max_share_ = load_.max_share_;
      inputs.retry_tokens_ = 2;
      if (DecideHedge(inputs, hosts_[call->host_].budget_) != HedgeDecision::kSend) {
        events_.emplace(now_ + kRecheckSeconds, [this, call, policy] { Hedge(call, policy); });
        return;
      }
      ConsumeHedge(hosts_[call->host_].budget_);
    }
    ++hedges_;
    Send(call, DrawSeconds());
  }

  // Returns the expected response time.
  double Send(const std::shared_ptr<Call>& call, double seconds) {
    const auto [index, expected] = Choose();
    const bool first = call->sends_++ == 0;
    targets_[index].waiting_.push_back(std::make_shared<Work>(Work{call, seconds, first}));
    StartWork(index);
    return expected;
  }

  void StartWork(std::size_t index) {
    Target& target = targets_[index];
    std::erase_if(target.waiting_, [](const auto& work) { return work->call_->done_; });
    while (!target.waiting_.empty() &&
           target.running_.size() < static_cast<std::size_t>(load_.slots_)) {
      const std::shared_ptr<Work> work = target.waiting_.front();
      target.waiting_.erase(target.waiting_.begin());
      target.running_.push_back(work);
      Advance(target);
      events_.emplace(now_ + work->seconds_ * target.slowness_,
                      [this, index, work] { EndWork(index, work); });
    }
  }

  void EndWork(std::size_t index, const std::shared_ptr<Work>& work) {
    std::erase(targets_[index].running_, work);
    Call& call = *work->call_;
    if (!call.done_) {
      call.done_ = true;
      const double duration = now_ - call.arrived_;
      durations_.push_back(duration);
      if (work->first_)
        RecordResponseTime(hosts_[call.host_].times_, ToDuration(duration),
                           ToDuration(call.expected_));
      // The loser is cancelled and leaves its slot at once.
      for (std::size_t i = 0; i < targets_.size() && call.sends_ > 1; ++i) {
        std::erase_if(targets_[i].running_,
                      [&call](const auto& other) { return other->call_.get() == &call; });
        StartWork(i);
      }
    }
    StartWork(index);
  }

  static Duration ToDuration(double seconds) {
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
  }

  Load load_;
  Random random_;
  std::vector<Target> targets_;
  std::multimap<double, std::function<void()>> events_;
  double now_ = 0;
  int hedges_ = 0;
  std::vector<Host> hosts_;
  std::vector<double> durations_;
};

}  // namespace monsoonshelf::gateway
