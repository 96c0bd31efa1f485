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

// Routes each call: to its home host (the host that its call identifier names), to the entry host
// that dispatches its shard, or through a local dispatcher to a target. Owns the dispatchers and
// the outcome table of the host. Uses no sockets, threads or clocks; the time is passed in.
class Router {
 public:
  Router(EntrySettings settings, IRouterDelegate& delegate, std::uint64_t seed);

  void OnView(EntryViewPtr view, Time now);
  void OnRemoteShards(const std::vector<coordination::ShardLoad>& shards, Time now);
  // `now_minute` is in minutes since the Unix epoch.
  void OnCall(CallArrival arrival, std::int64_t now_minute, Time now);
  // The caller no longer waits for the call. Its end is still reported.
  void CancelCall(CallHandle handle, Time now);
  // Ends all calls: those that are not being sent as not run, without placing them in the slots
  // that become free. Calls that arrive later are rejected.
  void CutCalls(Time now);
  void OnSendEnd(SendReport report, Time now);
  void OnProbeEnd(const ShardKey& shard, const std::string& target,
                  const std::optional<dispatch::LoadReport>& report, Time now);
  // Must be called at the time that NextTick() returns.
  void OnTick(Time now);
  Time NextTick(Time now) const;

  // Returns the load of the shards that this host dispatches.
  std::vector<coordination::ShardLoad> LocalShards(Time now) const;
  // Tells each shard the load of the local shards of the same service in other zones.
  void ExchangeLocalShards(Time now);
  std::size_t CallCount() const { return calls_.size(); }

 private:
  struct RoutedCall;
  void UpdateRemoteLoad(const RoutedCall& call, const std::string& load, Time now);

  enum class Phase {
    kQueued,            // At a local dispatcher, or about to be placed.
    kSending,           // A send is in flight.
    kWaitingForOutcome  // Waits for an earlier attempt with the same call identifier.
  };
  // State of a call from its arrival until its response.
  struct RoutedCall {
    CallArrival arrival_;
    Phase phase_ = Phase::kQueued;
    ShardKey shard_;                       // Shard whose dispatcher first got the call.
    std::optional<ShardKey> spill_shard_;  // Local shard of another zone, after spill-over.
    std::string spill_zone_;               // Zone of the last spill-over.
    std::string target_;
    std::string address_;
    SendPurpose purpose_ = SendPurpose::kTarget;
    SendId send_ = 0;
    int retry_budget_ = 0;
    bool registered_ = false;           // Entered in the outcome table of this host.
    bool may_have_run_ = false;         // An earlier send may have been executed.
    bool body_consumed_ = false;        // A send has read from a streamed body.
    bool known_to_dispatcher_ = false;  // A local dispatcher has the call.
  };
  // A shard for which this host has a dispatcher.
  struct Shard {
    dispatch::DispatcherPtr dispatcher_;
    dispatch::ShardSettings settings_;
    std::vector<dispatch::TargetSpec> targets_;
    std::map<std::string, std::string> addresses_;  // By target name.
    Time next_tick_ = Time::max();
  };

  const configuration::ServiceView* FindService(const std::string& name) const;
  const coordination::MemberUpdate* FindMember(const HostName& name) const;
  // Returns the number of connections that this host may open to each target of the service.
  int ConnectionShare(const std::string& service) const;

  // Applies the at-most-once rules of the home host. Returns false if the call must not be placed
  // because it is already handled.
  bool RegisterCall(RoutedCall& call, std::int64_t now_minute, Time now);
  // Forwards the call to its home host.
  void ForwardHome(RoutedCall& call, Time now);
  // Responds to a repeated call with the stored outcome.
  void AnswerDuplicate(CallHandle handle, const outcomes::FinishedCall& finished);
  // Stores the outcome and responds to the duplicates that wait for it.
  void RecordOutcome(const RoutedCall& call, const outcomes::FinishedCall& finished);

  void PlaceCall(RoutedCall& call, Time now);
  void PlaceLocally(RoutedCall& call, const ShardKey& key, bool forwarded, Time now);
  bool ForwardCall(RoutedCall& call, const coordination::MemberUpdate& member, SendPurpose purpose,
                   const std::string& zone, int retry_budget, Time now);
  void SendCall(RoutedCall& call, SendCommand command);

  // Carry out the actions of the dispatcher of a shard.
  void RunActions(const ShardKey& key, const dispatch::Actions& actions, Time now);
  void RunSend(const ShardKey& key, const dispatch::Action& action, Time now);
  void RunForward(const ShardKey& key, const dispatch::Action& action, Time now);
  void RunRefuse(const ShardKey& key, const dispatch::Action& action, Time now);

  void OnTargetSendEnd(RoutedCall& call, SendReport& report, Time now);
  void OnForwardEnd(RoutedCall& call, SendReport& report, Time now);
  void OnHopRefused(RoutedCall& call, SendReport& report, Time now);
  void FinishWithSendReport(RoutedCall& call, SendReport& report, Time now);
  void FinishWithError(RoutedCall& call, ErrorResponse error, Time now);
  void EraseCall(CallHandle handle, Time now);

  Shard& GetOrCreateShard(const ShardKey& key, Time now);
  void UpdateShard(const ShardKey& key, Shard& shard, Time now);
  void ApplyAssignment(const ShardKey& key, Shard& shard, Time now);
  void ScheduleTick(Shard& shard, Time now);
  bool IsLocalShard(const ShardKey& key) const;

  EntrySettings settings_;
  IRouterDelegate& delegate_;
  Random random_;
  EntryViewPtr view_;
  outcomes::OutcomeTablePtr outcomes_;
  std::map<ShardKey, Shard> shards_;
  std::unordered_map<CallHandle, RoutedCall> calls_;
  // Calls that wait for the outcome of an earlier attempt with the same call identifier, by that
  // identifier.
  std::unordered_map<std::string, std::vector<CallHandle>> waiting_duplicates_;
  std::map<ShardKey, coordination::ShardLoad> remote_shards_;
  SendId next_send_ = 1;
  bool cutting_ = false;  // CutCalls() was called.
};

// Returns the error response for a send that ended without a response.
ErrorResponse ErrorResponseFor(dispatch::SendResult result, bool sent);

}  // namespace monsoonshelf::entry
