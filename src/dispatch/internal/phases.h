#pragma once

#include "dispatch/internal/dispatcher_state.h"

namespace monsoonshelf::dispatch::internal {

enum class TargetEvent {
  kReportedReady,
  kReportedCold,
  kReportedDraining,
  kWarmedUp,
  kDoubted,
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
    {TargetEvent::kDoubted, "doubted"},
    {TargetEvent::kKnownReady, "known_ready"},
    {TargetEvent::kPauseEnded, "pause_ended"},
    {TargetEvent::kLeft, "left"},
    {TargetEvent::kReturned, "returned"},
    {TargetEvent::kRemoved, "removed"},
}};

// Phases whose work is limited over all entry hosts and needs the assignment.
inline bool IsStrict(TargetPhase phase) {
  return phase == TargetPhase::kCold || phase == TargetPhase::kWarming;
}

TargetState* FindTarget(Dispatcher& dispatcher, const std::string& name);

// Applies an event of target.chart.toml.
void Apply(TargetState& target, TargetEvent event, Time now);

// True while this host may send work to cold and warming targets and probe.
bool MayUseStrictLimits(const Dispatcher& dispatcher, Time now);

// Calls that the target may hold now, 0 in phases that take no work.
int SlotLimit(const Dispatcher& dispatcher, const TargetState& target, Time now);

// Calls that count against the limit.
int UsedSlots(const TargetState& target, Time now);

// True if the target can take work now or soon without a change of the configuration.
bool MayRecover(const TargetState& target);

// Takes in a report that came with the answer to a call or probe sent at `sent`.
void ApplyReport(Dispatcher& dispatcher, TargetState& target, const LoadReport& report, Time sent,
                 Time now);

// Takes in how a send ended, after its report was applied.
void ApplyResult(const Dispatcher& dispatcher, TargetState& target, const SentCall& call,
                 SendResult result, const std::optional<LoadReport>& report, Time now);

// Takes in what an earlier dispatcher knew, unless this one has seen the target itself.
void ApplyKnowledge(TargetState& target, const TargetSnapshot& known, Time now);

// Ends the pauses of suspected targets that are not probed or do not answer probes.
void EndPauses(Dispatcher& dispatcher, Time now);

}  // namespace monsoonshelf::dispatch::internal
