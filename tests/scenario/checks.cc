#include "tests/scenario/checks.h"

namespace monsoonshelf::scenario {

void Checks::Violate(int invariant, const std::string& text) {
  const std::string line = "invariant " + std::to_string(invariant) + ": " + text;
  simulation_.Log("check", {{"event", "violation"}, {"text", line}});
  violations_.push_back(line);
}

void Checks::OnArrival(const std::string& host, const std::string& target,
                       const std::string& zone) {
  const int invariant = forbidden_by_(host, target, zone);
  if (invariant != 0) {
    Violate(invariant, host + " sent work to " + target + " in zone " + zone + " too late");
  }
}

void Checks::OnRun(const std::string& host, const std::string& id) {
  auto& call = calls_[id];
  ++call.runs_;
  if (call.runs_ > 1 && !call.idempotent_) {
    Violate(6, id + " ran " + std::to_string(call.runs_) + " times, last from " + host);
  }
  if (call.told_not_run_) Violate(5, id + " ran after its caller was told not_run");
}

void Checks::OnResponse(const std::string& id, CallOutcome outcome, const std::string& body) {
  auto& call = calls_[id];
  ++outcomes_[outcome];
  if (outcome == CallOutcome::kAnswered && body != id) {
    Violate(4, id + " was answered with the body of \"" + body + "\"");
  }
  if (outcome != CallOutcome::kNotRun) return;
  call.told_not_run_ = true;
  if (call.runs_ > 0) Violate(5, id + " ran and its caller was told not_run");
}

void Checks::CheckCalls() {
  for (const auto& [id, call] : calls_) {
    if (!call.ended_) Violate(4, id + " got no response and no connection loss");
  }
}

}  // namespace monsoonshelf::scenario
