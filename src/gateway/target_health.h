#pragma once

#include "base/base_types.h"

namespace monsoonshelf::gateway {

// What the results of requests say about one target, here or at other entry hosts of the zone.
struct TargetHealth {
  int level_ = 0;              // Failures that weren't made up for by successes.
  Time counted_{};             // When the level was last raised.
  Time ejected_until_{};       // Until then the target is used only if nothing else is left.
  Time unresponsive_until_{};  // A probe went unanswered.
  bool reports_ill_ = false;   // Its last health answer was negative.
};

// A request failed at the target: an error, a lost connection or an invalid answer.
void CountFailure(TargetHealth& health, Time now);
// A request was answered in order.
void CountSuccess(TargetHealth& health, Time now);
// A probe got no answer in time.
void CountProbeLoss(TargetHealth& health, Time now);

// How often requests of one route are answered in time, at all targets.
struct RouteRecord {
  double in_time_ = 0.5;  // Moving average share.
};
void CountInTime(RouteRecord& route);
// Whether a timeout of the route says something about the target: not if the route's requests
// usually take longer than it allows. Call it once for each timeout.
bool IsTimeoutOfTarget(RouteRecord& route);

bool IsEjected(const TargetHealth& health, Time now);
bool IsUnresponsive(const TargetHealth& health, Time now);

}  // namespace monsoonshelf::gateway
