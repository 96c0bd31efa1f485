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

// Answers per step of the limit between cold and ready. One answer can be luck.
constexpr int kAnswersPerStep = 2;

// A cancelled call can run on for about a network delay after its deadline.
constexpr Duration kAbandonMargin = milliseconds(20);

constexpr Duration kFirstPause = milliseconds(200);
constexpr int kMaxPauseDoublings = 5;

// A load endpoint can be out of order while its target works, so a target whose probes fail is
// tried with a call after this time.
constexpr Duration kProbePatience = std::chrono::seconds(5);
constexpr int kTimeoutsToDoubt = 3;

// A target that was full is tried again after about half a mean service time of the design load.
constexpr Duration kFullPause = milliseconds(5);

// The chart is part of the binary, so a mismatch is a build error that every test shows at once.
const TargetMachine& Machine() {
  static const TargetMachine machine = leaf::try_handle_all(
      [] { return TargetMachine::Load(kTargetChart, kTargetPhaseNames, kTargetEventNames); },
      [](const Error& error) -> TargetMachine { throw std::logic_error(error.message_); },
      []() -> TargetMachine { throw std::logic_error("target chart"); });
  return machine;
}

int WarmingLimit(const records::Service& limits, const TargetState& target) {
  return std::min(limits.slots_, limits.cold_limit_ + target.warm_answers_ / kAnswersPerStep);
}

void UpdateForeignLoad(const Dispatcher& dispatcher, TargetState& target, const LoadReport& report,
                       Time sent, Time now) {
  int surely_there = 0;
  for (const auto& [handle, call] : dispatcher.sent_) {
    if (call.target_ == target.name_ && call.sent_ < sent) ++surely_there;
  }
  ForeignLoad& foreign = target.foreign_;
  // The target must see at least the calls sent before the one that it answered.
  if (report.in_flight_ < surely_there) {
    foreign.trust_ *= 0.5;
  } else {
    foreign.trust_ += 0.1 * (1 - foreign.trust_);
  }
  foreign.calls_ = std::max(0, report.in_flight_ - target.in_flight_);
  foreign.reported_ = now;
  if (report.in_flight_ == 0) target.abandoned_.clear();
}

bool ReportsFull(const LoadReport& report) {
  return report.phase_ == TargetPhase::kReady && report.in_flight_ >= report.slots_ &&
         report.slots_ > 0;
}

void NoteAnswer(const Dispatcher& dispatcher, TargetState& target, const SentCall& call,
                const std::optional<LoadReport>& report, Time now) {
  if (target.phase_ != TargetPhase::kWarming || call.sent_ < target.doubted_since_) return;
  if (!report || report->phase_ != TargetPhase::kReady) return;
  ++target.warm_answers_;
  if (target.warm_answers_ < kAnswersPerStep) return;
  const auto& limits = dispatcher.settings_.limits_;
  if (WarmingLimit(limits, target) >= limits.slots_) Apply(target, TargetEvent::kWarmedUp, now);
}

void NoteRefusal(TargetState& target, const std::optional<LoadReport>& report, Time now) {
  if (report && report->epoch_ == target.epoch_ && ReportsFull(*report)) {
    target.full_until_ = now + kFullPause;
    return;
  }
  if (report && report->phase_ != TargetPhase::kReady) {
    target.full_until_ = now + kFullPause;  // The report has set the phase.
    return;
  }
  Apply(target, TargetEvent::kDoubted, now);
}

}  // namespace

TargetState* FindTarget(Dispatcher& dispatcher, const std::string& name) {
  for (TargetState& target : dispatcher.targets_) {
    if (target.name_ == name) return &target;
  }
  return nullptr;
}

void Apply(TargetState& target, TargetEvent event, Time now) {
  const TargetPhase before = target.phase_;
  target.phase_ = Machine().Next(before, event);
  if (target.phase_ == before) return;
  target.warm_answers_ = 0;
  if (target.phase_ == TargetPhase::kReady) {
    target.doubts_ = 0;
  } else if (target.phase_ != TargetPhase::kWarming) {
    target.doubted_since_ = now;
  }
  if (target.phase_ == TargetPhase::kSuspected) {
    target.pause_end_ = now + kFirstPause * (1 << std::min(target.doubts_, kMaxPauseDoublings));
    ++target.doubts_;
  }
}

bool MayUseStrictLimits(const Dispatcher& dispatcher, Time now) {
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
  } else if (IsStrict(target.phase_) && MayUseStrictLimits(dispatcher, now)) {
    limit = target.phase_ == TargetPhase::kCold ? std::min(limits.cold_limit_, limits.slots_)
                                                : WarmingLimit(limits, target);
  }
  if (target.unconfirmed_ || target.health_.ejected_) limit = std::min(limit, 1);
  return limit;
}

