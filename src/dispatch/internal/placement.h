#pragma once

#include "dispatch/internal/dispatcher_state.h"

namespace monsoonshelf::dispatch::internal {

// Places queued calls on free slots, forwards those that do better in another zone, and refuses
// those that cannot be answered in time.
void PlaceQueued(Dispatcher& dispatcher, Time now, Random& random, Actions& actions);

// Builds the refusal of a call; its outcome is "unknown" if an earlier attempt may have run.
Action Refusal(const WaitingCall& waiting, ResultCode code);

}  // namespace monsoonshelf::dispatch::internal
