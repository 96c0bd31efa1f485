#pragma once

#include "base/base_types.h"

namespace monsoonshelf::gateway {

// Passive health checks of one target, from the results of requests that this host or other entry
// hosts of the zone sent to it.
struct TargetHealth {
  int failure_level_ = 0;           // Raised by failures and lowered by successes.
  Time last_failure_{};             // When failure_level_ was last raised.
  Time ejected_until_{};            // Until then, it is used only if there is no other target.
  Time unresponsive_until_{};       // Set when a probe is not answered.
  bool reports_unhealthy_ = false;  // The last health check response was negative.
};

// Records a failed request: an error status, a lost connection or an invalid response.
void RecordFailure(TargetHealth& health, Time now);
// Records a request with a valid response.
void RecordSuccess(TargetHealth& health, Time now);
// Records a probe that was not answered in time or whose connection failed.
void RecordProbeFailure(TargetHealth& health, Time now);

// How often the requests of one route are answered before its timeout, over all targets.
struct RouteTimeoutStats {
  double in_time_share_ = 0.5;  // Moving average.
};
// Records a request of the route that was answered in time.
void RecordInTime(RouteTimeoutStats& route);
// Records a timeout of the route and returns whether it counts as a failure of the target. It does
// not if the requests of the route usually take longer than the timeout. Call it once per timeout.
bool RecordTimeoutAndCheckTargetFault(RouteTimeoutStats& route);

bool IsEjected(const TargetHealth& health, Time now);
bool IsUnresponsive(const TargetHealth& health, Time now);

}  // namespace monsoonshelf::gateway
