#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/call_outcome.h"
#include "tests/scenario/simulation.h"

namespace monsoonshelf::scenario {

// Checks the nine invariants of docs/design.md, section 1.2, and collects the violations. Most are
// checked when an event occurs; CheckAllCallsEnded runs at the end.
class Checks {
 public:
  explicit Checks(Simulation& simulation) : simulation_(simulation) {}

  void ReportViolation(int invariant, const std::string& text);
  const std::vector<std::string>& Violations() const { return violations_; }

  // Returns the number of the invariant that a send from the host to the target violates: 3 if the
  // host has had time to take the zone out of service, 7 if it has had time to apply that the
  // target is leaving, 0 if the send is allowed.
  std::function<int(const std::string& host, const std::string& target, const std::string& zone)>
      violated_invariant_;

  // Returns whether a host now holds the assignment of a shard, which permits sending to cold
  // targets within the strict limits.
  std::function<bool(const std::string& host, const std::string& service, const std::string& zone)>
      holds_assignment_;

  // Events at the targets: a request arrived (checks invariants 3 and 7), a call was executed
  // (checks 5 and 6: it is not executed after its caller received not_run, and only once if not
  // idempotent).
  void OnRequestArrived(const std::string& host, const std::string& target,
                        const std::string& zone);
  void OnCallExecuted(const std::string& host, const std::string& id);

  // Events at the callers. OnResponse checks invariants 4 and 5: the body must be the identifier of
  // the call, and a call with the outcome not_run must not have been executed.
  void OnCallStarted(const std::string& id, bool idempotent) {
    calls_[id].idempotent_ = idempotent;
  }
  void OnResponse(const std::string& id, CallOutcome outcome, const std::string& body);
  void OnCallEnded(const std::string& id) { calls_[id].ended_ = true; }

  // Checks that each call got a response or lost its connection (invariant 4).
  void CheckAllCallsEnded();

  int CallCount() const { return static_cast<int>(calls_.size()); }
  std::map<CallOutcome, int> outcomes_;  // Number of responses by outcome.

 private:
  struct CallRecord {
    bool idempotent_ = false;
    bool ended_ = false;
    bool reported_not_run_ = false;
    int executions_ = 0;
  };

  Simulation& simulation_;
  std::map<std::string, CallRecord> calls_;
  std::vector<std::string> violations_;
};

}  // namespace monsoonshelf::scenario
