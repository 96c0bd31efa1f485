#include <cppunit/extensions/HelperMacros.h>

#include "dispatch/tests/harness.h"

namespace monsoonshelf::dispatch::tests {

// Limits that apply to all entry hosts together: calls to cold targets and probes.
class LimitsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LimitsTest);
  CPPUNIT_TEST(ColdTargetsRequireTheAssignment);
  CPPUNIT_TEST(EnforcesColdLimit);
  CPPUNIT_TEST(AbandonedCallsCountTowardsColdLimit);
  CPPUNIT_TEST(SendDeadlineIsBeforeLeaseEnd);
  CPPUNIT_TEST(WaitsForTheLeaseOfThePredecessor);
  CPPUNIT_TEST(WarmsUpFromColdToReady);
  CPPUNIT_TEST(DetectsRestartByEpoch);
  CPPUNIT_TEST(SuspectsRestartAfterLossOrRefusal);
  CPPUNIT_TEST(IgnoresLateReportOfAnOldEpoch);
  CPPUNIT_TEST(SilentTargetGetsOneCallUntilItResponds);
  CPPUNIT_TEST(FullTargetIsNotSuspected);
  CPPUNIT_TEST(RetriesSuspectedTargetWhoseProbesFail);
  CPPUNIT_TEST(ProbesStayWithinBudget);
  CPPUNIT_TEST(SuccessorConfirmsBeforeTheFirstCall);
  CPPUNIT_TEST(ConfirmedTargetReceivesQueuedCalls);
  CPPUNIT_TEST(HolderAndSuccessorShareTheProbeBudget);
  CPPUNIT_TEST(ProbesRequireTheAssignment);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against calls to cold targets from a host that does not hold the assignment of the
  // shard.
  void ColdTargetsRequireTheAssignment() {
    Harness harness;
    harness.SetTargets({"a"});
    CPPUNIT_ASSERT(harness.ArriveCall().empty());
    harness.HoldAssignment(60'000);
    CPPUNIT_ASSERT(NextTick(*harness.dispatcher_, harness.now_) == harness.now_);
    CPPUNIT_ASSERT_EQUAL(1, CountActions(harness.Tick(), ActionKind::kSend));
    harness.now_ = AtMs(60'000);
    harness.sent_.clear();
    CPPUNIT_ASSERT_EQUAL(0, CountActions(harness.ArriveCall(), ActionKind::kSend));
  }

  void EnforcesColdLimit() {
    Harness harness({}, 4, 2);
    harness.SetTargets({"a"});
    harness.HoldAssignment(60'000);
    for (int call = 0; call < 5; ++call) harness.ArriveCall();
    CPPUNIT_ASSERT_EQUAL(2, harness.InFlight("a"));
    harness.FinishSend(1, SendResult::kAnswered, Harness::MakeReport(TargetPhase::kCold));
    CPPUNIT_ASSERT_EQUAL(2, harness.InFlight("a"));
  }

  // Guards against a second call to a cold target while an abandoned call may still run there.
  void AbandonedCallsCountTowardsColdLimit() {
    Harness harness;
    harness.SetTargets({"a"});
    harness.HoldAssignment(60'000);
    harness.ArriveCall();
    harness.ArriveCall();
    harness.FinishSend(1, SendResult::kCancelled, std::nullopt);
    CPPUNIT_ASSERT_EQUAL(0, harness.InFlight("a"));
    harness.now_ += milliseconds(500);
    harness.FinishProbe(
        "a", Harness::MakeReport(TargetPhase::kCold, 1, 0));  // The target is idle again.
    harness.Tick();
    CPPUNIT_ASSERT_EQUAL(1, harness.InFlight("a"));
  }

  void SendDeadlineIsBeforeLeaseEnd() {
    Harness harness;
    harness.SetTargets({"a"});
    harness.HoldAssignment(10'500);
    const Actions actions = harness.ArriveCall();
    CPPUNIT_ASSERT(actions.at(0).kind_ == ActionKind::kSend);
    CPPUNIT_ASSERT(actions.at(0).deadline_ < AtMs(10'500));
    Harness late;
    late.SetTargets({"a"});
    late.HoldAssignment(10'120);  // The remaining lease is too short for a call.
    CPPUNIT_ASSERT_EQUAL(0, CountActions(late.ArriveCall(), ActionKind::kSend));
  }

  void WaitsForTheLeaseOfThePredecessor() {
    Harness harness;
    harness.SetTargets({"a"});
    harness.HoldAssignment(60'000, 12'000);
    Call call = harness.MakeCall();
    call.deadline_ = AtMs(20'000);
    CPPUNIT_ASSERT(harness.ArriveCall(call).empty());
    CPPUNIT_ASSERT(harness.Tick().empty());
    CPPUNIT_ASSERT(NextTick(*harness.dispatcher_, harness.now_) <= AtMs(12'000));
    harness.now_ = AtMs(12'000);
    const Actions actions = harness.Tick();
    CPPUNIT_ASSERT_EQUAL(1, CountActions(actions, ActionKind::kSend));
    // The predecessor may have sent probes until its lease ended.
    CPPUNIT_ASSERT_EQUAL(0, CountActions(actions, ActionKind::kProbe));
  }

  void WarmsUpFromColdToReady() {
    Harness harness;
    harness.SetTargets({"a"});
    harness.HoldAssignment(60'000);
    const auto answer = [&](TargetPhase phase) {
      const CallHandle call = harness.ArriveCall().at(0).call_;
      harness.now_ += milliseconds(10);
      harness.FinishSend(call, SendResult::kAnswered, Harness::MakeReport(phase));
    };
    answer(TargetPhase::kCold);
    CPPUNIT_ASSERT(harness.PhaseOf("a") == TargetPhase::kCold);
    answer(TargetPhase::kReady);
    CPPUNIT_ASSERT(harness.PhaseOf("a") == TargetPhase::kWarming);
    answer(TargetPhase::kReady);
    CPPUNIT_ASSERT(harness.PhaseOf("a") == TargetPhase::kReady);
    answer(TargetPhase::kDraining);
    CPPUNIT_ASSERT(harness.PhaseOf("a") == TargetPhase::kDraining);
    CPPUNIT_ASSERT_EQUAL(0, CountActions(harness.ArriveCall(), ActionKind::kSend));
  }

  void DetectsRestartByEpoch() {
    Harness harness({"a"});
    harness.HoldAssignment(60'000);
    for (int call = 0; call < 4; ++call) harness.ArriveCall();
    CPPUNIT_ASSERT_EQUAL(2, harness.InFlight("a"));
    harness.FinishSend(1, SendResult::kAnswered, Harness::MakeReport(TargetPhase::kCold, 2));
    CPPUNIT_ASSERT(harness.PhaseOf("a") == TargetPhase::kCold);
    CPPUNIT_ASSERT_EQUAL(1, harness.InFlight("a"));
    harness.FinishSend(2, SendResult::kAnswered, Harness::MakeReport(TargetPhase::kCold, 2));
    CPPUNIT_ASSERT_EQUAL(1, harness.InFlight("a"));
    // A new epoch indicates a restart even if the target reports that it is ready.
    Harness other({"b"});
    other.ArriveCall();
    other.FinishSend(1, SendResult::kAnswered, Harness::MakeReport(TargetPhase::kReady, 2));
    CPPUNIT_ASSERT(other.PhaseOf("b") == TargetPhase::kWarming);
  }

  // Guards against full load on a target whose restart is visible only as a lost connection or a
  // refusal.
  void SuspectsRestartAfterLossOrRefusal() {
    for (const SendResult result :
         {SendResult::kLost, SendResult::kRefused, SendResult::kUnreachable}) {
      Harness harness({"a"});
      for (int call = 0; call < 3; ++call) harness.ArriveCall();
      harness.now_ += milliseconds(10);
      harness.FinishSend(1, result, std::nullopt);
      CPPUNIT_ASSERT(harness.PhaseOf("a") == TargetPhase::kSuspected);
      CPPUNIT_ASSERT_EQUAL(1, harness.InFlight("a"));
      harness.FinishSend(2, SendResult::kAnswered,
                         Harness::MakeReport());  // Sent before the suspicion.
      CPPUNIT_ASSERT(harness.PhaseOf("a") == TargetPhase::kSuspected);
      CPPUNIT_ASSERT_EQUAL(0, harness.InFlight("a"));
    }
  }

  void IgnoresLateReportOfAnOldEpoch() {
    Harness harness({"a"});
    harness.HoldAssignment(60'000);
    harness.ArriveCall();
    harness.ArriveCall();
    harness.now_ += milliseconds(10);
    harness.FinishSend(1, SendResult::kAnswered, Harness::MakeReport(TargetPhase::kCold, 2));
    harness.now_ += milliseconds(10);
    harness.FinishSend(2, SendResult::kAnswered, Harness::MakeReport(TargetPhase::kReady, 1));
    CPPUNIT_ASSERT(harness.PhaseOf("a") == TargetPhase::kCold);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2},
                         Summarize(*harness.dispatcher_, harness.now_).targets_.at(0).epoch_);
  }

  // Guards against full load on a target that restarted unnoticed while it was idle.
  void SilentTargetGetsOneCallUntilItResponds() {
    Harness harness({"a"});
    harness.now_ += std::chrono::seconds(5);
    harness.ArriveCall();
    harness.ArriveCall();
    CPPUNIT_ASSERT_EQUAL(1, harness.InFlight("a"));
    harness.FinishSend(1);
    harness.ArriveCall();
    CPPUNIT_ASSERT_EQUAL(2, harness.InFlight("a"));
  }

  // Guards against a target that is never used again because its load endpoint is broken.
  void RetriesSuspectedTargetWhoseProbesFail() {
    Harness harness({"a"});
    harness.HoldAssignment(60'000);
    harness.ArriveCall();
    harness.FinishSend(1, SendResult::kUnreachable, std::nullopt);
    harness.now_ += std::chrono::seconds(4);
    CPPUNIT_ASSERT_EQUAL(0, CountActions(harness.ArriveCall(), ActionKind::kSend));
    harness.now_ += std::chrono::seconds(2);
    CPPUNIT_ASSERT_EQUAL(1, CountActions(harness.ArriveCall(), ActionKind::kSend));
    CPPUNIT_ASSERT(harness.PhaseOf("a") == TargetPhase::kCold);
  }

  // Guards against the suspicion of a healthy target whose slots are taken by calls of another
  // host.
  void FullTargetIsNotSuspected() {
    Harness harness({"a"});
    harness.ArriveCall();
    harness.FinishSend(1, SendResult::kRefused, Harness::MakeReport(TargetPhase::kReady, 1, 2));
    CPPUNIT_ASSERT(harness.PhaseOf("a") == TargetPhase::kReady);
    CPPUNIT_ASSERT_EQUAL(0, harness.InFlight("a"));
    harness.now_ += milliseconds(5);
    harness.Tick();
    CPPUNIT_ASSERT_EQUAL(1, harness.InFlight("a"));
  }

  // A probe arrives at any time between its start and its end. Guards against more than two
  // arrivals in any second for any delays. The third probe of the budget is reserved for another
  // dispatcher.
  void ProbesStayWithinBudget() {
    Harness harness;
    harness.ChangeLimits([](records::Service& limits) { limits.probes_per_second_ = 3; });
    harness.SetTargets({"a"});
    harness.HoldAssignment(600'000);
    // A suspected target that does not answer is probed as often as the budget allows.
    harness.ArriveCall();
    harness.FinishSend(1, SendResult::kUnreachable, std::nullopt);
    std::vector<Time> arrivals;
    std::optional<Time> ends;
    Time sent;
    for (int step = 0; step < 20'000; ++step) {
      harness.now_ += milliseconds(1);
      Actions actions;
      if (ends && harness.now_ >= *ends) {
        ends.reset();
        // Late arrivals followed by early ones: the worst case for a budget that counts start
        // times.
        arrivals.push_back(arrivals.size() % 4 < 2 ? harness.now_ : sent);
        actions = harness.FinishProbe("a", std::nullopt);
      } else {
        actions = harness.Tick();
      }
      if (CountActions(actions, ActionKind::kProbe) == 0) continue;
      CPPUNIT_ASSERT(!ends);
      sent = harness.now_;
      ends = harness.now_ + milliseconds(1 + static_cast<int>(harness.random_() % 300));
    }
    CPPUNIT_ASSERT(arrivals.size() >= 25);
    for (std::size_t probe = 2; probe < arrivals.size(); ++probe) {
      CPPUNIT_ASSERT(arrivals[probe] - arrivals[probe - 2] > std::chrono::seconds(1));
    }
  }

  // A target restarted while the holder of the assignment was paused. Guards against calls of the
  // successor in addition to those that the holder may still send, which exceeded the cold limit in
  // two_faults.lua with the seeds 744 and 807.
  void SuccessorConfirmsBeforeTheFirstCall() {
    Harness harness;
    OnTargetSnapshots(*harness.dispatcher_, {{"a", TargetPhase::kReady, 1}}, harness.now_);
    harness.SetTargets({"a"});
    CPPUNIT_ASSERT_MESSAGE("no call waits", harness.Tick().empty());
    const Actions actions = harness.ArriveCall();
    CPPUNIT_ASSERT_EQUAL(0, CountActions(actions, ActionKind::kSend));
    CPPUNIT_ASSERT_EQUAL(1, CountActions(actions, ActionKind::kProbe));
    harness.FinishProbe("a", Harness::MakeReport(TargetPhase::kCold, 2, 1));
    CPPUNIT_ASSERT_EQUAL(0, harness.InFlight("a"));
    CPPUNIT_ASSERT_EQUAL(1, harness.QueuedCalls());
    harness.HoldAssignment(60'000);
    harness.Tick();
    CPPUNIT_ASSERT_EQUAL(1, harness.InFlight("a"));
  }

  // Guards against calls that wait for the end of the lease although the target has not restarted,
  // and against a target that is not used because its load endpoint is broken.
  void ConfirmedTargetReceivesQueuedCalls() {
    for (const bool answered : {true, false}) {
      Harness harness;
      OnTargetSnapshots(*harness.dispatcher_, {{"a", TargetPhase::kReady, 1}}, harness.now_);
      harness.SetTargets({"a"});
      harness.ArriveCall();
      harness.ArriveCall();
      CPPUNIT_ASSERT_EQUAL(2, harness.QueuedCalls());
      const auto ready = Harness::MakeReport(TargetPhase::kReady, 1, 0);
      harness.FinishProbe("a", answered ? std::optional(ready) : std::nullopt);
      CPPUNIT_ASSERT_EQUAL(answered ? 2 : 1, harness.InFlight("a"));
    }
  }

  // The holder is isolated and continues to probe. Guards against more probes of holder and
  // successor in any second than the budget allows, for any offset between their probes.
  void HolderAndSuccessorShareTheProbeBudget() {
    for (int offset = 0; offset < 1000; offset += 10) {
      Harness holder;
      holder.SetTargets({"a"});
      holder.HoldAssignment(600'000);
      holder.ArriveCall();
      holder.FinishSend(1, SendResult::kUnreachable, std::nullopt);
      holder.FinishProbe("a", std::nullopt);
      Harness successor;
      std::vector<Time> arrivals;
      for (int step = 0; step < 5000; ++step) {
        for (Harness* harness : {&holder, &successor}) {
          harness->now_ += milliseconds(1);
          Actions actions;
          if (harness == &successor && step == 1000 + offset) {
            OnTargetSnapshots(*harness->dispatcher_, {{"a", TargetPhase::kReady, 1}},
                              harness->now_);
            harness->SetTargets({"a"});
            actions = harness->ArriveCall();
          } else {
            actions = harness->Tick();
          }
          if (CountActions(actions, ActionKind::kProbe) == 0) continue;
          arrivals.push_back(harness->now_);
          harness->FinishProbe("a", std::nullopt);
        }
      }
      CPPUNIT_ASSERT(arrivals.size() >= 5);
      for (std::size_t probe = 2; probe < arrivals.size(); ++probe) {
        CPPUNIT_ASSERT(arrivals[probe] - arrivals[probe - 2] > std::chrono::seconds(1));
      }
    }
  }

  void ProbesRequireTheAssignment() {
    Harness harness;
    harness.SetTargets({"a"});
    harness.now_ += std::chrono::seconds(10);
    CPPUNIT_ASSERT(harness.Tick().empty());
    harness.HoldAssignment(60'000);
    CPPUNIT_ASSERT_EQUAL(1, CountActions(harness.Tick(), ActionKind::kProbe));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LimitsTest);

}  // namespace monsoonshelf::dispatch::tests
