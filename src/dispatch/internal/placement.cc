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

// Calls to targets that require the assignment have a deadline that is this much before the end of
// the lease, so that they end while this host still holds it.
constexpr Duration kLeaseEndMargin = milliseconds(100);

// A call whose deadline is cut by the end of the lease is sent only if it has at least this time.
constexpr Duration kMinTimeBeforeLeaseEnd = milliseconds(50);

// For this time after an interactive call, bulk and batch calls use at most one slot of a target,
// so that a slot stays free for the next interactive call.
constexpr Duration kInteractiveReservation = std::chrono::seconds(1);

// A cold target receives a call at least at this interval even if it is slow, so that it warms up.
constexpr Duration kColdSendInterval = milliseconds(100);

// Time for which a due trial waits for a call that can be retried. After it, any call is used.
constexpr Duration kTrialMaxWait = milliseconds(500);

// Time constant of the exponential decay of the reported load of other hosts.
constexpr double kOtherHostsLoadDecayUs = 30'000;

// A target without a response for longer than this may have restarted. It receives one call at a
// time until it responds.
constexpr Duration kMaxSilence = std::chrono::seconds(2);

// Maximum number of queued calls examined per event. Calls further back would be served later
// anyway.
constexpr int kMaxCallsExamined = 64;

bool IsBackground(records::CallClass call_class) {
  return call_class == records::CallClass::kBulk || call_class == records::CallClass::kBatch;
}

Time SendDeadline(const Dispatcher& dispatcher, const TargetState& target, const Call& call) {
  if (!RequiresAssignment(target.phase_) || !dispatcher.held_until_) return call.deadline_;
  return std::min(call.deadline_, *dispatcher.held_until_ - kLeaseEndMargin);
}

bool HasTimeToSend(const Dispatcher& dispatcher, const TargetState& target, const Call& call,
                   Time now) {
  const Time deadline = SendDeadline(dispatcher, target, call);
  return deadline > now && (deadline == call.deadline_ || deadline >= now + kMinTimeBeforeLeaseEnd);
}

bool LeavesRoomForInteractive(const Dispatcher& dispatcher, const TargetState& target,
                              const Call& call, Time now) {
  if (!IsBackground(call.class_) || target.background_in_flight_ == 0) return true;
  if (HasClass(dispatcher.queue_, records::CallClass::kInteractive)) return false;
  return dispatcher.last_interactive_arrival_ + kInteractiveReservation < now;
}

// Returns true if the target is not ejected, ejection is ignored, or the call may be its trial
// call.
bool IsAllowedByEjection(const Dispatcher& dispatcher, const TargetState& target, const Call& call,
                         Time now) {
  if (!target.health_.ejected_ || AllEjected(dispatcher)) return true;
  if (!MaySendTrial(target, now)) return false;
  return (call.idempotent_ && call.attempts_left_ > 1 && call.retry_budget_ > 0) ||
         now >= target.health_.next_trial_time_ + kTrialMaxWait;
}

bool CanAcceptCall(const Dispatcher& dispatcher, const TargetState& target,
                   const PendingCall& pending, Time now) {
  return UsedSlots(target, now) < SlotLimit(dispatcher, target, now) &&
         HasTimeToSend(dispatcher, target, pending.call_, now) &&
         LeavesRoomForInteractive(dispatcher, target, pending.call_, now) &&
         IsAllowedByEjection(dispatcher, target, pending.call_, now);
}

double OtherHostsCalls(const TargetState& target, Time now) {
  const OtherHostsLoad& other_hosts = target.other_hosts_load_;
  const double age_us = static_cast<double>((now - other_hosts.report_time_).count());
  return other_hosts.in_flight_ * other_hosts.confidence_ *
         std::exp(-age_us / kOtherHostsLoadDecayUs);
}

// Returns true if the expected wait for a faster target is shorter than the additional service time
// of a slow target.
bool IsWaitingFaster(const Capacity& capacity, double expected_us, int ahead) {
  if (capacity.fast_calls_per_us_ <= 0) return false;
  const double wait_us = (ahead + 1) / capacity.fast_calls_per_us_;
  return expected_us - capacity.typical_service_us_ > wait_us;
}

struct Candidate {
  TargetState* target_ = nullptr;
  double score_ = 0;
  int ties_ = 0;
};

void UpdateBest(Candidate& best, TargetState& target, double score, Random& random) {
  if (best.target_ == nullptr || score < best.score_) {
    best = {&target, score, 1};
  } else if (score == best.score_ && random() % ++best.ties_ == 0) {
    best.target_ = &target;
  }
}

