#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "dispatch/dispatcher.h"

namespace monsoonshelf::dispatch::tests {

using std::chrono::milliseconds;

constexpr Time AtMs(int ms) { return Time(milliseconds(ms)); }

// Drives a dispatcher with a simulated clock and records the calls that it sends to targets.
class Harness {
 public:
  // Creates a dispatcher whose targets in `ready` are known from a snapshot and confirmed by a
  // probe.
  explicit Harness(const std::vector<std::string>& ready = {}, int slots = 2, int cold_limit = 1) {
    settings_.zone_ = "z1";
    settings_.limits_.slots_ = slots;
    settings_.limits_.cold_limit_ = cold_limit;
    dispatcher_ = MakeDispatcher(settings_, now_);
    std::vector<TargetSnapshot> known;
    known.reserve(ready.size());
    for (const std::string& name : ready) known.push_back({name, TargetPhase::kReady, 1});
    OnTargetSnapshots(*dispatcher_, known, now_);
    SetTargets(ready);
    AnswerConfirmationProbes();
  }

  // Lets a call arrive, so that the dispatcher confirms targets that it knows only from a snapshot,
  // and answers these probes.
  void AnswerConfirmationProbes() {
    const CallHandle next_handle = next_handle_;
    const Actions actions = ArriveCall(records::CallClass::kBatch);
    OnCallCancelled(*dispatcher_, next_handle);
    for (const Action& action : actions) {
      if (action.kind_ != ActionKind::kProbe) continue;
      FinishProbe(action.target_, MakeReport(TargetPhase::kReady, 1, 0));
    }
    next_handle_ = next_handle;
  }

  Actions SetTargets(const std::vector<std::string>& names, bool accepts_work = true) {
    std::vector<TargetSpec> specs;
    specs.reserve(names.size());
    for (const std::string& name : names) specs.push_back({name, accepts_work});
    return RecordSends(OnTargetsChanged(*dispatcher_, specs, now_, random_));
  }

  void HoldAssignment(int until_ms, int predecessor_end_ms = 0) {
    SetAssignment(*dispatcher_, AtMs(until_ms), AtMs(predecessor_end_ms), now_);
  }

  template <typename Change>
  void ChangeLimits(const Change& change) {
    change(settings_.limits_);
    RecordSends(OnSettingsChanged(*dispatcher_, settings_, now_, random_));
  }

  Call MakeCall(records::CallClass call_class = records::CallClass::kInteractive) {
    Call call;
    call.handle_ = next_handle_++;
    call.class_ = call_class;
    call.idempotent_ = true;
    call.attempts_left_ = 2;
    call.retry_budget_ = 1;
    call.deadline_ = now_ + milliseconds(1000);
    return call;
  }

  Actions ArriveCall(const Call& call) {
    return RecordSends(OnCallArrived(*dispatcher_, call, now_, random_));
  }
  Actions ArriveCall(records::CallClass call_class = records::CallClass::kInteractive) {
    return ArriveCall(MakeCall(call_class));
  }

  static LoadReport MakeReport(TargetPhase phase = TargetPhase::kReady, std::uint64_t epoch = 1,
                               int in_flight = 1) {
    return {in_flight, 2, phase, epoch};
  }

  // Ends a send. Without `report`, the answer has no load header.
  Actions FinishSend(CallHandle call, SendResult result = SendResult::kAnswered,
                     std::optional<LoadReport> report = MakeReport()) {
    const std::string target = sent_.at(call).target_;
    sent_.erase(call);
    return RecordSends(
        OnSendFinished(*dispatcher_, call, target, result, report, now_, random_, &call_finished_));
  }

  Actions Tick() { return RecordSends(OnTick(*dispatcher_, now_, random_)); }

  Actions FinishProbe(const std::string& target, std::optional<LoadReport> report) {
    return RecordSends(OnProbeFinished(*dispatcher_, target, report, now_, random_));
  }

  int InFlight(const std::string& target) const {
    return static_cast<int>(std::count_if(sent_.begin(), sent_.end(), [&](const auto& entry) {
      return entry.second.target_ == target;
    }));
  }

  TargetPhase PhaseOf(const std::string& name) const {
    for (const TargetSummary& target : Summarize(*dispatcher_, now_).targets_) {
      if (target.name_ == name) return target.phase_;
    }
    return TargetPhase::kGone;
  }

  int QueuedCalls() const { return Summarize(*dispatcher_, now_).queued_; }

  // Runs calls of 10 ms each until the dispatcher has enough samples of the service time.
  void LearnServiceTimes(records::CallClass call_class = records::CallClass::kInteractive) {
    for (int call = 0; call < 30; ++call) {
      const Actions actions = ArriveCall(call_class);
      now_ += milliseconds(10);
      FinishSend(actions.at(0).call_);
    }
  }

  ShardSettings settings_;
  DispatcherPtr dispatcher_;
  Random random_{1};
  Time now_ = AtMs(10'000);
  std::map<CallHandle, Action> sent_;  // Sends that have not ended.
  bool call_finished_ = false;         // Set by the last FinishSend.
  CallHandle next_handle_ = 1;

 private:
  Actions RecordSends(Actions actions) {
    for (const Action& action : actions) {
      if (action.kind_ == ActionKind::kSend) sent_[action.call_] = action;
    }
    return actions;
  }
};

inline int CountActions(const Actions& actions, ActionKind kind) {
  return static_cast<int>(
      std::count_if(actions.begin(), actions.end(),
                    [kind](const Action& action) { return action.kind_ == kind; }));
}

}  // namespace monsoonshelf::dispatch::tests
