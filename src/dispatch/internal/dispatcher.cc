#include "dispatch/dispatcher.h"

#include <algorithm>
#include <utility>

#include "dispatch/internal/admission.h"
#include "dispatch/internal/dispatcher_state.h"
#include "dispatch/internal/health.h"
#include "dispatch/internal/phases.h"
#include "dispatch/internal/placement.h"
#include "dispatch/internal/probes.h"
#include "dispatch/internal/retries.h"
#include "dispatch/internal/spill_over.h"

namespace monsoonshelf::dispatch {

using internal::FindTarget;
using internal::Refusal;
using internal::SentCall;
using internal::TargetEvent;
using internal::TargetState;
using internal::WaitingCall;

namespace {

using std::chrono::milliseconds;

constexpr Duration kIdleTick = std::chrono::seconds(1);

// Interval at which waiting calls are reconsidered for other zones and trials.
constexpr Duration kBusyTick = milliseconds(5);

// A removed target is remembered until its probes are out of every window.
constexpr Duration kKeepGone = std::chrono::seconds(3);

// Names of targets that a peer can announce before the configuration has them.
constexpr std::size_t kMaxKnowledge = 1024;

// Time never runs backwards for a dispatcher.
Time Advance(Dispatcher& dispatcher, Time now) {
  dispatcher.now_ = std::max(dispatcher.now_, now);
  return dispatcher.now_;
}

bool IsForgotten(const TargetState& target, Time now) {
  return target.phase_ == TargetPhase::kGone && target.in_flight_ == 0 && !target.probe_sent_ &&
         now >= target.doubted_since_ + kKeepGone;
}

Actions Settle(Dispatcher& dispatcher, Time now, Random& random, Actions actions = {}) {
  internal::EndPauses(dispatcher, now);
  internal::PlaceQueued(dispatcher, now, random, actions);
  internal::SendProbes(dispatcher, now, actions);
  return actions;
}

// Refuses a call that is still queued and has no prospect.
void Judge(Dispatcher& dispatcher, const Call& call, Time now, Actions& actions) {
  const auto key = dispatcher.queue_.keys_.find(call.handle_);
  if (key == dispatcher.queue_.keys_.end()) return;
  const WaitingCall& waiting = dispatcher.queue_.waiting_.at(key->second);
  ResultCode code = ResultCode::kNoTarget;
  if (internal::AnyTargetMayRecover(dispatcher) ||
      internal::AnyZoneMayTake(dispatcher, waiting, now)) {
    code = internal::Admit(dispatcher, internal::CurrentCapacity(dispatcher, now), call, now);
  }
  if (code == ResultCode::kOk) return;
  actions.push_back(Refusal(*internal::Take(dispatcher.queue_, call.handle_), code));
}

// Makes room in a full queue by refusing the last call if the new one goes before it.
bool MakeRoom(Dispatcher& dispatcher, const Call& call, Actions& actions) {
  const auto& queue = dispatcher.queue_;
  if (queue.waiting_.size() < dispatcher.settings_.max_queue_) return true;
  const WaitingCall* last = internal::Last(queue);
  if (last == nullptr || last->call_.class_ <= call.class_) return false;
  const CallHandle handle = last->call_.handle_;
  actions.push_back(Refusal(*internal::Take(dispatcher.queue_, handle), ResultCode::kOverloaded));
  return true;
}

// A queue without room takes a call only if it can be placed at once.
Actions PlaceWithoutQueue(Dispatcher& dispatcher, WaitingCall waiting, Time now, Random& random) {
  const CallHandle handle = waiting.call_.handle_;
  internal::Push(dispatcher.queue_, std::move(waiting));
  Actions actions = Settle(dispatcher, now, random);
  if (auto left = internal::Take(dispatcher.queue_, handle)) {
    actions.push_back(Refusal(*left, ResultCode::kQueueFull));
  }
  return actions;
}

void EndSend(Dispatcher& dispatcher, TargetState& target, const SentCall& call, SendResult result,
             const std::optional<LoadReport>& report, Time now, Random& random) {
  if (report) internal::ApplyReport(dispatcher, target, *report, call.sent_, now);
  internal::ObserveResult(dispatcher, target, call, result, now, random);
  internal::ApplyResult(dispatcher, target, call, result, report, now);
  --target.in_flight_;
  const auto call_class = call.waiting_.call_.class_;
  if (call_class == records::CallClass::kBulk || call_class == records::CallClass::kBatch) {
    --target.background_;
  }
}

void ApplySpec(Dispatcher& dispatcher, TargetState& target, bool accepts_work, Time now) {
  target.accepts_work_ = accepts_work;
  if (!accepts_work) {
    if (target.phase_ == TargetPhase::kGone) internal::Apply(target, TargetEvent::kReturned, now);
    internal::Apply(target, TargetEvent::kLeft, now);
    dispatcher.knowledge_.erase(target.name_);
    return;
  }
  internal::Apply(target, TargetEvent::kReturned, now);
}

TargetState& AddTarget(Dispatcher& dispatcher, const std::string& name, Time now) {
  TargetState target;
  target.name_ = name;
  const auto known = dispatcher.knowledge_.find(name);
  if (known != dispatcher.knowledge_.end()) {
    internal::ApplyKnowledge(target, known->second, now);
    dispatcher.knowledge_.erase(known);
  }
  dispatcher.targets_.push_back(std::move(target));
  return dispatcher.targets_.back();
}

}  // namespace

void DispatcherDeleter::operator()(Dispatcher* dispatcher) const { delete dispatcher; }

DispatcherPtr MakeDispatcher(ShardSettings settings, Time now) {
  DispatcherPtr dispatcher(new Dispatcher);
  dispatcher->settings_ = std::move(settings);
  dispatcher->now_ = now;
  dispatcher->ticked_ = now;
  return dispatcher;
}

void SetAssignment(Dispatcher& dispatcher, std::optional<Time> held_until, Time predecessor_end,
                   Time now) {
  now = Advance(dispatcher, now);
  const bool held = dispatcher.held_until_ && now < *dispatcher.held_until_;
  // A renewal keeps what is known about the predecessor.
  if (!held) dispatcher.predecessor_end_ = predecessor_end;
  dispatcher.held_until_ = held_until;
  dispatcher.advance_due_ = true;
}

Actions OnCallArrived(Dispatcher& dispatcher, const Call& call, Time now, Random& random) {
  now = Advance(dispatcher, now);
  WaitingCall waiting;
  waiting.call_ = call;
  waiting.arrived_ = now;
  internal::EarnRetryTokens(dispatcher);
  if (call.class_ == records::CallClass::kInteractive) dispatcher.last_interactive_ = now;
  if (call.deadline_ <= now) return {Refusal(waiting, ResultCode::kDeadlinePassed)};
  Actions actions;
  if (!MakeRoom(dispatcher, call, actions)) {
    return PlaceWithoutQueue(dispatcher, std::move(waiting), now, random);
  }
  internal::Push(dispatcher.queue_, std::move(waiting));
  actions = Settle(dispatcher, now, random, std::move(actions));
  Judge(dispatcher, call, now, actions);
  return actions;
}

Actions OnSendFinished(Dispatcher& dispatcher, CallHandle call, const std::string& target,
                       SendResult result, const std::optional<LoadReport>& report, Time now,
                       Random& random, bool* call_finished) {
  now = Advance(dispatcher, now);
  *call_finished = true;
  const auto entry = dispatcher.sent_.find(call);
  if (entry == dispatcher.sent_.end() || entry->second.target_ != target) {
    return Settle(dispatcher, now, random);
  }
  SentCall sent = std::move(entry->second);
  dispatcher.sent_.erase(entry);
  if (TargetState* state = FindTarget(dispatcher, target)) {
    EndSend(dispatcher, *state, sent, result, report, now, random);
  }
  if (internal::TakeRetry(dispatcher, sent.waiting_, result, now)) {
    *call_finished = false;
    sent.waiting_.failed_target_ = target;
    internal::Push(dispatcher.queue_, std::move(sent.waiting_));
  } else if (sent.waiting_.may_have_run_ && internal::SurelyNotRun(result)) {
    // The last target did not run the call, but an earlier one may have.
    *call_finished = false;
    const bool refused = result == SendResult::kRefused;
    const auto code = refused ? ResultCode::kTargetRefused : ResultCode::kTargetUnreachable;
    return Settle(dispatcher, now, random, {Refusal(sent.waiting_, code)});
  }
  return Settle(dispatcher, now, random);
}

void OnRetryBudgetReturned(Dispatcher& dispatcher, CallHandle call, int retry_budget) {
  const auto sent = dispatcher.sent_.find(call);
  if (sent != dispatcher.sent_.end()) {
    Call& known = sent->second.waiting_.call_;
    known.retry_budget_ = std::min(known.retry_budget_, retry_budget);
    sent->second.failed_below_ = retry_budget <= 0;
  }
  const auto forwarded = dispatcher.forwarded_.find(call);
  if (forwarded != dispatcher.forwarded_.end()) {
    Call& known = forwarded->second.waiting_.call_;
    known.retry_budget_ = std::min(known.retry_budget_, retry_budget);
  }
}

Actions OnForwardRefused(Dispatcher& dispatcher, CallHandle call, const std::string& zone, Time now,
                         Random& random) {
  now = Advance(dispatcher, now);
  internal::ObserveForwardRefused(dispatcher, zone, now);
  const auto entry = dispatcher.forwarded_.find(call);
  if (entry == dispatcher.forwarded_.end()) return Settle(dispatcher, now, random);
  internal::ObserveForwardEnd(dispatcher, entry->second);
  WaitingCall waiting = std::move(entry->second.waiting_);
  dispatcher.forwarded_.erase(entry);
  waiting.refused_zones_.push_back(zone);
  const Call copy = waiting.call_;
  internal::Push(dispatcher.queue_, std::move(waiting));
  Actions actions = Settle(dispatcher, now, random);
  Judge(dispatcher, copy, now, actions);
  return actions;
}

Actions OnForwardFinished(Dispatcher& dispatcher, CallHandle call, const std::string& /*zone*/,
                          Time now, Random& random) {
  now = Advance(dispatcher, now);
  const auto entry = dispatcher.forwarded_.find(call);
  if (entry != dispatcher.forwarded_.end()) {
    internal::ObserveForwardEnd(dispatcher, entry->second);
    dispatcher.forwarded_.erase(entry);
  }
  return Settle(dispatcher, now, random);
}

void OnCallCancelled(Dispatcher& dispatcher, CallHandle call) {
  internal::Take(dispatcher.queue_, call);
}

Actions OnProbeFinished(Dispatcher& dispatcher, const std::string& target,
                        const std::optional<LoadReport>& report, Time now, Random& random) {
  now = Advance(dispatcher, now);
  TargetState* state = FindTarget(dispatcher, target);
  if (state != nullptr && state->probe_sent_) {
    const Time sent = *state->probe_sent_;
    internal::EndProbe(*state, now);
    if (report) {
      internal::ApplyReport(dispatcher, *state, *report, sent, now);
      state->last_response_ = now;
      state->unconfirmed_ = false;
    } else {
      state->confirmation_failed_ = true;
    }
  }
  return Settle(dispatcher, now, random);
}

Actions OnTargetsChanged(Dispatcher& dispatcher, const std::vector<TargetSpec>& targets, Time now,
                         Random& random) {
  now = Advance(dispatcher, now);
  for (TargetState& target : dispatcher.targets_) {
    const bool listed = std::any_of(targets.begin(), targets.end(), [&](const TargetSpec& spec) {
      return spec.name_ == target.name_;
    });
    if (listed) continue;
    target.accepts_work_ = false;
    internal::Apply(target, TargetEvent::kRemoved, now);
  }
  std::erase_if(dispatcher.targets_,
                [now](const TargetState& target) { return IsForgotten(target, now); });
  for (const TargetSpec& spec : targets) {
    TargetState* target = FindTarget(dispatcher, spec.name_);
    if (target == nullptr) target = &AddTarget(dispatcher, spec.name_, now);
    ApplySpec(dispatcher, *target, spec.accepts_work_, now);
  }
  Actions actions = Settle(dispatcher, now, random);
  if (internal::AnyTargetMayRecover(dispatcher)) return actions;
  std::vector<Call> stranded;
  for (const auto& [key, waiting] : dispatcher.queue_.waiting_) stranded.push_back(waiting.call_);
  for (const Call& call : stranded) Judge(dispatcher, call, now, actions);
  return actions;
}

Actions OnSettingsChanged(Dispatcher& dispatcher, const ShardSettings& settings, Time now,
                          Random& random) {
  now = Advance(dispatcher, now);
  dispatcher.settings_ = settings;
  return Settle(dispatcher, now, random);
}

void OnRemoteShardLoad(Dispatcher& dispatcher, const RemoteShardLoad& remote, Time now) {
  internal::ObserveRemote(dispatcher, remote, Advance(dispatcher, now));
}

void OnTargetSnapshots(Dispatcher& dispatcher, const std::vector<TargetSnapshot>& targets,
                       Time now) {
  now = Advance(dispatcher, now);
  for (const TargetSnapshot& known : targets) {
    TargetState* state = FindTarget(dispatcher, known.name_);
    if (state != nullptr) {
      internal::ApplyKnowledge(*state, known, now);
    } else if (dispatcher.knowledge_.size() < kMaxKnowledge) {
      dispatcher.knowledge_[known.name_] = known;
    }
  }
  dispatcher.advance_due_ = true;
}

Actions OnTick(Dispatcher& dispatcher, Time now, Random& random) {
  dispatcher.advance_due_ = false;
  dispatcher.ticked_ = Advance(dispatcher, now);
  return Settle(dispatcher, dispatcher.ticked_, random);
}

Time NextTick(const Dispatcher& dispatcher, Time now) {
  now = std::max(now, dispatcher.now_);
  if (dispatcher.advance_due_) return now;
  // Counted from the last tick: a time counted from `now` would move on with each question.
  Time next = dispatcher.ticked_ + kIdleTick;
  if (!dispatcher.queue_.waiting_.empty()) next = dispatcher.ticked_ + kBusyTick;
  if (const auto deadline = internal::EarliestDeadline(dispatcher.queue_)) {
    next = std::min(next, *deadline);
  }
  if (dispatcher.held_until_ && now < *dispatcher.held_until_) {
    for (const TargetState& target : dispatcher.targets_) {
      const auto probe = internal::NextProbe(dispatcher, target, now);
      if (probe) next = std::min(next, std::max(*probe, dispatcher.predecessor_end_));
    }
  }
  // What a tick left undone must not make the owner spin.
  return std::max(next, dispatcher.ticked_ + milliseconds(1));
}

ShardSummary Summarize(const Dispatcher& dispatcher, Time now) {
  now = std::max(now, dispatcher.now_);
  ShardSummary summary;
  summary.queued_ = static_cast<int>(dispatcher.queue_.waiting_.size());
  summary.queued_interactive_ =
      internal::CountClass(dispatcher.queue_, records::CallClass::kInteractive);
  for (const TargetState& target : dispatcher.targets_) {
    const int limit = internal::SlotLimit(dispatcher, target, now);
    const int used = internal::UsedSlots(target, now);
    if (!target.health_.ejected_) summary.free_slots_ += std::max(0, limit - used);
    const bool ready = target.accepts_work_ && target.phase_ == TargetPhase::kReady;
    if (ready && !target.health_.ejected_) ++summary.ready_targets_;
    summary.targets_.push_back(
        {target.name_, target.phase_, target.epoch_.value_or(0), target.in_flight_, limit});
  }
  return summary;
}

}  // namespace monsoonshelf::dispatch
