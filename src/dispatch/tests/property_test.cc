#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <set>

#include "dispatch/tests/harness.h"

namespace monsoonshelf::dispatch::tests {

namespace {

constexpr int kTargets = 3;
constexpr int kSlots = 3;
constexpr int kColdLimit = 1;

std::string Name(int target) { return "t" + std::to_string(target); }

// Actual state of a target, and whether the dispatcher can know it.
struct ActualState {
  bool accepts_work_ = true;
  TargetPhase phase_ = TargetPhase::kReady;
  std::uint64_t epoch_ = 1;
  bool reported_ = true;  // A response has reported the current epoch and phase.
};

// Passes random events to a dispatcher and checks the invariants after each event.
class InvariantChecker {
 public:
  InvariantChecker() : harness_(Names(), kSlots, kColdLimit), actual_(kTargets) {}

  void Step(int kind, int choice, int duration_ms) {
    harness_.now_ += milliseconds(duration_ms);
    switch (kind) {
      case 0:
      case 1:
      case 2:
        ArriveCall(choice);
        break;
      case 3:
      case 4:
        FinishSend(choice, SendResult::kAnswered);
        break;
      case 5:
        FinishSend(choice, kSendResultNames[static_cast<std::size_t>(choice % 8)].first);
        break;
      case 6:
        CheckActions(harness_.Tick());
        RC_ASSERT(NextTick(*harness_.dispatcher_, harness_.now_) > harness_.now_);
        break;
      case 7:
        ChangeActualState(actual_[static_cast<std::size_t>(choice % kTargets)], choice);
        break;
      case 8:
        ChangeTargets(choice);
        break;
      case 9:
        ChangeAssignment(choice);
        break;
      default:
        FinishProbe(choice);
        break;
    }
  }

  // Lets every queued call reach its deadline.
  void Drain() {
    harness_.now_ += std::chrono::seconds(5);
    CheckActions(harness_.Tick());
    while (!harness_.sent_.empty()) FinishSend(0, SendResult::kAnswered);
    RC_ASSERT(open_calls_.empty());
    RC_ASSERT(harness_.QueuedCalls() == 0);
  }

 private:
  static std::vector<std::string> Names() { return {Name(0), Name(1), Name(2)}; }

  ActualState& ActualStateOf(const std::string& name) {
    return actual_[static_cast<std::size_t>(name.back() - '0')];
  }

  void ArriveCall(int choice) {
    Call call = harness_.MakeCall(static_cast<records::CallClass>(choice % 4));
    call.idempotent_ = choice % 3 == 0;
    call.deadline_ = harness_.now_ + milliseconds(choice);
    open_calls_.insert(call.handle_);
    // Idempotent calls start at -100, so that they may run more than once.
    run_counts_[call.handle_] = call.idempotent_ ? -100 : 0;
    CheckActions(harness_.ArriveCall(call));
  }

  void FinishSend(int choice, SendResult result) {
    if (harness_.sent_.empty()) return;
    auto entry = harness_.sent_.begin();
    std::advance(entry, choice % static_cast<int>(harness_.sent_.size()));
    const CallHandle call = entry->first;
    ActualState& actual = ActualStateOf(entry->second.target_);
    const bool header = result == SendResult::kAnswered;
    std::optional<LoadReport> report;
    if (header) report = Harness::MakeReport(actual.phase_, actual.epoch_, 0);
    // Only an answer with a load header reports the state; a loss only raises a suspicion.
    if (header) actual.reported_ = true;
    if (result != SendResult::kRefused && result != SendResult::kUnreachable) ++run_counts_[call];
    RC_ASSERT(run_counts_[call] <= 1);
    const Actions actions = harness_.FinishSend(call, result, report);
    if (harness_.call_finished_) open_calls_.erase(call);
    const bool not_run = result == SendResult::kRefused || result == SendResult::kUnreachable;
    if (harness_.call_finished_ && not_run) RC_ASSERT(run_counts_[call] % 100 == 0);
    CheckActions(actions);
  }

  void ChangeActualState(ActualState& actual, int choice) {
    constexpr TargetPhase kPhases[] = {TargetPhase::kCold, TargetPhase::kReady,
                                       TargetPhase::kDraining};
    const TargetPhase phase = kPhases[choice % 3];
    if (phase == TargetPhase::kCold) ++actual.epoch_;
    actual.phase_ = phase;
    actual.reported_ = false;
  }

