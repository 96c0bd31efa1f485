#include "gateway/admission.h"

#include <algorithm>
#include <cmath>

namespace monsoonshelf::gateway {

namespace {

// Requests that may wait at a target for each of its slots, whatever the objective. Targets queue
// a few and refuse more.
constexpr int kMaxWaitingPerSlot = 2;
constexpr Duration kShortestRetry = std::chrono::milliseconds(100);
// Long enough to count some requests of each service of an entry host, short enough for a burst.
constexpr std::chrono::duration<double> kTurnoverSpan(1.0);
// Most users wait a few seconds in all.
constexpr Duration kLongestSpread = std::chrono::seconds(2);
constexpr Duration kNoTargetRetry = std::chrono::milliseconds(500);
// Share of the usual time after which a target without an answer is late.
constexpr double kEarliestHedge = 1.4;
constexpr double kLatestHedge = 3.0;
// Time that the second target needs, as a factor of the usual time.
constexpr double kHedgeReserve = 1.2;

Duration Scale(Duration duration, double factor) {
  return std::chrono::duration_cast<Duration>(duration * factor);
}

void Fade(Turnover& turnover, Time now) {
  const std::chrono::duration<double> elapsed = now - turnover.updated_;
  const double factor = std::exp(-std::max(0.0, elapsed / kTurnoverSpan));
  turnover.answered_ *= factor;
  turnover.refused_ *= factor;
  turnover.updated_ = now;
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

void CountAnswered(Turnover& turnover, Time now) {
  Fade(turnover, now);
  turnover.answered_ += 1;
}

void CountRefused(Turnover& turnover, Time now) {
  Fade(turnover, now);
  turnover.refused_ += 1;
}

Duration SpreadRetry(Duration earliest, const Turnover& turnover, Random& random) {
  earliest = std::max(earliest, kShortestRetry);
  const double answered_per_s = std::max(1.0, turnover.answered_) / kTurnoverSpan.count();
  const std::chrono::duration<double> backlog(turnover.refused_ / answered_per_s);
  const auto spread =
      earliest + std::min(std::chrono::duration_cast<Duration>(backlog), kLongestSpread);
  return earliest + Scale(spread, std::uniform_real_distribution<double>(0, 1)(random));
}

Duration RetryAfterNoTarget(Random& random) { return SpreadRetry(kNoTargetRetry, {}, random); }

}  // namespace monsoonshelf::gateway
