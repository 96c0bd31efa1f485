#include "dispatch/dispatcher.h"

#include <algorithm>
#include <utility>

#include "dispatch/internal/dispatcher_state.h"
#include "dispatch/internal/placement.h"

namespace monsoonshelf::dispatch {

using internal::FindTarget;
using internal::TargetState;
using internal::WaitingCall;

namespace {

constexpr Duration kIdleTick = std::chrono::seconds(1);

Duration ProbeInterval(const Dispatcher& dispatcher) {
  const double rate = dispatcher.settings_.limits_.probes_per_second_;
  return rate <= 0 ? Duration::max() : Duration(static_cast<Duration::rep>(1e6 / rate) + 1);
}

void ApplyReport(Dispatcher& dispatcher, TargetState& target, const LoadReport& report) {
  if (target.epoch_ != report.epoch_) target.phase_ = TargetPhase::kCold;
  target.epoch_ = report.epoch_;
  target.phase_ = report.phase_;
  (void)dispatcher;
}

void SendProbes(Dispatcher& dispatcher, Time now, Actions& actions) {
  if (!internal::MayUseStrictLimits(dispatcher, now)) return;
  if (dispatcher.settings_.limits_.probes_per_second_ <= 0) return;
  for (TargetState& target : dispatcher.targets_) {
    if (target.phase_ == TargetPhase::kReady || target.phase_ == TargetPhase::kGone) continue;
    if (target.probe_sent_ || now < target.next_probe_) continue;
    Action probe;
    probe.kind_ = ActionKind::kProbe;
    probe.target_ = target.name_;
    actions.push_back(probe);
    target.probe_sent_ = now;
    target.next_probe_ = now + ProbeInterval(dispatcher);
  }
}

bool MayRetry(const WaitingCall& waiting, SendResult result, Time now) {
  const Call& call = waiting.call_;
  if (call.attempts_left_ <= 0 || call.retry_budget_ <= 0 || call.deadline_ <= now) return false;
  if (result == SendResult::kAnswered || result == SendResult::kCancelled) return false;
  const bool not_run = result == SendResult::kRefused || result == SendResult::kUnreachable;
  return not_run || call.idempotent_;
}

Actions Advance(Dispatcher& dispatcher, Time now, Random& random, Actions actions = {}) {
  internal::PlaceQueued(dispatcher, now, random, actions);
  SendProbes(dispatcher, now, actions);
  return actions;
}

}  // namespace

void DispatcherDeleter::operator()(Dispatcher* dispatcher) const { delete dispatcher; }

DispatcherPtr MakeDispatcher(ShardSettings settings, Time /*now*/) {
  DispatcherPtr dispatcher(new Dispatcher);
  dispatcher->settings_ = std::move(settings);
  return dispatcher;
}

void SetAssignment(Dispatcher& dispatcher, std::optional<Time> held_until, Time predecessor_end,
                   Time /*now*/) {
  dispatcher.held_until_ = held_until;
  dispatcher.predecessor_end_ = predecessor_end;
}

Actions OnCallArrived(Dispatcher& dispatcher, const Call& call, Time now, Random& random) {
  WaitingCall waiting{call, now, {}, false, false};
  if (call.deadline_ <= now) return {internal::Refusal(waiting, ResultCode::kDeadlinePassed)};
  if (dispatcher.targets_.empty()) return {internal::Refusal(waiting, ResultCode::kNoTarget)};
  const bool queue_full = dispatcher.queue_.waiting_.size() >= dispatcher.settings_.max_queue_;
  if (queue_full) return {internal::Refusal(waiting, ResultCode::kQueueFull)};
  internal::Push(dispatcher.queue_, std::move(waiting));
  return Advance(dispatcher, now, random);
}

Actions OnSendFinished(Dispatcher& dispatcher, CallHandle call, const std::string& target,
                       SendResult result, const std::optional<LoadReport>& report, Time now,
                       Random& random, bool* call_finished) {
  *call_finished = true;
  const auto entry = dispatcher.sent_.find(call);
  if (entry == dispatcher.sent_.end() || entry->second.target_ != target) {
    return Advance(dispatcher, now, random);
  }
  WaitingCall waiting = std::move(entry->second.waiting_);
  dispatcher.sent_.erase(entry);
  if (TargetState* state = FindTarget(dispatcher, target)) {
    --state->in_flight_;
    if (report) ApplyReport(dispatcher, *state, *report);
    if (result == SendResult::kUnreachable || result == SendResult::kLost) {
      state->phase_ = TargetPhase::kSuspected;
    }
  }
  if (MayRetry(waiting, result, now)) {
    *call_finished = false;
    --waiting.call_.retry_budget_;
    waiting.failed_target_ = target;
    if (result != SendResult::kRefused && result != SendResult::kUnreachable) {
      waiting.may_have_run_ = true;
    }
    internal::Push(dispatcher.queue_, std::move(waiting));
  }
  return Advance(dispatcher, now, random);
}

Actions OnForwardRefused(Dispatcher& dispatcher, CallHandle call, const std::string& /*zone*/,
                         Time now, Random& random) {
  const auto entry = dispatcher.forwarded_.find(call);
  if (entry != dispatcher.forwarded_.end()) {
    WaitingCall waiting = std::move(entry->second.waiting_);
    dispatcher.forwarded_.erase(entry);
    waiting.stay_local_ = true;
    internal::Push(dispatcher.queue_, std::move(waiting));
  }
  return Advance(dispatcher, now, random);
}

Actions OnForwardFinished(Dispatcher& dispatcher, CallHandle call, const std::string& /*zone*/,
                          Time now, Random& random) {
  dispatcher.forwarded_.erase(call);
  return Advance(dispatcher, now, random);
}

void OnCallCancelled(Dispatcher& dispatcher, CallHandle call) {
  internal::Take(dispatcher.queue_, call);
}

Actions OnProbeFinished(Dispatcher& dispatcher, const std::string& target,
                        const std::optional<LoadReport>& report, Time now, Random& random) {
  if (TargetState* state = FindTarget(dispatcher, target)) {
    state->probe_sent_.reset();
    if (report) ApplyReport(dispatcher, *state, *report);
  }
  return Advance(dispatcher, now, random);
}

Actions OnTargetsChanged(Dispatcher& dispatcher, const std::vector<TargetSpec>& targets, Time now,
                         Random& random) {
  std::vector<TargetState> states;
  for (const TargetSpec& spec : targets) {
    TargetState state;
    if (const TargetState* known = FindTarget(dispatcher, spec.name_)) state = *known;
    state.name_ = spec.name_;
    state.accepts_work_ = spec.accepts_work_;
    const auto knowledge = dispatcher.knowledge_.find(spec.name_);
    if (state.epoch_ == 0 && knowledge != dispatcher.knowledge_.end()) {
      state.phase_ = knowledge->second.phase_;
      state.epoch_ = knowledge->second.epoch_;
    }
    states.push_back(std::move(state));
  }
  dispatcher.targets_ = std::move(states);
  return Advance(dispatcher, now, random);
}

Actions OnSettingsChanged(Dispatcher& dispatcher, const ShardSettings& settings, Time now,
                          Random& random) {
  dispatcher.settings_ = settings;
  return Advance(dispatcher, now, random);
}

void OnRemoteShard(Dispatcher& dispatcher, const RemoteShard& remote, Time /*now*/) {
  dispatcher.remotes_[remote.zone_] = remote;
}

void OnTargetKnowledge(Dispatcher& dispatcher, const std::vector<TargetKnowledge>& targets,
                       Time /*now*/) {
  for (const TargetKnowledge& known : targets) {
    dispatcher.knowledge_[known.name_] = known;
    TargetState* state = FindTarget(dispatcher, known.name_);
    if (state == nullptr || state->epoch_ != 0) continue;
    state->phase_ = known.phase_;
    state->epoch_ = known.epoch_;
  }
}

Actions OnTick(Dispatcher& dispatcher, Time now, Random& random) {
  return Advance(dispatcher, now, random);
}

Time NextTick(const Dispatcher& dispatcher, Time now) {
  Time next = now + kIdleTick;
  if (const auto deadline = internal::EarliestDeadline(dispatcher.queue_)) {
    next = std::min(next, *deadline);
  }
  if (!dispatcher.held_until_) return std::max(next, now);
  if (dispatcher.predecessor_end_ > now) next = std::min(next, dispatcher.predecessor_end_);
  for (const TargetState& target : dispatcher.targets_) {
    if (target.phase_ == TargetPhase::kReady || target.probe_sent_) continue;
    next = std::min(next, target.next_probe_);
  }
  // A due time in the past must not make the owner spin.
  return std::max(next, now + std::chrono::milliseconds(1));
}

ShardSummary Summarize(const Dispatcher& dispatcher, Time now) {
  ShardSummary summary;
  summary.queued_ = static_cast<int>(dispatcher.queue_.waiting_.size());
  for (const TargetState& target : dispatcher.targets_) {
    const int limit = internal::SlotLimit(dispatcher, target, now);
    summary.free_slots_ += std::max(0, limit - target.in_flight_);
    if (target.accepts_work_ && target.phase_ == TargetPhase::kReady) ++summary.ready_targets_;
    summary.targets_.push_back(
        {target.name_, target.phase_, target.epoch_, target.in_flight_, limit});
  }
  return summary;
}

}  // namespace monsoonshelf::dispatch
