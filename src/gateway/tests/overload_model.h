#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <vector>

#include "gateway/admission.h"
#include "gateway/placement.h"

namespace monsoonshelf::gateway {

// Simulates the targets of one service and the entry hosts before them on a virtual clock. The
// targets share their speed between their running requests and slow all of them down when nearly
// all slots are in use. The entry hosts place and queue requests by the decisions of the gateway,
// with loads that are a few milliseconds old.
class OverloadModel {
 public:
  struct Load {
    int hosts_;
    int targets_;
    int slots_;
    double busy_factor_;  // Of the targets.
    double requests_per_second_;
    Duration service_time_;
    Duration latency_objective_;
    Duration deadline_;
    Duration duration_;
  };
  struct Result {
    std::vector<double> rejection_times_;  // From the arrival, in seconds, in ascending order.
    int requests_ = 0;
    int in_objective_ = 0;
    int late_ = 0;
    double in_objective_per_second_ = 0;
  };

  OverloadModel(const Load& load, std::uint64_t seed)
      : load_(load), random_(seed), targets_(static_cast<std::size_t>(load.targets_)) {
    hosts_.resize(static_cast<std::size_t>(load.hosts_));
  }

  Result Run() {
    std::exponential_distribution<double> interarrival_time(load_.requests_per_second_);
    double next_arrival = interarrival_time(random_);
    for (now_ = 0; now_ < Seconds(load_.duration_); now_ += kStep) {
      for (Target& target : targets_) Advance(target);
      for (; next_arrival <= now_; next_arrival += interarrival_time(random_)) {
        ++result_.requests_;
        Arrive();
      }
      for (Host& host : hosts_) RunHost(host);
    }
    result_.in_objective_per_second_ = result_.in_objective_ / Seconds(load_.duration_);
    std::sort(result_.rejection_times_.begin(), result_.rejection_times_.end());
    return result_;
  }

 private:
  static constexpr double kStep = 0.001;       // In seconds.
  static constexpr double kProbeTime = 0.003;  // From the probe to the decision.
  static constexpr std::size_t kProbes = 3;

  struct Work {
    double arrived_;
    double left_;  // On an idle target, in seconds.
    std::size_t host_;
  };
  struct Target {
    std::vector<Work> running_;
    std::vector<Work> waiting_;
  };
  struct Probe {
    double due_;
    double arrived_;
    std::vector<Candidate> candidates_;
    bool queued_ = false;
  };
  struct Host {
    std::vector<Probe> probes_;
    std::vector<double> queue_;  // Arrival times of the requests that wait.
    double queue_due_ = 0;       // Next search of the first of them; it is not searching before.
    bool searching_ = false;
    std::optional<std::size_t> freed_;  // Target of the last response, for the next search.
    RecentRequests recent_;
  };

  static double Seconds(Duration duration) {
    return std::chrono::duration<double>(duration).count();
  }
  static Duration ToDuration(double seconds) {
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
  }
  Time Now() const { return Time{} + ToDuration(now_); }

  void Advance(Target& target) {
    const bool busy = IsNearlyFull(static_cast<int>(target.running_.size()), load_.slots_);
    for (Work& work : target.running_) work.left_ -= kStep / (busy ? load_.busy_factor_ : 1);
    std::erase_if(target.running_, [this, &target](const Work& work) {
      if (work.left_ > 0) return false;
      const bool in_time = now_ - work.arrived_ <= Seconds(load_.latency_objective_);
      ++(in_time ? result_.in_objective_ : result_.late_);
      RecordAnswered(hosts_[work.host_].recent_, Now());
      hosts_[work.host_].queue_due_ = now_;
      hosts_[work.host_].freed_ = static_cast<std::size_t>(&target - targets_.data());
      return true;
    });
    while (!target.waiting_.empty() &&
           target.running_.size() < static_cast<std::size_t>(load_.slots_)) {
      target.running_.push_back(target.waiting_.front());
      target.waiting_.erase(target.waiting_.begin());
    }
  }

