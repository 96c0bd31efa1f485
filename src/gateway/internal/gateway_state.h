#pragma once

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/address.h"
#include "gateway/admission.h"
#include "gateway/gateway_types.h"
#include "gateway/icall_format.h"
#include "gateway/internal/gateway_metrics.h"
#include "gateway/limits.h"
#include "gateway/placement.h"
#include "gateway/routing.h"
#include "gateway/target_health.h"
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
  int in_flight_ = 0;           // Requests of this entry host.
  std::uint64_t affinity_ = 0;  // Rank among the targets that this host prefers, lowest first.
  bool misdirected_ = false;    // Another target answers at its address.
  bool removed_ = false;        // No longer registered.
  // Removed from the store while that was disturbed: it may be registered again until then.
  Time remove_at_ = Time::max();
};
using TargetPtr = std::shared_ptr<TargetState>;

// Usual time of a request of a service on an idle target of usual speed.
struct WorkEstimate {
  Duration mean_ = std::chrono::milliseconds(200);
  int samples_ = 0;
};

struct ServiceState {
  std::map<TargetId, TargetPtr> targets_;
  RetryBudget retry_budget_;
  Turnover turnover_;
  std::array<WorkEstimate, kRequestKindNames.size()> work_;  // By kind of request.
};

// What the requests of one entry host share. Only the thread of the gateway touches it.
struct GatewayState {
  GatewayState(const GatewaySettings& settings, const ICallFormat& format, std::uint64_t seed);

  const GatewaySettings& settings_;
  const ICallFormat& format_;
  GatewayMetrics metrics_;
  http::ConnectionPool pool_;
  Random random_;
  ActiveConfigurationPtr configuration_;
  std::map<std::string, ServiceState> services_;
  std::map<TargetId, TargetPtr> targets_;
  std::set<std::string> evacuated_zones_;
  SplitState split_;
  std::unordered_map<std::string, RouteRecord> route_records_;  // By route name.
  std::vector<HostName> zone_hosts_;  // Alive in the own zone, the own host included.
  std::size_t fleet_size_ = 1;
  bool has_target_list_ = false;  // The list of targets was received.
  bool stopping_ = false;         // New requests are refused.
  std::function<void(const TargetId&)> on_target_failed_;
};

// Adds or replaces a target. A record of an earlier start of the same target is ignored.
void PutTarget(GatewayState& state, const TargetRecord& record, Time now);
void RemoveTarget(GatewayState& state, const TargetId& id);
// Removes targets whose grace time has passed.
void RemoveDueTargets(GatewayState& state, Time now);

// Whether a request may be sent to the target now, by everything that operators and targets said.
bool MayReceive(const GatewayState& state, const TargetState& target, Time now);
// As MayReceive; for a cold target also whether it is this host's turn.
bool MaySend(const GatewayState& state, const TargetState& target, Time now);
void CountSend(GatewayState& state, TargetState& target, Time now);

// Largest affinity that is preferred among `targets`: a host keeps connections to a few targets of
// a service, so that each is used again before it idles out.
std::uint64_t PreferredAffinity(std::vector<std::uint64_t> affinities);

std::size_t MaxConnections(const GatewayState& state, const TargetState& target);
const ServiceSpec& SpecOf(const GatewayState& state, const std::string& service);
void LearnCold(TargetState& target, Duration cold_left, Time now);
void LearnWork(WorkEstimate& work, Duration taken, double slowness);

}  // namespace monsoonshelf::gateway
