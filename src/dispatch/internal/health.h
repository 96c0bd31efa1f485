#pragma once

#include "dispatch/internal/dispatcher_state.h"

namespace monsoonshelf::dispatch::internal {

// Takes in the result and duration of a call: service times, failures, ejection.
void ObserveResult(Dispatcher& dispatcher, TargetState& target, const SentCall& call,
                   SendResult result, Time now, Random& random);

// Typical mean time from send to answer of the shard's targets in microseconds, or 0 without
// evidence. A minority of slow targets does not move it.
double TypicalService(const Dispatcher& dispatcher);

// Expected time from send to answer at a target in microseconds, or 0 without evidence.
double ExpectedService(const Dispatcher& dispatcher, const TargetState& target, double typical,
                       Time now);

// True if the target is at least kSlowRatio times slower than is typical.
bool IsSlow(double expected, double typical);

// True if ejection leaves no target in any zone: then ejected targets serve as others do.
bool AllEjected(const Dispatcher& dispatcher);

// True when an ejected target may get its next trial call.
bool MayTry(const TargetState& target, Time now);

}  // namespace monsoonshelf::dispatch::internal
