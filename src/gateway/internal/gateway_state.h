#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/address.h"
#include "gateway/admission.h"
#include "gateway/concurrency.h"
#include "gateway/fair_queue.h"
#include "gateway/gateway_types.h"
#include "gateway/hedging.h"
#include "gateway/icall_format.h"
#include "gateway/internal/gateway_metrics.h"
#include "gateway/limits.h"
#include "gateway/placement.h"
#include "gateway/quota.h"
#include "gateway/rollout.h"
#include "gateway/routing.h"
#include "gateway/target_health.h"
#include "gateway/target_notices.h"
#include "http/connection_pool.h"

namespace monsoonshelf::gateway {

struct ActiveConfiguration {
  Configuration configuration_;
  RouteTable routes_;
};
using ActiveConfigurationPtr = std::shared_ptr<const ActiveConfiguration>;

struct TargetState {
  TargetRecord record_;
  Address address_;
  TargetHealth health_;
  ColdState cold_;
  TargetNotices notices_;
  int in_flight_ = 0;           // Requests from this entry host.
  std::uint64_t affinity_ = 0;  // Hash of host and target; this host prefers the lowest values.
  bool misdirected_ = false;    // Another target responds at its address.
  bool removed_ = false;        // No longer registered.
  // When a target that was deleted during a store outage is removed. It may register again before.
  Time remove_at_ = Time::max();
};
using TargetPtr = std::shared_ptr<TargetState>;

// Mean time of a request of a service on an idle target of normal speed.
struct ServiceTimeEstimate {
  Duration mean_ = std::chrono::milliseconds(200);
  int samples_ = 0;
  BusySlowdown busy_slowdown_;
};

// A request that waits for a target.
class IQueuedRequest {
 public:
  virtual ~IQueuedRequest() = default;
  // Lets the request look for a target soon. `freed`, if not null, is a target from which this host
  // has just received a response.
  virtual void SearchSoon(const TargetPtr& freed, Time now) = 0;
  virtual WaitingRequest DescribeWaiting(Time now) const = 0;
  // Rejects the request, whose place in the queue goes to a more urgent one.
  virtual void GiveUpPlace(Time now) = 0;
};

// A request that waits for the quota of its team.
class IQuotaWaiter {
 public:
  virtual ~IQuotaWaiter() = default;
  virtual void OnQuotaDecided(const QuotaVerdict& verdict, Time now) = 0;
};

// Decides on requests by the quota of their team.
class IQuotaGate {
 public:
  virtual ~IQuotaGate() = default;
  // With kWait, the waiter is called later, unless it is cancelled before.
  virtual QuotaVerdict Admit(const Team& team, IQuotaWaiter& waiter, Time now) = 0;
  virtual void Cancel(IQuotaWaiter& waiter) = 0;
  // Gives back what a request was admitted with that did not run.
  virtual void Refund(const std::string& team, Time admitted_at, Time now) = 0;
};

// Decides which versions of a service a request may be sent to. Null where there are no roll-outs.
class IRolloutGate {
 public:
  virtual ~IRolloutGate() = default;
  // Returns whether the orders are known, so that requests may be sent.
  virtual bool IsReady(Time now) const = 0;
  // Returns the versions that a new request of the service may be sent to, and counts it.
  virtual RolloutSide ChooseSide(const std::string& service, Time now) = 0;
  virtual bool MayUse(const TargetRecord& target, RolloutSide side, Time now) = 0;
  // Records the first response to a request, or a failure.
  virtual void Record(const TargetRecord& target, const std::string& route, bool is_failure,
                      Duration duration) = 0;
};

struct ServiceState {
  std::map<TargetId, TargetPtr> targets_;
  RetryBudget retry_budget_;
  HedgeBudget hedge_budget_;
  std::array<ResponseTimes, kRequestKindNames.size()> response_times_;  // By RequestKind.
  RecentRequests recent_requests_;
  // Requests that wait for a target below its efficient load; see NextQueuedRequest.
  std::vector<IQueuedRequest*> queued_requests_;
  std::uint64_t queue_turn_ = 0;  // Requests that have left the queue.
  TeamUse team_use_;
  std::map<int, RecentRequests> recent_by_priority_;
  std::array<ServiceTimeEstimate, kRequestKindNames.size()> service_times_;  // By RequestKind.
};

// State that all requests of one entry host share. Used only on the thread of the gateway.
struct GatewayState {
  GatewayState(const GatewaySettings& settings, const ICallFormat& format, std::uint64_t seed);

