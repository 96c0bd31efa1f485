#include "dispatch/internal/placement.h"

#include <algorithm>
#include <utility>

namespace monsoonshelf::dispatch::internal {

namespace {

// Time kept free before the end of the lease, so that work on a cold target ends while it is held.
constexpr Duration kLeaseMargin = std::chrono::milliseconds(100);

bool IsStrict(TargetPhase phase) {
  return phase == TargetPhase::kCold || phase == TargetPhase::kWarming;
}

Time SendDeadline(const Dispatcher& dispatcher, const TargetState& target, const Call& call) {
  if (!IsStrict(target.phase_) || !dispatcher.held_until_) return call.deadline_;
  return std::min(call.deadline_, *dispatcher.held_until_ - kLeaseMargin);
}

TargetState* ChooseTarget(Dispatcher& dispatcher, const WaitingCall& waiting, Time now,
                          Random& random) {
  TargetState* best = nullptr;
  int ties = 0;
  for (TargetState& target : dispatcher.targets_) {
    if (target.in_flight_ >= SlotLimit(dispatcher, target, now)) continue;
    if (SendDeadline(dispatcher, target, waiting.call_) <= now) continue;
    if (best == nullptr || target.in_flight_ < best->in_flight_) {
      best = &target;
      ties = 1;
    } else if (target.in_flight_ == best->in_flight_ && random() % ++ties == 0) {
      best = &target;
    }
  }
  return best;
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
  ++target.in_flight_;
  --waiting.call_.attempts_left_;
  SentCall sent{std::move(waiting), target.name_, now, action.deadline_};
  dispatcher.sent_[action.call_] = std::move(sent);
}

}  // namespace

TargetState* FindTarget(Dispatcher& dispatcher, const std::string& name) {
  for (TargetState& target : dispatcher.targets_) {
    if (target.name_ == name) return &target;
  }
  return nullptr;
}

bool MayUseStrictLimits(const Dispatcher& dispatcher, Time now) {
  return dispatcher.held_until_ && now < *dispatcher.held_until_ &&
         now >= dispatcher.predecessor_end_;
}

int SlotLimit(const Dispatcher& dispatcher, const TargetState& target, Time now) {
  if (!target.accepts_work_) return 0;
  if (target.phase_ == TargetPhase::kReady) return dispatcher.settings_.limits_.slots_;
  if (!IsStrict(target.phase_) || !MayUseStrictLimits(dispatcher, now)) return 0;
  return std::min(dispatcher.settings_.limits_.cold_limit_, dispatcher.settings_.limits_.slots_);
}

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
  while (!dispatcher.queue_.waiting_.empty()) {
    const WaitingCall& first = dispatcher.queue_.waiting_.begin()->second;
    TargetState* target = ChooseTarget(dispatcher, first, now, random);
    if (target == nullptr) return;
    const CallHandle handle = first.call_.handle_;
    Send(dispatcher, *target, *Take(dispatcher.queue_, handle), now, actions);
  }
}

}  // namespace monsoonshelf::dispatch::internal
