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

// What the targets are, and what the dispatcher can know of it.
struct Truth {
  bool accepts_work_ = true;
  TargetPhase phase_ = TargetPhase::kReady;
  std::uint64_t epoch_ = 1;
  bool known_ = true;  // A response has shown the current epoch and phase.
};

// Feeds one random order of events and checks the invariants after each.
class Run {
 public:
  Run() : harness_(Names(), kSlots, kColdLimit), truth_(kTargets) {}

  void Step(int kind, int choice, int duration_ms) {
    harness_.now_ += milliseconds(duration_ms);
    switch (kind) {
      case 0:
      case 1:
      case 2:
        Arrive(choice);
        break;
      case 3:
      case 4:
        Finish(choice, SendResult::kAnswered);
        break;
      case 5:
        Finish(choice, kSendResultNames[static_cast<std::size_t>(choice % 8)].first);
        break;
      case 6:
        Check(harness_.Tick());
        RC_ASSERT(NextTick(*harness_.dispatcher_, harness_.now_) > harness_.now_);
        break;
      case 7:
        Turn(truth_[static_cast<std::size_t>(choice % kTargets)], choice);
        break;
      case 8:
        Configure(choice);
        break;
      case 9:
        Assign(choice);
        break;
      default:
        Probe(choice);
        break;
    }
  }

  // Lets every queued call reach its deadline.
  void Drain() {
    harness_.now_ += std::chrono::seconds(5);
    Check(harness_.Tick());
    while (!harness_.sent_.empty()) Finish(0, SendResult::kAnswered);
    RC_ASSERT(open_.empty());
    RC_ASSERT(harness_.Queued() == 0);
  }

 private:
  static std::vector<std::string> Names() { return {Name(0), Name(1), Name(2)}; }

  Truth& TruthOf(const std::string& name) {
    return truth_[static_cast<std::size_t>(name.back() - '0')];
  }

  void Arrive(int choice) {
    Call call = harness_.MakeCall(static_cast<records::CallClass>(choice % 4));
    call.idempotent_ = choice % 3 == 0;
    call.deadline_ = harness_.now_ + milliseconds(choice);
    open_.insert(call.handle_);
    runs_[call.handle_] = call.idempotent_ ? -100 : 0;
    Check(harness_.Arrive(call));
  }

  void Finish(int choice, SendResult result) {
    if (harness_.sent_.empty()) return;
    auto entry = harness_.sent_.begin();
    std::advance(entry, choice % static_cast<int>(harness_.sent_.size()));
    const CallHandle call = entry->first;
    Truth& truth = TruthOf(entry->second.target_);
    const bool header = result == SendResult::kAnswered;
    std::optional<LoadReport> report;
    if (header) report = Harness::Report(truth.phase_, truth.epoch_, 0);
    // From now on the dispatcher can know; an answer shows it, a loss only raises a doubt.
    if (header) truth.known_ = true;
    if (result != SendResult::kRefused && result != SendResult::kUnreachable) ++runs_[call];
    RC_ASSERT(runs_[call] <= 1);
    const Actions actions = harness_.Finish(call, result, report);
    if (harness_.finished_) open_.erase(call);
    const bool not_run = result == SendResult::kRefused || result == SendResult::kUnreachable;
    if (harness_.finished_ && not_run) RC_ASSERT(runs_[call] % 100 == 0);
    Check(actions);
  }

  void Turn(Truth& truth, int choice) {
    constexpr TargetPhase kPhases[] = {TargetPhase::kCold, TargetPhase::kReady,
                                       TargetPhase::kDraining};
    const TargetPhase phase = kPhases[choice % 3];
    if (phase == TargetPhase::kCold) ++truth.epoch_;
    truth.phase_ = phase;
    truth.known_ = false;
  }

