#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "base/base_types.h"
#include "base/enum_names.h"
#include "gateway/gateway_types.h"

namespace monsoonshelf::gateway {

// Roll-out of a new version of a service beside the old one. Each host limits by itself what it
// sends to the new version; one host compares the versions over all hosts and decides. Pure logic:
// the time and the random numbers are passed in, and the caller exchanges the messages.

// Versions that a request may be sent to while both are in use.
enum class RolloutSide { kOld, kNew };

// What the deciding host has found out. Later ones supersede earlier ones.
enum class RolloutNotice { kGoOn, kFinish, kCondemned };

inline constexpr EnumNames<RolloutNotice, 3> kRolloutNoticeNames = {{
    {RolloutNotice::kGoOn, "go_on"},
    {RolloutNotice::kFinish, "finish"},
    {RolloutNotice::kCondemned, "condemned"},
}};

enum class RolloutPhase { kExposing, kNewOnly, kOldOnly };

// --- Exposure, decided by each host for its own requests.

// A final state in the store precedes any notice.
RolloutPhase PhaseOf(RolloutState state, RolloutNotice notice);
// Returns whether a request may be sent to a target. While versions are compared, a request that is
// exposed reaches only a few targets of the new version, and any other one only the old version.
bool MayReceive(RolloutPhase phase, RolloutSide side, bool is_new, bool is_exposed_target);
// Returns the share of its own requests that a host sends to the new version.
double ExposedShare(const FleetBounds& bounds);
// Returns whether the next request is sent to the new version. `credit` begins with a random number
// from 0 to 1, so that the sum over hosts of few requests has the share too.
bool TakeExposure(double& credit, double share);
// Returns whether a deciding host has confirmed lately that the version is not condemned.
bool MayExpose(Time confirmed_at, Time now);

struct ExposureCandidate {
  TargetId id_;
  std::string zone_;
};
// Returns the targets of the new version that get the exposed requests: the same ones on all hosts,
// and so few that they are busy.
std::vector<TargetId> SelectExposedTargets(const std::string& service,
                                           const std::vector<ExposureCandidate>& candidates);

// --- Comparison of the versions.

// Durations are counted in buckets that grow by a quarter, from 1 ms to about 45 s.
inline constexpr std::size_t kDurationBuckets = 48;

struct ResponseCounts {
  std::uint32_t requests_ = 0;
  std::uint32_t failures_ = 0;
  std::array<std::uint32_t, kDurationBuckets> durations_{};  // Without failures.
};
struct RouteCounts {
  ResponseCounts old_;
  std::map<TargetId, ResponseCounts> new_;  // By target, since a machine may be at fault.
};
using RolloutCounts = std::map<std::string, RouteCounts>;  // By route name.

void AddResponse(ResponseCounts& counts, bool is_failure, Duration duration);

// Counts of all hosts at a deciding host.
struct RolloutTally {
  struct Host {
    std::uint64_t epoch_ = 0;  // Increases when the host resets its counters.
    RolloutCounts counts_;
    RolloutNotice notice_ = RolloutNotice::kGoOn;
    Time heard_at_{};
  };
  std::map<HostName, Host> hosts_;
  std::deque<std::pair<Time, RolloutCounts>> snapshots_;
};

// What a host has counted since it knows the order.
struct RolloutReport {
  std::uint64_t epoch_ = 0;
  RolloutCounts counts_;
  RolloutNotice notice_ = RolloutNotice::kGoOn;
};
// A report may have a part of the counts. Ignores those that are older than the ones known.
void ApplyReport(RolloutTally& tally, const HostName& host, const RolloutReport& report, Time now);
// Returns why the new version is bad, or an empty string. Called at short intervals. Compares the
// versions since the order and in the last seconds, as a version may become bad later.
std::string FindFault(RolloutTally& tally, Time now);
// Returns the requests to the old and to the new version.
std::pair<std::uint64_t, std::uint64_t> CountRequests(const RolloutTally& tally);
// Returns whether all hosts that were heard lately have stopped to use the old version.
bool HaveAllFinished(const RolloutTally& tally, Time now);

// --- Steps of the deciding host.

enum class RolloutStep { kNone, kRun, kFinish, kSucceed, kRollBack };

inline constexpr EnumNames<RolloutStep, 5> kRolloutStepNames = {{
    {RolloutStep::kNone, "none"},
    {RolloutStep::kRun, "run"},
    {RolloutStep::kFinish, "finish"},
    {RolloutStep::kSucceed, "succeed"},
    {RolloutStep::kRollBack, "roll_back"},
}};

struct RolloutView {
  RolloutState state_ = RolloutState::kOrdered;
  RolloutNotice notice_ = RolloutNotice::kGoOn;
  Duration elapsed_{};  // Since the order.
  Duration duration_{};
  Duration finishing_for_{};  // Since the notice kFinish.
  bool have_all_finished_ = false;
  std::uint64_t old_requests_ = 0;
  std::uint64_t new_requests_ = 0;
};

RolloutStep NextStep(const RolloutView& view);
// Time that a deciding host of this rank leaves to the ones before it.
Duration StepDelay(std::size_t rank);

// Deciding hosts that each host reports to, so that the next one knows the counts already.
inline constexpr std::size_t kDecidingHosts = 2;
// A deciding host that did not answer for this time is replaced by the next one.
inline constexpr Duration kDeciderSilence = std::chrono::milliseconds(1600);
inline constexpr Duration kRolloutReportInterval = std::chrono::milliseconds(500);

}  // namespace monsoonshelf::gateway
