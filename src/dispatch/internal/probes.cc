#include "dispatch/internal/probes.h"

#include <algorithm>
#include <cmath>

#include "dispatch/internal/phases.h"

namespace monsoonshelf::dispatch::internal {

namespace {

// Time without a response after which a target is probed. The answers to calls report the state of
// a busy target.
constexpr Duration kReadyProbeInterval = std::chrono::seconds(1);
constexpr Duration kColdProbeInterval = std::chrono::milliseconds(500);

// A probe whose end is not reported counts as ended after this time, so that probing continues.
constexpr Duration kLostProbeTimeout = std::chrono::seconds(5);

// Returns the length of the sliding window of the probe budget: one second, or longer for a rate
// below one probe per second.
Duration BudgetWindow(double rate) {
  return Duration(static_cast<Duration::rep>(std::ceil(1e6 / std::min(1.0, rate))));
}

// Maximum number of probe times kept per target, which also limits the rate.
constexpr std::size_t kMaxProbesPerWindow = 64;

std::size_t ProbesPerWindow(double rate) {
  return std::min(kMaxProbesPerWindow, static_cast<std::size_t>(std::max(1.0, std::floor(rate))));
}

// Probes per window that are reserved for hosts that confirm a target without the assignment. A
// holder that is isolated from its peers continues to probe until its lease ends, while its
// successor already confirms targets. A budget of one probe cannot be shared.
constexpr std::size_t kReservedConfirmations = 1;

bool ReservesConfirmations(double rate) {
  return rate > 0 && ProbesPerWindow(rate) > kReservedConfirmations;
}

// Returns the earliest time at which another probe does not exceed the budget. The budget limits
// the arrivals at the target. A probe arrives at the latest when it ends here, so the window starts
// at its end.
Time ProbeBudgetAvailableAt(const Dispatcher& dispatcher, const TargetState& target, Time now) {
  const double rate = dispatcher.settings_.limits_.probes_per_second_;
  const bool holds_assignment = IsAssignmentInEffect(dispatcher, now);
  // The previous holder may have used its share of the budget until its assignment ended.
  Time available = !holds_assignment || dispatcher.predecessor_end_ == Time{}
                       ? Time{}
                       : dispatcher.predecessor_end_ + BudgetWindow(rate);
  std::size_t allowed = ProbesPerWindow(rate);
  if (ReservesConfirmations(rate)) {
    allowed = holds_assignment ? allowed - kReservedConfirmations : kReservedConfirmations;
  }
  if (target.probe_end_times_.size() >= allowed) {
    const Time oldest = target.probe_end_times_[target.probe_end_times_.size() - allowed];
    // Adds one microsecond, because the window includes both of its ends.
    available = std::max(available, oldest + BudgetWindow(rate) + Duration(1));
  }
  return available;
}

}  // namespace

bool NeedsConfirmation(const Dispatcher& dispatcher, const TargetState& target, Time now) {
  return target.phase_ == TargetPhase::kReady && !target.observed_locally_ &&
         !target.confirmation_failed_ && !IsAssignmentInEffect(dispatcher, now) &&
         ReservesConfirmations(dispatcher.settings_.limits_.probes_per_second_);
}

std::optional<Time> NextProbeTime(const Dispatcher& dispatcher, const TargetState& target,
                                  Time now) {
  if (!IsAssignmentInEffect(dispatcher, now)) {
    const bool wanted = !target.probe_sent_time_ && !dispatcher.queue_.calls_.empty() &&
                        NeedsConfirmation(dispatcher, target, now);
    if (!wanted) return std::nullopt;
    return ProbeBudgetAvailableAt(dispatcher, target, now);
  }
  if (dispatcher.settings_.limits_.probes_per_second_ <= 0 || target.probe_sent_time_) {
    return std::nullopt;
  }
  Time due{};
  switch (target.phase_) {
    case TargetPhase::kReady:
      due = target.last_response_time_ + kReadyProbeInterval;
      break;
    case TargetPhase::kCold:
    case TargetPhase::kWarming:
      due = target.last_response_time_ + kColdProbeInterval;
      break;
    case TargetPhase::kDraining:
    case TargetPhase::kSuspected:
      break;
    case TargetPhase::kLeaving:
    case TargetPhase::kGone:
      return std::nullopt;
  }
  return std::max(due, ProbeBudgetAvailableAt(dispatcher, target, now));
}

void SendDueProbes(Dispatcher& dispatcher, Time now, Actions& actions) {
  for (TargetState& target : dispatcher.targets_) {
    if (target.probe_sent_time_ && now >= *target.probe_sent_time_ + kLostProbeTimeout)
      RecordProbeEnd(target, now);
    const auto due = NextProbeTime(dispatcher, target, now);
    if (!due || now < *due) continue;
    Action probe;
    probe.kind_ = ActionKind::kProbe;
    probe.target_ = target.name_;
    actions.push_back(probe);
    target.probe_sent_time_ = now;
  }
}

void RecordProbeEnd(TargetState& target, Time now) {
  if (!target.probe_sent_time_) return;
  target.probe_sent_time_.reset();
  target.probe_end_times_.push_back(now);
  if (target.probe_end_times_.size() > kMaxProbesPerWindow) target.probe_end_times_.pop_front();
}

}  // namespace monsoonshelf::dispatch::internal
