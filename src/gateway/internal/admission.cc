#include "gateway/admission.h"

#include <algorithm>
#include <cmath>

namespace monsoonshelf::gateway {

namespace {

// Maximum queue length per slot of a target, independent of the latency objective. Targets queue a
// few requests and reject more.
constexpr int kMaxWaitingPerSlot = 2;
// Time reserved for the target of a request that waits, as a factor of the service time.
constexpr double kServiceTimeReserve = 1.5;
// Share of its time that a request may spend waiting, by the rate of the host. The rest is for the
// requests whose turn comes later than expected.
constexpr double kQueueShare = 0.5;
// Requests of a service that may wait at one host, whatever its rate.
constexpr double kMaxQueued = 64;
constexpr Duration kMinRetryDelay = std::chrono::milliseconds(100);
// Time constant of the decay. Long enough to cover some requests of each service on an entry host,
// and short enough to follow a burst.
constexpr std::chrono::duration<double> kDecayTime(1.0);
// Most callers give up after a few seconds in total.
constexpr Duration kMaxBacklogDelay = std::chrono::seconds(2);
constexpr Duration kMinNoTargetRetryDelay = std::chrono::milliseconds(500);
// Bounds of the hedge delay, as factors of the typical response time.
constexpr double kMinHedgeFactor = 1.4;
constexpr double kMaxHedgeFactor = 3.0;
// Time reserved for the second target, as a factor of the service time.
constexpr double kHedgeReserveFactor = 1.2;

Duration Scale(Duration duration, double factor) {
  return std::chrono::duration_cast<Duration>(duration * factor);
}

void Decay(RecentRequests& recent, Time now) {
  const std::chrono::duration<double> elapsed = now - recent.updated_;
  const double factor = std::exp(-std::max(0.0, elapsed / kDecayTime));
  recent.answered_ *= factor;
  recent.refused_ *= factor;
  recent.updated_ = now;
}

}  // namespace

AdmissionDecision DecideAdmission(const Candidate& best, const PlacementInputs& inputs,
                                  Duration expected, Duration time_left, Duration objective_left,
                                  const ServiceLoad& service) {
  const int slots = std::max(1, best.load_ ? best.load_->slots_ : best.slots_);
  const int waiting = best.load_ ? best.load_->waiting_ : 0;
  const bool in_time = !inputs.service_time_known_ || expected < time_left;
  const bool must_queue = best.load_ && best.load_->running_ + waiting >= slots;
  const bool too_late = inputs.service_time_known_ && must_queue && expected > objective_left;
  const bool is_full =
      inputs.service_time_known_ && best.load_ && IsAboveEfficientLoad(best, inputs);
  const bool yields = must_queue && service.yields_;
  AdmissionDecision decision;
  if (in_time && !yields && !too_late && !is_full && waiting < kMaxWaitingPerSlot * slots)
    return decision;
  if (is_full &&
      service.queued_ < MaxQueuedRequests(service, inputs.service_time_, objective_left)) {
    decision.action_ = AdmissionAction::kQueue;
    return decision;
  }
  decision.action_ = AdmissionAction::kReject;
  // The queue drains at one request per service_time / slots.
  const Duration drain_time = Scale(inputs.service_time_, static_cast<double>(waiting + 1) / slots);
  decision.retry_after_ = std::max(drain_time, kMinRetryDelay);
  return decision;
}

int MaxQueuedRequests(const ServiceLoad& service, Duration service_time, Duration objective_left) {
  const Duration slack = objective_left - Scale(service_time, kServiceTimeReserve);
  if (slack <= kQueuePollInterval) return 0;
  const double queued =
      kQueueShare * service.answered_per_second_ * std::chrono::duration<double>(slack).count();
  return std::max(1, static_cast<int>(std::min(queued, kMaxQueued)));
}

Duration HedgeDelay(Duration service_time, Duration expected, Duration objective_left) {
  const Duration latest = objective_left - Scale(service_time, kHedgeReserveFactor);
  const Duration typical = std::max(service_time, expected);
  return std::clamp(latest, Scale(typical, kMinHedgeFactor), Scale(typical, kMaxHedgeFactor));
}

void RecordAnswered(RecentRequests& recent, Time now) {
  Decay(recent, now);
  recent.answered_ += 1;
}

void RecordRefused(RecentRequests& recent, Time now) {
  Decay(recent, now);
  recent.refused_ += 1;
}

bool TakesLastSlot(const RecentRequests& recent, bool waits, Time now, Random& random) {
  if (waits) return false;
  RecentRequests decayed = recent;
  Decay(decayed, now);
  const double answered_share =
      (decayed.answered_ + 1) / (decayed.answered_ + decayed.refused_ + 1);
  return std::bernoulli_distribution(answered_share)(random);
}

double AnsweredPerSecond(const RecentRequests& recent, Time now) {
  RecentRequests decayed = recent;
  Decay(decayed, now);
  return decayed.answered_ / kDecayTime.count();
}

double RefusedPerSecond(const RecentRequests& recent, Time now) {
  RecentRequests decayed = recent;
  Decay(decayed, now);
  return decayed.refused_ / kDecayTime.count();
}

Duration JitterRetryDelay(Duration min_delay, const RecentRequests& recent, Random& random) {
  min_delay = std::max(min_delay, kMinRetryDelay);
  const double answered_per_second = std::max(1.0, recent.answered_) / kDecayTime.count();
  const std::chrono::duration<double> backlog_time(recent.refused_ / answered_per_second);
  const auto window =
      min_delay + std::min(std::chrono::duration_cast<Duration>(backlog_time), kMaxBacklogDelay);
  return min_delay + Scale(window, std::uniform_real_distribution<double>(0, 1)(random));
}

Duration NoTargetRetryDelay(Random& random) {
  return JitterRetryDelay(kMinNoTargetRetryDelay, {}, random);
}

}  // namespace monsoonshelf::gateway
