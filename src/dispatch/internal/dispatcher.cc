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
using internal::MakeRefusal;
using internal::PendingCall;
using internal::SentCall;
using internal::TargetEvent;
using internal::TargetState;

namespace {

using std::chrono::milliseconds;

constexpr Duration kIdleTickInterval = std::chrono::seconds(1);

// Interval at which queued calls are considered again for other zones and for trial calls.
constexpr Duration kBusyTickInterval = milliseconds(5);

// Time for which a removed target is kept, so that its probes still count towards the probe budget.
constexpr Duration kRemovedTargetRetention = std::chrono::seconds(3);

// Maximum number of snapshots of targets that are not yet in the configuration.
constexpr std::size_t kMaxSnapshots = 1024;

// Returns the later of `now` and the latest time seen, so that time never goes backwards.
Time AdvanceClock(Dispatcher& dispatcher, Time now) {
  dispatcher.now_ = std::max(dispatcher.now_, now);
  return dispatcher.now_;
}

bool CanForgetTarget(const TargetState& target, Time now) {
  return target.phase_ == TargetPhase::kGone && target.in_flight_ == 0 &&
         !target.probe_sent_time_ && now >= target.downgrade_time_ + kRemovedTargetRetention;
}

// Updates the targets, places queued calls and sends probes. Called at the end of each event.
Actions PlaceAndProbe(Dispatcher& dispatcher, Time now, Random& random, Actions actions = {}) {
  internal::EndSuspicionPauses(dispatcher, now);
  internal::PlaceQueued(dispatcher, now, random, actions);
  internal::SendDueProbes(dispatcher, now, actions);
  return actions;
}

// Refuses a call that is still queued but has no available target or is not admitted.
void RefuseIfNotAdmitted(Dispatcher& dispatcher, const Call& call, Time now, Actions& actions) {
  const auto key = dispatcher.queue_.keys_by_handle_.find(call.handle_);
  if (key == dispatcher.queue_.keys_by_handle_.end()) return;
  const PendingCall& pending = dispatcher.queue_.calls_.at(key->second);
  ResultCode code = ResultCode::kNoTarget;
  if (internal::AnyTargetMayAcceptWork(dispatcher) ||
      internal::AnyZoneMayAcceptCall(dispatcher, pending, now)) {
    code =
        internal::CheckAdmission(dispatcher, internal::CurrentCapacity(dispatcher, now), call, now);
  }
  if (code == ResultCode::kOk) return;
  actions.push_back(MakeRefusal(*internal::RemoveCall(dispatcher.queue_, call.handle_), code));
}

// Returns true if the queue has room for the call. In a full queue, refuses the last call if it has
// a lower class than `call`.
bool MakeRoomInQueue(Dispatcher& dispatcher, const Call& call, Actions& actions) {
  const auto& queue = dispatcher.queue_;
  if (queue.calls_.size() < dispatcher.settings_.max_queue_) return true;
  const PendingCall* last = internal::LastCall(queue);
  if (last == nullptr || last->call_.class_ <= call.class_) return false;
  const CallHandle handle = last->call_.handle_;
  actions.push_back(
      MakeRefusal(*internal::RemoveCall(dispatcher.queue_, handle), ResultCode::kOverloaded));
  return true;
}

// Places the call at once or refuses it, because the queue is full.
Actions PlaceWithoutQueue(Dispatcher& dispatcher, PendingCall pending, Time now, Random& random) {
  const CallHandle handle = pending.call_.handle_;
  internal::PushCall(dispatcher.queue_, std::move(pending));
  Actions actions = PlaceAndProbe(dispatcher, now, random);
  if (auto unplaced = internal::RemoveCall(dispatcher.queue_, handle)) {
    actions.push_back(MakeRefusal(*unplaced, ResultCode::kQueueFull));
  }
  return actions;
}

void RecordSendEnd(Dispatcher& dispatcher, TargetState& target, const SentCall& call,
                   SendResult result, const std::optional<LoadReport>& report, Time now,
                   Random& random) {
  if (report) internal::ApplyReport(dispatcher, target, *report, call.sent_time_, now);
  internal::RecordResult(dispatcher, target, call, result, now, random);
  internal::ApplyResult(dispatcher, target, call, result, report, now);
  --target.in_flight_;
  const auto call_class = call.pending_.call_.class_;
  if (call_class == records::CallClass::kBulk || call_class == records::CallClass::kBatch) {
    --target.background_in_flight_;
  }
}

void ApplyTargetSpec(Dispatcher& dispatcher, TargetState& target, bool accepts_work, Time now) {
  target.accepts_work_ = accepts_work;
  if (!accepts_work) {
    if (target.phase_ == TargetPhase::kGone)
      internal::ApplyEvent(target, TargetEvent::kReturned, now);
    internal::ApplyEvent(target, TargetEvent::kLeft, now);
    dispatcher.snapshots_.erase(target.name_);
    return;
  }
  internal::ApplyEvent(target, TargetEvent::kReturned, now);
}

TargetState& AddTarget(Dispatcher& dispatcher, const std::string& name, Time now) {
  TargetState target;
  target.name_ = name;
  const auto known = dispatcher.snapshots_.find(name);
  if (known != dispatcher.snapshots_.end()) {
    internal::ApplySnapshot(target, known->second, now);
    dispatcher.snapshots_.erase(known);
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
  dispatcher->last_tick_ = now;
  return dispatcher;
}

void SetAssignment(Dispatcher& dispatcher, std::optional<Time> held_until, Time predecessor_end,
                   Time now) {
  now = AdvanceClock(dispatcher, now);
  const bool held = dispatcher.held_until_ && now < *dispatcher.held_until_;
  // A renewal of the assignment keeps the end of the previous holder.
  if (!held) dispatcher.predecessor_end_ = predecessor_end;
  dispatcher.held_until_ = held_until;
  dispatcher.tick_due_ = true;
}

Actions OnCallArrived(Dispatcher& dispatcher, const Call& call, Time now, Random& random) {
  now = AdvanceClock(dispatcher, now);
  PendingCall pending;
  pending.call_ = call;
  pending.arrival_time_ = now;
  internal::AddRetryTokens(dispatcher);
  if (call.class_ == records::CallClass::kInteractive) dispatcher.last_interactive_arrival_ = now;
  if (call.deadline_ <= now) return {MakeRefusal(pending, ResultCode::kDeadlinePassed)};
  Actions actions;
  if (!MakeRoomInQueue(dispatcher, call, actions)) {
    return PlaceWithoutQueue(dispatcher, std::move(pending), now, random);
  }
  internal::PushCall(dispatcher.queue_, std::move(pending));
  actions = PlaceAndProbe(dispatcher, now, random, std::move(actions));
  RefuseIfNotAdmitted(dispatcher, call, now, actions);
  return actions;
}

Actions OnSendFinished(Dispatcher& dispatcher, CallHandle call, const std::string& target,
                       SendResult result, const std::optional<LoadReport>& report, Time now,
                       Random& random, bool* call_finished) {
  now = AdvanceClock(dispatcher, now);
  *call_finished = true;
  const auto entry = dispatcher.sent_.find(call);
  if (entry == dispatcher.sent_.end() || entry->second.target_ != target) {
    return PlaceAndProbe(dispatcher, now, random);
  }
  SentCall sent = std::move(entry->second);
  dispatcher.sent_.erase(entry);
  if (TargetState* state = FindTarget(dispatcher, target)) {
    RecordSendEnd(dispatcher, *state, sent, result, report, now, random);
  }
  if (internal::ConsumeRetry(dispatcher, sent.pending_, result, now)) {
    *call_finished = false;
    sent.pending_.failed_target_ = target;
    internal::PushCall(dispatcher.queue_, std::move(sent.pending_));
  } else if (sent.pending_.may_have_run_ && internal::ProvesNotRun(result)) {
    // The last target did not run the call, but an earlier one may have.
    *call_finished = false;
    const bool refused = result == SendResult::kRefused;
    const auto code = refused ? ResultCode::kTargetRefused : ResultCode::kTargetUnreachable;
    return PlaceAndProbe(dispatcher, now, random, {MakeRefusal(sent.pending_, code)});
  }
  return PlaceAndProbe(dispatcher, now, random);
}

void OnRetryBudgetReturned(Dispatcher& dispatcher, CallHandle call, int retry_budget) {
  const auto sent = dispatcher.sent_.find(call);
  if (sent != dispatcher.sent_.end()) {
    Call& known = sent->second.pending_.call_;
    known.retry_budget_ = std::min(known.retry_budget_, retry_budget);
    sent->second.retry_budget_exhausted_ = retry_budget <= 0;
  }
  const auto forwarded = dispatcher.forwarded_.find(call);
  if (forwarded != dispatcher.forwarded_.end()) {
    Call& known = forwarded->second.pending_.call_;
    known.retry_budget_ = std::min(known.retry_budget_, retry_budget);
  }
}

Actions OnForwardRefused(Dispatcher& dispatcher, CallHandle call, const std::string& zone, Time now,
                         Random& random) {
  now = AdvanceClock(dispatcher, now);
  internal::RecordForwardRefusal(dispatcher, zone, now);
  const auto entry = dispatcher.forwarded_.find(call);
  if (entry == dispatcher.forwarded_.end()) return PlaceAndProbe(dispatcher, now, random);
  internal::RecordForwardEnd(dispatcher, entry->second);
  PendingCall pending = std::move(entry->second.pending_);
  dispatcher.forwarded_.erase(entry);
  pending.refused_zones_.push_back(zone);
  const Call copy = pending.call_;
  internal::PushCall(dispatcher.queue_, std::move(pending));
  Actions actions = PlaceAndProbe(dispatcher, now, random);
  RefuseIfNotAdmitted(dispatcher, copy, now, actions);
  return actions;
}

Actions OnForwardFinished(Dispatcher& dispatcher, CallHandle call, const std::string& /*zone*/,
                          Time now, Random& random) {
  now = AdvanceClock(dispatcher, now);
  const auto entry = dispatcher.forwarded_.find(call);
  if (entry != dispatcher.forwarded_.end()) {
    internal::RecordForwardEnd(dispatcher, entry->second);
    dispatcher.forwarded_.erase(entry);
  }
  return PlaceAndProbe(dispatcher, now, random);
}

void OnCallCancelled(Dispatcher& dispatcher, CallHandle call) {
  internal::RemoveCall(dispatcher.queue_, call);
}

Actions OnProbeFinished(Dispatcher& dispatcher, const std::string& target,
                        const std::optional<LoadReport>& report, Time now, Random& random) {
  now = AdvanceClock(dispatcher, now);
  TargetState* state = FindTarget(dispatcher, target);
  if (state != nullptr && state->probe_sent_time_) {
    const Time sent = *state->probe_sent_time_;
    internal::RecordProbeEnd(*state, now);
    if (report) {
      internal::ApplyReport(dispatcher, *state, *report, sent, now);
      state->last_response_time_ = now;
      state->unconfirmed_ = false;
    } else {
      state->confirmation_failed_ = true;
    }
  }
  return PlaceAndProbe(dispatcher, now, random);
}

Actions OnTargetsChanged(Dispatcher& dispatcher, const std::vector<TargetSpec>& targets, Time now,
                         Random& random) {
  now = AdvanceClock(dispatcher, now);
  for (TargetState& target : dispatcher.targets_) {
    const bool listed = std::any_of(targets.begin(), targets.end(), [&](const TargetSpec& spec) {
      return spec.name_ == target.name_;
    });
    if (listed) continue;
    target.accepts_work_ = false;
    internal::ApplyEvent(target, TargetEvent::kRemoved, now);
  }
  std::erase_if(dispatcher.targets_,
                [now](const TargetState& target) { return CanForgetTarget(target, now); });
  for (const TargetSpec& spec : targets) {
    TargetState* target = FindTarget(dispatcher, spec.name_);
    if (target == nullptr) target = &AddTarget(dispatcher, spec.name_, now);
    ApplyTargetSpec(dispatcher, *target, spec.accepts_work_, now);
  }
  Actions actions = PlaceAndProbe(dispatcher, now, random);
  if (internal::AnyTargetMayAcceptWork(dispatcher)) return actions;
  std::vector<Call> queued;
  for (const auto& [key, pending] : dispatcher.queue_.calls_) queued.push_back(pending.call_);
  for (const Call& call : queued) RefuseIfNotAdmitted(dispatcher, call, now, actions);
  return actions;
}

Actions OnSettingsChanged(Dispatcher& dispatcher, const ShardSettings& settings, Time now,
                          Random& random) {
  now = AdvanceClock(dispatcher, now);
  dispatcher.settings_ = settings;
  return PlaceAndProbe(dispatcher, now, random);
}

void OnRemoteShardLoad(Dispatcher& dispatcher, const RemoteShardLoad& remote, Time now) {
  internal::UpdateRemoteLoad(dispatcher, remote, AdvanceClock(dispatcher, now));
}

void OnTargetSnapshots(Dispatcher& dispatcher, const std::vector<TargetSnapshot>& targets,
                       Time now) {
  now = AdvanceClock(dispatcher, now);
  for (const TargetSnapshot& known : targets) {
    TargetState* state = FindTarget(dispatcher, known.name_);
    if (state != nullptr) {
      internal::ApplySnapshot(*state, known, now);
    } else if (dispatcher.snapshots_.size() < kMaxSnapshots) {
      dispatcher.snapshots_[known.name_] = known;
    }
  }
  dispatcher.tick_due_ = true;
}

Actions OnTick(Dispatcher& dispatcher, Time now, Random& random) {
  dispatcher.tick_due_ = false;
  dispatcher.last_tick_ = AdvanceClock(dispatcher, now);
  return PlaceAndProbe(dispatcher, dispatcher.last_tick_, random);
}

Time NextTick(const Dispatcher& dispatcher, Time now) {
  now = std::max(now, dispatcher.now_);
  if (dispatcher.tick_due_) return now;
  // The interval starts at the last tick. If it started at `now`, the result would move forward
  // with each query and the tick would never be due.
  Time next = dispatcher.last_tick_ + kIdleTickInterval;
  if (!dispatcher.queue_.calls_.empty()) next = dispatcher.last_tick_ + kBusyTickInterval;
  if (const auto deadline = internal::EarliestDeadline(dispatcher.queue_)) {
    next = std::min(next, *deadline);
  }
  if (dispatcher.held_until_ && now < *dispatcher.held_until_) {
    for (const TargetState& target : dispatcher.targets_) {
      const auto probe = internal::NextProbeTime(dispatcher, target, now);
      if (probe) next = std::min(next, std::max(*probe, dispatcher.predecessor_end_));
    }
  }
  // Work that a tick could not complete must not keep the owner in a busy loop.
  return std::max(next, dispatcher.last_tick_ + milliseconds(1));
}

ShardSummary Summarize(const Dispatcher& dispatcher, Time now) {
  now = std::max(now, dispatcher.now_);
  ShardSummary summary;
  summary.queued_ = static_cast<int>(dispatcher.queue_.calls_.size());
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
