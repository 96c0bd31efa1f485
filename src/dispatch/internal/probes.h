#pragma once

#include "dispatch/internal/dispatcher_state.h"

namespace monsoonshelf::dispatch::internal {

// Adds an action for each due probe. Without the assignment, only confirmation probes are sent.
void SendDueProbes(Dispatcher& dispatcher, Time now, Actions& actions);

// Records the end of a probe, with or without a response.
void RecordProbeEnd(TargetState& target, Time now);

// Returns the time at which the next probe of a target is due, or std::nullopt if none is planned.
std::optional<Time> NextProbeTime(const Dispatcher& dispatcher, const TargetState& target,
                                  Time now);

// Returns true if the target must answer a probe before its first call, because this host does not
// hold the assignment and only a peer has reported the target as ready. If the target had restarted
// unnoticed, calls without a confirmation would exceed its cold limit.
bool NeedsConfirmation(const Dispatcher& dispatcher, const TargetState& target, Time now);

}  // namespace monsoonshelf::dispatch::internal
