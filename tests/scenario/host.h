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

// One entry host: coordination node, dispatchers and outcome table, connected as in the entry and
// control modules. The object outlives the simulated process and can start it again.
class Host {
 public:
  Host(World& world, coordination::NodeSettings settings);

  const HostName& Name() const { return settings_.name_; }
  const std::string& Zone() const { return settings_.zone_; }
  // Whether the process exists and is not paused.
  bool IsRunning() const { return process_alive_ && !paused_; }
  // Whether the process exists; it may be paused.
  bool IsProcessAlive() const { return process_alive_; }
  coordination::Node& Node() { return *node_; }
  Incarnation CurrentIncarnation() const { return settings_.incarnation_; }
  int CallsInFlight() const { return static_cast<int>(calls_.size()); }

  void Start();
  void Crash();
  void Pause();
  void Resume();
  // Starts a graceful stop: the other members are told, calls end, then the process exits.
  void StopGracefully();

  // Runs `event` in this process: at once, or on resumption if the process is paused. The event is
  // dropped if no process exists or the process ends before.
  void RunOrDefer(Simulation::Event event);
  // As RunOrDefer, but drops the event if the process of `generation` has ended.
  void RunInGeneration(std::uint64_t generation, const Simulation::Event& event);
  // Changes whenever the process starts or ends.
  std::uint64_t Generation() const { return generation_; }

  void OnPeerMessage(const coordination::PeerMessage& message);
  void OnCall(const CallRequest& request, const ResponseCallback& reply);

  // Returns the version of a record that is in effect on this host and the time at which it came
  // into effect; version 0 if there is none.
  std::pair<Version, Time> VersionInEffect(const configuration::RecordKey& key) const;

 private:
  using ShardKey = std::pair<std::string, std::string>;
  using CallHandle = dispatch::CallHandle;
  struct PendingCall {
    CallRequest request_;
    ResponseCallback reply_;
    ShardKey shard_;
    bool may_have_run_ = false;  // A target may have executed an earlier send.
  };

  void Apply(const coordination::NodeOutput& output);
  void SendPlatformRequest(const coordination::PlatformRequest& request);
  void ApplyConfiguration();
  void ApplyRemoteShardLoads(const std::vector<coordination::ShardLoad>& loads);
  void UpdateAssignments();
  void ReportShards();
  void OnTimer();
  void SetTimer();

  ResponseCallback MakeRecordingCallback(const outcomes::CallId& id, const ResponseCallback& reply);
  // Returns whether the host refuses all calls; sets `*code` to the reason, or to kOk.
  bool MustRefuseCalls(ResultCode* code);
  void RouteCall(const CallRequest& request, const ResponseCallback& reply);
  void ForwardCall(const HostName& to, const CallRequest& request, const ResponseCallback& reply);
  void DispatchLocally(const CallRequest& request, const ResponseCallback& reply);
  dispatch::Dispatcher& DispatcherFor(const ShardKey& shard);
  std::vector<dispatch::TargetSpec> TargetsOf(const ShardKey& shard) const;

  void ExecuteActions(const ShardKey& shard, const dispatch::Actions& actions);
  void SendToTarget(const ShardKey& shard, const dispatch::Action& action);
  void ProbeTarget(const ShardKey& shard, const std::string& target);
  void SpillCall(const ShardKey& shard, const dispatch::Action& action);
  void OnTargetAnswer(const ShardKey& shard, CallHandle call, const std::string& target,
                      dispatch::SendResult result,
                      const std::optional<dispatch::LoadReport>& report, const std::string& body);
  void RespondToCall(CallHandle call, const CallResponse& response);

  World& world_;
  coordination::NodeSettings settings_;
  coordination::NodePtr node_;
  Random random_;
  outcomes::OutcomeTablePtr outcomes_;
  std::shared_ptr<const configuration::Snapshot> snapshot_;
  std::map<ShardKey, dispatch::DispatcherPtr> dispatchers_;
  std::map<ShardKey, std::vector<dispatch::TargetSnapshot>> known_targets_;
  // By target: its epoch when the connection was opened; 0 if there is no connection.
  std::map<std::string, std::uint64_t> connection_epochs_;
  std::map<CallHandle, PendingCall> calls_;
  // Callbacks of retries that arrived while the call was running, by call identifier.
  std::map<std::string, std::vector<ResponseCallback>> waiting_retries_;
  std::map<configuration::RecordKey, std::pair<Version, Time>> in_effect_;
  std::vector<Simulation::Event> deferred_events_;  // Until the process resumes.
  CallHandle next_handle_ = 1;
  std::uint64_t generation_ = 0;
  std::uint64_t timer_number_ = 0;
  Time timer_deadline_{};
  Time next_report_{};
  bool process_alive_ = false;
  bool paused_ = false;
  bool draining_ = false;
};

}  // namespace monsoonshelf::scenario
