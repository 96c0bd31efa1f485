#include "dispatch/internal/health.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <vector>

#include "dispatch/internal/phases.h"

namespace monsoonshelf::dispatch::internal {

namespace {

using std::chrono::milliseconds;

// Weights of a new sample in the moving averages of service time and failures.
constexpr double kSampleWeight = 0.15;
constexpr int kMinSamples = 8;
constexpr double kFailureWeight = 0.2;

// Ratio of the service time to the typical one above which a target is slow. With exponential
// service times and kSampleWeight, the moving average exceeds 1.7 times the mean in about one of a
// thousand samples.
constexpr double kSlowTargetRatio = 1.7;

// Ratio above which a slow target is ejected. It is higher than kSlowTargetRatio, because an
// ejection makes slots unavailable at least until the first trial. With a ratio of 4, random
// variation ejected targets often enough to raise the p99 latency with noisy neighbours by 10%.
constexpr double kEjectSlowRatio = 6;

// A target is ejected if its failure rate exceeds kEjectFailureRate and its last calls failed.
// Three consecutive failures after only successes raise the rate to 0.49.
constexpr double kEjectFailureRate = 0.45;
constexpr double kMaxHealthyFailureRate = 0.25;
constexpr int kEjectConsecutiveFailures = 3;

// A trial call is successful if it is answered within this ratio of the typical service time.
constexpr double kMaxTrialSlowRatio = 3;
constexpr int kTrialsToEndEjection = 3;
constexpr Duration kInitialTrialDelay = milliseconds(200);
constexpr int kMaxTrialDelayDoublings = 5;

// Without new samples, the expected service time approaches the typical one with this time
// constant, so that a target that was slow is tried again.
constexpr double kServiceTimeDecayUs = 500'000;

double Microseconds(Duration duration) { return static_cast<double>(duration.count()); }

void AddSample(TargetHealth& health, double elapsed_us, Time now) {
  // The first samples are averaged with equal weights.
  const double weight = std::max(kSampleWeight, 1.0 / (health.samples_ + 1));
  health.mean_us_ += weight * (elapsed_us - health.mean_us_);
  ++health.samples_;
  health.last_sample_time_ = now;
}

void AddServiceTime(ServiceTime& times, double elapsed_us) {
  const double weight = std::max(0.02, 1.0 / (times.samples_ + 1));
  times.mean_us_ += weight * (elapsed_us - times.mean_us_);
  if (times.samples_ == 0) times.p10_us_ = elapsed_us;
  // Tracks the 10th percentile: in equilibrium, one step of 9% down offsets nine steps of 1% up.
  times.p10_us_ += times.p10_us_ * 0.01 * (elapsed_us < times.p10_us_ ? -9 : 1);
  ++times.samples_;
}

// Scales a service time to the mean of the first class that has enough samples, so that a target
// does not appear slow because it serves a bulk call.
double NormalizeServiceTime(const Dispatcher& dispatcher, records::CallClass call_class,
                            double elapsed_us) {
  const auto known = [](const ServiceTime& times) {
    return times.samples_ >= kMinSamples && times.mean_us_ > 0;
  };
  const auto& all = dispatcher.service_times_;
  const ServiceTime& own = all[static_cast<std::size_t>(call_class)];
  const auto first = std::find_if(all.begin(), all.end(), known);
  if (!known(own) || first == all.end()) return elapsed_us;
  return elapsed_us * first->mean_us_ / own.mean_us_;
}

bool IsHealthy(const TargetState& target) {
  return target.accepts_work_ && !target.health_.ejected_ &&
         target.health_.failure_rate_ < kMaxHealthyFailureRate &&
         (target.phase_ == TargetPhase::kReady || RequiresAssignment(target.phase_));
}

bool OtherTargetIsHealthy(const Dispatcher& dispatcher, const TargetState& target) {
  return std::any_of(
      dispatcher.targets_.begin(), dispatcher.targets_.end(),
      [&target](const TargetState& other) { return &other != &target && IsHealthy(other); });
}

// The ready targets that a remote shard reports do not include ejected ones.
bool OtherZoneIsHealthy(const Dispatcher& dispatcher) {
  return std::any_of(dispatcher.remotes_.begin(), dispatcher.remotes_.end(),
                     [](const auto& remote) { return remote.second.load_.ready_targets_ > 0; });
}

// Returns false for a failure that a nested call caused, which does not indicate a fault of the
// target.
bool IsTargetFailure(const SentCall& call, SendResult result) {
  return result != SendResult::kFailed || !call.retry_budget_exhausted_;
}

void ScheduleNextTrial(TargetHealth& health, Time now, Random& random) {
  // Jitter prevents several hosts from sending their trial calls at the same time.
  std::uniform_real_distribution<double> jitter(0.75, 1.25);
  const double pause_us = Microseconds(kInitialTrialDelay) *
                          (1 << std::min(health.backoff_level_, kMaxTrialDelayDoublings));
  health.next_trial_time_ = now + Duration(static_cast<Duration::rep>(pause_us * jitter(random)));
  health.successful_trials_ = 0;
  ++health.backoff_level_;
}

void EndEjection(TargetHealth& health) {
  health.ejected_ = false;
  health.failure_rate_ = 0;
  health.consecutive_failures_ = 0;
  health.samples_ = 0;
  health.mean_us_ = 0;
}

void RecordTrialResult(TargetHealth& health, bool successful, Time now, Random& random) {
  if (!successful) {
    ScheduleNextTrial(health, now, random);
  } else if (++health.successful_trials_ >= kTrialsToEndEjection) {
    EndEjection(health);
  } else {
    health.next_trial_time_ = now;
  }
}

void EjectIfUnhealthy(const Dispatcher& dispatcher, TargetState& target, Time now, Random& random) {
  TargetHealth& health = target.health_;
  const double typical_us = TypicalServiceTimeUs(dispatcher);
  const bool slow = typical_us > 0 && health.samples_ >= kMinSamples &&
                    health.mean_us_ > kEjectSlowRatio * typical_us;
  const bool failing = health.failure_rate_ > kEjectFailureRate &&
                       health.consecutive_failures_ >= kEjectConsecutiveFailures;
  // If no other target is healthy, the cause is probably not the target, and ejecting it would
  // leave no target for the calls.
  if ((!slow && !failing) ||
      (!OtherTargetIsHealthy(dispatcher, target) && !OtherZoneIsHealthy(dispatcher))) {
    if (health.samples_ >= 100) health.backoff_level_ = 0;
    return;
  }
  health.ejected_ = true;
  ScheduleNextTrial(health, now, random);
}

}  // namespace

void RecordResult(Dispatcher& dispatcher, TargetState& target, const SentCall& call,
                  SendResult result, Time now, Random& random) {
  TargetHealth& health = target.health_;
  const records::CallClass call_class = call.pending_.call_.class_;
  const double own_elapsed_us = Microseconds(now - call.sent_time_);
  const double elapsed_us = NormalizeServiceTime(dispatcher, call_class, own_elapsed_us);
  const double typical_us = TypicalServiceTimeUs(dispatcher);
  bool failed = false;
  switch (result) {
    case SendResult::kAnswered:
      AddSample(health, elapsed_us, now);
      AddServiceTime(dispatcher.service_times_[static_cast<std::size_t>(call_class)],
                     own_elapsed_us);
      health.consecutive_timeouts_ = 0;
      break;
    case SendResult::kTimedOut:
      AddSample(health, std::max(elapsed_us, health.mean_us_), now);
      ++health.consecutive_timeouts_;
      failed = true;
      break;
    case SendResult::kFailed:
    case SendResult::kLost:
    case SendResult::kInvalid:
      // The duration is not a sample, because a target that fails quickly must not appear fast.
      if (!IsTargetFailure(call, result)) return;
      failed = true;
      break;
    case SendResult::kRefused:
    case SendResult::kUnreachable:
    case SendResult::kCancelled:
      return;
  }
  health.failure_rate_ += kFailureWeight * ((failed ? 1 : 0) - health.failure_rate_);
  health.consecutive_failures_ = failed ? health.consecutive_failures_ + 1 : 0;
  if (health.ejected_) {
    // The call was sent before the trial was due, so it is not a trial call.
    if (call.sent_time_ < health.next_trial_time_) return;
    RecordTrialResult(health,
                      !failed && (typical_us <= 0 || elapsed_us <= kMaxTrialSlowRatio * typical_us),
                      now, random);
  } else {
    EjectIfUnhealthy(dispatcher, target, now, random);
  }
}

double TypicalServiceTimeUs(const Dispatcher& dispatcher) {
  std::array<double, 64> means{};
  std::size_t count = 0;
  for (const TargetState& target : dispatcher.targets_) {
    if (target.health_.samples_ < kMinSamples || target.health_.ejected_) continue;
    if (count < means.size()) means[count++] = target.health_.mean_us_;
  }
  if (count == 0) return 0;
  const auto middle = means.begin() + static_cast<std::ptrdiff_t>((count - 1) / 2);
  std::nth_element(means.begin(), middle, means.begin() + static_cast<std::ptrdiff_t>(count));
  return *middle;
}

double ExpectedServiceTimeUs(const Dispatcher& dispatcher, const TargetState& target,
                             double typical_us, Time now) {
  const TargetHealth& health = target.health_;
  double expected_us = health.samples_ >= kMinSamples ? health.mean_us_ : typical_us;
  const double age_us = Microseconds(now - health.last_sample_time_);
  expected_us = typical_us + (expected_us - typical_us) * std::exp(-age_us / kServiceTimeDecayUs);
  // A call that has been in flight for long indicates a slowdown before its answer arrives.
  for (const auto& [handle, call] : dispatcher.sent_) {
    if (call.target_ != target.name_) continue;
    const double in_flight_us = NormalizeServiceTime(dispatcher, call.pending_.call_.class_,
                                                     Microseconds(now - call.sent_time_));
    expected_us = std::max(expected_us, 0.5 * in_flight_us);
  }
  return expected_us;
}

bool IsSlow(double expected_us, double typical_us) {
  return expected_us > kSlowTargetRatio * typical_us;
}

bool AllEjected(const Dispatcher& dispatcher) {
  bool any = false;
  for (const TargetState& target : dispatcher.targets_) {
    if (!target.accepts_work_ || target.phase_ != TargetPhase::kReady) continue;
    if (!target.health_.ejected_) return false;
    any = true;
  }
  return any && !OtherZoneIsHealthy(dispatcher);
}

bool MaySendTrial(const TargetState& target, Time now) {
  return !target.health_.ejected_ ||
         (target.in_flight_ == 0 && now >= target.health_.next_trial_time_);
}

}  // namespace monsoonshelf::dispatch::internal