  void ChangeTargets(int choice) {
    std::vector<TargetSpec> specs;
    for (int target = 0; target < kTargets; ++target) {
      const bool accepts = (choice >> target) % 2 == 0;
      ActualState& actual = ActualStateOf(Name(target));
      // A target that returns starts as cold, and reports from before it left do not count.
      if (accepts && !actual.accepts_work_ && actual.phase_ == TargetPhase::kDraining) {
        actual.reported_ = false;
      }
      actual.accepts_work_ = accepts;
      if (choice % 7 != target) specs.push_back({Name(target), accepts});
      if (choice % 7 == target) actual.accepts_work_ = false;
    }
    Actions actions =
        OnTargetsChanged(*harness_.dispatcher_, specs, harness_.now_, harness_.random_);
    for (const Action& action : actions) {
      if (action.kind_ == ActionKind::kSend) harness_.sent_[action.call_] = action;
    }
    CheckActions(actions);
  }

  void ChangeAssignment(int choice) {
    held_until_ = choice % 4 == 0 ? Time{} : harness_.now_ + milliseconds(choice);
    SetAssignment(*harness_.dispatcher_,
                  choice % 4 == 0 ? std::nullopt : std::optional<Time>(held_until_), harness_.now_,
                  harness_.now_);
    CheckActions(harness_.Tick());
  }

  void FinishProbe(int choice) {
    if (open_probes_.empty()) return;
    const std::string target = *open_probes_.begin();
    open_probes_.erase(open_probes_.begin());
    ActualState& actual = ActualStateOf(target);
    std::optional<LoadReport> report;
    if (choice % 3 != 0) report = Harness::MakeReport(actual.phase_, actual.epoch_, 0);
    if (report) actual.reported_ = true;
    CheckActions(harness_.FinishProbe(target, report));
  }

  void CheckActions(const Actions& actions) {
    for (const Action& action : actions) {
      if (action.kind_ == ActionKind::kRefuse) {
        RC_ASSERT(open_calls_.erase(action.call_) == 1U);
        // A call with the outcome kNotRun must not have run.
        if (action.outcome_ == CallOutcome::kNotRun)
          RC_ASSERT(run_counts_[action.call_] % 100 == 0);
      } else if (action.kind_ == ActionKind::kProbe) {
        RC_ASSERT(harness_.now_ < held_until_);
        RC_ASSERT(open_probes_.insert(action.target_).second);
      } else {
        RC_ASSERT(action.deadline_ > harness_.now_);
        CheckSend(action);
      }
    }
    RC_ASSERT(harness_.QueuedCalls() <= static_cast<int>(harness_.settings_.max_queue_));
  }

  void CheckSend(const Action& action) {
    const ActualState& actual = ActualStateOf(action.target_);
    const int in_flight = harness_.InFlight(action.target_);
    RC_ASSERT(actual.accepts_work_);
    RC_ASSERT(in_flight <= kSlots);
    if (!actual.reported_) return;
    RC_ASSERT(actual.phase_ != TargetPhase::kDraining);
    if (actual.phase_ != TargetPhase::kCold) return;
    RC_ASSERT(in_flight <= kColdLimit);
    RC_ASSERT(action.deadline_ < held_until_);
  }

  Harness harness_;
  std::vector<ActualState> actual_;
  std::set<CallHandle> open_calls_;
  std::map<CallHandle, int> run_counts_;
  std::set<std::string> open_probes_;
  Time held_until_{};
};

}  // namespace

class PropertyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PropertyTest);
  CPPUNIT_TEST(InvariantsHoldInAnyOrderOfEvents);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Invariants: slots, cold limit, assignment, no calls to leaving targets, bounded queue, at most
  // one run of a non-idempotent call, and exactly one end of every call.
  void InvariantsHoldInAnyOrderOfEvents() {
    setenv("RC_PARAMS", "seed=20261204 max_success=1000 max_size=300", 1);
    const bool holds = rc::check([] {
      const auto steps = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(rc::gen::tuple(
          rc::gen::inRange(0, 11), rc::gen::inRange(0, 2000), rc::gen::inRange(0, 60)));
      InvariantChecker checker;
      for (const auto& [kind, choice, duration] : steps) checker.Step(kind, choice, duration);
      checker.Drain();
    });
    CPPUNIT_ASSERT(holds);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PropertyTest);

}  // namespace monsoonshelf::dispatch::tests
