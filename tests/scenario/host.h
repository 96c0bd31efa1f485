#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "coordination/node.h"
#include "dispatch/dispatcher.h"
#include "outcomes/outcome_table.h"
#include "tests/scenario/call.h"
#include "tests/scenario/simulation.h"

namespace monsoonshelf::scenario {

class World;

// One entry host: the coordination node, its dispatchers and the table of outcomes, wired as the
// entry and control modules wire them.
class Host {
 public:
  Host(World& world, coordination::NodeSettings settings);

  const HostName& Name() const { return settings_.name_; }
  const std::string& Zone() const { return settings_.zone_; }
  bool IsRunning() const { return running_ && !paused_; }
  bool IsUp() const { return running_; }
  coordination::Node& Node() { return *node_; }
  Incarnation CurrentIncarnation() const { return settings_.incarnation_; }
  int InFlight() const { return static_cast<int>(calls_.size()); }

  void Start();
  void Crash();
  void Pause();
  void Resume();
  // Graceful stop.
  void Leave();

  // Runs `event` in this process: later if it is paused, never if the process ended before.
  void Deliver(Simulation::Event event);
  // As Deliver, for a process that may have ended since `generation`.
  void DeliverTo(std::uint64_t generation, const Simulation::Event& event);
  std::uint64_t Generation() const { return generation_; }

  void OnPeerMessage(const coordination::PeerMessage& message);
  void OnCall(const CallRequest& request, const CallReply& reply);

  // Version and time at which a record came into effect here; version 0 if it has not.
  std::pair<Version, Time> VersionInEffect(const configuration::RecordKey& key) const;

 private:
  using ShardKey = std::pair<std::string, std::string>;
  using CallHandle = dispatch::CallHandle;
  struct PendingCall {
    CallRequest request_;
    CallReply reply_;
    ShardKey shard_;
    bool may_have_run_ = false;  // An earlier send was lost on the way back.
  };

  void Apply(const coordination::NodeOutput& output);
  void SendPlatformRequest(const coordination::PlatformRequest& request);
  void OnConfiguration();
  void OnRemoteShards(const std::vector<coordination::ShardLoad>& loads);
  void UpdateAssignments();
  void ReportShards();
  void Wake();
  void ScheduleWake();

  CallReply RecordingReply(const outcomes::CallId& id, const CallReply& reply);
  bool IsRefusing(ResultCode* code);
  void PlaceCall(const CallRequest& request, const CallReply& reply);
  void Forward(const HostName& to, const CallRequest& request, const CallReply& reply);
  void DispatchLocally(const CallRequest& request, const CallReply& reply);
  dispatch::Dispatcher& DispatcherFor(const ShardKey& shard);
  std::vector<dispatch::TargetSpec> TargetsOf(const ShardKey& shard) const;

  void Run(const ShardKey& shard, const dispatch::Actions& actions);
  void SendToTarget(const ShardKey& shard, const dispatch::Action& action);
  void Probe(const ShardKey& shard, const std::string& target);
  void Spill(const ShardKey& shard, const dispatch::Action& action);
  void OnTargetAnswer(const ShardKey& shard, CallHandle call, const std::string& target,
                      dispatch::SendResult result,
                      const std::optional<dispatch::LoadReport>& report, const std::string& body);
  void Respond(CallHandle call, const CallResponse& response);

  World& world_;
  coordination::NodeSettings settings_;
  coordination::NodePtr node_;
  Random random_;
  outcomes::OutcomeTablePtr outcomes_;
  std::shared_ptr<const configuration::Snapshot> snapshot_;
  std::map<ShardKey, dispatch::DispatcherPtr> dispatchers_;
  std::map<ShardKey, std::vector<dispatch::TargetSnapshot>> knowledge_;
  std::map<std::string, std::uint64_t> connections_;  // Epoch of the target at connecting.
  std::map<CallHandle, PendingCall> calls_;
  std::map<std::string, std::vector<CallReply>> repeats_;  // Waiting for a running call.
  std::map<configuration::RecordKey, std::pair<Version, Time>> in_effect_;
  std::vector<Simulation::Event> backlog_;
  CallHandle next_handle_ = 1;
  std::uint64_t generation_ = 0;
  std::uint64_t wake_number_ = 0;
  Time wake_at_{};
  Time next_report_{};
  bool running_ = false;
  bool paused_ = false;
  bool draining_ = false;
};

}  // namespace monsoonshelf::scenario
