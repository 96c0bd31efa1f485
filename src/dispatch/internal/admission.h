#pragma once

#include "dispatch/internal/dispatcher_state.h"

namespace monsoonshelf::dispatch::internal {

// Slots that respond, and the rate at which they finish calls.
struct Capacity {
  int limit_ = 0;
  int free_ = 0;
  double calls_per_us_ = 0;  // 0 without evidence.
  double fast_per_us_ = 0;   // Of the targets that are not slow.
  double typical_us_ = 0;    // 0 without evidence.
};

Capacity CurrentCapacity(const Dispatcher& dispatcher, Time now);

// Expected wait in microseconds of a call behind `ahead` others that also wait; 0 without evidence.
double ExpectedWait(const Capacity& capacity, int ahead);

// Returns why a call that is queued must be refused at once, or kOk.
ResultCode Admit(const Dispatcher& dispatcher, const Capacity& capacity, const Call& call,
                 Time now);

// True if the call would almost surely miss its deadline even if it were sent now.
bool TooLateToSend(const Dispatcher& dispatcher, const Call& call, Time now);

// True if some target may take work before the configuration changes.
bool AnyTargetMayRecover(const Dispatcher& dispatcher);

}  // namespace monsoonshelf::dispatch::internal
