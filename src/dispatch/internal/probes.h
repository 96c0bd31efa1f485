#pragma once

#include "dispatch/internal/dispatcher_state.h"

namespace monsoonshelf::dispatch::internal {

// Sends the probes that are due. None without the assignment.
void SendProbes(Dispatcher& dispatcher, Time now, Actions& actions);

// Notes that a probe ended, with or without a response.
void EndProbe(TargetState& target, Time now);

// Time at which the next probe of a target is due, if it is to be probed.
std::optional<Time> NextProbe(const Dispatcher& dispatcher, const TargetState& target);

}  // namespace monsoonshelf::dispatch::internal
