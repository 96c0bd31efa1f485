#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "dispatch/dispatcher.h"

namespace monsoonshelf::dispatch::tests {

using std::chrono::milliseconds;

constexpr Time At(int ms) { return Time(milliseconds(ms)); }

// A dispatcher with its clock, and the calls that it sent to targets.
class Harness {
 public:
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
    Confirm();
  }

  // Answers the probes that targets known from a peer get when a call waits for them.
  void Confirm() {
    const CallHandle next_handle = next_handle_;
    const Actions actions = Arrive(records::CallClass::kBatch);
    OnCallCancelled(*dispatcher_, next_handle);
    for (const Action& action : actions) {
      if (action.kind_ != ActionKind::kProbe) continue;
      Probed(action.target_, Report(TargetPhase::kReady, 1, 0));
    }
    next_handle_ = next_handle;
  }

  Actions SetTargets(const std::vector<std::string>& names, bool accepts_work = true) {
    std::vector<TargetSpec> specs;
    specs.reserve(names.size());
    for (const std::string& name : names) specs.push_back({name, accepts_work});
    return Note(OnTargetsChanged(*dispatcher_, specs, now_, random_));
  }

  void Hold(int until_ms, int predecessor_end_ms = 0) {
    SetAssignment(*dispatcher_, At(until_ms), At(predecessor_end_ms), now_);
  }

  template <typename Change>
  void SetLimit(const Change& change) {
    change(settings_.limits_);
    Note(OnSettingsChanged(*dispatcher_, settings_, now_, random_));
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

  Actions Arrive(const Call& call) {
    return Note(OnCallArrived(*dispatcher_, call, now_, random_));
  }
  Actions Arrive(records::CallClass call_class = records::CallClass::kInteractive) {
    return Arrive(MakeCall(call_class));
  }

  static LoadReport Report(TargetPhase phase = TargetPhase::kReady, std::uint64_t epoch = 1,
                           int in_flight = 1) {
    return {in_flight, 2, phase, epoch};
  }

  // Ends a send; without `report` the answer had no load header.
  Actions Finish(CallHandle call, SendResult result = SendResult::kAnswered,
                 std::optional<LoadReport> report = Report()) {
    const std::string target = sent_.at(call).target_;
    sent_.erase(call);
    return Note(
        OnSendFinished(*dispatcher_, call, target, result, report, now_, random_, &finished_));
  }

  Actions Tick() { return Note(OnTick(*dispatcher_, now_, random_)); }

  Actions Probed(const std::string& target, std::optional<LoadReport> report) {
    return Note(OnProbeFinished(*dispatcher_, target, report, now_, random_));
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

  int Queued() const { return Summarize(*dispatcher_, now_).queued_; }

  // Answers calls of 10 ms each until the dispatcher has evidence about service times.
  void Teach(records::CallClass call_class = records::CallClass::kInteractive) {
    for (int call = 0; call < 30; ++call) {
      const Actions actions = Arrive(call_class);
      now_ += milliseconds(10);
      Finish(actions.at(0).call_);
    }
  }

  ShardSettings settings_;
  DispatcherPtr dispatcher_;
  Random random_{1};
  Time now_ = At(10'000);
  std::map<CallHandle, Action> sent_;  // Sends that have not ended.
  bool finished_ = false;              // Of the last Finish.
  CallHandle next_handle_ = 1;

 private:
  Actions Note(Actions actions) {
    for (const Action& action : actions) {
      if (action.kind_ == ActionKind::kSend) sent_[action.call_] = action;
    }
    return actions;
  }
};

inline int Count(const Actions& actions, ActionKind kind) {
  return static_cast<int>(
      std::count_if(actions.begin(), actions.end(),
                    [kind](const Action& action) { return action.kind_ == kind; }));
}

}  // namespace monsoonshelf::dispatch::tests
