#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/base_types.h"
#include "base/enum_names.h"
#include "dispatch/dispatch_types.h"

namespace monsoonshelf::bench {

enum class Fault { kNone, kNoisy, kSlow, kCold, kZoneOutBack, kFailing30 };

inline constexpr EnumNames<Fault, 6> kFaultNames = {{
    {Fault::kNone, "none"},
    {Fault::kNoisy, "noisy"},
    {Fault::kSlow, "slow"},
    {Fault::kCold, "cold"},
    {Fault::kZoneOutBack, "zone_out_back"},
    {Fault::kFailing30, "failing30"},
}};

enum class Policy {
  kRandom,
  kRoundRobin,
  kTwoChoices,
  kLeastStale,
  kIdeal,
  kIndependent,
  kDispatcher,
  kForward
};

inline constexpr EnumNames<Policy, 8> kPolicyNames = {{
    {Policy::kRandom, "random"},
    {Policy::kRoundRobin, "round_robin"},
    {Policy::kTwoChoices, "two_choices"},
    {Policy::kLeastStale, "least_stale"},
    {Policy::kIdeal, "ideal"},
    {Policy::kIndependent, "independent"},
    {Policy::kDispatcher, "dispatcher"},
    {Policy::kForward, "forward"},
}};

inline constexpr int kZones = 3;
inline constexpr int kSlots = 2;
inline constexpr int kColdLimit = 1;

// One-way delays. A hop inside a zone takes 0.2 ms here; the zones are 4 ms apart.
inline constexpr Duration kLocalDelay{200};
inline constexpr Duration kZoneDelay{4000};

struct Shape {
  std::string name_;
  std::vector<int> workers_;  // Per service, spread over the zones.
  Duration caller_delay_{};   // One way between caller and entry host.
  Duration probe_time_{};     // Time a target takes to answer a probe.
  int hosts_ = 15;
};

struct RunSettings {
  Shape shape_;
  Fault fault_ = Fault::kNone;
  double load_ = 0.85;  // Part of the capacity of all slots without faults.
  Policy policy_ = Policy::kDispatcher;
  std::uint64_t seed_ = 1;
};

struct RunResult {
  double p50_ms_ = 0;  // Interactive calls, from caller to caller.
  double p99_ms_ = 0;
  double p999_ms_ = 0;
  double p99_transactional_ms_ = 0;
  double goodput_ = 0;        // Calls answered before their deadline, as a part of the capacity.
  double refused_ = 0;        // Part of the calls that ended as not run.
  double failed_ = 0;         // Part of the calls that ended in any other way without an answer.
  double measure_per_s_ = 0;  // Load requests per target and second.
  double crosszone_ = 0;      // Part of the answered calls that another zone ran.
  double after_p99_ms_ = 0;   // Load 1.2: after the load has fallen to 0.7.
  double after_goodput_ = 0;  // Load 1.2: answered part of the calls after the load has fallen.
  double probe_max_ = 0;      // Most probes that a target got in a window of one second.
  double cold_over_ = 0;      // Calls above a cold limit that their sender could know of.
  double cold_blind_ = 0;     // Calls above a cold limit before any sign of the cold start.
  double amplification_ = 0;  // Sends per call that was reached, over whole call trees.
};

// Retries left and sends made, shared by the calls of one call tree.
struct CallTree {
  int retry_budget_ = 1;
  int sends_ = 0;
  int deepest_ = 0;
};

struct BenchCall {
  int service_ = 0;
  int zone_ = 0;  // Zone of the entry host that got the call.
  int host_ = 0;  // Number of the entry host within its zone.
  Time deadline_{};
  Duration demand_{};  // Service time at a target that runs at normal speed.
  records::CallClass class_ = records::CallClass::kInteractive;
  bool idempotent_ = true;
  int level_ = 0;
  std::shared_ptr<CallTree> tree_;
};

enum class CallEnd { kAnswered, kFailed, kRefused };

// Called at the entry host when a call ended. `ran_in` is the zone of the target.
using Done = std::function<void(CallEnd end, int ran_in)>;

}  // namespace monsoonshelf::bench
