#pragma once

#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "dispatch/dispatcher.h"
#include "entry/internal/router_types.h"
#include "outcomes/outcome_table.h"

namespace monsoonshelf::entry {

// Decides where each call goes: to its home host, to the dispatcher of its shard, or by a local
// dispatcher to a target. Owns the dispatchers and the outcome table of the host. Uses no sockets,
// threads or clocks.
class Router {
 public:
  Router(EntrySettings settings, IRouterPort& port, std::uint64_t seed);

  void OnView(EntryViewPtr view, Time now);
  void OnRemoteShards(const std::vector<coordination::ShardLoad>& shards, Time now);
  void OnCall(CallArrival arrival, std::int64_t now_minute, Time now);
  void OnCallerGone(CallHandle handle, Time now);
  void OnSendEnd(SendReport report, Time now);
  void OnProbeEnd(const ShardKey& shard, const std::string& target,
                  const std::optional<dispatch::LoadReport>& report, Time now);
  void OnTick(Time now);
  Time NextTick(Time now) const;

  // Load of the shards that this host dispatches.
  std::vector<coordination::ShardLoad> LocalShards(Time now) const;
  // Passes the load of the local shards to each other.
  void ExchangeLocalShards(Time now);
  std::size_t CallCount() const { return calls_.size(); }

 private:
  struct RoutedCall;
  void ObserveShardLoad(const RoutedCall& call, const std::string& load, Time now);

  enum class Phase { kQueued, kSending, kWaiting };
  struct RoutedCall {
    CallArrival arrival_;
    Phase phase_ = Phase::kQueued;
    ShardKey shard_;                 // Whose dispatcher counts the call.
    std::optional<ShardKey> spill_;  // Local shard of another zone that got the call.
    std::string spill_zone_;
    std::string target_;
    std::string address_;
    SendPurpose purpose_ = SendPurpose::kTarget;
    SendId send_ = 0;
    int retry_budget_ = 0;
    bool at_home_ = false;     // Registered in the outcome table.
    bool maybe_ran_ = false;   // An earlier send may have run.
    bool body_used_ = false;   // A streamed body was given to a send.
    bool dispatched_ = false;  // A local dispatcher knows the call.
  };
  struct Shard {
    dispatch::DispatcherPtr dispatcher_;
    dispatch::ShardSettings settings_;
    std::vector<dispatch::TargetSpec> targets_;
    std::map<std::string, std::string> addresses_;
    Time next_tick_ = Time::max();
  };

  const configuration::ServiceView* FindService(const std::string& name) const;
  const coordination::MemberUpdate* FindMember(const HostName& name) const;
  int ConnectionShare(const std::string& service) const;

  // At-most-once rules. Returns false if the call must not be placed.
  bool BeginAtHome(RoutedCall& call, std::int64_t now_minute, Time now);
  void ForwardHome(RoutedCall& call, Time now);
  void AnswerRepeat(CallHandle handle, const outcomes::FinishedCall& finished);
  void FinishAtHome(const RoutedCall& call, const outcomes::FinishedCall& finished);

  void Place(RoutedCall& call, Time now);
  void PlaceLocally(RoutedCall& call, const ShardKey& key, bool forwarded, Time now);
  bool Forward(RoutedCall& call, const coordination::MemberUpdate& member, SendPurpose purpose,
               const std::string& zone, int retry_budget, Time now);
  void SendCall(RoutedCall& call, SendOrder order);

  void Run(const ShardKey& key, const dispatch::Actions& actions, Time now);
  void RunSend(const ShardKey& key, const dispatch::Action& action, Time now);
  void RunForward(const ShardKey& key, const dispatch::Action& action, Time now);
  void RunRefuse(const ShardKey& key, const dispatch::Action& action, Time now);

  void OnTargetSendEnd(RoutedCall& call, SendReport& report, Time now);
  void OnForwardEnd(RoutedCall& call, SendReport& report, Time now);
  void OnHopRefused(RoutedCall& call, SendReport& report, Time now);
  void FinishWithReport(RoutedCall& call, SendReport& report, Time now);
  void FinishWithRefusal(RoutedCall& call, Refusal refusal, Time now);
  void Erase(CallHandle handle, Time now);

  Shard& ShardOf(const ShardKey& key, Time now);
  void UpdateShard(const ShardKey& key, Shard& shard, Time now);
  void ApplyAssignment(const ShardKey& key, Shard& shard, Time now);
  void ScheduleTick(Shard& shard, Time now);
  bool IsLocal(const ShardKey& key) const;

  EntrySettings settings_;
  IRouterPort& port_;
  Random random_;
  EntryViewPtr view_;
  outcomes::OutcomeTablePtr outcomes_;
  std::map<ShardKey, Shard> shards_;
  std::unordered_map<CallHandle, RoutedCall> calls_;
  std::unordered_map<std::string, std::vector<CallHandle>> repeats_;  // By call identifier.
  std::map<ShardKey, coordination::ShardLoad> remote_;
  SendId next_send_ = 1;
};

// The refusal that tells a caller how a send without a response ended.
Refusal RefusalOf(dispatch::SendResult result, bool sent);

}  // namespace monsoonshelf::entry
