#pragma once

#include "dispatch/internal/dispatcher_state.h"

namespace monsoonshelf::dispatch::internal {

// Updates the service times and the failure rate with the result of a call, and ejects the target
// or ends its ejection accordingly.
void RecordResult(Dispatcher& dispatcher, TargetState& target, const SentCall& call,
                  SendResult result, Time now, Random& random);

// Returns the median of the mean service times of the shard's targets in microseconds, or 0 if it
// is unknown. The median is not affected by a minority of slow targets.
double TypicalServiceTimeUs(const Dispatcher& dispatcher);

// Returns the expected service time of a target in microseconds, or 0 if it is unknown.
// `typical_us` is the result of TypicalServiceTimeUs.
double ExpectedServiceTimeUs(const Dispatcher& dispatcher, const TargetState& target,
                             double typical_us, Time now);

// Returns true if the expected service time exceeds kSlowTargetRatio times the typical one.
bool IsSlow(double expected_us, double typical_us);

// Returns true if all ready targets are ejected and no other zone has ready targets. Ejection is
// then ignored.
bool AllEjected(const Dispatcher& dispatcher);

// Returns true if the target is not ejected or its next trial call is due.
bool MaySendTrial(const TargetState& target, Time now);

}  // namespace monsoonshelf::dispatch::internal
