#pragma once

#include "base/base_types.h"

namespace monsoonshelf::gateway {

// The number of concurrent requests at which a target answers most requests per second. Load
// pattern: a burst over the capacity of targets that slow down when nearly all of their slots are
// in use. If all slots are filled then, they answer fewer requests than at the concurrency below
// that point, and all of them later.

// Response times of a service on targets with free slots and on nearly full ones.
struct BusySlowdown {
  struct Mean {
    double milliseconds_ = 0;
    int samples_ = 0;
  };
  Mean calm_;
  Mean busy_;
};

// Returns whether `occupied` running and waiting requests slow down a target with `slots` slots.
bool IsNearlyFull(int occupied, int slots);

// Records the duration of a request, divided by the slowness of the target's machine.
void RecordResponseTime(BusySlowdown& slowdown, Duration duration, bool nearly_full);

// Returns how much longer a request takes on a nearly full target. Few samples count little against
// a default.
double BusyFactor(const BusySlowdown& slowdown);

// Returns the number of concurrent requests that a target with `slots` slots should have. It is
// `slots` unless fewer requests give clearly more responses per second.
int EfficientConcurrency(int slots, double busy_factor);

// Slowdown of nearly full targets that is assumed without samples.
inline constexpr double kDefaultBusyFactor = 1.7;

}  // namespace monsoonshelf::gateway
