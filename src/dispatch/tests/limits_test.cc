#include <cppunit/extensions/HelperMacros.h>

#include "dispatch/tests/harness.h"

namespace monsoonshelf::dispatch::tests {

// Limits that hold over all entry hosts: cold targets and probes.
class LimitsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LimitsTest);
  CPPUNIT_TEST(ColdTargetsNeedTheAssignment);
  CPPUNIT_TEST(ColdLimitHolds);
  CPPUNIT_TEST(AbandonedCallsCountAtColdTargets);
  CPPUNIT_TEST(DeadlineEndsBeforeTheLease);
  CPPUNIT_TEST(PredecessorKeepsItsLimitsUntilItsLeaseEnds);
  CPPUNIT_TEST(RampsFromColdToReady);
  CPPUNIT_TEST(RestartIsRecognisedByEpoch);
  CPPUNIT_TEST(RestartIsRecognisedByLossAndRefusal);
  CPPUNIT_TEST(LateReportOfAnOldEpochIsIgnored);
  CPPUNIT_TEST(SilentTargetGetsOneCallUntilItResponds);
  CPPUNIT_TEST(FullTargetIsNotSuspected);
  CPPUNIT_TEST(SuspectedTargetIsTriedWithoutProbes);
  CPPUNIT_TEST(ProbesKeepTheirBudget);
  CPPUNIT_TEST(SuccessorConfirmsBeforeTheFirstCall);
  CPPUNIT_TEST(ConfirmedTargetGetsTheWaitingCalls);
  CPPUNIT_TEST(HolderAndSuccessorShareTheProbeBudget);
  CPPUNIT_TEST(ProbesNeedTheAssignment);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against work on cold targets by a host that does not hold the shard.
  void ColdTargetsNeedTheAssignment() {
    Harness harness;
    harness.SetTargets({"a"});
    CPPUNIT_ASSERT(harness.Arrive().empty());
    harness.Hold(60'000);
    CPPUNIT_ASSERT(NextTick(*harness.dispatcher_, harness.now_) == harness.now_);
    CPPUNIT_ASSERT_EQUAL(1, Count(harness.Tick(), ActionKind::kSend));
    harness.now_ = At(60'000);
    harness.sent_.clear();
    CPPUNIT_ASSERT_EQUAL(0, Count(harness.Arrive(), ActionKind::kSend));
  }

  void ColdLimitHolds() {
    Harness harness({}, 4, 2);
    harness.SetTargets({"a"});
    harness.Hold(60'000);
    for (int call = 0; call < 5; ++call) harness.Arrive();
    CPPUNIT_ASSERT_EQUAL(2, harness.InFlight("a"));
    harness.Finish(1, SendResult::kAnswered, Harness::Report(TargetPhase::kCold));
    CPPUNIT_ASSERT_EQUAL(2, harness.InFlight("a"));
  }

  // Guards against a second call while a call whose connection broke may still run.
  void AbandonedCallsCountAtColdTargets() {
    Harness harness;
    harness.SetTargets({"a"});
    harness.Hold(60'000);
    harness.Arrive();
    harness.Arrive();
    harness.Finish(1, SendResult::kCancelled, std::nullopt);
    CPPUNIT_ASSERT_EQUAL(0, harness.InFlight("a"));
    harness.now_ += milliseconds(500);
    harness.Probed("a", Harness::Report(TargetPhase::kCold, 1, 0));  // It is idle again.
    harness.Tick();
    CPPUNIT_ASSERT_EQUAL(1, harness.InFlight("a"));
  }

  void DeadlineEndsBeforeTheLease() {
    Harness harness;
    harness.SetTargets({"a"});
    harness.Hold(10'500);
    const Actions actions = harness.Arrive();
    CPPUNIT_ASSERT(actions.at(0).kind_ == ActionKind::kSend);
    CPPUNIT_ASSERT(actions.at(0).deadline_ < At(10'500));
    Harness late;
    late.SetTargets({"a"});
    late.Hold(10'120);  // Too little of the lease is left to start a call.
    CPPUNIT_ASSERT_EQUAL(0, Count(late.Arrive(), ActionKind::kSend));
  }

  void PredecessorKeepsItsLimitsUntilItsLeaseEnds() {
    Harness harness;
    harness.SetTargets({"a"});
    harness.Hold(60'000, 12'000);
    Call call = harness.MakeCall();
    call.deadline_ = At(20'000);
    CPPUNIT_ASSERT(harness.Arrive(call).empty());
    CPPUNIT_ASSERT(harness.Tick().empty());
    CPPUNIT_ASSERT(NextTick(*harness.dispatcher_, harness.now_) <= At(12'000));
    harness.now_ = At(12'000);
    const Actions actions = harness.Tick();
    CPPUNIT_ASSERT_EQUAL(1, Count(actions, ActionKind::kSend));
    // The predecessor may have probed until its end.
    CPPUNIT_ASSERT_EQUAL(0, Count(actions, ActionKind::kProbe));
  }

  void RampsFromColdToReady() {
    Harness harness;
    harness.SetTargets({"a"});
    harness.Hold(60'000);
    const auto answer = [&](TargetPhase phase) {
      const CallHandle call = harness.Arrive().at(0).call_;
      harness.now_ += milliseconds(10);
      harness.Finish(call, SendResult::kAnswered, Harness::Report(phase));
    };
    answer(TargetPhase::kCold);
    CPPUNIT_ASSERT(harness.PhaseOf("a") == TargetPhase::kCold);
    answer(TargetPhase::kReady);
    CPPUNIT_ASSERT(harness.PhaseOf("a") == TargetPhase::kWarming);
    answer(TargetPhase::kReady);
    CPPUNIT_ASSERT(harness.PhaseOf("a") == TargetPhase::kReady);
    answer(TargetPhase::kDraining);
    CPPUNIT_ASSERT(harness.PhaseOf("a") == TargetPhase::kDraining);
    CPPUNIT_ASSERT_EQUAL(0, Count(harness.Arrive(), ActionKind::kSend));
  }

  void RestartIsRecognisedByEpoch() {
    Harness harness({"a"});
    harness.Hold(60'000);
    for (int call = 0; call < 4; ++call) harness.Arrive();
    CPPUNIT_ASSERT_EQUAL(2, harness.InFlight("a"));
    harness.Finish(1, SendResult::kAnswered, Harness::Report(TargetPhase::kCold, 2));
    CPPUNIT_ASSERT(harness.PhaseOf("a") == TargetPhase::kCold);
    CPPUNIT_ASSERT_EQUAL(1, harness.InFlight("a"));
    harness.Finish(2, SendResult::kAnswered, Harness::Report(TargetPhase::kCold, 2));
    CPPUNIT_ASSERT_EQUAL(1, harness.InFlight("a"));
    // A new epoch alone shows a restart, whatever the target calls itself.
    Harness other({"b"});
    other.Arrive();
    other.Finish(1, SendResult::kAnswered, Harness::Report(TargetPhase::kReady, 2));
    CPPUNIT_ASSERT(other.PhaseOf("b") == TargetPhase::kWarming);
  }

  // Guards against full load on a target whose restart shows only as a broken connection.
  void RestartIsRecognisedByLossAndRefusal() {
    for (const SendResult result :
         {SendResult::kLost, SendResult::kRefused, SendResult::kUnreachable}) {
      Harness harness({"a"});
      for (int call = 0; call < 3; ++call) harness.Arrive();
      harness.now_ += milliseconds(10);
      harness.Finish(1, result, std::nullopt);
      CPPUNIT_ASSERT(harness.PhaseOf("a") == TargetPhase::kSuspected);
      CPPUNIT_ASSERT_EQUAL(1, harness.InFlight("a"));
      harness.Finish(2, SendResult::kAnswered, Harness::Report());  // It was sent before the doubt.
      CPPUNIT_ASSERT(harness.PhaseOf("a") == TargetPhase::kSuspected);
      CPPUNIT_ASSERT_EQUAL(0, harness.InFlight("a"));
    }
  }

  void LateReportOfAnOldEpochIsIgnored() {
    Harness harness({"a"});
    harness.Hold(60'000);
    harness.Arrive();
    harness.Arrive();
    harness.now_ += milliseconds(10);
    harness.Finish(1, SendResult::kAnswered, Harness::Report(TargetPhase::kCold, 2));
    harness.now_ += milliseconds(10);
    harness.Finish(2, SendResult::kAnswered, Harness::Report(TargetPhase::kReady, 1));
    CPPUNIT_ASSERT(harness.PhaseOf("a") == TargetPhase::kCold);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2},
                         Summarize(*harness.dispatcher_, harness.now_).targets_.at(0).epoch_);
  }

  // Guards against full load on a target that restarted while it was idle.
  void SilentTargetGetsOneCallUntilItResponds() {
    Harness harness({"a"});
    harness.now_ += std::chrono::seconds(5);
    harness.Arrive();
    harness.Arrive();
    CPPUNIT_ASSERT_EQUAL(1, harness.InFlight("a"));
    harness.Finish(1);
    harness.Arrive();
    CPPUNIT_ASSERT_EQUAL(2, harness.InFlight("a"));
  }

  // Guards against the loss of a target whose load endpoint is out of order.
  void SuspectedTargetIsTriedWithoutProbes() {
    Harness harness({"a"});
    harness.Hold(60'000);
    harness.Arrive();
    harness.Finish(1, SendResult::kUnreachable, std::nullopt);
    harness.now_ += std::chrono::seconds(4);
    CPPUNIT_ASSERT_EQUAL(0, Count(harness.Arrive(), ActionKind::kSend));
    harness.now_ += std::chrono::seconds(2);
    CPPUNIT_ASSERT_EQUAL(1, Count(harness.Arrive(), ActionKind::kSend));
    CPPUNIT_ASSERT(harness.PhaseOf("a") == TargetPhase::kCold);
  }

  // Guards against the loss of a healthy target while another host sends to it too.
  void FullTargetIsNotSuspected() {
    Harness harness({"a"});
    harness.Arrive();
    harness.Finish(1, SendResult::kRefused, Harness::Report(TargetPhase::kReady, 1, 2));
    CPPUNIT_ASSERT(harness.PhaseOf("a") == TargetPhase::kReady);
    CPPUNIT_ASSERT_EQUAL(0, harness.InFlight("a"));
    harness.now_ += milliseconds(5);
    harness.Tick();
    CPPUNIT_ASSERT_EQUAL(1, harness.InFlight("a"));
  }

  // A probe arrives at any time between its start and its end. Guards against more than two in any
  // second, whatever the delay of each. The third of the budget is left for another dispatcher.
  void ProbesKeepTheirBudget() {
    Harness harness;
    harness.SetLimit([](records::Service& limits) { limits.probes_per_second_ = 3; });
    harness.SetTargets({"a"});
    harness.Hold(600'000);
    // A suspected target that does not answer is probed as often as the budget allows.
    harness.Arrive();
    harness.Finish(1, SendResult::kUnreachable, std::nullopt);
    std::vector<Time> arrivals;
    std::optional<Time> ends;
    Time sent;
    for (int step = 0; step < 20'000; ++step) {
      harness.now_ += milliseconds(1);
      Actions actions;
      if (ends && harness.now_ >= *ends) {
        ends.reset();
        // A late arrival and an early one after the next: the worst case for a budget by starts.
        arrivals.push_back(arrivals.size() % 4 < 2 ? harness.now_ : sent);
        actions = harness.Probed("a", std::nullopt);
      } else {
        actions = harness.Tick();
      }
      if (Count(actions, ActionKind::kProbe) == 0) continue;
      CPPUNIT_ASSERT(!ends);
      sent = harness.now_;
      ends = harness.now_ + milliseconds(1 + static_cast<int>(harness.random_() % 300));
    }
    CPPUNIT_ASSERT(arrivals.size() >= 25);
    for (std::size_t probe = 2; probe < arrivals.size(); ++probe) {
      CPPUNIT_ASSERT(arrivals[probe] - arrivals[probe - 2] > std::chrono::seconds(1));
    }
  }

  // A target that restarted while its holder was paused. Guards against calls of the successor in
  // addition to those that the holder may still send (seeds 744 and 807 of two_faults.lua).
  void SuccessorConfirmsBeforeTheFirstCall() {
    Harness harness;
    OnTargetSnapshots(*harness.dispatcher_, {{"a", TargetPhase::kReady, 1}}, harness.now_);
    harness.SetTargets({"a"});
    CPPUNIT_ASSERT_MESSAGE("no call waits", harness.Tick().empty());
    const Actions actions = harness.Arrive();
    CPPUNIT_ASSERT_EQUAL(0, Count(actions, ActionKind::kSend));
    CPPUNIT_ASSERT_EQUAL(1, Count(actions, ActionKind::kProbe));
    harness.Probed("a", Harness::Report(TargetPhase::kCold, 2, 1));
    CPPUNIT_ASSERT_EQUAL(0, harness.InFlight("a"));
    CPPUNIT_ASSERT_EQUAL(1, harness.Queued());
    harness.Hold(60'000);
    harness.Tick();
    CPPUNIT_ASSERT_EQUAL(1, harness.InFlight("a"));
  }

  // Guards against calls that wait for the end of the lease although the target is as it was, and
  // against a target that is lost because only its load endpoint is out of order.
  void ConfirmedTargetGetsTheWaitingCalls() {
    for (const bool answered : {true, false}) {
      Harness harness;
      OnTargetSnapshots(*harness.dispatcher_, {{"a", TargetPhase::kReady, 1}}, harness.now_);
      harness.SetTargets({"a"});
      harness.Arrive();
      harness.Arrive();
      CPPUNIT_ASSERT_EQUAL(2, harness.Queued());
      const auto ready = Harness::Report(TargetPhase::kReady, 1, 0);
      harness.Probed("a", answered ? std::optional(ready) : std::nullopt);
      CPPUNIT_ASSERT_EQUAL(answered ? 2 : 1, harness.InFlight("a"));
    }
  }

  // The holder is cut off and goes on probing. Guards against more than the budget of both in any
  // second, whatever the time between their probes.
  void HolderAndSuccessorShareTheProbeBudget() {
    for (int offset = 0; offset < 1000; offset += 10) {
      Harness holder;
      holder.SetTargets({"a"});
      holder.Hold(600'000);
      holder.Arrive();
      holder.Finish(1, SendResult::kUnreachable, std::nullopt);
      holder.Probed("a", std::nullopt);
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
            actions = harness->Arrive();
          } else {
            actions = harness->Tick();
          }
          if (Count(actions, ActionKind::kProbe) == 0) continue;
          arrivals.push_back(harness->now_);
          harness->Probed("a", std::nullopt);
        }
      }
      CPPUNIT_ASSERT(arrivals.size() >= 5);
      for (std::size_t probe = 2; probe < arrivals.size(); ++probe) {
        CPPUNIT_ASSERT(arrivals[probe] - arrivals[probe - 2] > std::chrono::seconds(1));
      }
    }
  }

  void ProbesNeedTheAssignment() {
    Harness harness;
    harness.SetTargets({"a"});
    harness.now_ += std::chrono::seconds(10);
    CPPUNIT_ASSERT(harness.Tick().empty());
    harness.Hold(60'000);
    CPPUNIT_ASSERT_EQUAL(1, Count(harness.Tick(), ActionKind::kProbe));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LimitsTest);

}  // namespace monsoonshelf::dispatch::tests
