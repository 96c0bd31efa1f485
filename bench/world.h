#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "bench/bench_types.h"

namespace monsoonshelf::bench {

// Result of a send, as received by the entry host.
struct SendOutcome {
  dispatch::SendResult result_ = dispatch::SendResult::kAnswered;
  dispatch::LoadReport report_;
  bool nested_call_failed_ = false;  // The failure is that of a nested call, not of the target.
};
using SendCallback = std::function<void(const SendOutcome&)>;
using ProbeCallback = std::function<void(const dispatch::LoadReport&)>;

// A call that was sent to a target.
struct Job {
  BenchCall call_;
  Time sent_time_{};
  Time deadline_{};
  Duration one_way_delay_{};  // Between entry host and target.
  SendCallback done_;
  Time end_time_{};  // End of the service time.
  bool is_open_ = true;
  bool nested_call_failed_ = false;
};

using JobPtr = std::shared_ptr<Job>;

// Period in which the service times of a target are multiplied by a factor, if they start in it.
struct Slowdown {
  Time from_{};
  Time to_{};
  double factor_ = 1;
};

struct FakeTarget {
  std::string name_;
  int index_ = 0;
  int service_ = 0;
  int zone_ = 0;
  std::uint64_t epoch_ = 1;
  std::vector<JobPtr> running_;
  std::deque<JobPtr> queued_;
  std::vector<Slowdown> slowdowns_;
  Time cold_until_{};
  // Arrival of the first response since the cold start at a host.
  Time cold_known_since_ = Time::max();
  Time failing_from_ = Time::max();
  int reported_in_flight_ = 0;  // Value at the last refresh; see RefreshReportedLoad().
  std::deque<Time> probe_times_;
};

// Simulated clock, network and targets.
class World {
 public:
  explicit World(const RunSettings& settings);

  Time Now() const { return now_; }
  void ScheduleAt(Time time, std::function<void()> event);
  void ScheduleAfter(Duration delay, std::function<void()> event) {
    ScheduleAt(now_ + delay, std::move(event));
  }
  void RunUntil(Time end);

  // Sends a call from an entry host in `from_zone`.
  void SendCall(int target, const BenchCall& call, Time deadline, int from_zone, SendCallback done);
  void SendProbe(int target, int from_zone, ProbeCallback done);

  // Restarts a target: its calls are lost, its epoch changes and it is cold for the given time.
  void RestartTarget(int target, Duration cold);
  // Takes a zone out of service or back into it. The change applies after `kConfigurationDelay`,
  // when `on_applied` is called.
  void SetZoneInService(int zone, bool in_service, std::function<void()> on_applied);

  // Returns the factor for service times that start now at the target.
  double ServiceTimeFactor(const FakeTarget& target) const;
  bool IsCold(const FakeTarget& target) const { return now_ < target.cold_until_; }
  bool IsZoneInService(int zone) const { return zone_in_service_[static_cast<std::size_t>(zone)]; }

  const RunSettings& Settings() const { return settings_; }
  std::vector<FakeTarget>& Targets() { return targets_; }
  const std::vector<FakeTarget>& Targets() const { return targets_; }
  // Returns the targets that an entry host of the zone chooses from without a dispatcher: those of
  // its zone, or all others if the zone has none in service.
  std::vector<int> CandidateTargets(int service, int zone) const;

  // Issues the nested call of a call at the end of its service time, before the response. If empty,
  // calls have no nested calls.
  std::function<void(const BenchCall&, int zone, std::function<void(bool)>)> run_nested_call_;

  int probe_count_ = 0;
  int max_probes_in_one_second_ = 0;
  int known_cold_overruns_ = 0;
  int unknown_cold_overruns_ = 0;

 private:
  struct Event {
    Time time_{};
    std::uint64_t sequence_ = 0;
    std::function<void()> callback_;
  };

  void ArriveAtTarget(FakeTarget& target, const JobPtr& job);
  void StartService(FakeTarget& target, const JobPtr& job);
  void EndService(FakeTarget& target, const JobPtr& job);
  void FinishCall(FakeTarget& target, const JobPtr& job, dispatch::SendResult result);
  void SendResponse(FakeTarget& target, const JobPtr& job, dispatch::SendResult result);
  void StartQueuedCalls(FakeTarget& target);
  void CountColdOverrun(FakeTarget& target, const Job& job);
  dispatch::LoadReport MakeLoadReport(const FakeTarget& target) const;
  void RefreshReportedLoad();

  RunSettings settings_;
  Time now_{};
  std::vector<Event> events_;
  std::uint64_t next_sequence_ = 0;
  std::vector<FakeTarget> targets_;
  std::vector<bool> zone_in_service_ = std::vector<bool>(kZoneCount, true);
};

}  // namespace monsoonshelf::bench