int UsedSlots(const TargetState& target, Time now) {
  int used = target.in_flight_;
  if (!IsStrict(target.phase_)) return used;
  for (const Time until : target.abandoned_) {
    if (until > now) ++used;
  }
  return used;
}

bool MayRecover(const TargetState& target) {
  return target.accepts_work_ && (target.phase_ == TargetPhase::kReady || IsStrict(target.phase_) ||
                                  target.phase_ == TargetPhase::kSuspected);
}

void ApplyReport(Dispatcher& dispatcher, TargetState& target, const LoadReport& report, Time sent,
                 Time now) {
  target.observed_ = true;
  if (target.epoch_ != report.epoch_) {
    // A response to a call from before the epoch was learned can be older than that epoch.
    if (target.epoch_ && sent < target.epoch_since_) return;
    if (target.epoch_) {
      Apply(target, TargetEvent::kReportedCold, now);
      target.abandoned_.clear();
      target.health_.samples_ = 0;
    }
    target.epoch_ = report.epoch_;
    target.epoch_since_ = now;
  }
  UpdateForeignLoad(dispatcher, target, report, sent, now);
  switch (report.phase_) {
    case TargetPhase::kCold:
    case TargetPhase::kWarming:
      Apply(target, TargetEvent::kReportedCold, now);
      break;
    case TargetPhase::kDraining:
      Apply(target, TargetEvent::kReportedDraining, now);
      break;
    case TargetPhase::kReady:
      // A report from before the last doubt does not remove the doubt.
      if (sent >= target.doubted_since_) Apply(target, TargetEvent::kReportedReady, now);
      break;
    default:
      break;
  }
}

void ApplyResult(const Dispatcher& dispatcher, TargetState& target, const SentCall& call,
                 SendResult result, const std::optional<LoadReport>& report, Time now) {
  switch (result) {
    case SendResult::kAnswered:
      NoteAnswer(dispatcher, target, call, report, now);
      break;
    case SendResult::kRefused:
      NoteRefusal(target, report, now);
      break;
    case SendResult::kUnreachable:
      Apply(target, TargetEvent::kDoubted, now);
      break;
    case SendResult::kLost:
      target.abandoned_.push_back(call.deadline_ + kAbandonMargin);
      Apply(target, TargetEvent::kDoubted, now);
      break;
    case SendResult::kTimedOut:
    case SendResult::kInvalid:
    case SendResult::kCancelled:
      target.abandoned_.push_back(call.deadline_ + kAbandonMargin);
      if (target.health_.timeouts_in_row_ >= kTimeoutsToDoubt) {
        Apply(target, TargetEvent::kDoubted, now);
        target.health_.timeouts_in_row_ = 0;
      }
      break;
    case SendResult::kFailed:
      break;
  }
  std::erase_if(target.abandoned_, [now](Time until) { return until <= now; });
  if (report || result == SendResult::kAnswered || result == SendResult::kFailed) {
    target.last_response_ = now;
    target.unconfirmed_ = false;
  }
}

void ApplyKnowledge(TargetState& target, const TargetSnapshot& known, Time now) {
  if (target.observed_ || target.in_flight_ > 0) return;
  switch (known.phase_) {
    case TargetPhase::kReady:
      Apply(target, TargetEvent::kKnownReady, now);
      break;
    case TargetPhase::kWarming:
      Apply(target, TargetEvent::kReportedReady, now);
      break;
    case TargetPhase::kDraining:
      Apply(target, TargetEvent::kReportedDraining, now);
      break;
    case TargetPhase::kSuspected:
      Apply(target, TargetEvent::kDoubted, now);
      break;
    default:
      break;
  }
  target.epoch_ = known.epoch_;
  target.epoch_since_ = now;
  target.unconfirmed_ = true;
  target.last_response_ = now;
}

void EndPauses(Dispatcher& dispatcher, Time now) {
  const bool probed = dispatcher.settings_.limits_.probes_per_second_ > 0;
  const Duration patience = probed ? kProbePatience : Duration(0);
  for (TargetState& target : dispatcher.targets_) {
    if (target.phase_ != TargetPhase::kSuspected) continue;
    if (now < target.pause_end_ + patience) continue;
    Apply(target, TargetEvent::kPauseEnded, now);
  }
}

}  // namespace monsoonshelf::dispatch::internal
