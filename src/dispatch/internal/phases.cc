#include "dispatch/internal/phases.h"

#include <algorithm>
#include <stdexcept>

#include "dispatch/internal/probes.h"
#include "embedded/target_chart.h"
#include "statechart/machine.h"

namespace monsoonshelf::dispatch::internal {

namespace {

using std::chrono::milliseconds;

using TargetMachine = statechart::Machine<TargetPhase, kTargetPhaseNames.size(), TargetEvent,
                                          kTargetEventNames.size()>;

// Answers that raise the limit of a warming target by one. One answer alone may be a coincidence.
constexpr int kAnswersPerLimitStep = 2;

// A call can continue to run at the target for about one network delay after its deadline.
constexpr Duration kAbandonedCallMargin = milliseconds(20);

// Pause before a suspected target is tried again. It doubles with each suspicion until the target
// is ready again.
constexpr Duration kInitialSuspicionPause = milliseconds(200);
constexpr int kMaxSuspicionPauseDoublings = 5;

// The load endpoint may be broken although the target works. A suspected target whose probes fail
// is therefore tried with a call when this time has passed after its pause.
constexpr Duration kProbeGracePeriod = std::chrono::seconds(5);
constexpr int kTimeoutsToSuspect = 3;

// Pause after a target refused a call for lack of slots: about half the mean service time at the
// design load.
constexpr Duration kFullTargetPause = milliseconds(5);

// The chart is embedded in the binary, so a mismatch with the enums is a programming error that
// every test of the dispatcher detects.
const TargetMachine& Machine() {
  static const TargetMachine machine = leaf::try_handle_all(
      [] { return TargetMachine::Load(kTargetChart, kTargetPhaseNames, kTargetEventNames); },
      [](const Error& error) -> TargetMachine { throw std::logic_error(error.message_); },
      []() -> TargetMachine { throw std::logic_error("cannot load the target chart"); });
  return machine;
}

int WarmingLimit(const records::Service& limits, const TargetState& target) {
  return std::min(limits.slots_,
                  limits.cold_limit_ + target.warming_answers_ / kAnswersPerLimitStep);
}

void UpdateOtherHostsLoad(const Dispatcher& dispatcher, TargetState& target,
                          const LoadReport& report, Time sent, Time now) {
  int min_in_flight = 0;
  for (const auto& [handle, call] : dispatcher.sent_) {
    if (call.target_ == target.name_ && call.sent_time_ < sent) ++min_in_flight;
  }
  OtherHostsLoad& other_hosts = target.other_hosts_load_;
  // The report must include at least the calls sent before the call that was answered.
  if (report.in_flight_ < min_in_flight) {
    other_hosts.confidence_ *= 0.5;
  } else {
    other_hosts.confidence_ += 0.1 * (1 - other_hosts.confidence_);
  }
  other_hosts.in_flight_ = std::max(0, report.in_flight_ - target.in_flight_);
  other_hosts.report_time_ = now;
  if (report.in_flight_ == 0) target.abandoned_until_.clear();
}

bool ReportsAllSlotsTaken(const LoadReport& report) {
  return report.phase_ == TargetPhase::kReady && report.in_flight_ >= report.slots_ &&
         report.slots_ > 0;
}

void RecordWarmingAnswer(const Dispatcher& dispatcher, TargetState& target, const SentCall& call,
                         const std::optional<LoadReport>& report, Time now) {
  if (target.phase_ != TargetPhase::kWarming || call.sent_time_ < target.downgrade_time_) return;
  if (!report || report->phase_ != TargetPhase::kReady) return;
  ++target.warming_answers_;
  if (target.warming_answers_ < kAnswersPerLimitStep) return;
  const auto& limits = dispatcher.settings_.limits_;
  if (WarmingLimit(limits, target) >= limits.slots_)
    ApplyEvent(target, TargetEvent::kWarmedUp, now);
}

void RecordRefusal(TargetState& target, const std::optional<LoadReport>& report, Time now) {
  if (report && report->epoch_ == target.epoch_ && ReportsAllSlotsTaken(*report)) {
    target.full_until_ = now + kFullTargetPause;
    return;
  }
  if (report && report->phase_ != TargetPhase::kReady) {
    target.full_until_ = now + kFullTargetPause;  // ApplyReport has set the phase.
    return;
  }
  ApplyEvent(target, TargetEvent::kBecameSuspect, now);
}

}  // namespace

TargetState* FindTarget(Dispatcher& dispatcher, const std::string& name) {
  for (TargetState& target : dispatcher.targets_) {
    if (target.name_ == name) return &target;
  }
  return nullptr;
}

void ApplyEvent(TargetState& target, TargetEvent event, Time now) {
  const TargetPhase before = target.phase_;
  target.phase_ = Machine().Next(before, event);
  if (target.phase_ == before) return;
  target.warming_answers_ = 0;
  if (target.phase_ == TargetPhase::kReady) {
    target.suspicion_count_ = 0;
  } else if (target.phase_ != TargetPhase::kWarming) {
    target.downgrade_time_ = now;
  }
  if (target.phase_ == TargetPhase::kSuspected) {
    target.suspicion_pause_end_ =
        now + kInitialSuspicionPause *
                  (1 << std::min(target.suspicion_count_, kMaxSuspicionPauseDoublings));
    ++target.suspicion_count_;
  }
}

bool IsAssignmentInEffect(const Dispatcher& dispatcher, Time now) {
  return dispatcher.held_until_ && now < *dispatcher.held_until_ &&
         now >= dispatcher.predecessor_end_;
}

int SlotLimit(const Dispatcher& dispatcher, const TargetState& target, Time now) {
  if (!target.accepts_work_ || now < target.full_until_) return 0;
  if (NeedsConfirmation(dispatcher, target, now)) return 0;
  const records::Service& limits = dispatcher.settings_.limits_;
  int limit = 0;
  if (target.phase_ == TargetPhase::kReady) {
    limit = limits.slots_;
  } else if (RequiresAssignment(target.phase_) && IsAssignmentInEffect(dispatcher, now)) {
    limit = target.phase_ == TargetPhase::kCold ? std::min(limits.cold_limit_, limits.slots_)
                                                : WarmingLimit(limits, target);
  }
  if (target.unconfirmed_ || target.health_.ejected_) limit = std::min(limit, 1);
  return limit;
}

int UsedSlots(const TargetState& target, Time now) {
  int used = target.in_flight_;
  if (!RequiresAssignment(target.phase_)) return used;
  for (const Time until : target.abandoned_until_) {
    if (until > now) ++used;
  }
  return used;
}

bool MayAcceptWork(const TargetState& target) {
  return target.accepts_work_ &&
         (target.phase_ == TargetPhase::kReady || RequiresAssignment(target.phase_) ||
          target.phase_ == TargetPhase::kSuspected);
}

void ApplyReport(Dispatcher& dispatcher, TargetState& target, const LoadReport& report, Time sent,
                 Time now) {
  target.observed_locally_ = true;
  if (target.epoch_ != report.epoch_) {
    // The call was sent before the current epoch was known, so its response may be from an older
    // epoch.
    if (target.epoch_ && sent < target.epoch_learned_time_) return;
    if (target.epoch_) {
      ApplyEvent(target, TargetEvent::kReportedCold, now);
      target.abandoned_until_.clear();
      target.health_.samples_ = 0;
    }
    target.epoch_ = report.epoch_;
    target.epoch_learned_time_ = now;
  }
  UpdateOtherHostsLoad(dispatcher, target, report, sent, now);
  switch (report.phase_) {
    case TargetPhase::kCold:
    case TargetPhase::kWarming:
      ApplyEvent(target, TargetEvent::kReportedCold, now);
      break;
    case TargetPhase::kDraining:
      ApplyEvent(target, TargetEvent::kReportedDraining, now);
      break;
    case TargetPhase::kReady:
      // A report on a call that was sent before the last downgrade does not cancel it.
      if (sent >= target.downgrade_time_) ApplyEvent(target, TargetEvent::kReportedReady, now);
      break;
    default:
      break;
  }
}

void ApplyResult(const Dispatcher& dispatcher, TargetState& target, const SentCall& call,
                 SendResult result, const std::optional<LoadReport>& report, Time now) {
  switch (result) {
    case SendResult::kAnswered:
      RecordWarmingAnswer(dispatcher, target, call, report, now);
      break;
    case SendResult::kRefused:
      RecordRefusal(target, report, now);
      break;
    case SendResult::kUnreachable:
      ApplyEvent(target, TargetEvent::kBecameSuspect, now);
      break;
    case SendResult::kLost:
      target.abandoned_until_.push_back(call.deadline_ + kAbandonedCallMargin);
      ApplyEvent(target, TargetEvent::kBecameSuspect, now);
      break;
    case SendResult::kTimedOut:
    case SendResult::kInvalid:
    case SendResult::kCancelled:
      target.abandoned_until_.push_back(call.deadline_ + kAbandonedCallMargin);
      if (target.health_.consecutive_timeouts_ >= kTimeoutsToSuspect) {
        ApplyEvent(target, TargetEvent::kBecameSuspect, now);
        target.health_.consecutive_timeouts_ = 0;
      }
      break;
    case SendResult::kFailed:
      break;
  }
  std::erase_if(target.abandoned_until_, [now](Time until) { return until <= now; });
  if (report || result == SendResult::kAnswered || result == SendResult::kFailed) {
    target.last_response_time_ = now;
    target.unconfirmed_ = false;
  }
}

void ApplySnapshot(TargetState& target, const TargetSnapshot& known, Time now) {
  if (target.observed_locally_ || target.in_flight_ > 0) return;
  switch (known.phase_) {
    case TargetPhase::kReady:
      ApplyEvent(target, TargetEvent::kKnownReady, now);
      break;
    case TargetPhase::kWarming:
      ApplyEvent(target, TargetEvent::kReportedReady, now);
      break;
    case TargetPhase::kDraining:
      ApplyEvent(target, TargetEvent::kReportedDraining, now);
      break;
    case TargetPhase::kSuspected:
      ApplyEvent(target, TargetEvent::kBecameSuspect, now);
      break;
    default:
      break;
  }
  target.epoch_ = known.epoch_;
  target.epoch_learned_time_ = now;
  target.unconfirmed_ = true;
  target.last_response_time_ = now;
}

void EndSuspicionPauses(Dispatcher& dispatcher, Time now) {
  const bool probed = dispatcher.settings_.limits_.probes_per_second_ > 0;
  const Duration grace_period = probed ? kProbeGracePeriod : Duration(0);
  for (TargetState& target : dispatcher.targets_) {
    if (target.phase_ != TargetPhase::kSuspected) continue;
    if (now < target.suspicion_pause_end_ + grace_period) continue;
    ApplyEvent(target, TargetEvent::kPauseEnded, now);
  }
}

}  // namespace monsoonshelf::dispatch::internal
