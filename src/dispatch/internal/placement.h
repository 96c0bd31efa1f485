#pragma once

#include "dispatch/internal/dispatcher_state.h"

namespace monsoonshelf::dispatch::internal {

// Sends queued calls to targets with free slots, forwards calls to other zones where they are
// expected to complete earlier, and refuses calls that would miss their deadline.
void PlaceQueued(Dispatcher& dispatcher, Time now, Random& random, Actions& actions);

// Returns the kRefuse action for a call. The outcome is kUnknown if an earlier attempt may have
// run, otherwise kNotRun.
Action MakeRefusal(const PendingCall& pending, ResultCode code);

}  // namespace monsoonshelf::dispatch::internal