TargetState* ChooseTarget(Dispatcher& dispatcher, const Capacity& capacity,
                          const PendingCall& pending, int ahead, Time now, Random& random) {
  Candidate best;
  Candidate last_resort;
  for (TargetState& target : dispatcher.targets_) {
    if (!CanAcceptCall(dispatcher, target, pending, now)) continue;
    const double load = target.in_flight_ + OtherHostsCalls(target, now);
    if (target.name_ == pending.failed_target_) {
      UpdateBest(last_resort, target, load, random);
      continue;
    }
    // A due trial has precedence over other targets. Without trial calls, the recovery of the
    // target would not be detected.
    if (target.health_.ejected_) {
      UpdateBest(best, target, -1, random);
      continue;
    }
    const double typical_us = capacity.typical_service_us_;
    const double expected_us = ExpectedServiceTimeUs(dispatcher, target, typical_us, now);
    const bool rarely_used =
        target.phase_ == TargetPhase::kCold && now >= target.last_send_time_ + kColdSendInterval;
    const bool slow = typical_us > 0 && IsSlow(expected_us, typical_us) && !rarely_used;
    if (slow && IsWaitingFaster(capacity, expected_us, ahead)) continue;
    UpdateBest(best, target, load + (slow ? 1000 * expected_us / typical_us : 0), random);
  }
  return best.target_ != nullptr ? best.target_ : last_resort.target_;
}

void SendToTarget(Dispatcher& dispatcher, TargetState& target, PendingCall pending, Time now,
                  Actions& actions) {
  Action action;
  action.kind_ = ActionKind::kSend;
  action.call_ = pending.call_.handle_;
  action.target_ = target.name_;
  action.deadline_ = SendDeadline(dispatcher, target, pending.call_);
  action.retry_budget_ = pending.call_.retry_budget_;
  actions.push_back(action);
  const bool silent = target.in_flight_ == 0 && now >= target.last_response_time_ + kMaxSilence;
  if (silent && target.phase_ == TargetPhase::kReady) target.unconfirmed_ = true;
  ++target.in_flight_;
  if (IsBackground(pending.call_.class_)) ++target.background_in_flight_;
  target.last_send_time_ = now;
  --pending.call_.attempts_left_;
  SentCall sent{std::move(pending), target.name_, now, action.deadline_};
  dispatcher.sent_[action.call_] = std::move(sent);
}

void ForwardToZone(Dispatcher& dispatcher, RemoteState& remote, PendingCall pending, Time now,
                   Actions& actions) {
  Action action;
  action.kind_ = ActionKind::kForward;
  action.call_ = pending.call_.handle_;
  action.zone_ = remote.load_.zone_;
  action.deadline_ = pending.call_.deadline_;
  action.retry_budget_ = pending.call_.retry_budget_;
  actions.push_back(action);
  ++remote.unreported_forwards_;
  dispatcher.forwarded_[action.call_] = {std::move(pending), action.zone_, now};
}

// Sends, forwards or refuses a queued call. Returns false if it stays queued.
bool PlaceCall(Dispatcher& dispatcher, const Capacity& capacity, PendingCall& pending, int ahead,
               Time now, Random& random, Actions& actions) {
  const CallHandle handle = pending.call_.handle_;
  if (WouldMissDeadline(dispatcher, pending.call_, now)) {
    actions.push_back(MakeRefusal(pending, ResultCode::kDeadlineTooShort));
    RemoveCall(dispatcher.queue_, handle);
    return true;
  }
  TargetState* target = ChooseTarget(dispatcher, capacity, pending, ahead, now, random);
  if (target != nullptr) {
    SendToTarget(dispatcher, *target, *RemoveCall(dispatcher.queue_, handle), now, actions);
    return true;
  }
  RemoteState* remote = ChooseZone(dispatcher, capacity, pending, ahead, now, random);
  if (remote != nullptr) {
    ForwardToZone(dispatcher, *remote, *RemoveCall(dispatcher.queue_, handle), now, actions);
    return true;
  }
  return false;
}

}  // namespace

Action MakeRefusal(const PendingCall& pending, ResultCode code) {
  Action action;
  action.kind_ = ActionKind::kRefuse;
  action.call_ = pending.call_.handle_;
  action.code_ = code;
  action.outcome_ = pending.may_have_run_ ? CallOutcome::kUnknown : CallOutcome::kNotRun;
  return action;
}

void PlaceQueued(Dispatcher& dispatcher, Time now, Random& random, Actions& actions) {
  for (const PendingCall& pending : RemoveExpired(dispatcher.queue_, now)) {
    actions.push_back(MakeRefusal(pending, ResultCode::kDeadlinePassed));
  }
  if (dispatcher.queue_.calls_.empty()) return;
  Capacity capacity = CurrentCapacity(dispatcher, now);
  int ahead = 0;
  int examined = 0;
  for (auto entry = dispatcher.queue_.calls_.begin();
       entry != dispatcher.queue_.calls_.end() && examined < kMaxCallsExamined; ++examined) {
    PendingCall& pending = entry->second;
    ++entry;  // PlaceCall removes the call that it places.
    if (!PlaceCall(dispatcher, capacity, pending, ahead, now, random, actions)) {
      ++ahead;
    } else if (actions.back().kind_ == ActionKind::kSend) {
      capacity.free_slots_ = std::max(0, capacity.free_slots_ - 1);
    }
  }
}

}  // namespace monsoonshelf::dispatch::internal