  void Configure(int choice) {
    std::vector<TargetSpec> specs;
    for (int target = 0; target < kTargets; ++target) {
      const bool accepts = (choice >> target) % 2 == 0;
      Truth& truth = TruthOf(Name(target));
      // A target that returns is cold; what it said before it left does not count.
      if (accepts && !truth.accepts_work_ && truth.phase_ == TargetPhase::kDraining) {
        truth.known_ = false;
      }
      truth.accepts_work_ = accepts;
      if (choice % 7 != target) specs.push_back({Name(target), accepts});
      if (choice % 7 == target) truth.accepts_work_ = false;
    }
    Actions actions =
        OnTargetsChanged(*harness_.dispatcher_, specs, harness_.now_, harness_.random_);
    for (const Action& action : actions) {
      if (action.kind_ == ActionKind::kSend) harness_.sent_[action.call_] = action;
    }
    Check(actions);
  }

  void Assign(int choice) {
    held_until_ = choice % 4 == 0 ? Time{} : harness_.now_ + milliseconds(choice);
    SetAssignment(*harness_.dispatcher_,
                  choice % 4 == 0 ? std::nullopt : std::optional<Time>(held_until_), harness_.now_,
                  harness_.now_);
    Check(harness_.Tick());
  }

  void Probe(int choice) {
    if (probed_.empty()) return;
    const std::string target = *probed_.begin();
    probed_.erase(probed_.begin());
    Truth& truth = TruthOf(target);
    std::optional<LoadReport> report;
    if (choice % 3 != 0) report = Harness::Report(truth.phase_, truth.epoch_, 0);
    if (report) truth.known_ = true;
    Check(harness_.Probed(target, report));
  }

  void Check(const Actions& actions) {
    for (const Action& action : actions) {
      if (action.kind_ == ActionKind::kRefuse) {
        RC_ASSERT(open_.erase(action.call_) == 1U);
        // An idempotent call that ran before is refused as unknown; others never ran.
        if (action.outcome_ == CallOutcome::kNotRun) RC_ASSERT(runs_[action.call_] % 100 == 0);
      } else if (action.kind_ == ActionKind::kProbe) {
        RC_ASSERT(harness_.now_ < held_until_);
        RC_ASSERT(probed_.insert(action.target_).second);
      } else {
        RC_ASSERT(action.deadline_ > harness_.now_);
        CheckTarget(action);
      }
    }
    RC_ASSERT(harness_.Queued() <= static_cast<int>(harness_.settings_.max_queue_));
  }

  void CheckTarget(const Action& action) {
    const Truth& truth = TruthOf(action.target_);
    const int in_flight = harness_.InFlight(action.target_);
    RC_ASSERT(truth.accepts_work_);
    RC_ASSERT(in_flight <= kSlots);
    if (!truth.known_) return;
    RC_ASSERT(truth.phase_ != TargetPhase::kDraining);
    if (truth.phase_ != TargetPhase::kCold) return;
    RC_ASSERT(in_flight <= kColdLimit);
    RC_ASSERT(action.deadline_ < held_until_);
  }

  Harness harness_;
  std::vector<Truth> truth_;
  std::set<CallHandle> open_;
  std::map<CallHandle, int> runs_;
  std::set<std::string> probed_;
  Time held_until_{};
};

}  // namespace

class PropertyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PropertyTest);
  CPPUNIT_TEST(InvariantsHoldInAnyOrderOfEvents);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Slots, cold limit, assignment, leaving targets, bounded queue, one run of calls that are not
  // idempotent, and exactly one end of every call.
  void InvariantsHoldInAnyOrderOfEvents() {
    setenv("RC_PARAMS", "seed=20261204 max_success=1000 max_size=300", 1);
    const bool holds = rc::check([] {
      const auto steps = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(rc::gen::tuple(
          rc::gen::inRange(0, 11), rc::gen::inRange(0, 2000), rc::gen::inRange(0, 60)));
      Run run;
      for (const auto& [kind, choice, duration] : steps) run.Step(kind, choice, duration);
      run.Drain();
    });
    CPPUNIT_ASSERT(holds);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PropertyTest);

}  // namespace monsoonshelf::dispatch::tests
