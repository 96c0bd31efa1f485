#pragma once

#include "base/enum_names.h"
#include "base/result.h"
#include "statechart/machine.h"

namespace monsoonshelf::lifecycle {

// States and events of an entry host. src/lifecycle/lifecycle.chart.toml has the transitions.
enum class LifecycleState { kStarting, kServing, kLeaving, kDraining, kClosing, kStopped };

inline constexpr EnumNames<LifecycleState, 6> kLifecycleStateNames = {{
    {LifecycleState::kStarting, "starting"},
    {LifecycleState::kServing, "serving"},
    {LifecycleState::kLeaving, "leaving"},
    {LifecycleState::kDraining, "draining"},
    {LifecycleState::kClosing, "closing"},
    {LifecycleState::kStopped, "stopped"},
}};

enum class LifecycleEvent { kConfigured, kStop, kKeepTimeEnded, kDrained, kForced, kClosed };

inline constexpr EnumNames<LifecycleEvent, 6> kLifecycleEventNames = {{
    {LifecycleEvent::kConfigured, "configured"},
    {LifecycleEvent::kStop, "stop"},
    {LifecycleEvent::kKeepTimeEnded, "keep_time_ended"},
    {LifecycleEvent::kDrained, "drained"},
    {LifecycleEvent::kForced, "forced"},
    {LifecycleEvent::kClosed, "closed"},
}};

using LifecycleMachine = statechart::Machine<LifecycleState, 6, LifecycleEvent, 6>;

// Loads the embedded chart src/lifecycle/lifecycle.chart.toml. Errors: kChartSyntax, kChartInvalid.
Result<LifecycleMachine> LoadLifecycle();

}  // namespace monsoonshelf::lifecycle
