#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/call_outcome.h"
#include "tests/scenario/simulation.h"

namespace monsoonshelf::scenario {

// The checkers of the nine invariants of docs/design.md, section 1.2. Some notice a violation when
// it happens, the others at the end.
class Checks {
 public:
  explicit Checks(Simulation& simulation) : simulation_(simulation) {}

  void Violate(int invariant, const std::string& text);
  const std::vector<std::string>& Violations() const { return violations_; }

  // Whether a host had time to learn that a target or its zone is out of service. 3 and 7.
  std::function<int(const std::string& host, const std::string& target, const std::string& zone)>
      forbidden_by_;

  // Whether a host may use the strict limits of a shard now.
  std::function<bool(const std::string& host, const std::string& service, const std::string& zone)>
      holds_;

  // Ledger of the targets.
  void OnArrival(const std::string& host, const std::string& target, const std::string& zone);
  void OnRun(const std::string& host, const std::string& id);

  // What callers were told.
  void OnCallStarted(const std::string& id, bool idempotent) {
    calls_[id].idempotent_ = idempotent;
  }
  void OnResponse(const std::string& id, CallOutcome outcome, const std::string& body);
  void OnCallEnded(const std::string& id) { calls_[id].ended_ = true; }

  // Compares ledger and responses: invariants 4, 5 and 6.
  void CheckCalls();

  int CallCount() const { return static_cast<int>(calls_.size()); }
  std::map<CallOutcome, int> outcomes_;

 private:
  struct CallRecord {
    bool idempotent_ = false;
    bool ended_ = false;
    bool told_not_run_ = false;
    int runs_ = 0;
  };

  Simulation& simulation_;
  std::map<std::string, CallRecord> calls_;
  std::vector<std::string> violations_;
};

}  // namespace monsoonshelf::scenario
