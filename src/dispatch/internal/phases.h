#pragma once

#include "dispatch/internal/dispatcher_state.h"

namespace monsoonshelf::dispatch::internal {

// Events of target.chart.toml.
enum class TargetEvent {
  kReportedReady,
  kReportedCold,
  kReportedDraining,
  kWarmedUp,
  kBecameSuspect,
  kKnownReady,
  kPauseEnded,
  kLeft,
  kReturned,
  kRemoved,
};

inline constexpr EnumNames<TargetEvent, 10> kTargetEventNames = {{
    {TargetEvent::kReportedReady, "reported_ready"},
    {TargetEvent::kReportedCold, "reported_cold"},
    {TargetEvent::kReportedDraining, "reported_draining"},
    {TargetEvent::kWarmedUp, "warmed_up"},
    {TargetEvent::kBecameSuspect, "doubted"},
    {TargetEvent::kKnownReady, "known_ready"},
    {TargetEvent::kPauseEnded, "pause_ended"},
    {TargetEvent::kLeft, "left"},
    {TargetEvent::kReturned, "returned"},
    {TargetEvent::kRemoved, "removed"},
}};

// Returns true for phases in which only the holder of the assignment may send calls, because the
// limit of the target applies to all entry hosts together.
inline bool RequiresAssignment(TargetPhase phase) {
  return phase == TargetPhase::kCold || phase == TargetPhase::kWarming;
}

// Returns the target, owned by the dispatcher, or nullptr if there is none with that name.
TargetState* FindTarget(Dispatcher& dispatcher, const std::string& name);

// Changes the phase of a target according to target.chart.toml.
void ApplyEvent(TargetState& target, TargetEvent event, Time now);

// Returns true if this host holds the assignment and the assignment of the previous holder has
// ended. The host may then send calls to cold and warming targets and send probes.
bool IsAssignmentInEffect(const Dispatcher& dispatcher, Time now);

// Returns the number of calls that this host may have in flight at the target now. It is 0 in
// phases that accept no calls.
int SlotLimit(const Dispatcher& dispatcher, const TargetState& target, Time now);

// Returns the number of calls that count towards SlotLimit. For a cold or warming target, these
// include abandoned calls that may still run.
int UsedSlots(const TargetState& target, Time now);

// Returns true if the target may accept calls now or later without a change of the configuration.
bool MayAcceptWork(const TargetState& target);

// Applies the load report in the answer to a call or probe that was sent at the time `sent`.
void ApplyReport(Dispatcher& dispatcher, TargetState& target, const LoadReport& report, Time sent,
                 Time now);

// Applies the result of a send. Call ApplyReport first if the answer had a report.
void ApplyResult(const Dispatcher& dispatcher, TargetState& target, const SentCall& call,
                 SendResult result, const std::optional<LoadReport>& report, Time now);

// Applies the snapshot of an earlier dispatcher, unless this dispatcher has received a report from
// the target or has calls in flight there.
void ApplySnapshot(TargetState& target, const TargetSnapshot& known, Time now);

// Changes suspected targets to cold at the end of their pause, so that they are tried again with a
// call. If the service uses probes, the pause is longer by kProbeGracePeriod, because a successful
// probe normally ends the suspicion earlier.
void EndSuspicionPauses(Dispatcher& dispatcher, Time now);

}  // namespace monsoonshelf::dispatch::internal
