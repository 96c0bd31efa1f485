#include "gateway/admission.h"

#include <algorithm>

namespace monsoonshelf::gateway {

namespace {

// Requests that may wait at a target for each of its slots, whatever the objective. Targets queue
// a few and refuse more.
constexpr int kMaxWaitingPerSlot = 2;
constexpr Duration kShortestRetry = std::chrono::milliseconds(100);
constexpr Duration kNoTargetRetry = std::chrono::milliseconds(500);
// Share of the usual time after which a target without an answer is late.
constexpr double kEarliestHedge = 1.4;
constexpr double kLatestHedge = 3.0;
// Time that the second target needs, as a factor of the usual time.
constexpr double kHedgeReserve = 1.2;

Duration Scale(Duration duration, double factor) {
  return std::chrono::duration_cast<Duration>(duration * factor);
}

}  // namespace

Admission Admit(const Candidate& best, const PlacementInputs& inputs, Duration expected,
                Duration time_left, Duration objective_left) {
  const int slots = std::max(1, best.load_ ? best.load_->slots_ : best.slots_);
  const int waiting = best.load_ ? best.load_->waiting_ : 0;
  Admission admission;
  const bool in_time = !inputs.work_known_ || expected < time_left;
  const bool queues = best.load_ && best.load_->running_ + waiting >= slots;
  const bool too_late = inputs.work_known_ && queues && expected > objective_left;
  admission.admitted_ = in_time && !too_late && waiting < kMaxWaitingPerSlot * slots;
  if (!admission.admitted_) {
    // One slot gets free each work time divided by the slots; the queue drains at that rate.
    const Duration drain = Scale(inputs.work_, static_cast<double>(waiting + 1) / slots);
    admission.retry_after_ = std::max(drain, kShortestRetry);
  }
  return admission;
}

Duration HedgeDelay(Duration work, Duration expected, Duration objective_left) {
  const Duration latest = objective_left - Scale(work, kHedgeReserve);
  const Duration usual = std::max(work, expected);
  return std::clamp(latest, Scale(usual, kEarliestHedge), Scale(usual, kLatestHedge));
}

Duration SpreadRetry(Duration retry_after, Random& random) {
  const double factor = std::uniform_real_distribution<double>(1.0, 2.0)(random);
  return Scale(std::max(retry_after, kShortestRetry), factor);
}

Duration RetryAfterNoTarget(Random& random) { return SpreadRetry(kNoTargetRetry, random); }

}  // namespace monsoonshelf::gateway
