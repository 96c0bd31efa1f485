#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "dispatch/dispatch_types.h"
#include "tests/scenario/checks.h"
#include "tests/scenario/simulation.h"

namespace monsoonshelf::scenario {

struct TargetAnswer {
  dispatch::SendResult result_ = dispatch::SendResult::kLost;
  std::optional<dispatch::LoadReport> report_;
  std::string body_;
};

// A worker with two slots that starts cold. Counts what it ran and how it was measured.
class TargetFake {
 public:
  using Reply = std::function<void(const TargetAnswer&)>;

  TargetFake(Simulation& simulation, Checks& checks, std::string name, std::string service,
             std::string zone)
      : simulation_(simulation),
        checks_(checks),
        name_(std::move(name)),
        service_(std::move(service)),
        zone_(std::move(zone)) {}

  const std::string& Name() const { return name_; }
  const std::string& Service() const { return service_; }
  const std::string& Zone() const { return zone_; }

  // `connection_epoch` is the start at which the sender opened its connection; 0 opens a new one.
  // A connection of an earlier start was reset: nothing runs.
  void OnCall(const std::string& host, const std::string& id, Time deadline,
              std::uint64_t connection_epoch, const Reply& reply);
  void OnProbe(const Reply& reply);

  // Starts again, cold. Calls in flight are lost.
  void Reset();
  void SetDraining(bool draining) { draining_ = draining; }
  void SetDown(bool down);
  // Answers the next `count` calls with the body of another call.
  void MismatchAnswers(int count) { mismatches_ = count; }
  void SetColdTime(Duration time) { cold_time_ = time; }
  void SetServiceTime(Duration mean) { service_time_ = mean; }

 private:
  dispatch::LoadReport Report() const;
  bool IsCold() const { return simulation_.Now() < cold_until_; }

  static constexpr int kSlots = 2;
  static constexpr int kColdLimit = 1;

  Simulation& simulation_;
  Checks& checks_;
  std::string name_;
  std::string service_;
  std::string zone_;
  Duration service_time_ = std::chrono::milliseconds(30);
  std::uint64_t epoch_ = 1;
  Time cold_until_ = simulation_.Now() + std::chrono::seconds(2);
  Duration cold_time_ = std::chrono::seconds(2);
  int running_ = 0;
  bool draining_ = false;
  bool down_ = false;
  int mismatches_ = 0;
  std::deque<Time> probes_;
  std::uint64_t next_run_ = 1;
  std::map<std::uint64_t, Reply> runs_;
};

}  // namespace monsoonshelf::scenario