  ServiceLoad LoadOf(const Host& host, bool queued) const {
    return {static_cast<int>(host.queue_.size()) - (queued ? 1 : 0),
            AnsweredPerSecond(host.recent_, Now())};
  }

  void Arrive() {
    Host& host = hosts_[random_() % hosts_.size()];
    if (host.queue_.empty()) return StartProbe(host, now_, false);
    const int max =
        MaxQueuedRequests(LoadOf(host, false), load_.service_time_, load_.latency_objective_);
    if (static_cast<int>(host.queue_.size()) >= max) return Reject(host, now_);
    host.queue_.push_back(now_);
  }

  void StartProbe(Host& host, double arrived, bool queued) {
    std::vector<Candidate> all(targets_.size());
    for (std::size_t i = 0; i < all.size(); ++i) {
      all[i].index_ = i;
      all[i].slots_ = load_.slots_;
    }
    Probe probe = {now_ + kProbeTime, arrived, {}, queued};
    std::vector<std::size_t> selected = SelectProbeTargets(all, kProbes, random_);
    if (queued && host.freed_ &&
        std::find(selected.begin(), selected.end(), *host.freed_) == selected.end()) {
      selected.back() = *host.freed_;
    }
    for (const std::size_t i : selected) {
      Candidate candidate = all[i];
      candidate.just_freed_ = queued && host.freed_ == i;
      candidate.load_ =
          TargetLoad{static_cast<int>(targets_[i].running_.size()),
                     static_cast<int>(targets_[i].waiting_.size()), load_.slots_, 100};
      probe.candidates_.push_back(candidate);
    }
    if (queued) host.freed_.reset();
    host.probes_.push_back(std::move(probe));
  }

  void RunHost(Host& host) {
    if (!host.queue_.empty() && !host.searching_ && host.queue_due_ <= now_) {
      host.searching_ = true;
      StartProbe(host, host.queue_.front(), true);
    }
    const std::vector<Probe> probes = host.probes_;
    std::erase_if(host.probes_, [this](const Probe& probe) { return probe.due_ <= now_; });
    for (const Probe& probe : probes) {
      if (probe.due_ <= now_) Decide(host, probe);
    }
  }

  void Decide(Host& host, const Probe& probe) {
    const bool queued = probe.queued_;
    const double elapsed = now_ - probe.arrived_;
    PlacementInputs inputs;
    inputs.service_time_ = load_.service_time_;
    inputs.objective_left_ = load_.latency_objective_ - ToDuration(elapsed);
    inputs.leaves_last_slot_ = !TakesLastSlot(host.recent_, queued, Now(), random_);
    const std::size_t chosen = *ChooseTarget(probe.candidates_, inputs);
    const Candidate& best =
        *std::find_if(probe.candidates_.begin(), probe.candidates_.end(),
                      [&](const Candidate& item) { return item.index_ == chosen; });
    const AdmissionDecision decision = DecideAdmission(
        best, inputs, ExpectedResponseTime(best, inputs), load_.deadline_ - ToDuration(elapsed),
        inputs.objective_left_, LoadOf(host, queued));
    if (queued) host.searching_ = false;
    host.queue_due_ = now_;
    if (decision.action_ == AdmissionAction::kQueue) {
      host.queue_due_ = now_ + Seconds(kQueuePollInterval);
      if (!queued) host.queue_.push_back(probe.arrived_);
      return;
    }
    if (queued) host.queue_.erase(host.queue_.begin());
    if (decision.action_ == AdmissionAction::kReject) return Reject(host, probe.arrived_);
    std::lognormal_distribution<double> spread(0, 0.3);
    targets_[chosen].waiting_.push_back({probe.arrived_,
                                         Seconds(load_.service_time_) * spread(random_),
                                         static_cast<std::size_t>(&host - hosts_.data())});
  }

  void Reject(Host& host, double arrived) {
    RecordRefused(host.recent_, Now());
    result_.rejection_times_.push_back(now_ - arrived);
  }

  Load load_;
  Random random_;
  std::vector<Target> targets_;
  std::vector<Host> hosts_;
  double now_ = 0;
  Result result_;
};

}  // namespace monsoonshelf::gateway
