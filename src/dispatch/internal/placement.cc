#include "dispatch/internal/placement.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "dispatch/internal/admission.h"
#include "dispatch/internal/health.h"
#include "dispatch/internal/phases.h"
#include "dispatch/internal/spill_over.h"

namespace monsoonshelf::dispatch::internal {

namespace {

using std::chrono::milliseconds;

// Time kept free before the end of the lease, so that work on a cold target ends while it is held.
constexpr Duration kLeaseMargin = milliseconds(100);

// A call is sent to a cold target near the end of the lease only if it gets at least this time.
constexpr Duration kMinStrictTime = milliseconds(50);

// Bulk calls leave a slot free for this time after an interactive call.
constexpr Duration kInteractiveMemory = std::chrono::seconds(1);

// A cold target gets a call at least this often, so that it warms up although others are faster.
constexpr Duration kColdTrickle = milliseconds(100);

// A trial waits this long for a call that could be retried, and then takes any call.
constexpr Duration kTrialPatience = milliseconds(500);

// Time constant with which a report about calls of other hosts loses weight.
constexpr double kForeignUs = 30'000;

// A target that was silent for longer may have restarted: it gets one call until it responds.
constexpr Duration kConfirmAge = std::chrono::seconds(2);

// Queued calls that one event examines. Those further back are served later anyway.
constexpr int kMaxExamined = 64;

bool IsBackground(records::CallClass call_class) {
  return call_class == records::CallClass::kBulk || call_class == records::CallClass::kBatch;
}

Time SendDeadline(const Dispatcher& dispatcher, const TargetState& target, const Call& call) {
  if (!IsStrict(target.phase_) || !dispatcher.held_until_) return call.deadline_;
  return std::min(call.deadline_, *dispatcher.held_until_ - kLeaseMargin);
}

bool HasTime(const Dispatcher& dispatcher, const TargetState& target, const Call& call, Time now) {
  const Time deadline = SendDeadline(dispatcher, target, call);
  return deadline > now && (deadline == call.deadline_ || deadline >= now + kMinStrictTime);
}

bool LeavesRoomForInteractive(const Dispatcher& dispatcher, const TargetState& target,
                              const Call& call, Time now) {
  if (!IsBackground(call.class_) || target.background_ == 0) return true;
  if (HasClass(dispatcher.queue_, records::CallClass::kInteractive)) return false;
  return dispatcher.last_interactive_ + kInteractiveMemory < now;
}

bool SuitsTrial(const Dispatcher& dispatcher, const TargetState& target, const Call& call,
                Time now) {
  if (!target.health_.ejected_ || AllEjected(dispatcher)) return true;
  if (!MayTry(target, now)) return false;
  return (call.idempotent_ && call.attempts_left_ > 1 && call.retry_budget_ > 0) ||
         now >= target.health_.next_trial_ + kTrialPatience;
}

bool CanTake(const Dispatcher& dispatcher, const TargetState& target, const WaitingCall& waiting,
             Time now) {
  return UsedSlots(target, now) < SlotLimit(dispatcher, target, now) &&
         HasTime(dispatcher, target, waiting.call_, now) &&
         LeavesRoomForInteractive(dispatcher, target, waiting.call_, now) &&
         SuitsTrial(dispatcher, target, waiting.call_, now);
}

double ForeignCalls(const TargetState& target, Time now) {
  const ForeignLoad& foreign = target.foreign_;
  const double age = static_cast<double>((now - foreign.reported_).count());
  return foreign.calls_ * foreign.trust_ * std::exp(-age / kForeignUs);
}

// True if waiting for a faster target is expected to take less time than a slow target needs more.
bool BetterToWait(const Capacity& capacity, double expected, int ahead) {
  if (capacity.fast_per_us_ <= 0) return false;
  const double wait = (ahead + 1) / capacity.fast_per_us_;
  return expected - capacity.typical_us_ > wait;
}

struct Candidate {
  TargetState* target_ = nullptr;
  double score_ = 0;
  int ties_ = 0;
};

void Consider(Candidate& best, TargetState& target, double score, Random& random) {
  if (best.target_ == nullptr || score < best.score_) {
    best = {&target, score, 1};
  } else if (score == best.score_ && random() % ++best.ties_ == 0) {
    best.target_ = &target;
  }
}

TargetState* ChooseTarget(Dispatcher& dispatcher, const Capacity& capacity,
                          const WaitingCall& waiting, int ahead, Time now, Random& random) {
  Candidate best;
  Candidate last_resort;
  for (TargetState& target : dispatcher.targets_) {
    if (!CanTake(dispatcher, target, waiting, now)) continue;
    const double load = target.in_flight_ + ForeignCalls(target, now);
    if (target.name_ == waiting.failed_target_) {
      Consider(last_resort, target, load, random);
      continue;
    }
    // A due trial goes first: a call that is never sent cannot show that the target recovered.
    if (target.health_.ejected_) {
      Consider(best, target, -1, random);
      continue;
    }
    const double typical = capacity.typical_us_;
    const double expected = ExpectedService(dispatcher, target, typical, now);
    const bool rarely_used =
        target.phase_ == TargetPhase::kCold && now >= target.last_send_ + kColdTrickle;
    const bool slow = typical > 0 && IsSlow(expected, typical) && !rarely_used;
    if (slow && BetterToWait(capacity, expected, ahead)) continue;
    Consider(best, target, load + (slow ? 1000 * expected / typical : 0), random);
  }
  return best.target_ != nullptr ? best.target_ : last_resort.target_;
}

void Send(Dispatcher& dispatcher, TargetState& target, WaitingCall waiting, Time now,
          Actions& actions) {
  Action action;
  action.kind_ = ActionKind::kSend;
  action.call_ = waiting.call_.handle_;
  action.target_ = target.name_;
  action.deadline_ = SendDeadline(dispatcher, target, waiting.call_);
  action.retry_budget_ = waiting.call_.retry_budget_;
  actions.push_back(action);
  const bool silent = target.in_flight_ == 0 && now >= target.last_response_ + kConfirmAge;
  if (silent && target.phase_ == TargetPhase::kReady) target.unconfirmed_ = true;
  ++target.in_flight_;
  if (IsBackground(waiting.call_.class_)) ++target.background_;
  target.last_send_ = now;
  --waiting.call_.attempts_left_;
  SentCall sent{std::move(waiting), target.name_, now, action.deadline_};
  dispatcher.sent_[action.call_] = std::move(sent);
}

void Forward(Dispatcher& dispatcher, RemoteState& remote, WaitingCall waiting, Time now,
             Actions& actions) {
  Action action;
  action.kind_ = ActionKind::kForward;
  action.call_ = waiting.call_.handle_;
  action.zone_ = remote.shard_.zone_;
  action.deadline_ = waiting.call_.deadline_;
  action.retry_budget_ = waiting.call_.retry_budget_;
  actions.push_back(action);
  ++remote.unreported_;
  dispatcher.forwarded_[action.call_] = {std::move(waiting), action.zone_, now};
}

// Decides about one queued call. Returns false if it stays queued.
bool PlaceOne(Dispatcher& dispatcher, const Capacity& capacity, WaitingCall& waiting, int ahead,
              Time now, Random& random, Actions& actions) {
  const CallHandle handle = waiting.call_.handle_;
  if (TooLateToSend(dispatcher, waiting.call_, now)) {
    actions.push_back(Refusal(waiting, ResultCode::kDeadlineTooShort));
    Take(dispatcher.queue_, handle);
    return true;
  }
  TargetState* target = ChooseTarget(dispatcher, capacity, waiting, ahead, now, random);
  if (target != nullptr) {
    Send(dispatcher, *target, *Take(dispatcher.queue_, handle), now, actions);
    return true;
  }
  RemoteState* remote = ChooseZone(dispatcher, capacity, waiting, ahead, now, random);
  if (remote != nullptr) {
    Forward(dispatcher, *remote, *Take(dispatcher.queue_, handle), now, actions);
    return true;
  }
  return false;
}

}  // namespace

Action Refusal(const WaitingCall& waiting, ResultCode code) {
  Action action;
  action.kind_ = ActionKind::kRefuse;
  action.call_ = waiting.call_.handle_;
  action.code_ = code;
  action.outcome_ = waiting.may_have_run_ ? CallOutcome::kUnknown : CallOutcome::kNotRun;
  return action;
}

void PlaceQueued(Dispatcher& dispatcher, Time now, Random& random, Actions& actions) {
  for (const WaitingCall& waiting : TakeExpired(dispatcher.queue_, now)) {
    actions.push_back(Refusal(waiting, ResultCode::kDeadlinePassed));
  }
  if (dispatcher.queue_.waiting_.empty()) return;
  Capacity capacity = CurrentCapacity(dispatcher, now);
  int ahead = 0;
  int examined = 0;
  for (auto entry = dispatcher.queue_.waiting_.begin();
       entry != dispatcher.queue_.waiting_.end() && examined < kMaxExamined; ++examined) {
    WaitingCall& waiting = entry->second;
    ++entry;  // PlaceOne removes the call that it places.
    if (!PlaceOne(dispatcher, capacity, waiting, ahead, now, random, actions)) {
      ++ahead;
    } else if (actions.back().kind_ == ActionKind::kSend) {
      capacity.free_ = std::max(0, capacity.free_ - 1);
    }
  }
}

}  // namespace monsoonshelf::dispatch::internal
