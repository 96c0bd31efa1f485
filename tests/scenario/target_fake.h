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

// A target with two slots that starts cold. Reports each request and execution to the checks, and a
// violation if it gets more calls while cold, or more probes, than the limits allow.
class TargetFake {
 public:
  using AnswerCallback = std::function<void(const TargetAnswer&)>;

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

  // `connection_epoch` is the epoch (the number of the start) of the target when the sender opened
  // its connection; 0 opens a new connection. A connection from an earlier epoch has been reset, so
  // the call is lost without being executed.
  void OnCall(const std::string& host, const std::string& id, Time deadline,
              std::uint64_t connection_epoch, const AnswerCallback& reply);
  void OnProbe(const AnswerCallback& reply);

  // Restarts the target, which is cold afterwards. Calls in flight are lost.
  void Restart();
  void SetDraining(bool draining) { draining_ = draining; }
  // A target that is down cannot be reached. Calls in flight are lost, and the target is cold when
  // it comes up again.
  void SetDown(bool down);
  // The next `count` calls are answered with the body of another call.
  void MismatchNextAnswers(int count) { mismatches_left_ = count; }
  // Time for which the target is cold after each later restart.
  void SetColdDuration(Duration time) { cold_duration_ = time; }
  void SetMeanServiceTime(Duration mean) { mean_service_time_ = mean; }

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
  Duration mean_service_time_ = std::chrono::milliseconds(30);
  std::uint64_t epoch_ = 1;
  Time cold_until_ = simulation_.Now() + std::chrono::seconds(2);
  Duration cold_duration_ = std::chrono::seconds(2);
  int running_calls_ = 0;
  bool draining_ = false;
  bool down_ = false;
  int mismatches_left_ = 0;
  std::deque<Time> probes_;
  std::uint64_t next_execution_ = 1;
  std::map<std::uint64_t, AnswerCallback> callbacks_;  // Of the running calls, by execution number.
};

}  // namespace monsoonshelf::scenario
