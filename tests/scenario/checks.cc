#include "tests/scenario/checks.h"

namespace monsoonshelf::scenario {

void Checks::ReportViolation(int invariant, const std::string& text) {
  const std::string line = "invariant " + std::to_string(invariant) + ": " + text;
  simulation_.Log("check", {{"event", "violation"}, {"text", line}});
  violations_.push_back(line);
}

void Checks::OnRequestArrived(const std::string& host, const std::string& target,
                              const std::string& zone) {
  const int invariant = violated_invariant_(host, target, zone);
  if (invariant != 0) {
    ReportViolation(invariant, host + " sent a call to " + target + " in zone " + zone +
                                   " after the target or the zone had been taken out of service");
  }
}

void Checks::OnCallExecuted(const std::string& host, const std::string& id) {
  auto& call = calls_[id];
  ++call.executions_;
  if (call.executions_ > 1 && !call.idempotent_) {
    ReportViolation(
        6, id + " was executed " + std::to_string(call.executions_) + " times, last from " + host);
  }
  if (call.reported_not_run_)
    ReportViolation(5, id + " was executed after its caller received not_run");
}

void Checks::OnResponse(const std::string& id, CallOutcome outcome, const std::string& body) {
  auto& call = calls_[id];
  ++outcomes_[outcome];
  if (outcome == CallOutcome::kAnswered && body != id) {
    ReportViolation(4, id + " was answered with the body of \"" + body + "\"");
  }
  if (outcome != CallOutcome::kNotRun) return;
  call.reported_not_run_ = true;
  if (call.executions_ > 0)
    ReportViolation(5, id + " was executed and its caller received not_run");
}

void Checks::CheckAllCallsEnded() {
  for (const auto& [id, call] : calls_) {
    if (!call.ended_)
      ReportViolation(4, id + " ended with neither a response nor a lost connection");
  }
}

}  // namespace monsoonshelf::scenario
