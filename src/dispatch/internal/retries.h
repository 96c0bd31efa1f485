#pragma once

#include "dispatch/internal/dispatcher_state.h"

namespace monsoonshelf::dispatch::internal {

// Adds the share of a token that each arriving call earns to the retry token bucket of the shard.
void AddRetryTokens(Dispatcher& dispatcher);

// Returns true if a call whose send ended with `result` is retried, and consumes one retry token
// and one retry of the budget for it.
bool ConsumeRetry(Dispatcher& dispatcher, PendingCall& pending, SendResult result, Time now);

// Returns true if the result proves that the target did not run the call.
bool ProvesNotRun(SendResult result);

}  // namespace monsoonshelf::dispatch::internal
