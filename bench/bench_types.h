#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/base_types.h"
#include "base/enum_names.h"
#include "dispatch/dispatch_types.h"

namespace monsoonshelf::bench {

// Fault that the simulation injects.
enum class Fault { kNone, kNoisyNeighbors, kSlowTargets, kRestarts, kZoneOutage, kFailingTargets };

inline constexpr EnumNames<Fault, 6> kFaultNames = {{
    {Fault::kNone, "none"},
    {Fault::kNoisyNeighbors, "noisy"},
    {Fault::kSlowTargets, "slow"},
    {Fault::kRestarts, "cold"},
    {Fault::kZoneOutage, "zone_out_back"},
    {Fault::kFailingTargets, "failing30"},
}};

// How calls are assigned to targets.
enum class PolicyKind {
  kRandom,
  kRoundRobin,
  kTwoChoices,
  kLeastReportedLoad,  // Uses polled load reports, which are stale.
  kCentralQueue,       // Reference with complete knowledge of the simulation.
  kDispatcherPerHost,  // A dispatcher on each entry host, without coordination.
  kDispatcher,         // One dispatcher per shard; most callers know its host.
  kForwardAlways       // One dispatcher per shard; each call is forwarded to it.
};

inline constexpr EnumNames<PolicyKind, 8> kPolicyNames = {{
    {PolicyKind::kRandom, "random"},
    {PolicyKind::kRoundRobin, "round_robin"},
    {PolicyKind::kTwoChoices, "two_choices"},
    {PolicyKind::kLeastReportedLoad, "least_stale"},
    {PolicyKind::kCentralQueue, "ideal"},
    {PolicyKind::kDispatcherPerHost, "independent"},
    {PolicyKind::kDispatcher, "dispatcher"},
    {PolicyKind::kForwardAlways, "forward"},
}};

inline constexpr int kZoneCount = 3;
inline constexpr int kSlotsPerTarget = 2;
inline constexpr int kColdLimit = 1;  // Calls in flight that a cold target allows.

// One-way network delays: 0.2 ms within a zone and 4 ms between zones.
inline constexpr Duration kSameZoneDelay{200};
inline constexpr Duration kCrossZoneDelay{4000};

// Size and timing of the simulated fleet.
struct Shape {
  std::string name_;
  std::vector<int> targets_per_service_;  // One entry per service; spread evenly over the zones.
  Duration caller_delay_{};               // One-way delay between caller and entry host.
  Duration probe_response_time_{};        // Time that a target takes to respond to a probe.
  int host_count_ = 15;
};

struct RunSettings {
  Shape shape_;
  Fault fault_ = Fault::kNone;
  double load_ = 0.85;  // Offered load as a share of the fault-free capacity.
  PolicyKind policy_ = PolicyKind::kDispatcher;
  std::uint64_t seed_ = 1;
};

struct RunResult {
  double p50_ms_ = 0;  // Interactive calls, measured at the caller.
  double p99_ms_ = 0;
  double p999_ms_ = 0;
  double p99_transactional_ms_ = 0;
  double goodput_ = 0;        // Calls answered before their deadline, as a share of the capacity.
  double refused_share_ = 0;  // Share of the calls that ended as not run.
  double failed_share_ = 0;   // Share of the calls that ended unanswered in another way.
  double probes_per_target_per_s_ = 0;
  double cross_zone_share_ = 0;       // Share of the answered calls that ran in another zone.
  double p99_after_overload_ms_ = 0;  // Load 1.2 only: calls after the load fell to 0.7.
  double answered_share_after_overload_ = 0;  // Load 1.2 only: for the same calls.
  double max_probes_in_one_second_ = 0;       // Highest number of probes to one target within 1 s.
  // Calls above the cold limit, sent after a response had shown the cold start.
  double known_cold_overruns_ = 0;
  // Calls above the cold limit, sent before a response showed the cold start.
  double unknown_cold_overruns_ = 0;
  double retry_amplification_ = 0;  // Sends per reached level, over whole call trees.
};

// Retry budget and counters that all calls of one call tree share.
struct CallTree {
  int retry_budget_ = 1;
  int sends_ = 0;
  int deepest_level_ = 0;  // Highest level that was sent to a target.
};

struct BenchCall {
  int service_ = 0;
  int zone_ = 0;  // Zone of the entry host that received the call.
  int host_ = 0;  // Index of the entry host within its zone.
  Time deadline_{};
  Duration service_time_{};  // At a target that runs at normal speed.
  records::CallClass class_ = records::CallClass::kInteractive;
  bool idempotent_ = true;
  int level_ = 0;  // Level in the call tree, from 1; 0 outside call trees.
  std::shared_ptr<CallTree> tree_;
};

enum class CallResult { kAnswered, kFailed, kRefused };

// Called at the entry host when a call has ended. `target_zone` is the zone of the last target, or
// the zone of the entry host or dispatcher if the call was not sent to a target.
using CallCallback = std::function<void(CallResult result, int target_zone)>;

}  // namespace monsoonshelf::bench
