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
  std::size_t max_queue_ = 256;  // Maximum number of calls that wait for a slot.
};

// The state of one shard, opaque to its owner. Only the functions below change it. The functions do
// no I/O and read no clock; the owner passes the time and carries out the returned actions.
struct Dispatcher;
struct DispatcherDeleter {
  void operator()(Dispatcher* dispatcher) const;
};
using DispatcherPtr = std::unique_ptr<Dispatcher, DispatcherDeleter>;

// Creates a dispatcher without targets and without the assignment.
DispatcherPtr MakeDispatcher(ShardSettings settings, Time now);

// Sets the time until which this host holds the assignment of the shard, which is the end of its
// lease, or std::nullopt if the host does not hold the assignment. Without the assignment, cold and
// warming targets receive no calls, and the only probes sent are those that confirm a target (see
// OnTargetSnapshots). `predecessor_end` is the time until which work of an earlier holder may still
// run; it is ignored if this host already holds the assignment.
void SetAssignment(Dispatcher& dispatcher, std::optional<Time> held_until, Time predecessor_end,
                   Time now);

// Each function that returns Actions returns what the owner must do after the event. A call that no
// action names stays queued until a later event places or refuses it.

// A call arrived from a caller or was forwarded by the dispatcher of another shard.
Actions OnCallArrived(Dispatcher& dispatcher, const Call& call, Time now, Random& random);

// A send to a target ended. `report` is the load header of the answer, or std::nullopt without one.
// If `*call_finished` is set to true, the owner passes the result to the caller. Otherwise the
// dispatcher retries the call, at once or from the queue, or refuses it with a kRefuse action. The
// outcome of that refusal is kUnknown if this target did not run the call but an earlier one may
// have run it.
Actions OnSendFinished(Dispatcher& dispatcher, CallHandle call, const std::string& target,
                       SendResult result, const std::optional<LoadReport>& report, Time now,
                       Random& random, bool* call_finished);

// Records the number of retries left for the call tree, as reported in the answer of a target or of
// another shard; nested calls may have used some. Call this function before OnSendFinished or
// OnForwardRefused, and only if the answer has the retry budget header. A host that returns a
// failure to its caller reports 0, which prevents every level above from repeating the whole call.
// A failure with a budget of 0 therefore does not count as a failure of the target.
void OnRetryBudgetReturned(Dispatcher& dispatcher, CallHandle call, int retry_budget);

// Another zone refused a forwarded call without running it. The call is queued, placed or refused.
Actions OnForwardRefused(Dispatcher& dispatcher, CallHandle call, const std::string& zone, Time now,
                         Random& random);

// A forwarded call was answered or ended with an unknown outcome.
Actions OnForwardFinished(Dispatcher& dispatcher, CallHandle call, const std::string& zone,
                          Time now, Random& random);

// The caller cancelled a call that is still queued.
void OnCallCancelled(Dispatcher& dispatcher, CallHandle call);

// A probe ended. `report` is the answer of the load endpoint, or std::nullopt if the probe failed.
Actions OnProbeFinished(Dispatcher& dispatcher, const std::string& target,
                        const std::optional<LoadReport>& report, Time now, Random& random);

// The configuration has a new list of targets for the shard. Targets that are missing from
// `targets` are removed.
Actions OnTargetsChanged(Dispatcher& dispatcher, const std::vector<TargetSpec>& targets, Time now,
                         Random& random);

Actions OnSettingsChanged(Dispatcher& dispatcher, const ShardSettings& settings, Time now,
                          Random& random);

// The load of another shard of the service was received.
void OnRemoteShardLoad(Dispatcher& dispatcher, const RemoteShardLoad& remote, Time now);

// Target phases were received from an earlier dispatcher of the shard. A snapshot is ignored for a
// target from which this dispatcher has received a load report or where it has calls in flight.
// While this host does not hold the assignment, a target that is ready only according to a snapshot
// must answer a probe before its first call.
void OnTargetSnapshots(Dispatcher& dispatcher, const std::vector<TargetSnapshot>& targets,
                       Time now);

// Processes expired deadlines of queued calls, due probes and elapsed pauses. Call it at the time
// that NextTick returns, or later.
Actions OnTick(Dispatcher& dispatcher, Time now, Random& random);
// Returns the time of the next tick. A time that is not after `now` means that the tick is due.
Time NextTick(const Dispatcher& dispatcher, Time now);

// State of a target, for peers and metrics.
struct TargetSummary {
  std::string name_;
  TargetPhase phase_ = TargetPhase::kCold;
  std::uint64_t epoch_ = 0;
  int in_flight_ = 0;  // Calls that this dispatcher sent and that have not ended.
  int limit_ = 0;      // Calls that the target may have in flight now.
};

// State of the shard, for peers and metrics.
struct ShardSummary {
  int free_slots_ = 0;  // At targets that are not ejected.
  int queued_ = 0;
  int queued_interactive_ = 0;  // Calls of the class kInteractive among `queued_`.
  int ready_targets_ = 0;       // Ready targets that accept work and are not ejected.
  std::vector<TargetSummary> targets_;
};
ShardSummary Summarize(const Dispatcher& dispatcher, Time now);

}  // namespace monsoonshelf::dispatch
