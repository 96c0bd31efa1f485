#include "gateway/target_health.h"

#include <algorithm>

namespace monsoonshelf::gateway {

namespace {

// Duration of the first ejection; each further failure doubles it. A single error of a healthy
// target has little effect, while a target that fails half of its requests is ejected most of the
// time.
constexpr Duration kBaseEjectionTime = std::chrono::milliseconds(1500);
constexpr Duration kMaxEjectionTime = std::chrono::seconds(12);
constexpr int kMaxFailureLevel = 4;
// Failures within this time count once, because requests in flight fail together.
constexpr Duration kFailureMergeWindow = std::chrono::milliseconds(300);
// Failures older than this no longer extend an ejection.
constexpr Duration kFailureMemory = std::chrono::seconds(20);
// Weight of one request in the moving average of its route.
constexpr double kRouteSampleWeight = 0.1;
// If fewer requests than this share are answered in time, the timeout of the route is too short.
constexpr double kMinInTimeShare = 0.5;
constexpr Duration kUnresponsiveTime = std::chrono::milliseconds(1000);

}  // namespace

void RecordFailure(TargetHealth& health, Time now) {
  if (health.failure_level_ > 0 && now - health.last_failure_ < kFailureMergeWindow) return;
  if (now - health.last_failure_ > kFailureMemory) health.failure_level_ = 0;
  health.failure_level_ = std::min(health.failure_level_ + 1, kMaxFailureLevel);
  health.last_failure_ = now;
  const Duration ejection =
      std::min(kBaseEjectionTime * (1 << (health.failure_level_ - 1)), kMaxEjectionTime);
  health.ejected_until_ = now + ejection;
}

void RecordSuccess(TargetHealth& health, Time now) {
  // A response during an ejection may belong to a request that was sent before the failure.
  if (health.failure_level_ == 0 || now < health.ejected_until_) return;
  --health.failure_level_;
}

void RecordProbeFailure(TargetHealth& health, Time now) {
  health.unresponsive_until_ = now + kUnresponsiveTime;
}

void RecordInTime(RouteTimeoutStats& route) {
  route.in_time_share_ += (1 - route.in_time_share_) * kRouteSampleWeight;
}

bool RecordTimeoutAndCheckTargetFault(RouteTimeoutStats& route) {
  const bool route_too_short = route.in_time_share_ < kMinInTimeShare;
  route.in_time_share_ -= route.in_time_share_ * kRouteSampleWeight;
  return !route_too_short;
}

bool IsEjected(const TargetHealth& health, Time now) { return now < health.ejected_until_; }

bool IsUnresponsive(const TargetHealth& health, Time now) {
  return now < health.unresponsive_until_;
}

}  // namespace monsoonshelf::gateway
