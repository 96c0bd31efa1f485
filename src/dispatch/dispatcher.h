#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/base_types.h"
#include "dispatch/dispatch_types.h"
#include "records/records_types.h"

namespace monsoonshelf::dispatch {

// Settings of one shard: one service in one availability zone.
struct ShardSettings {
  std::string service_;
  std::string zone_;
  records::Service limits_;
  std::size_t max_queue_ = 256;  // Calls that wait for a slot.
};

// State of one shard. Only the functions below change it.
struct Dispatcher;
struct DispatcherDeleter {
  void operator()(Dispatcher* dispatcher) const;
};
using DispatcherPtr = std::unique_ptr<Dispatcher, DispatcherDeleter>;

DispatcherPtr MakeDispatcher(ShardSettings settings, Time now);

// Sets whether this host holds the assignment of the shard and until when (absolute, from the
// lease). Without it, cold targets get no work and no probes are sent. On gaining it,
// `predecessor_end` is the time until which work of an earlier holder may still run.
void SetAssignment(Dispatcher& dispatcher, std::optional<Time> held_until, Time predecessor_end,
                   Time now);

// Each function returns the actions that follow from the event. A call that neither action names
// stays queued until a later event places or refuses it.
Actions OnCallArrived(Dispatcher& dispatcher, const Call& call, Time now, Random& random);

// A send ended. `report` is the load header of the answer, if there was one. The dispatcher either
// retries the call (kSend, kForward), refuses it (kRefuse: as unknown, if this target did not run
// it but an earlier one may have), or names it in no action: then the result goes to the caller.
// `call_finished` tells which.
Actions OnSendFinished(Dispatcher& dispatcher, CallHandle call, const std::string& target,
                       SendResult result, const std::optional<LoadReport>& report, Time now,
                       Random& random, bool* call_finished);

// The answer of a target or of another shard carries the retries that are left for the call tree;
// calls below this one may have used some. Call it before OnSendFinished or OnForwardRefused, and
// not for an answer without the header. A host that returns a failure to its caller returns 0, so
// that no level above repeats the whole call; a failure with 0 is therefore not held against the
// target.
void OnRetryBudgetReturned(Dispatcher& dispatcher, CallHandle call, int retry_budget);

// A forwarded call came back as not run; the dispatcher queues, places or refuses it.
Actions OnForwardRefused(Dispatcher& dispatcher, CallHandle call, const std::string& zone, Time now,
                         Random& random);
// A forwarded call was answered, or its outcome is unknown.
Actions OnForwardFinished(Dispatcher& dispatcher, CallHandle call, const std::string& zone,
                          Time now, Random& random);

// The caller went away while its call was queued.
void OnCallCancelled(Dispatcher& dispatcher, CallHandle call);

// An answer of the load endpoint, or nothing when the probe failed.
Actions OnProbeFinished(Dispatcher& dispatcher, const std::string& target,
                        const std::optional<LoadReport>& report, Time now, Random& random);

Actions OnTargetsChanged(Dispatcher& dispatcher, const std::vector<TargetSpec>& targets, Time now,
                         Random& random);
Actions OnSettingsChanged(Dispatcher& dispatcher, const ShardSettings& settings, Time now,
                          Random& random);
void OnRemoteShardLoad(Dispatcher& dispatcher, const RemoteShardLoad& remote, Time now);

// Phases learned from an earlier dispatcher of the shard. Own observations go first.
void OnTargetSnapshots(Dispatcher& dispatcher, const std::vector<TargetSnapshot>& targets,
                       Time now);

// Call at NextTick() or later: deadlines of queued calls, probes, lapses.
// A next tick that is not after `now` is due.
Actions OnTick(Dispatcher& dispatcher, Time now, Random& random);
Time NextTick(const Dispatcher& dispatcher, Time now);

// Summary for peers and metrics.
struct TargetSummary {
  std::string name_;
  TargetPhase phase_ = TargetPhase::kCold;
  std::uint64_t epoch_ = 0;
  int in_flight_ = 0;
  int limit_ = 0;
};
struct ShardSummary {
  int free_slots_ = 0;
  int queued_ = 0;
  int queued_interactive_ = 0;
  int ready_targets_ = 0;
  std::vector<TargetSummary> targets_;
};
ShardSummary Summarize(const Dispatcher& dispatcher, Time now);

}  // namespace monsoonshelf::dispatch
