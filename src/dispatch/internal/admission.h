#pragma once

#include "dispatch/internal/dispatcher_state.h"

namespace monsoonshelf::dispatch::internal {

// Slots of the targets that accept calls and are not ejected, and the rate at which they complete
// calls.
struct Capacity {
  int slot_limit_ = 0;
  int free_slots_ = 0;
  double calls_per_us_ = 0;        // 0 if unknown.
  double fast_calls_per_us_ = 0;   // Without slow targets.
  double typical_service_us_ = 0;  // 0 if unknown.
};

Capacity CurrentCapacity(const Dispatcher& dispatcher, Time now);

// Returns the expected queueing time of a call behind `ahead` queued calls in microseconds, or 0 if
// it is unknown.
double ExpectedWaitUs(const Capacity& capacity, int ahead);

// Returns kOk if the queued call may stay queued, otherwise the reason for refusing it.
ResultCode CheckAdmission(const Dispatcher& dispatcher, const Capacity& capacity, const Call& call,
                          Time now);

// Returns true if the remaining time of the call is shorter than the 10th percentile of the service
// time of its class, so that the call would probably miss its deadline even if it were sent now.
bool WouldMissDeadline(const Dispatcher& dispatcher, const Call& call, Time now);

// Returns true if some target may accept calls without a change of the configuration.
bool AnyTargetMayAcceptWork(const Dispatcher& dispatcher);

}  // namespace monsoonshelf::dispatch::internal
