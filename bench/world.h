#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "bench/bench_types.h"

namespace monsoonshelf::bench {

// Result of a send as the entry host sees it.
struct SendEnd {
  dispatch::SendResult result_ = dispatch::SendResult::kAnswered;
  dispatch::LoadReport report_;
  bool failed_below_ = false;  // A nested call failed, not the target.
};
using SendDone = std::function<void(const SendEnd&)>;
using ProbeDone = std::function<void(const dispatch::LoadReport&)>;

// A call at a target.
struct Job {
  BenchCall call_;
  Time sent_{};
  Time deadline_{};
  Duration way_{};  // One way between entry host and target.
  SendDone done_;
  Time ends_{};
  bool open_ = true;
  bool failed_below_ = false;
};

using JobPtr = std::shared_ptr<Job>;

// A slowdown of a target: service times that start within it are multiplied.
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
  std::deque<JobPtr> waiting_;
  std::vector<Slowdown> slowdowns_;
  Time cold_until_{};
  Time cold_noticed_ = Time::max();  // First response after the cold start reached a host.
  Time failing_from_ = Time::max();
  int reported_in_flight_ = 0;  // Value of the last refresh of the load endpoint.
  std::deque<Time> probes_;
};

// Virtual clock, network and fake targets.
class World {
 public:
  explicit World(const RunSettings& settings);

  Time Now() const { return now_; }
  void At(Time time, std::function<void()> event);
  void After(Duration delay, std::function<void()> event) { At(now_ + delay, std::move(event)); }
  void RunUntil(Time end);

  // Sends a call from an entry host in `from_zone`.
  void Send(int target, const BenchCall& call, Time deadline, int from_zone, SendDone done);
  void Probe(int target, int from_zone, ProbeDone done);

  // Restarts a target: its calls are lost, its epoch changes, and it is cold for a time.
  void Restart(int target, Duration cold);
  // Takes a zone out of service or back; entry hosts learn of it after `kConfigurationDelay`.
  void SetZone(int zone, bool in, std::function<void()> on_known);

  double Factor(const FakeTarget& target) const;
  bool IsCold(const FakeTarget& target) const { return now_ < target.cold_until_; }
  bool ZoneIn(int zone) const { return zone_in_[static_cast<std::size_t>(zone)]; }

  const RunSettings& Settings() const { return settings_; }
  std::vector<FakeTarget>& Targets() { return targets_; }
  const std::vector<FakeTarget>& Targets() const { return targets_; }
  // Targets that an entry host of the zone uses when it chooses on its own: those of its zone, or
  // all others while its zone is out.
  std::vector<int> Candidates(int service, int zone) const;

  // Runs when a call has been served at a target, before the response: nested calls.
  std::function<void(const BenchCall&, int zone, std::function<void(bool)>)> nested_;

  int measurements_ = 0;
  int probe_max_ = 0;
  int cold_over_ = 0;
  int cold_blind_ = 0;

 private:
  struct Event {
    Time time_{};
    std::uint64_t sequence_ = 0;
    std::function<void()> run_;
  };

  void Arrive(FakeTarget& target, const JobPtr& job);
  void Start(FakeTarget& target, const JobPtr& job);
  void Serve(FakeTarget& target, const JobPtr& job);
  void Finish(FakeTarget& target, const JobPtr& job, dispatch::SendResult result);
  void Respond(FakeTarget& target, const JobPtr& job, dispatch::SendResult result);
  void RunWaiting(FakeTarget& target);
  void CountCold(FakeTarget& target, const Job& job);
  dispatch::LoadReport Report(const FakeTarget& target) const;
  void RefreshReports();

  RunSettings settings_;
  Time now_{};
  std::vector<Event> events_;
  std::uint64_t next_sequence_ = 0;
  std::vector<FakeTarget> targets_;
  std::vector<bool> zone_in_ = std::vector<bool>(kZones, true);
};

}  // namespace monsoonshelf::bench