  const GatewaySettings& settings_;
  const ICallFormat& format_;
  GatewayMetrics metrics_;
  http::ConnectionPool pool_;
  Random random_;
  ActiveConfigurationPtr configuration_;
  // Start of the last call to the store that confirmed the configuration in effect.
  Time configuration_proved_at_{};
  std::map<std::string, ServiceState> services_;
  std::map<TargetId, TargetPtr> targets_;
  std::set<std::string> evacuated_zones_;
  TrafficSplit traffic_split_;
  std::unordered_map<std::string, RouteTimeoutStats> route_timeout_stats_;  // By route name.
  std::vector<HostName> zone_hosts_;  // Serving hosts of the own zone, including this host.
  // The hosts of the zone were listed, and had time to answer a ping. Before, this host would take
  // itself for the only one that may send to cold targets.
  bool knows_zone_hosts_ = false;
  std::size_t fleet_size_ = 1;
  bool has_target_list_ = false;  // The first target list was received.
  bool stopping_ = false;         // New requests are rejected.
  // When calls are ended by force during a stop. Only idempotent requests that arrive until
  // accepts_long_until_ may have a later deadline.
  Time calls_end_at_ = Time::max();
  Time accepts_long_until_ = Time::max();
  std::function<void(const TargetId&)> on_target_failed_;
  IQuotaGate* quota_gate_ = nullptr;
  IRolloutGate* rollout_gate_ = nullptr;
  std::map<std::string, RolloutOrder> rollouts_;  // By service.
  bool has_rollout_list_ = false;
};

// Returns whether keys may be accepted: the configuration in effect is proven to be recent, where
// the deployment asks for it.
bool HasKeyProof(const GatewayState& state, Time now);

// Adds or updates a target. Ignores a record of an earlier incarnation of the same target.
void PutTarget(GatewayState& state, const TargetRecord& record, Time now);
void RemoveTarget(GatewayState& state, const TargetId& id);
// Removes the targets whose remove_at_ time has passed.
void RemoveExpiredTargets(GatewayState& state, Time now);

// Applies what a target said in a response of `source`, for example a probe.
void ApplyTargetNotice(GatewayState& state, TargetState& target, const TargetNotice& notice,
                       std::string_view source, Time now);
// Logs the pauses of targets that have ended since the last call.
void EndTargetPauses(GatewayState& state, Time now);
// Returns the time until a target of the service wants requests again; zero if one wants them now,
// or if none will.
Duration TimeUntilPauseEnds(const GatewayState& state, const ServiceState& service, Time now);

// Returns whether the target may receive requests from this host: it is registered, is not draining
// or leaving, has not asked for a pause, and is not in an evacuated zone. Only one host of its zone
// may send to a cold target.
bool IsEligible(const GatewayState& state, const TargetState& target, Time now);
// As IsEligible, but also respects the rate limit of a cold target.
bool CanSendNow(const GatewayState& state, const TargetState& target, Time now);
// Updates the in-flight count and the rate limit of the target for one more request.
void RecordSend(GatewayState& state, TargetState& target, Time now);

// Returns the waiting request that is served next, or null.
IQueuedRequest* NextQueuedRequest(const ServiceState& service, Time now);
// Rejects the waiting request that is served last, if `arriving` is served before it. Returns
// whether there is room for `arriving`.
bool MakeRoomInQueue(ServiceState& service, const WaitingRequest& arriving, Time now);
// Returns the refusals of more urgent requests of the service by this host in the last second.
double RefusedMoreUrgent(const ServiceState& service, int priority, Time now);

// Lets the next request that waits for a target of the service look for one soon. `freed` may be
// null; see IQueuedRequest.
void WakeQueuedRequest(ServiceState& service, const TargetPtr& freed, Time now);

// Returns the highest affinity_ of the targets that this host prefers. A host keeps connections to
// only a few targets of a service, so that each connection is reused before it becomes idle and is
// closed.
std::uint64_t MaxPreferredAffinity(std::vector<std::uint64_t> affinities);

// Returns this host's share of the connections that all hosts may open to the target.
std::size_t MaxConnectionsToTarget(const GatewayState& state, const TargetState& target);
// Returns a default specification if the service is unknown.
const ServiceSpec& FindServiceSpec(const GatewayState& state, const std::string& service);
// Marks the target as cold for at least `remaining`; never shortens the period.
void ExtendColdPeriod(TargetState& target, Duration remaining, Time now);
// Adds the duration of one request on a machine that was slower by the factor `slowness`, to a
// target that it made nearly full or not.
void UpdateServiceTime(ServiceTimeEstimate& estimate, Duration duration, double slowness,
                       bool nearly_full);

}  // namespace monsoonshelf::gateway
