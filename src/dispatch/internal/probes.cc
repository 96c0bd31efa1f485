#include "dispatch/internal/probes.h"

#include <algorithm>
#include <cmath>

#include "dispatch/internal/phases.h"

namespace monsoonshelf::dispatch::internal {

namespace {

// Calls tell the state of a busy target; only a silent one is probed.
constexpr Duration kSilentReady = std::chrono::seconds(1);
constexpr Duration kSilentCold = std::chrono::milliseconds(500);

// A probe whose end was never reported must not stop the probes of its target for good.
constexpr Duration kLostProbe = std::chrono::seconds(5);

// Length of the window in which the budget holds. A rate below one has a longer window.
Duration Window(double rate) {
  return Duration(static_cast<Duration::rep>(std::ceil(1e6 / std::min(1.0, rate))));
}

// Probe times that are kept, which also bounds the rate.
constexpr std::size_t kMaxProbesPerWindow = 64;

std::size_t ProbesPerWindow(double rate) {
  return std::min(kMaxProbesPerWindow, static_cast<std::size_t>(std::max(1.0, std::floor(rate))));
}

// A holder that is cut off goes on probing until its lease ends, so a part of the budget is left
// for the confirmations of its successor. A budget of one can't be shared.
constexpr std::size_t kConfirmationsPerWindow = 1;

bool BudgetHasConfirmations(double rate) {
  return rate > 0 && ProbesPerWindow(rate) > kConfirmationsPerWindow;
}

// Earliest time at which another probe keeps the budget. A probe counts at the target when it
// arrives, which is at the latest when it ends here; so the end is what the window starts from.
Time BudgetFree(const Dispatcher& dispatcher, const TargetState& target, Time now) {
  const double rate = dispatcher.settings_.limits_.probes_per_second_;
  const bool holds = MayUseStrictLimits(dispatcher, now);
  // An earlier holder may have used its part of the budget up to its end.
  Time free = !holds || dispatcher.predecessor_end_ == Time{}
                  ? Time{}
                  : dispatcher.predecessor_end_ + Window(rate);
  std::size_t allowed = ProbesPerWindow(rate);
  if (BudgetHasConfirmations(rate)) {
    allowed = holds ? allowed - kConfirmationsPerWindow : kConfirmationsPerWindow;
  }
  if (target.probe_ends_.size() >= allowed) {
    const Time oldest = target.probe_ends_[target.probe_ends_.size() - allowed];
    // One microsecond more, since a window includes both of its ends.
    free = std::max(free, oldest + Window(rate) + Duration(1));
  }
  return free;
}

}  // namespace

bool NeedsConfirmation(const Dispatcher& dispatcher, const TargetState& target, Time now) {
  return target.phase_ == TargetPhase::kReady && !target.observed_ &&
         !target.confirmation_failed_ && !MayUseStrictLimits(dispatcher, now) &&
         BudgetHasConfirmations(dispatcher.settings_.limits_.probes_per_second_);
}

std::optional<Time> NextProbe(const Dispatcher& dispatcher, const TargetState& target, Time now) {
  if (!MayUseStrictLimits(dispatcher, now)) {
    const bool wanted = !target.probe_sent_ && !dispatcher.queue_.waiting_.empty() &&
                        NeedsConfirmation(dispatcher, target, now);
    if (!wanted) return std::nullopt;
    return BudgetFree(dispatcher, target, now);
  }
  if (dispatcher.settings_.limits_.probes_per_second_ <= 0 || target.probe_sent_) {
    return std::nullopt;
  }
  Time due{};
  switch (target.phase_) {
    case TargetPhase::kReady:
      due = target.last_response_ + kSilentReady;
      break;
    case TargetPhase::kCold:
    case TargetPhase::kWarming:
      due = target.last_response_ + kSilentCold;
      break;
    case TargetPhase::kDraining:
    case TargetPhase::kSuspected:
      break;
    case TargetPhase::kLeaving:
    case TargetPhase::kGone:
      return std::nullopt;
  }
  return std::max(due, BudgetFree(dispatcher, target, now));
}

void SendProbes(Dispatcher& dispatcher, Time now, Actions& actions) {
  for (TargetState& target : dispatcher.targets_) {
    if (target.probe_sent_ && now >= *target.probe_sent_ + kLostProbe) EndProbe(target, now);
    const auto due = NextProbe(dispatcher, target, now);
    if (!due || now < *due) continue;
    Action probe;
    probe.kind_ = ActionKind::kProbe;
    probe.target_ = target.name_;
    actions.push_back(probe);
    target.probe_sent_ = now;
  }
}

void EndProbe(TargetState& target, Time now) {
  if (!target.probe_sent_) return;
  target.probe_sent_.reset();
  target.probe_ends_.push_back(now);
  if (target.probe_ends_.size() > kMaxProbesPerWindow) target.probe_ends_.pop_front();
}

}  // namespace monsoonshelf::dispatch::internal
