#include "gateway/target_health.h"

#include <algorithm>

namespace monsoonshelf::gateway {

namespace {

// First ejection; each further failure doubles it. One stray error of a sound target costs it
// little, one that fails half of its requests is out most of the time.
constexpr Duration kFirstEjection = std::chrono::milliseconds(1500);
constexpr Duration kLongestEjection = std::chrono::seconds(12);
constexpr int kMaxLevel = 4;
// Requests in flight at the same time fail together and count once.
constexpr Duration kSameFailure = std::chrono::milliseconds(300);
// Failures this far in the past no longer lengthen an ejection.
constexpr Duration kMemory = std::chrono::seconds(20);
// Weight of one request in the average of its route.
constexpr double kRouteWeight = 0.1;
// Below this share of answers in time, the timeout of the route is too short for its work.
constexpr double kUsuallyInTime = 0.5;
constexpr Duration kUnresponsive = std::chrono::milliseconds(1000);

}  // namespace

void CountFailure(TargetHealth& health, Time now) {
  if (health.level_ > 0 && now - health.counted_ < kSameFailure) return;
  if (now - health.counted_ > kMemory) health.level_ = 0;
  health.level_ = std::min(health.level_ + 1, kMaxLevel);
  health.counted_ = now;
  const Duration ejection = std::min(kFirstEjection * (1 << (health.level_ - 1)), kLongestEjection);
  health.ejected_until_ = now + ejection;
}

void CountSuccess(TargetHealth& health, Time now) {
  // An answer to a request sent before the failure says nothing about the time after it.
  if (health.level_ == 0 || now < health.ejected_until_) return;
  --health.level_;
}

void CountProbeLoss(TargetHealth& health, Time now) {
  health.unresponsive_until_ = now + kUnresponsive;
}

void CountInTime(RouteRecord& route) { route.in_time_ += (1 - route.in_time_) * kRouteWeight; }

bool IsTimeoutOfTarget(RouteRecord& route) {
  const bool usual = route.in_time_ < kUsuallyInTime;
  route.in_time_ -= route.in_time_ * kRouteWeight;
  return !usual;
}

bool IsEjected(const TargetHealth& health, Time now) { return now < health.ejected_until_; }

bool IsUnresponsive(const TargetHealth& health, Time now) {
  return now < health.unresponsive_until_;
}

}  // namespace monsoonshelf::gateway
