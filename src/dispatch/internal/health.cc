#include "dispatch/internal/health.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <vector>

#include "dispatch/internal/phases.h"

namespace monsoonshelf::dispatch::internal {

namespace {

using std::chrono::milliseconds;

constexpr double kSampleWeight = 0.15;
constexpr int kMinSamples = 8;
constexpr double kFailureWeight = 0.2;

// With exponential service times the average over the samples above exceeds 1.7 times the mean in
// about one of a thousand samples.
constexpr double kSlowRatio = 1.7;

// An ejection costs a slot for the first pause at least, so it takes clearer evidence. At a ratio
// of 4, chance alone ejected targets often enough to raise the p99 with noisy neighbours by 10%.
constexpr double kEjectRatio = 6;
// Three failures in a row after successes only raise the average share to 0.49.
constexpr double kEjectFailure = 0.45;
constexpr double kHealthyFailure = 0.25;
constexpr int kEjectFailuresInRow = 3;
constexpr double kGoodTrialRatio = 3;
constexpr int kGoodTrials = 3;
constexpr Duration kFirstTrial = milliseconds(200);
constexpr int kMaxTrialDoublings = 5;

// An average without new samples approaches the typical value, so that a target that was slow is
// tried again.
constexpr double kForgetUs = 500'000;

double Microseconds(Duration duration) { return static_cast<double>(duration.count()); }

void AddSample(Health& health, double elapsed_us, Time now) {
  // The first samples count as in a plain mean.
  const double weight = std::max(kSampleWeight, 1.0 / (health.samples_ + 1));
  health.mean_us_ += weight * (elapsed_us - health.mean_us_);
  ++health.samples_;
  health.sampled_ = now;
}

void AddServiceTime(ServiceTime& times, double elapsed_us) {
  const double weight = std::max(0.02, 1.0 / (times.samples_ + 1));
  times.mean_us_ += weight * (elapsed_us - times.mean_us_);
  if (times.samples_ == 0) times.low_us_ = elapsed_us;
  // Follows the tenth percentile: nine small steps up balance one step of nine down.
  times.low_us_ += times.low_us_ * 0.01 * (elapsed_us < times.low_us_ ? -9 : 1);
  ++times.samples_;
}

// Converts a time of one class to the scale of the first class that has evidence, so that a target
// does not look slow because it has a bulk call.
double OnCommonScale(const Dispatcher& dispatcher, records::CallClass call_class,
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
         target.health_.failure_ < kHealthyFailure &&
         (target.phase_ == TargetPhase::kReady || IsStrict(target.phase_));
}

bool OtherTargetIsHealthy(const Dispatcher& dispatcher, const TargetState& target) {
  return std::any_of(
      dispatcher.targets_.begin(), dispatcher.targets_.end(),
      [&target](const TargetState& other) { return &other != &target && IsHealthy(other); });
}

// A remote shard counts its targets as ready only while they are not ejected there.
bool OtherZoneIsHealthy(const Dispatcher& dispatcher) {
  return std::any_of(dispatcher.remotes_.begin(), dispatcher.remotes_.end(),
                     [](const auto& remote) { return remote.second.shard_.ready_targets_ > 0; });
}

// A failure that a nested call caused says nothing about the target.
bool IsOwnFailure(const SentCall& call, SendResult result) {
  return result != SendResult::kFailed || !call.failed_below_;
}

void Postpone(Health& health, Time now, Random& random) {
  // Jitter keeps the trials of several hosts and targets apart.
  std::uniform_real_distribution<double> jitter(0.75, 1.25);
  const double pause =
      Microseconds(kFirstTrial) * (1 << std::min(health.level_, kMaxTrialDoublings));
  health.next_trial_ = now + Duration(static_cast<Duration::rep>(pause * jitter(random)));
  health.good_trials_ = 0;
  ++health.level_;
}

void Readmit(Health& health) {
  health.ejected_ = false;
  health.failure_ = 0;
  health.failures_in_row_ = 0;
  health.samples_ = 0;
  health.mean_us_ = 0;
}

void JudgeTrial(Health& health, bool good, Time now, Random& random) {
  if (!good) {
    Postpone(health, now, random);
  } else if (++health.good_trials_ >= kGoodTrials) {
    Readmit(health);
  } else {
    health.next_trial_ = now;
  }
}

void ConsiderEjection(const Dispatcher& dispatcher, TargetState& target, Time now, Random& random) {
  Health& health = target.health_;
  const double typical = TypicalService(dispatcher);
  const bool slow =
      typical > 0 && health.samples_ >= kMinSamples && health.mean_us_ > kEjectRatio * typical;
  const bool failing =
      health.failure_ > kEjectFailure && health.failures_in_row_ >= kEjectFailuresInRow;
  // If all targets fail alike, the fault is not the target's, and ejecting helps nobody.
  if ((!slow && !failing) ||
      (!OtherTargetIsHealthy(dispatcher, target) && !OtherZoneIsHealthy(dispatcher))) {
    if (health.samples_ >= 100) health.level_ = 0;
    return;
  }
  health.ejected_ = true;
  Postpone(health, now, random);
}

}  // namespace

void ObserveResult(Dispatcher& dispatcher, TargetState& target, const SentCall& call,
                   SendResult result, Time now, Random& random) {
  Health& health = target.health_;
  const records::CallClass call_class = call.waiting_.call_.class_;
  const double own_elapsed = Microseconds(now - call.sent_);
  const double elapsed = OnCommonScale(dispatcher, call_class, own_elapsed);
  const double typical = TypicalService(dispatcher);
  bool failed = false;
  switch (result) {
    case SendResult::kAnswered:
      AddSample(health, elapsed, now);
      AddServiceTime(dispatcher.service_times_[static_cast<std::size_t>(call_class)], own_elapsed);
      health.timeouts_in_row_ = 0;
      break;
    case SendResult::kTimedOut:
      AddSample(health, std::max(elapsed, health.mean_us_), now);
      ++health.timeouts_in_row_;
      failed = true;
      break;
    case SendResult::kFailed:
    case SendResult::kLost:
    case SendResult::kInvalid:
      // No sample: a target that fails fast is not a fast target.
      if (!IsOwnFailure(call, result)) return;
      failed = true;
      break;
    case SendResult::kRefused:
    case SendResult::kUnreachable:
    case SendResult::kCancelled:
      return;
  }
  health.failure_ += kFailureWeight * ((failed ? 1 : 0) - health.failure_);
  health.failures_in_row_ = failed ? health.failures_in_row_ + 1 : 0;
  if (health.ejected_) {
    // The call was sent before the ejection; it is no trial.
    if (call.sent_ < health.next_trial_) return;
    JudgeTrial(health, !failed && (typical <= 0 || elapsed <= kGoodTrialRatio * typical), now,
               random);
  } else {
    ConsiderEjection(dispatcher, target, now, random);
  }
}

double TypicalService(const Dispatcher& dispatcher) {
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

double ExpectedService(const Dispatcher& dispatcher, const TargetState& target, double typical,
                       Time now) {
  const Health& health = target.health_;
  double expected = health.samples_ >= kMinSamples ? health.mean_us_ : typical;
  const double age = Microseconds(now - health.sampled_);
  expected = typical + (expected - typical) * std::exp(-age / kForgetUs);
  // A call that has been out for long shows a sudden slowdown before its answer does.
  for (const auto& [handle, call] : dispatcher.sent_) {
    if (call.target_ != target.name_) continue;
    const double out =
        OnCommonScale(dispatcher, call.waiting_.call_.class_, Microseconds(now - call.sent_));
    expected = std::max(expected, 0.5 * out);
  }
  return expected;
}

bool IsSlow(double expected, double typical) { return expected > kSlowRatio * typical; }

bool AllEjected(const Dispatcher& dispatcher) {
  bool any = false;
  for (const TargetState& target : dispatcher.targets_) {
    if (!target.accepts_work_ || target.phase_ != TargetPhase::kReady) continue;
    if (!target.health_.ejected_) return false;
    any = true;
  }
  return any && !OtherZoneIsHealthy(dispatcher);
}

bool MayTry(const TargetState& target, Time now) {
  return !target.health_.ejected_ || (target.in_flight_ == 0 && now >= target.health_.next_trial_);
}

}  // namespace monsoonshelf::dispatch::internal
