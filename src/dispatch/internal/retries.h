#pragma once

#include "dispatch/internal/dispatcher_state.h"

namespace monsoonshelf::dispatch::internal {

// Credits one arrived call to the token bucket of the shard.
void EarnRetryTokens(Dispatcher& dispatcher);

// Decides whether a call whose send ended with `result` is sent again, and takes the token and the
// budget for it.
bool TakeRetry(Dispatcher& dispatcher, WaitingCall& waiting, SendResult result, Time now);

// True if the target surely did not run the call.
bool SurelyNotRun(SendResult result);

}  // namespace monsoonshelf::dispatch::internal
