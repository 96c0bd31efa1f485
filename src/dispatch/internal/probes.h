#pragma once

#include "dispatch/internal/dispatcher_state.h"

namespace monsoonshelf::dispatch::internal {

// Sends the probes that are due. Without the assignment only those that confirm a target.
void SendProbes(Dispatcher& dispatcher, Time now, Actions& actions);

// Notes that a probe ended, with or without a response.
void EndProbe(TargetState& target, Time now);

// Time at which the next probe of a target is due, if it is to be probed.
std::optional<Time> NextProbe(const Dispatcher& dispatcher, const TargetState& target, Time now);

// True if a target that only a peer has reported as ready must answer a probe before its first
// call: without the assignment, a call to a target that restarted unnoticed breaks its cold limit.
bool NeedsConfirmation(const Dispatcher& dispatcher, const TargetState& target, Time now);

}  // namespace monsoonshelf::dispatch::internal
